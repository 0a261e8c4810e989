package codes

// SQLSTATE values. The names follow the condition names of PostgreSQL.
const (
	sqlStateOK                    = "00000"
	sqlStateInternal              = "XX000"
	sqlStateProtocolViolation     = "08P01"
	sqlStateInvalidCatalogName    = "3D000"
	sqlStateInvalidParameter      = "22023"
	sqlStateLimitExceeded         = "54000"
	sqlStateTooManyConnections    = "53300"
	sqlStateInsufficientResources = "53000"
	sqlStateConfigurationLimit    = "53400"
	sqlStateSerializationFailure  = "40001"
	sqlStateCompletionUnknown     = "40003"
	sqlStateReadOnlyTransaction   = "25006"
	sqlStateFailedTransaction     = "25P02"
	sqlStateQueryCanceled         = "57014"
	sqlStateAdminShutdown         = "57P01"
	sqlStateCannotConnectNow      = "57P03"
	sqlStateInvalidAuthorization  = "28000"
	sqlStateNoData                = "02000"
	sqlStateUniqueViolation       = "23505"
	sqlStateFeatureNotSupported   = "0A000"
)

var table = []Info{
	{OK, "ok", sqlStateOK, "The request ran.", "None."},
	{Statement, "statement", sqlStateOK, "The database reported an error for the statement.", "See the SQLSTATE of the database."},
	{UnknownDeployment, "unknown_deployment", sqlStateInvalidCatalogName, "No deployment has the name of the requested database.", "Correct the database name or create the deployment."},
	{UnknownKind, "unknown_kind", sqlStateInvalidParameter, "The deployment defines no such kind of request.", "Correct the kind or add it to the deployment."},
	{UnknownGroup, "unknown_group", sqlStateInvalidParameter, "The request names a group that the deployment does not have, or selects none.", "Name a group of the deployment or give a key."},
	{MalformedToken, "malformed_token", sqlStateInvalidParameter, "The session token cannot be parsed.", "Present the token exactly as it was reported, or none."},
	{MessageTooLarge, "message_too_large", sqlStateLimitExceeded, "A message of the caller is larger than the limit.", "Send a smaller message."},
	{BadProtocol, "bad_protocol", sqlStateProtocolViolation, "The caller broke the protocol or asked for a version that is not served.", "Use protocol version 3.0."},
	{TLSNotOffered, "tls_not_offered", sqlStateProtocolViolation, "The caller asked for TLS where it is off.", "Connect without TLS or set certificate files."},
	{MalformedRequestID, "malformed_request_id", sqlStateInvalidParameter, "The request id is not a version 7 UUID.", "Use a version 7 UUID for each request."},
	{RequestIDExpired, "request_id_expired", sqlStateInvalidParameter, "The request id is older than the ledger keeps rows, or lies in the future.", "Check the data before sending the request with a new id."},
	{RequestIDReused, "request_id_reused", sqlStateUniqueViolation, "The request id belongs to another statement.", "Use a new id for each request."},
	{KindMismatch, "kind_mismatch", sqlStateReadOnlyTransaction, "A write kind came in a read transaction, or a statement of another group in a transaction.", "Open the transaction with a write kind of the same group."},
	{TransactionState, "transaction_state", sqlStateFailedTransaction, "The transaction has failed or none is open.", "Roll back and start again."},
	{UnknownCaller, "unknown_caller", sqlStateInvalidAuthorization, "The deployment defines no such class of caller.", "Correct the user name or add the class to the deployment."},
	{MalformedTag, "malformed_tag", sqlStateInvalidParameter, "A comment tag or session setting has a bad value.", "Correct the tag."},
	{RequestIDMissing, "request_id_missing", sqlStateInvalidParameter, "A non-idempotent kind needs a request id.", "Send a version 7 UUID as request_id."},
	{Unsupported, "unsupported", sqlStateFeatureNotSupported, "The proxy does not serve this form of request. It was not run.", "See the detail for the form to use instead."},
	{RequestIDSettled, "request_id_settled", sqlStateSerializationFailure, "It was settled that no request of this id ever runs. The request was not run.", "Send the request again with a new id."},
	{WrongProxy, "wrong_proxy", sqlStateInvalidParameter, "A call between proxies reached another proxy than the one it names, or came from another system. Nothing was run.", "None; the proxies look each other up again."},
	{UnknownKey, "unknown_key", sqlStateInvalidAuthorization, "No team holds the key of the caller. The request was not run.", "Use a key of the team; one that was withdrawn does not come back."},
	{Overloaded, "overloaded", sqlStateInsufficientResources, "The request was refused because too much work is waiting. It was not run.", "Come back after the given time."},
	{NoPrimary, "no_primary", sqlStateCannotConnectNow, "The group has no primary that may take the request. It was not run.", "Come back after the given time."},
	{NoReplica, "no_replica", sqlStateCannotConnectNow, "No instance can serve the read within its staleness. It was not run.", "Come back after the given time."},
	{DeadlineExceeded, "deadline_exceeded", sqlStateQueryCanceled, "The request could not be served in time. It was not run.", "Come back after the given time."},
	{Draining, "draining", sqlStateAdminShutdown, "The proxy is shutting down. The request was not run.", "Connect again; the balancer selects another proxy."},
	{RevisionUnconfirmed, "revision_unconfirmed", sqlStateCannotConnectNow, "The proxy cannot confirm that its deployments are current. The request was not run.", "Connect to another proxy or come back after the given time."},
	{TooManyCallers, "too_many_callers", sqlStateTooManyConnections, "The proxy has as many callers as it may have.", "Connect to another proxy or come back after the given time."},
	{StartupTimeout, "startup_timeout", sqlStateProtocolViolation, "The caller did not finish the start-up in time.", "Connect again."},
	{PrimaryChanged, "primary_changed", sqlStateSerializationFailure, "The primary was replaced before the request ran. It was not run.", "Send the request again."},
	{Canceled, "canceled", sqlStateQueryCanceled, "The caller canceled the request.", "None."},
	{TeamLimit, "team_limit", sqlStateConfigurationLimit, "The team sends more than its limit allows. The request was not run.", "Come back after the given time."},
	{OutcomeUnknown, "outcome_unknown", sqlStateCompletionUnknown, "It could not be proved in time whether the request ran.", "Send the request again with the same request id."},
	{TransactionLost, "transaction_lost", sqlStateSerializationFailure, "The transaction was lost before its commit. It was rolled back.", "Start the transaction again."},
	{AnswerTooLarge, "answer_too_large", sqlStateLimitExceeded, "The answer is larger than the limit.", "Ask for fewer rows."},
	{TransactionDone, "transaction_done", sqlStateUniqueViolation, "A transaction with this request id has committed already.", "Look at the data; do not send the transaction again."},
	{RevisionConflict, "revision_conflict", sqlStateSerializationFailure, "Another operator changed the deployment.", "Look at the current revision and apply again."},
	{InvalidDeployment, "invalid_deployment", sqlStateInvalidParameter, "The deployment has a fault.", "Correct the named field."},
	{DeploymentNotFound, "deployment_not_found", sqlStateNoData, "No such deployment exists.", "Correct the name."},
	{Unauthenticated, "unauthenticated", sqlStateInvalidAuthorization, "The call carries no valid bearer token.", "Give a token."},
	{PermissionDenied, "permission_denied", sqlStateInvalidAuthorization, "The role of the token does not allow the call.", "Use an operator's token."},
	{StoreUnavailable, "store_unavailable", sqlStateCannotConnectNow, "The platform's store did not answer. Nothing was changed.", "Come back after the given time."},
	{ChangeIDReused, "change_id_reused", sqlStateUniqueViolation, "The change id belongs to another change.", "Use a new id for each change."},
	{SwitchoverFailed, "switchover_failed", sqlStateSerializationFailure, "The primary was not moved.", "See the detail and try again."},
	{AcceptanceUnknown, "acceptance_unknown", sqlStateCompletionUnknown, "The answer of the store was lost, or too few proxies confirmed the change in time; it may be in force.", "Send the change again with the same change id."},
	{Internal, "internal", sqlStateInternal, "The proxy met a fault of its own.", "Report it with the log."},
	{SettingInvalid, "setting_invalid", sqlStateInternal, "A setting has a bad value.", "Correct the setting."},
	{BackendProtocolFailed, "backend_protocol_failed", sqlStateInternal, "An instance broke the protocol.", "Check the instance."},
}

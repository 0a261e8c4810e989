package codes

const (
	sqlStateOK          = "00000"
	sqlStateInternal    = "XX000"
	sqlStateProtocol    = "08P01"
	sqlStateNoDatabase  = "3D000"
	sqlStateBadValue    = "22023"
	sqlStateTooLarge    = "54000"
	sqlStateConnections = "53300"
	sqlStateOverload    = "53000"
	sqlStateRetry       = "40001"
	sqlStateUnknown     = "40003"
	sqlStateReadOnly    = "25006"
	sqlStateTxState     = "25P02"
	sqlStateCanceled    = "57014"
	sqlStateShutdown    = "57P01"
	sqlStateNotReady    = "57P03"
	sqlStateBadRole     = "28000"
	sqlStateNotFound    = "02000"
	sqlStateDuplicate   = "23505"
	sqlStateUnsupported = "0A000"
)

var table = []Info{
	{OK, "ok", sqlStateOK, "The request ran.", "None."},
	{Statement, "statement", sqlStateOK, "The database reported an error for the statement.", "See the SQLSTATE of the database."},
	{UnknownDeployment, "unknown_deployment", sqlStateNoDatabase, "No deployment has the name of the requested database.", "Correct the database name or create the deployment."},
	{UnknownKind, "unknown_kind", sqlStateBadValue, "The deployment defines no such kind of request.", "Correct the kind or add it to the deployment."},
	{UnknownGroup, "unknown_group", sqlStateBadValue, "The request names a group that the deployment does not have, or selects none.", "Name a group of the deployment or give a key."},
	{MalformedToken, "malformed_token", sqlStateBadValue, "The session token cannot be parsed.", "Present the token exactly as it was reported, or none."},
	{MessageTooLarge, "message_too_large", sqlStateTooLarge, "A message of the caller is larger than the limit.", "Send a smaller message."},
	{BadProtocol, "bad_protocol", sqlStateProtocol, "The caller broke the protocol or asked for a version that is not served.", "Use protocol version 3.0."},
	{TLSNotOffered, "tls_not_offered", sqlStateProtocol, "The caller asked for TLS where it is off.", "Connect without TLS or set certificate files."},
	{MalformedRequestID, "malformed_request_id", sqlStateBadValue, "The request id is not a version 7 UUID.", "Use a version 7 UUID for each request."},
	{RequestIDExpired, "request_id_expired", sqlStateBadValue, "The request id is older than the ledger keeps rows, or lies in the future.", "Check the data before sending the request with a new id."},
	{RequestIDReused, "request_id_reused", sqlStateDuplicate, "The request id belongs to another statement.", "Use a new id for each request."},
	{KindMismatch, "kind_mismatch", sqlStateReadOnly, "A write kind came in a read transaction, or a statement of another group in a transaction.", "Open the transaction with a write kind of the same group."},
	{TransactionState, "transaction_state", sqlStateTxState, "The transaction has failed or none is open.", "Roll back and start again."},
	{UnknownCaller, "unknown_caller", sqlStateBadRole, "The deployment defines no such class of caller.", "Correct the user name or add the class to the deployment."},
	{MalformedTag, "malformed_tag", sqlStateBadValue, "A comment tag or session setting has a bad value.", "Correct the tag."},
	{RequestIDMissing, "request_id_missing", sqlStateBadValue, "A non-idempotent kind needs a request id.", "Send a version 7 UUID as request_id."},
	{Unsupported, "unsupported", sqlStateUnsupported, "The proxy does not serve this form of request. It was not run.", "See the detail for the form to use instead."},
	{RequestIDSettled, "request_id_settled", sqlStateRetry, "It was settled that no request of this id ever runs. The request was not run.", "Send the request again with a new id."},
	{Overloaded, "overloaded", sqlStateOverload, "The request was refused because too much work is waiting. It was not run.", "Come back after the given time."},
	{NoPrimary, "no_primary", sqlStateNotReady, "The group has no primary that may take the request. It was not run.", "Come back after the given time."},
	{NoReplica, "no_replica", sqlStateNotReady, "No instance can serve the read within its staleness. It was not run.", "Come back after the given time."},
	{DeadlineExceeded, "deadline_exceeded", sqlStateCanceled, "The request could not be served in time. It was not run.", "Come back after the given time."},
	{Draining, "draining", sqlStateShutdown, "The proxy is shutting down. The request was not run.", "Connect again; the balancer selects another proxy."},
	{RevisionUnconfirmed, "revision_unconfirmed", sqlStateNotReady, "The proxy cannot confirm that its deployments are current. The request was not run.", "Connect to another proxy or come back after the given time."},
	{TooManyCallers, "too_many_callers", sqlStateConnections, "The proxy has as many callers as it may have.", "Connect to another proxy or come back after the given time."},
	{StartupTimeout, "startup_timeout", sqlStateProtocol, "The caller did not finish the start-up in time.", "Connect again."},
	{PrimaryChanged, "primary_changed", sqlStateRetry, "The primary was replaced before the request ran. It was not run.", "Send the request again."},
	{Canceled, "canceled", sqlStateCanceled, "The caller canceled the request.", "None."},
	{OutcomeUnknown, "outcome_unknown", sqlStateUnknown, "It could not be proved in time whether the request ran.", "Send the request again with the same request id."},
	{TransactionLost, "transaction_lost", sqlStateRetry, "The transaction was lost before its commit. It was rolled back.", "Start the transaction again."},
	{AnswerTooLarge, "answer_too_large", sqlStateTooLarge, "The answer is larger than the limit.", "Ask for fewer rows."},
	{TransactionDone, "transaction_done", sqlStateDuplicate, "A transaction with this request id has committed already.", "Look at the data; do not send the transaction again."},
	{RevisionConflict, "revision_conflict", sqlStateRetry, "Another operator changed the deployment.", "Look at the current revision and apply again."},
	{InvalidDeployment, "invalid_deployment", sqlStateBadValue, "The deployment has a fault.", "Correct the named field."},
	{DeploymentNotFound, "deployment_not_found", sqlStateNotFound, "No such deployment exists.", "Correct the name."},
	{Unauthenticated, "unauthenticated", sqlStateBadRole, "The call carries no valid bearer token.", "Give a token."},
	{PermissionDenied, "permission_denied", sqlStateBadRole, "The role of the token does not allow the call.", "Use an operator's token."},
	{StoreUnavailable, "store_unavailable", sqlStateNotReady, "The platform's store did not answer. Nothing was changed.", "Come back after the given time."},
	{ChangeIDReused, "change_id_reused", sqlStateDuplicate, "The change id belongs to another change.", "Use a new id for each change."},
	{SwitchoverFailed, "switchover_failed", sqlStateRetry, "The primary was not moved.", "See the detail and try again."},
	{AcceptanceUnknown, "acceptance_unknown", sqlStateUnknown, "The answer of the store was lost, or too few proxies confirmed the change in time; it may be in force.", "Send the change again with the same change id."},
	{Internal, "internal", sqlStateInternal, "The proxy met a fault of its own.", "Report it with the log."},
	{SettingInvalid, "setting_invalid", sqlStateInternal, "A setting has a bad value.", "Correct the setting."},
	{BackendProtocolFailed, "backend_protocol_failed", sqlStateInternal, "An instance broke the protocol.", "Check the instance."},
}

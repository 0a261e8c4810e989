package wire

// The user, parameters and statements of the protocol between the proxy and an
// instance. The platform provides the functions named platform_*; the functions
// named almondway_* are installed in each database.
const (
	// ControlUser is the user of control connections, which carry probes and
	// orders. They do not count towards the connection limit and take no slot.
	ControlUser = "almondway_control"
	// MarkParameter is the name of the parameter status that an instance sends
	// before ReadyForQuery. Its value "term/position" is the end of the log when
	// the statement ran. An instance with an empty log may send none or "0/0".
	MarkParameter = "platform.mark"

	// StatusSQL requests the status row.
	StatusSQL = "SELECT * FROM platform_status()"
	// FenceSQL orders an instance to raise its fence; its argument is the term. It returns the status row.
	FenceSQL = "SELECT * FROM platform_fence('%d')"
	// PromoteSQL orders a promotion; its argument is the term. It returns the status row.
	PromoteSQL = "SELECT * FROM platform_promote('%d')"
	// FollowSQL orders an instance to replicate from a primary; its arguments are
	// the term, the primary and its address. It returns the status row.
	FollowSQL = "SELECT * FROM platform_follow('%d', '%s', '%s')"

	// ReadOnlyParameter is a start-up parameter that is "on" for data connections,
	// so that a statement outside of a fenced write transaction cannot write.
	ReadOnlyParameter = "default_transaction_read_only"
	// ReadWriteSQL is the first statement of a transaction that may write.
	ReadWriteSQL = "SET TRANSACTION READ WRITE"

	// BeginSQL makes the write transaction fail unless the instance is the
	// primary of the term, and inserts the ledger row; its arguments are the term,
	// the request id and the digest.
	BeginSQL = "SELECT almondway_begin('%d', '%s', '%d')"
	// SettleSQL inserts a tombstone unless the ledger has a row for the request;
	// its arguments are the term and the request id.
	SettleSQL = "SELECT almondway_settle('%d', '%s')"
	// TrimSQL deletes the ledger rows with a request id lower than the given one;
	// its arguments are the term and the id.
	TrimSQL = "SELECT almondway_trim('%d', '%s')"
)

// The SQLSTATEs of an instance that rejects a statement before any of it has run.
const (
	// SQLStateFenced means that the instance is not the primary of the given term.
	SQLStateFenced = "AW001"
	// SQLStateReplay means that the ledger has a row for the request: it has already run.
	SQLStateReplay = "AW002"
	// SQLStateTombstone means that the ledger has a tombstone for the request: it was settled as not run.
	SQLStateTombstone = "AW003"
	// SQLStateMismatch means that the ledger has a row for the request id with a different digest.
	SQLStateMismatch = "AW004"
	// SQLStateTooManyConnections means that the connection limit of the instance is reached.
	SQLStateTooManyConnections = "53300"
	// SQLStateAdminShutdown means that the instance is shutting down.
	SQLStateAdminShutdown = "57P01"
)

// The columns of the status row, in order, all in text form.
const (
	// StatusAccepted is "t" if the instance accepted the order.
	StatusAccepted = iota
	// StatusFence is the highest term that the instance accepted.
	StatusFence
	// StatusRole is "primary" or "replica".
	StatusRole
	// StatusTailTerm is the term of the last entry of the log.
	StatusTailTerm
	// StatusTailPosition is the position of the last entry of the log.
	StatusTailPosition
	// StatusUpstream is the primary that a replica replicates from, or empty.
	StatusUpstream
	// StatusSilence is the time since a replica last received a message from its primary, in microseconds.
	StatusSilence
	// StatusLeaving is "t" if the instance is shutting down.
	StatusLeaving
	// StatusColumnCount is the number of columns.
	StatusColumnCount
)

package wire

// The names by which the proxy and an instance understand each other. The
// functions named platform_* are the platform's; those named almondway_* are
// installed in each database.
const (
	// ControlUser is the user of connections for probes and orders. They are
	// beyond the connection limit and take no slot.
	ControlUser = "almondway_control"
	// MarkParameter is the parameter status "term/position" that an instance
	// sends before it is ready again: the end of its log when the statement ran.
	// An instance whose log is empty sends none.
	MarkParameter = "platform.mark"

	// StatusSQL asks for the status row.
	StatusSQL = "SELECT * FROM platform_status()"
	// FenceSQL orders a fence; its argument is the term. It answers with the status row.
	FenceSQL = "SELECT * FROM platform_fence('%d')"
	// PromoteSQL orders a promotion; its argument is the term. It answers with the status row.
	PromoteSQL = "SELECT * FROM platform_promote('%d')"
	// FollowSQL orders an instance to follow; its arguments are the term, the
	// primary and its address. It answers with the status row.
	FollowSQL = "SELECT * FROM platform_follow('%d', '%s', '%s')"

	// ReadOnlyParameter is the start-up parameter of data connections, which is
	// "on": a statement that runs outside of a guarded transaction cannot write.
	ReadOnlyParameter = "default_transaction_read_only"
	// ReadWriteSQL is the first statement of a transaction that may write.
	ReadWriteSQL = "SET TRANSACTION READ WRITE"

	// BeginSQL guards a write transaction and inserts its ledger row; its
	// arguments are the term, the request id and the digest.
	BeginSQL = "SELECT almondway_begin('%d', '%s', '%d')"
	// SettleSQL inserts a tombstone unless the ledger has a row of the request;
	// its arguments are the term and the request id.
	SettleSQL = "SELECT almondway_settle('%d', '%s')"
	// TrimSQL deletes the ledger rows whose request id is lower; its arguments
	// are the term and the id.
	TrimSQL = "SELECT almondway_trim('%d', '%s')"
)

// The SQLSTATEs with which an instance refuses, each before anything ran.
const (
	// SQLStateFenced means that the instance is not the primary of the given term.
	SQLStateFenced = "AW001"
	// SQLStateReplay means that the ledger has a row of the request.
	SQLStateReplay = "AW002"
	// SQLStateTombstone means that the ledger has a tombstone of the request.
	SQLStateTombstone = "AW003"
	// SQLStateMismatch means that the ledger has a row of the request with another digest.
	SQLStateMismatch = "AW004"
	// SQLStateTooManyConnections means that the instance has no connection left.
	SQLStateTooManyConnections = "53300"
	// SQLStateAdminShutdown means that the instance is shutting down.
	SQLStateAdminShutdown = "57P01"
)

// The columns of the status row, in order, all in text form.
const (
	// StatusAccepted is "t" if the order was taken.
	StatusAccepted = iota
	// StatusFence is the highest term that the instance accepted.
	StatusFence
	// StatusRole is "primary" or "replica".
	StatusRole
	// StatusTailTerm is the term of the last entry of the log.
	StatusTailTerm
	// StatusTailPosition is the position of the last entry of the log.
	StatusTailPosition
	// StatusUpstream is the primary that a replica copies from, or empty.
	StatusUpstream
	// StatusSilence is the time since a replica last heard from its primary, in microseconds.
	StatusSilence
	// StatusLeaving is "t" if the instance is shutting down.
	StatusLeaving
	// StatusColumnCount is the number of columns.
	StatusColumnCount
)

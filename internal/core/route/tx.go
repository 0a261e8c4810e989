package route

import "almondway.dev/almondway/internal/core/model"

// TxSpec lists the fields of a new Tx.
type TxSpec struct {
	Caller      model.CallerID
	Group       model.GroupID
	Access      model.Access
	RequestID   string
	GeneratedID bool
	Digest      uint64
	ReadOnly    bool
	Team        model.TeamName
}

// Tx is a caller's transaction whose first statement has arrived. It owns its backend
// connection from Open to Close.
type Tx struct {
	spec     TxSpec
	conn     model.ConnID
	instance model.InstanceID
	term     model.Term
	opened   bool
	wrote    bool
	counted  bool
}

// NewTx returns the Tx that spec describes. It has no connection yet.
func NewTx(spec TxSpec) *Tx { return &Tx{spec: spec} }

// Caller returns the caller's connection that the transaction belongs to.
func (tx *Tx) Caller() model.CallerID { return tx.spec.Caller }

// Group returns the group of the transaction.
func (tx *Tx) Group() model.GroupID { return tx.spec.Group }

// Access returns whether the transaction may write.
func (tx *Tx) Access() model.Access { return tx.spec.Access }

// RequestID returns the key of the transaction's ledger row.
func (tx *Tx) RequestID() string { return tx.spec.RequestID }

// HasGeneratedID reports whether the proxy generated the request id.
func (tx *Tx) HasGeneratedID() bool { return tx.spec.GeneratedID }

// Digest returns the hash of the first statement.
func (tx *Tx) Digest() uint64 { return tx.spec.Digest }

// ReadOnly reports whether the caller opened the transaction for reading only.
func (tx *Tx) ReadOnly() bool { return tx.spec.ReadOnly }

// Team returns the team of the connection, which all statements of the transaction need.
func (tx *Tx) Team() model.TeamName { return tx.spec.Team }

// Wrote reports whether a writing statement of the transaction has been sent.
func (tx *Tx) Wrote() bool { return tx.wrote }

// SetWrote records that a writing statement is sent.
func (tx *Tx) SetWrote() { tx.wrote = true }

// Counted reports whether the transaction was counted as an operation of its team.
func (tx *Tx) Counted() bool { return tx.counted }

// SetCounted records that the transaction was counted as an operation of its team.
func (tx *Tx) SetCounted() { tx.counted = true }

// Open records the connection of the transaction, its instance and its term.
func (tx *Tx) Open(conn model.ConnID, instance model.InstanceID, term model.Term) {
	tx.conn = conn
	tx.instance = instance
	tx.term = term
	tx.opened = true
}

// Opened reports whether the transaction has had a connection since its start or the
// last Restart.
func (tx *Tx) Opened() bool { return tx.opened }

// Restart records that no statement of the transaction has taken effect, so that its
// first statement may run again on another instance.
func (tx *Tx) Restart() {
	tx.conn = 0
	tx.opened = false
	tx.wrote = false
}

// Close records that the transaction no longer owns a connection.
func (tx *Tx) Close() { tx.conn = 0 }

// Conn returns the connection, or 0.
func (tx *Tx) Conn() model.ConnID { return tx.conn }

// Instance returns the instance of the connection.
func (tx *Tx) Instance() model.InstanceID { return tx.instance }

// Term returns the term in which the transaction was opened.
func (tx *Tx) Term() model.Term { return tx.term }

// Rollback rolls back a transaction on which no Job runs and releases its connection.
func Rollback(conns Conns, tx *Tx) {
	if tx.Conn() != 0 {
		conns.Release(tx.Conn(), true)
		tx.Close()
	}
}

package model

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
)

// ForwardID identifies a call that forwards a statement, at its sender or at its receiver.
type ForwardID uint64

// ForwardTx identifies an open transaction at the proxy that holds its connection. The zero
// ForwardTx identifies none.
type ForwardTx struct {
	process uint64
	number  uint64
}

// NewForwardTx returns a ForwardTx of a process of a proxy.
func NewForwardTx(process, number uint64) ForwardTx {
	return ForwardTx{process: process, number: number}
}

// Process returns the process of the proxy that holds the connection.
func (tx ForwardTx) Process() uint64 { return tx.process }

// Number returns the number of the transaction, unique within the process.
func (tx ForwardTx) Number() uint64 { return tx.number }

// ForwardSpec lists the fields of a new Forward.
type ForwardSpec struct {
	From       ProxyView
	Process    uint64
	To         ProxyID
	Number     uint64
	Instance   InstanceID
	Deployment string
	Kind       string
	Op         Op
	RequestID  string
	Key        KeyDigest
	Team       TeamName
	Statement  Payload
	Step       Step
	Confirm    bool
	Write      bool
	After      Mark
	Waited     time.Duration
	Remaining  time.Duration
	Tx         ForwardTx
}

// Forward is a statement that a proxy passes on to another one, which holds the connections to
// the instance. It is immutable.
type Forward struct {
	spec ForwardSpec
}

// NewForward returns the Forward that spec describes.
func NewForward(spec ForwardSpec) *Forward { return &Forward{spec: spec} }

// From returns the proxy that received the statement from its caller.
func (forward *Forward) From() ProxyView { return forward.spec.From }

// Process returns the process of that proxy.
func (forward *Forward) Process() uint64 { return forward.spec.Process }

// To returns the proxy that is asked to run the statement.
func (forward *Forward) To() ProxyID { return forward.spec.To }

// Number returns the number of the call, unique within the process of the sender.
func (forward *Forward) Number() uint64 { return forward.spec.Number }

// Instance returns the instance that runs the statement.
func (forward *Forward) Instance() InstanceID { return forward.spec.Instance }

// Deployment returns the name of the deployment.
func (forward *Forward) Deployment() string { return forward.spec.Deployment }

// Kind returns the name of the kind, which is empty for a commit.
func (forward *Forward) Kind() string { return forward.spec.Kind }

// Op returns the operation that the caller asks for.
func (forward *Forward) Op() Op { return forward.spec.Op }

// RequestID returns the id of the request.
func (forward *Forward) RequestID() string { return forward.spec.RequestID }

// Key returns the digest of the caller's key.
func (forward *Forward) Key() KeyDigest { return forward.spec.Key }

// Team returns the name of the team that holds the key, or the empty name if it is not known.
func (forward *Forward) Team() TeamName { return forward.spec.Team }

// Statement returns the statement.
func (forward *Forward) Statement() Payload { return forward.spec.Statement }

// Step returns the transaction step.
func (forward *Forward) Step() Step { return forward.spec.Step }

// Confirm reports whether the instance has to confirm that it is the primary before it runs the
// statement.
func (forward *Forward) Confirm() bool { return forward.spec.Confirm }

// Write reports whether the statement, or its transaction, may write.
func (forward *Forward) Write() bool { return forward.spec.Write }

// After returns the Mark that the log of the instance must cover.
func (forward *Forward) After() Mark { return forward.spec.After }

// Waited returns the time from the arrival of the statement at the sender until the call.
func (forward *Forward) Waited() time.Duration { return forward.spec.Waited }

// Remaining returns the time from the call until the deadline of the statement.
func (forward *Forward) Remaining() time.Duration { return forward.spec.Remaining }

// Tx returns the open transaction to which the statement belongs, or the zero ForwardTx.
func (forward *Forward) Tx() ForwardTx { return forward.spec.Tx }

// ForwardOutcome is how a forwarded statement ended.
type ForwardOutcome int

const (
	// ForwardDone means that the instance answered.
	ForwardDone ForwardOutcome = iota
	// ForwardFailed means that the execution failed; the class says what is known about its effect.
	ForwardFailed
	// ForwardDenied means that the statement was refused before anything was sent to the instance.
	ForwardDenied
)

// ForwardReplySpec lists the fields of a new ForwardReply.
type ForwardReplySpec struct {
	Outcome    ForwardOutcome
	Class      FailureClass
	Code       codes.Code
	Reason     string
	RetryAfter time.Duration
	Mark       Mark
	Answer     Payload
	Tx         ForwardTx
	Held       time.Duration
	// Newest is the newest known mark of the group, or zero.
	Newest GroupMark
}

// ForwardReply is the answer to a Forward. It is immutable.
type ForwardReply struct {
	spec ForwardReplySpec
}

// NewForwardReply returns the ForwardReply that spec describes.
func NewForwardReply(spec ForwardReplySpec) *ForwardReply { return &ForwardReply{spec: spec} }

// Outcome returns how the statement ended.
func (reply *ForwardReply) Outcome() ForwardOutcome { return reply.spec.Outcome }

// Class returns what is known about the effect of a failed execution.
func (reply *ForwardReply) Class() FailureClass { return reply.spec.Class }

// Code returns the result code of a denial.
func (reply *ForwardReply) Code() codes.Code { return reply.spec.Code }

// Reason returns the reason of a denial, for the decision log.
func (reply *ForwardReply) Reason() string { return reply.spec.Reason }

// RetryAfter returns the time after which a denied statement may be repeated, or 0.
func (reply *ForwardReply) RetryAfter() time.Duration { return reply.spec.RetryAfter }

// Mark returns the end of the instance's log when the statement ran or, if the instance had to
// confirm that it is the primary, when it did so.
func (reply *ForwardReply) Mark() Mark { return reply.spec.Mark }

// Answer returns the answer or the error of the database, or nil.
func (reply *ForwardReply) Answer() Payload { return reply.spec.Answer }

// Tx returns the transaction that is open after the statement, or the zero ForwardTx.
func (reply *ForwardReply) Tx() ForwardTx { return reply.spec.Tx }

// Held returns how long the statement held a slot of the instance.
func (reply *ForwardReply) Held() time.Duration { return reply.spec.Held }

// Newest returns the newest mark that the other proxy knows of the group of the instance. Its Mark
// is zero if there is none.
func (reply *ForwardReply) Newest() GroupMark { return reply.spec.Newest }

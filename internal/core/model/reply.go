package model

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
)

// Outcome is the known effect of a request.
type Outcome int

// The outcomes of a request.
const (
	// OutcomeDone means that the request ran and its effect is durable across any single failure.
	OutcomeDone Outcome = iota
	// OutcomeNotRun means that the request provably has no effect and never will have one.
	OutcomeNotRun
	// OutcomeUnknown means that neither could be proved before the deadline.
	OutcomeUnknown
)

// String returns the name of the Outcome in snake case.
func (outcome Outcome) String() string {
	switch outcome {
	case OutcomeDone:
		return "done"
	case OutcomeNotRun:
		return "not_run"
	default:
		return "unknown"
	}
}

// TxState is the state of a caller's transaction after a reply.
type TxState int

// The states of a caller's transaction.
const (
	// TxNone means that no transaction is open.
	TxNone TxState = iota
	// TxOpen means that a transaction is open.
	TxOpen
	// TxFailed means that a statement of the open transaction failed and that only a rollback is accepted.
	TxFailed
)

// ReplySpec lists the fields of a new Reply.
type ReplySpec struct {
	Seq        RequestSeq
	Caller     CallerID
	Outcome    Outcome
	Code       codes.Code
	Detail     string
	RetryAfter time.Duration
	Replayed   bool
	Token      Token
	TxState    TxState
	Answer     Payload
}

// Reply is the single, final answer to a Request. It is immutable.
type Reply struct {
	spec ReplySpec
}

// NewReply returns the Reply that spec describes.
func NewReply(spec ReplySpec) *Reply { return &Reply{spec: spec} }

// Seq returns the sequence number of the Request that the Reply answers.
func (reply *Reply) Seq() RequestSeq { return reply.spec.Seq }

// Caller returns the ID of the caller's connection on which the Request arrived.
func (reply *Reply) Caller() CallerID { return reply.spec.Caller }

// Outcome returns the known effect of the Request.
func (reply *Reply) Outcome() Outcome { return reply.spec.Outcome }

// Code returns the result code. It is codes.OK on success and codes.Statement
// when the Answer contains an error of the database.
func (reply *Reply) Code() codes.Code { return reply.spec.Code }

// Detail returns a message for the caller that supplements the meaning of the Code.
func (reply *Reply) Detail() string { return reply.spec.Detail }

// RetryAfter returns the time after which the caller may retry, or 0 if there is no hint.
func (reply *Reply) RetryAfter() time.Duration { return reply.spec.RetryAfter }

// Replayed reports whether an earlier execution under the same request id took
// effect, so that the Request was not executed again.
func (reply *Reply) Replayed() bool { return reply.spec.Replayed }

// Token returns the session token as of the end of the Request.
func (reply *Reply) Token() Token { return reply.spec.Token }

// TxState returns the state of the caller's transaction after the Request.
func (reply *Reply) TxState() TxState { return reply.spec.TxState }

// Answer returns the complete answer of the database, or nil if there is none.
func (reply *Reply) Answer() Payload { return reply.spec.Answer }

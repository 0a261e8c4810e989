package model

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
)

// Outcome is what is known about the effect of a request.
type Outcome int

// The outcomes of a request.
const (
	// OutcomeDone means that the request ran and its effect survives any single failure.
	OutcomeDone Outcome = iota
	// OutcomeNotRun means that it is proved that the request has no effect and never will.
	OutcomeNotRun
	// OutcomeUnknown means that neither could be proved in time.
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

// TxState is the state of a caller's transaction after an answer.
type TxState int

// The states of a caller's transaction.
const (
	// TxNone means that no transaction is open.
	TxNone TxState = iota
	// TxOpen means that a transaction is open.
	TxOpen
	// TxFailed means that the open transaction failed and only a rollback is accepted.
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

// Reply is the one and final answer to a Request. It is immutable.
type Reply struct {
	spec ReplySpec
}

// NewReply returns the Reply that spec describes.
func NewReply(spec ReplySpec) *Reply { return &Reply{spec: spec} }

// Seq returns the number of the Request that the Reply answers.
func (reply *Reply) Seq() RequestSeq { return reply.spec.Seq }

// Caller returns the connection that sent the Request.
func (reply *Reply) Caller() CallerID { return reply.spec.Caller }

// Outcome returns what is known about the effect of the Request.
func (reply *Reply) Outcome() Outcome { return reply.spec.Outcome }

// Code returns the result code: codes.OK, or codes.Statement when the Answer
// holds an error of the database.
func (reply *Reply) Code() codes.Code { return reply.spec.Code }

// Detail returns what a caller should know beyond the meaning of the Code.
func (reply *Reply) Detail() string { return reply.spec.Detail }

// RetryAfter returns when the caller may come back, or 0.
func (reply *Reply) RetryAfter() time.Duration { return reply.spec.RetryAfter }

// Replayed reports that an earlier execution under the same request id stands.
func (reply *Reply) Replayed() bool { return reply.spec.Replayed }

// Token returns the session token after the Request.
func (reply *Reply) Token() Token { return reply.spec.Token }

// TxState returns the state of the caller's transaction.
func (reply *Reply) TxState() TxState { return reply.spec.TxState }

// Answer returns the whole answer of the database, or nil.
func (reply *Reply) Answer() Payload { return reply.spec.Answer }

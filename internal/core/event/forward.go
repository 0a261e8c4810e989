package event

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
)

// Forward passes a statement on to another proxy. The answer is ForwardAnswered or
// ForwardFailed.
type Forward struct {
	id      model.ForwardID
	address string
	body    *model.Forward
	timeout time.Duration
}

// NewForward returns a Forward to the proxy at address.
func NewForward(id model.ForwardID, address string, body *model.Forward, timeout time.Duration) Forward {
	return Forward{id: id, address: address, body: body, timeout: timeout}
}

// ID returns the identifier of the call, which the answer repeats.
func (forward Forward) ID() model.ForwardID { return forward.id }

// Address returns the "ip:port" of the other proxy.
func (forward Forward) Address() string { return forward.address }

// Body returns the statement and what the other proxy has to know about it.
func (forward Forward) Body() *model.Forward { return forward.body }

// Timeout returns the time after which the call counts as failed.
func (forward Forward) Timeout() time.Duration { return forward.timeout }

func (Forward) isAction() {}

// EndForward tells another proxy to roll back a transaction, or to give up a statement. It has
// no answer.
type EndForward struct {
	from    model.ProxyView
	process uint64
	to      model.ProxyView
	number  uint64
	tx      model.ForwardTx
}

// NewEndForward returns an EndForward of a process of the proxy from. number is that of the call
// whose statement is given up, or 0; tx is the transaction that is rolled back, or zero.
func NewEndForward(from model.ProxyView, process uint64, to model.ProxyView, number uint64, tx model.ForwardTx) EndForward {
	return EndForward{from: from, process: process, to: to, number: number, tx: tx}
}

// From returns the proxy that forwarded the statement.
func (endForward EndForward) From() model.ProxyView { return endForward.from }

// Process returns the process of that proxy.
func (endForward EndForward) Process() uint64 { return endForward.process }

// To returns the other proxy.
func (endForward EndForward) To() model.ProxyView { return endForward.to }

// Number returns the number of the call whose statement is given up, or 0.
func (endForward EndForward) Number() uint64 { return endForward.number }

// Tx returns the transaction that is rolled back, or the zero ForwardTx.
func (endForward EndForward) Tx() model.ForwardTx { return endForward.tx }

func (EndForward) isAction() {}

// AnswerForward answers a forwarded statement that was received.
type AnswerForward struct {
	id    model.ForwardID
	reply *model.ForwardReply
}

// NewAnswerForward returns an AnswerForward.
func NewAnswerForward(id model.ForwardID, reply *model.ForwardReply) AnswerForward {
	return AnswerForward{id: id, reply: reply}
}

// ID returns the identifier of the call.
func (answerForward AnswerForward) ID() model.ForwardID { return answerForward.id }

// Reply returns the content of the answer.
func (answerForward AnswerForward) Reply() *model.ForwardReply { return answerForward.reply }

func (AnswerForward) isAction() {}

// RefuseForward refuses a forwarded statement that was received. Nothing of it ran.
type RefuseForward struct {
	id   model.ForwardID
	code codes.Code
}

// NewRefuseForward returns a RefuseForward.
func NewRefuseForward(id model.ForwardID, code codes.Code) RefuseForward {
	return RefuseForward{id: id, code: code}
}

// ID returns the identifier of the call.
func (refuseForward RefuseForward) ID() model.ForwardID { return refuseForward.id }

// Code returns the result code.
func (refuseForward RefuseForward) Code() codes.Code { return refuseForward.code }

func (RefuseForward) isAction() {}

// ForwardAnswered reports the answer to a forwarded statement. It answers Forward.
type ForwardAnswered struct {
	id    model.ForwardID
	reply *model.ForwardReply
}

// NewForwardAnswered returns a ForwardAnswered.
func NewForwardAnswered(id model.ForwardID, reply *model.ForwardReply) ForwardAnswered {
	return ForwardAnswered{id: id, reply: reply}
}

// ID returns the identifier of the call.
func (forwardAnswered ForwardAnswered) ID() model.ForwardID { return forwardAnswered.id }

// Reply returns the content of the answer.
func (forwardAnswered ForwardAnswered) Reply() *model.ForwardReply { return forwardAnswered.reply }

func (ForwardAnswered) isEvent() {}

// ForwardFailed reports that a forwarded statement got no usable answer. It answers Forward.
type ForwardFailed struct {
	id     model.ForwardID
	notRun bool
	reason string
	// rejected states that the statement itself was refused, which says nothing of the proxy.
	rejected bool
}

// NewForwardFailed returns a ForwardFailed. notRun states that the other proxy has run nothing.
// The reason is for the log.
func NewForwardFailed(id model.ForwardID, notRun bool, reason string) ForwardFailed {
	return ForwardFailed{id: id, notRun: notRun, reason: reason}
}

// ID returns the identifier of the call.
func (forwardFailed ForwardFailed) ID() model.ForwardID { return forwardFailed.id }

// NotRun reports whether it is certain that the other proxy has run nothing.
func (forwardFailed ForwardFailed) NotRun() bool { return forwardFailed.notRun }

// Reason returns the reason, for the log.
func (forwardFailed ForwardFailed) Reason() string { return forwardFailed.reason }

// WithRejected returns a copy that states that the statement itself was refused, which says nothing
// of the other proxy.
func (forwardFailed ForwardFailed) WithRejected() ForwardFailed {
	forwardFailed.rejected = true
	return forwardFailed
}

// Rejected reports whether the statement itself was refused.
func (forwardFailed ForwardFailed) Rejected() bool { return forwardFailed.rejected }

func (ForwardFailed) isEvent() {}

// ForwardReceived reports a statement that another proxy has forwarded. Its answer is
// AnswerForward or RefuseForward.
type ForwardReceived struct {
	id   model.ForwardID
	body *model.Forward
}

// NewForwardReceived returns a ForwardReceived.
func NewForwardReceived(id model.ForwardID, body *model.Forward) ForwardReceived {
	return ForwardReceived{id: id, body: body}
}

// ID returns the identifier of the call, which is unique among the received ones.
func (forwardReceived ForwardReceived) ID() model.ForwardID { return forwardReceived.id }

// Body returns the statement and what is known about it.
func (forwardReceived ForwardReceived) Body() *model.Forward { return forwardReceived.body }

func (ForwardReceived) isEvent() {}

// EndForwardReceived reports that another proxy has ended a transaction or given up a statement.
type EndForwardReceived struct {
	from    model.ProxyID
	process uint64
	to      model.ProxyID
	number  uint64
	tx      model.ForwardTx
}

// NewEndForwardReceived returns an EndForwardReceived with the fields of an EndForward.
func NewEndForwardReceived(from model.ProxyID, process uint64, to model.ProxyID, number uint64, tx model.ForwardTx) EndForwardReceived {
	return EndForwardReceived{from: from, process: process, to: to, number: number, tx: tx}
}

// From returns the proxy that forwarded the statement.
func (received EndForwardReceived) From() model.ProxyID { return received.from }

// Process returns the process of that proxy.
func (received EndForwardReceived) Process() uint64 { return received.process }

// To returns the proxy that the call is meant for.
func (received EndForwardReceived) To() model.ProxyID { return received.to }

// Number returns the number of the call whose statement is given up, or 0.
func (received EndForwardReceived) Number() uint64 { return received.number }

// Tx returns the transaction that is rolled back, or the zero ForwardTx.
func (received EndForwardReceived) Tx() model.ForwardTx { return received.tx }

func (EndForwardReceived) isEvent() {}

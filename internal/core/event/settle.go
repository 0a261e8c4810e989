package event

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
)

// Settle asks the proxy that orders promotions whether groups are settled. The answer is SettleAnswered
// or SettleFailed.
type Settle struct {
	id      model.SettleID
	from    model.ProxyView
	holder  model.ProxyView
	groups  []model.GroupTerm
	timeout time.Duration
}

// NewSettle returns a Settle.
func NewSettle(id model.SettleID, from model.ProxyView, holder model.ProxyView, groups []model.GroupTerm, timeout time.Duration) Settle {
	return Settle{id: id, from: from, holder: holder, groups: groups, timeout: timeout}
}

// ID returns the identifier of the call.
func (settle Settle) ID() model.SettleID { return settle.id }

// From returns the proxy that asks.
func (settle Settle) From() model.ProxyView { return settle.from }

// Holder returns the proxy that is asked.
func (settle Settle) Holder() model.ProxyView { return settle.holder }

// Groups returns the groups that are asked about, with the term of the newest commit that waits in
// each and the instance that acknowledged it.
func (settle Settle) Groups() []model.GroupTerm { return settle.groups }

// Timeout returns the time after which the call counts as failed.
func (settle Settle) Timeout() time.Duration { return settle.timeout }

func (Settle) isAction() {}

// AnswerSettle answers a call that was received.
type AnswerSettle struct {
	id         model.SettleID
	settlement model.Settlement
}

// NewAnswerSettle returns an AnswerSettle.
func NewAnswerSettle(id model.SettleID, settlement model.Settlement) AnswerSettle {
	return AnswerSettle{id: id, settlement: settlement}
}

// ID returns the identifier of the call.
func (answerSettle AnswerSettle) ID() model.SettleID { return answerSettle.id }

// Settlement returns the answer.
func (answerSettle AnswerSettle) Settlement() model.Settlement { return answerSettle.settlement }

func (AnswerSettle) isAction() {}

// RefuseSettle refuses a call that was received.
type RefuseSettle struct {
	id   model.SettleID
	code codes.Code
}

// NewRefuseSettle returns a RefuseSettle.
func NewRefuseSettle(id model.SettleID, code codes.Code) RefuseSettle {
	return RefuseSettle{id: id, code: code}
}

// ID returns the identifier of the call.
func (refuseSettle RefuseSettle) ID() model.SettleID { return refuseSettle.id }

// Code returns the reason.
func (refuseSettle RefuseSettle) Code() codes.Code { return refuseSettle.code }

func (RefuseSettle) isAction() {}

// SettleAnswered reports the answer to Settle.
type SettleAnswered struct {
	id         model.SettleID
	settlement model.Settlement
}

// NewSettleAnswered returns a SettleAnswered.
func NewSettleAnswered(id model.SettleID, settlement model.Settlement) SettleAnswered {
	return SettleAnswered{id: id, settlement: settlement}
}

// ID returns the identifier of the call.
func (settleAnswered SettleAnswered) ID() model.SettleID { return settleAnswered.id }

// Settlement returns the answer.
func (settleAnswered SettleAnswered) Settlement() model.Settlement { return settleAnswered.settlement }

func (SettleAnswered) isEvent() {}

// SettleFailed reports that Settle got no usable answer.
type SettleFailed struct {
	id          model.SettleID
	unsupported bool
	reason      string
}

// NewSettleFailed returns a SettleFailed.
func NewSettleFailed(id model.SettleID, unsupported bool, reason string) SettleFailed {
	return SettleFailed{id: id, unsupported: unsupported, reason: reason}
}

// ID returns the identifier of the call.
func (settleFailed SettleFailed) ID() model.SettleID { return settleFailed.id }

// Unsupported reports whether the proxy that was asked does not know the call.
func (settleFailed SettleFailed) Unsupported() bool { return settleFailed.unsupported }

// Reason returns the reason for the log.
func (settleFailed SettleFailed) Reason() string { return settleFailed.reason }

func (SettleFailed) isEvent() {}

// SettleReceived reports a call of another proxy. Its answer is AnswerSettle or RefuseSettle.
type SettleReceived struct {
	id     model.SettleID
	to     model.ProxyID
	groups []model.GroupTerm
}

// NewSettleReceived returns a SettleReceived.
func NewSettleReceived(id model.SettleID, to model.ProxyID, groups []model.GroupTerm) SettleReceived {
	return SettleReceived{id: id, to: to, groups: groups}
}

// ID returns the identifier of the call.
func (settleReceived SettleReceived) ID() model.SettleID { return settleReceived.id }

// To returns the proxy that the call is meant for.
func (settleReceived SettleReceived) To() model.ProxyID { return settleReceived.to }

// Groups returns the groups that are asked about, with the term of the newest commit that waits in
// each and the instance that acknowledged it.
func (settleReceived SettleReceived) Groups() []model.GroupTerm { return settleReceived.groups }

func (SettleReceived) isEvent() {}

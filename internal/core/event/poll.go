package event

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
)

// SendPoll polls another proxy at an address. The answer is PollAnswered or PollFailed.
type SendPoll struct {
	id      model.PollID
	address string
	poll    model.Poll
	timeout time.Duration
}

// NewSendPoll returns a SendPoll.
func NewSendPoll(id model.PollID, address string, poll model.Poll, timeout time.Duration) SendPoll {
	return SendPoll{id: id, address: address, poll: poll, timeout: timeout}
}

// ID returns the identifier of the poll, which the answer repeats.
func (sendPoll SendPoll) ID() model.PollID { return sendPoll.id }

// Address returns the "ip:port" of the proxy.
func (sendPoll SendPoll) Address() string { return sendPoll.address }

// Poll returns the poll.
func (sendPoll SendPoll) Poll() model.Poll { return sendPoll.poll }

// Timeout returns the time after which the poll counts as failed.
func (sendPoll SendPoll) Timeout() time.Duration { return sendPoll.timeout }

func (SendPoll) isAction() {}

// AnswerPoll answers a poll that was received.
type AnswerPoll struct {
	id    model.PollID
	reply model.PollReply
}

// NewAnswerPoll returns an AnswerPoll.
func NewAnswerPoll(id model.PollID, reply model.PollReply) AnswerPoll {
	return AnswerPoll{id: id, reply: reply}
}

// ID returns the identifier of the poll.
func (answerPoll AnswerPoll) ID() model.PollID { return answerPoll.id }

// Reply returns the answer.
func (answerPoll AnswerPoll) Reply() model.PollReply { return answerPoll.reply }

func (AnswerPoll) isAction() {}

// RefusePoll refuses a poll that was received.
type RefusePoll struct {
	id   model.PollID
	code codes.Code
}

// NewRefusePoll returns a RefusePoll.
func NewRefusePoll(id model.PollID, code codes.Code) RefusePoll {
	return RefusePoll{id: id, code: code}
}

// ID returns the identifier of the poll.
func (refusePoll RefusePoll) ID() model.PollID { return refusePoll.id }

// Code returns the result code.
func (refusePoll RefusePoll) Code() codes.Code { return refusePoll.code }

func (RefusePoll) isAction() {}

// PollAnswered reports the answer to a poll. It answers SendPoll.
type PollAnswered struct {
	id    model.PollID
	reply model.PollReply
}

// NewPollAnswered returns a PollAnswered.
func NewPollAnswered(id model.PollID, reply model.PollReply) PollAnswered {
	return PollAnswered{id: id, reply: reply}
}

// ID returns the identifier of the poll.
func (pollAnswered PollAnswered) ID() model.PollID { return pollAnswered.id }

// Reply returns the answer.
func (pollAnswered PollAnswered) Reply() model.PollReply { return pollAnswered.reply }

func (PollAnswered) isEvent() {}

// PollFailed reports that a poll got no usable answer. It answers SendPoll.
type PollFailed struct {
	id     model.PollID
	gone   bool
	reason string
}

// NewPollFailed returns a PollFailed. gone reports that there is no process at the address, or
// that it is not the proxy that was polled. The reason is for the log.
func NewPollFailed(id model.PollID, gone bool, reason string) PollFailed {
	return PollFailed{id: id, gone: gone, reason: reason}
}

// ID returns the identifier of the poll.
func (pollFailed PollFailed) ID() model.PollID { return pollFailed.id }

// Gone reports that the proxy that was polled does not run at the address.
func (pollFailed PollFailed) Gone() bool { return pollFailed.gone }

// Reason returns the reason, for the log.
func (pollFailed PollFailed) Reason() string { return pollFailed.reason }

func (PollFailed) isEvent() {}

// PollReceived reports a poll of another proxy. Its answer is AnswerPoll or RefusePoll.
type PollReceived struct {
	id   model.PollID
	poll model.Poll
}

// NewPollReceived returns a PollReceived.
func NewPollReceived(id model.PollID, poll model.Poll) PollReceived {
	return PollReceived{id: id, poll: poll}
}

// ID returns the identifier of the poll, which is unique among the received ones.
func (pollReceived PollReceived) ID() model.PollID { return pollReceived.id }

// Poll returns the poll.
func (pollReceived PollReceived) Poll() model.Poll { return pollReceived.poll }

func (PollReceived) isEvent() {}

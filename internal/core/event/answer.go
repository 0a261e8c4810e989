package event

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
)

// AcceptCaller lets a caller send requests.
type AcceptCaller struct {
	caller model.CallerID
}

// NewAcceptCaller returns a AcceptCaller.
func NewAcceptCaller(caller model.CallerID) AcceptCaller {
	return AcceptCaller{caller: caller}
}

// Caller returns the caller's connection.
func (acceptCaller AcceptCaller) Caller() model.CallerID { return acceptCaller.caller }

func (AcceptCaller) isAction() {}

// RefuseCaller ends a caller's start-up with an error and closes the connection.
type RefuseCaller struct {
	caller     model.CallerID
	code       codes.Code
	detail     string
	retryAfter time.Duration
}

// NewRefuseCaller returns a RefuseCaller.
func NewRefuseCaller(caller model.CallerID, code codes.Code, detail string, retryAfter time.Duration) RefuseCaller {
	return RefuseCaller{caller: caller, code: code, detail: detail, retryAfter: retryAfter}
}

// Caller returns the caller's connection.
func (refuseCaller RefuseCaller) Caller() model.CallerID { return refuseCaller.caller }

// Code returns why.
func (refuseCaller RefuseCaller) Code() codes.Code { return refuseCaller.code }

// Detail returns what a caller should know beyond the meaning of the code.
func (refuseCaller RefuseCaller) Detail() string { return refuseCaller.detail }

// RetryAfter returns when to come back, or 0.
func (refuseCaller RefuseCaller) RetryAfter() time.Duration { return refuseCaller.retryAfter }

func (RefuseCaller) isAction() {}

// CloseCaller closes a caller's connection with an error once its last answer is sent.
type CloseCaller struct {
	caller model.CallerID
	code   codes.Code
}

// NewCloseCaller returns a CloseCaller.
func NewCloseCaller(caller model.CallerID, code codes.Code) CloseCaller {
	return CloseCaller{caller: caller, code: code}
}

// Caller returns the caller's connection.
func (closeCaller CloseCaller) Caller() model.CallerID { return closeCaller.caller }

// Code returns why.
func (closeCaller CloseCaller) Code() codes.Code { return closeCaller.code }

func (CloseCaller) isAction() {}

// AnswerCaller gives a request its one and final answer.
type AnswerCaller struct {
	reply *model.Reply
}

// NewAnswerCaller returns a AnswerCaller.
func NewAnswerCaller(reply *model.Reply) AnswerCaller {
	return AnswerCaller{reply: reply}
}

// Reply returns the answer.
func (answerCaller AnswerCaller) Reply() *model.Reply { return answerCaller.reply }

func (AnswerCaller) isAction() {}

package event

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
)

// AcceptCaller completes a caller's start-up, so that it can send requests.
type AcceptCaller struct {
	caller model.CallerID
}

// NewAcceptCaller returns an AcceptCaller.
func NewAcceptCaller(caller model.CallerID) AcceptCaller {
	return AcceptCaller{caller: caller}
}

// Caller returns the identifier of the caller's connection.
func (acceptCaller AcceptCaller) Caller() model.CallerID { return acceptCaller.caller }

func (AcceptCaller) isAction() {}

// RefuseCaller ends a caller's start-up with an error and closes the connection.
type RefuseCaller struct {
	caller     model.CallerID
	code       codes.Code
	detail     string
	retryAfter time.Duration
}

// NewRefuseCaller returns a RefuseCaller. retryAfter is 0 if the error carries no retry
// hint.
func NewRefuseCaller(caller model.CallerID, code codes.Code, detail string, retryAfter time.Duration) RefuseCaller {
	return RefuseCaller{caller: caller, code: code, detail: detail, retryAfter: retryAfter}
}

// Caller returns the identifier of the caller's connection.
func (refuseCaller RefuseCaller) Caller() model.CallerID { return refuseCaller.caller }

// Code returns the result code of the error.
func (refuseCaller RefuseCaller) Code() codes.Code { return refuseCaller.code }

// Detail returns information for the caller beyond the meaning of the code.
func (refuseCaller RefuseCaller) Detail() string { return refuseCaller.detail }

// RetryAfter returns the delay after which the caller may try again, or 0 for no hint.
func (refuseCaller RefuseCaller) RetryAfter() time.Duration { return refuseCaller.retryAfter }

func (RefuseCaller) isAction() {}

// CloseCaller closes a caller's connection with an error after its last answer is sent.
type CloseCaller struct {
	caller model.CallerID
	code   codes.Code
}

// NewCloseCaller returns a CloseCaller.
func NewCloseCaller(caller model.CallerID, code codes.Code) CloseCaller {
	return CloseCaller{caller: caller, code: code}
}

// Caller returns the identifier of the caller's connection.
func (closeCaller CloseCaller) Caller() model.CallerID { return closeCaller.caller }

// Code returns the result code of the error.
func (closeCaller CloseCaller) Code() codes.Code { return closeCaller.code }

func (CloseCaller) isAction() {}

// AnswerCaller sends the answer to a request. Each request has exactly one answer.
type AnswerCaller struct {
	reply *model.Reply
}

// NewAnswerCaller returns an AnswerCaller.
func NewAnswerCaller(reply *model.Reply) AnswerCaller {
	return AnswerCaller{reply: reply}
}

// Reply returns the answer, which names the caller and the request.
func (answerCaller AnswerCaller) Reply() *model.Reply { return answerCaller.reply }

func (AnswerCaller) isAction() {}

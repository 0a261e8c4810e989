package event

import (
	"almondway.dev/almondway/internal/core/model"
)

// CallerOpened reports that a caller completed its part of the start-up. The answer is
// AcceptCaller or RefuseCaller.
type CallerOpened struct {
	caller     model.CallerID
	deployment string
	class      string
	key        model.KeyDigest
}

// NewCallerOpened returns a CallerOpened. deployment is the requested database name and
// class the user name.
func NewCallerOpened(caller model.CallerID, deployment string, class string) CallerOpened {
	return CallerOpened{caller: caller, deployment: deployment, class: class}
}

// WithKey returns a copy with the digest of the key that the caller showed.
func (callerOpened CallerOpened) WithKey(key model.KeyDigest) CallerOpened {
	callerOpened.key = key
	return callerOpened
}

// Key returns the digest of the key that the caller showed.
func (callerOpened CallerOpened) Key() model.KeyDigest { return callerOpened.key }

// Caller returns the identifier of the caller's connection.
func (callerOpened CallerOpened) Caller() model.CallerID { return callerOpened.caller }

// Deployment returns the database name that the caller requested.
func (callerOpened CallerOpened) Deployment() string { return callerOpened.deployment }

// Class returns the user name, which selects one of the deployment's caller classes.
func (callerOpened CallerOpened) Class() string { return callerOpened.class }

func (CallerOpened) isEvent() {}

// CallerClosed reports that a caller's connection is closed.
type CallerClosed struct {
	caller model.CallerID
}

// NewCallerClosed returns a CallerClosed.
func NewCallerClosed(caller model.CallerID) CallerClosed {
	return CallerClosed{caller: caller}
}

// Caller returns the identifier of the caller's connection.
func (callerClosed CallerClosed) Caller() model.CallerID { return callerClosed.caller }

func (CallerClosed) isEvent() {}

// RequestReceived reports a caller's request. The answer is exactly one AnswerCaller.
type RequestReceived struct {
	request *model.Request
}

// NewRequestReceived returns a RequestReceived.
func NewRequestReceived(request *model.Request) RequestReceived {
	return RequestReceived{request: request}
}

// Request returns the request.
func (requestReceived RequestReceived) Request() *model.Request { return requestReceived.request }

func (RequestReceived) isEvent() {}

// CancelReceived reports that a caller asks to cancel its running request.
type CancelReceived struct {
	caller model.CallerID
}

// NewCancelReceived returns a CancelReceived.
func NewCancelReceived(caller model.CallerID) CancelReceived {
	return CancelReceived{caller: caller}
}

// Caller returns the caller whose request is to be canceled.
func (cancelReceived CancelReceived) Caller() model.CallerID { return cancelReceived.caller }

func (CancelReceived) isEvent() {}

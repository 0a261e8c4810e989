// Package admin serves the administration API. It posts each call to the kernel
// as an event and sends the kernel's result back as the response.
package admin

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/port"
	"almondway.dev/almondway/internal/core/state"
	"almondway.dev/almondway/internal/proto/admpb"
)

const (
	// kernelTimeout bounds the wait for the kernel's result of one call.
	kernelTimeout = 10 * time.Second
	// watchPollInterval is the interval between checks of the revision in force.
	watchPollInterval = 200 * time.Millisecond
	timeoutRetryAfter = time.Second
	// compressMinBytes is the size from which a response is compressed.
	compressMinBytes = 4096
	// maxRequestBytes limits the size of a request message.
	maxRequestBytes = 4 << 20
)

// Inspector gives read access to the shared state of the kernel.
type Inspector interface {
	// Inspect calls read with the state and waits until read has returned. read must
	// not change the state. If Inspect returns an error, read has not been called.
	Inspect(ctx context.Context, read func(shared *state.State)) error
}

// Logging holds the log settings that operators may change at run time.
type Logging interface {
	Level() string
	SetLevel(level string) error
	Sample() int
	SetSample(sample int) error
}

// Spec holds the parameters and dependencies of an Admin.
type Spec struct {
	Proxy     model.ProxyID
	Version   string
	Started   time.Time
	Settings  []*admpb.Setting
	Tokens    *Tokens
	Inspector Inspector
	Logging   Logging
	// Drain starts the shutdown of the proxy, which completes requests in flight
	// first. It does not wait for the end.
	Drain func()
}

// Admin implements port.Operators and the AdminService. It is safe for concurrent use.
type Admin struct {
	spec       Spec
	inbox      port.Inbox
	lastCallID atomic.Uint64

	mutex   sync.Mutex
	pending map[model.AdminCallID]chan event.Result
}

var (
	_ admpb.AdminServiceHandler = (*Admin)(nil)
	_ port.Operators            = (*Admin)(nil)
)

// New returns an Admin that posts operators' commands to inbox.
func New(spec Spec, inbox port.Inbox) *Admin {
	return &Admin{spec: spec, inbox: inbox, pending: make(map[model.AdminCallID]chan event.Result)}
}

// Handler returns the path and the handler of the AdminService.
func (admin *Admin) Handler() (string, http.Handler) {
	return admpb.NewAdminServiceHandler(admin,
		connect.WithInterceptors(authInterceptor{tokens: admin.spec.Tokens}),
		connect.WithCompressMinBytes(compressMinBytes),
		connect.WithReadMaxBytes(maxRequestBytes))
}

// Answer implements port.Operators. It drops the result of a call that has already
// returned, for example after a timeout, and any second result of a call.
func (admin *Admin) Answer(action event.AnswerOperator) {
	admin.mutex.Lock()
	results, ok := admin.pending[action.CallID()]
	delete(admin.pending, action.CallID())
	admin.mutex.Unlock()
	if ok {
		results <- action.Result()
	}
}

// execute posts a command to the kernel and waits for its result. timeoutCode is the
// code of the error that is returned if no result arrives in time.
func (admin *Admin) execute(ctx context.Context, command event.Command, timeoutCode codes.Code) (event.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, kernelTimeout)
	defer cancel()
	callID := model.AdminCallID(admin.lastCallID.Add(1))
	results := make(chan event.Result, 1)
	admin.mutex.Lock()
	admin.pending[callID] = results
	admin.mutex.Unlock()
	admin.inbox.Post(event.NewCommandReceived(callID, command))
	select {
	case result := <-results:
		if failed, ok := result.(event.CommandFailed); ok {
			return nil, newCommandError(failed)
		}
		return result, nil
	case <-ctx.Done():
		admin.mutex.Lock()
		delete(admin.pending, callID)
		admin.mutex.Unlock()
		return nil, newError(timeoutCode, "the proxy did not answer in time", timeoutRetryAfter)
	}
}

// unexpectedResult returns the error for a result whose type does not match the command.
func unexpectedResult(result event.Result) error {
	return newError(codes.Internal, fmt.Sprintf("unexpected result type %T from the kernel", result), 0)
}

// inspect calls read with the shared state of the kernel, within kernelTimeout.
func (admin *Admin) inspect(ctx context.Context, read func(shared *state.State)) error {
	ctx, cancel := context.WithTimeout(ctx, kernelTimeout)
	defer cancel()
	if err := admin.spec.Inspector.Inspect(ctx, read); err != nil {
		return newError(codes.DeadlineExceeded, "the proxy did not answer in time", timeoutRetryAfter)
	}
	return nil
}

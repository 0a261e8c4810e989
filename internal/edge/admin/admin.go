// Package admin serves the administration API. Calls become events of the
// kernel; its answers become responses.
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
	// kernelTimeout is the time after which the kernel's answer is no longer waited for.
	kernelTimeout = 10 * time.Second
	// watchPollInterval is the time between two looks at the revision in force.
	watchPollInterval = 200 * time.Millisecond
	timeoutRetryAfter = time.Second
	// compressMinBytes is the size from which an answer is compressed.
	compressMinBytes = 4096
	// maxRequestBytes is the size of the largest request that is read.
	maxRequestBytes = 4 << 20
)

// Inspector looks at the shared state of the kernel.
type Inspector interface {
	Inspect(ctx context.Context, look func(shared *state.State)) error
}

// Logging is the part of the log that operators may change.
type Logging interface {
	Level() string
	SetLevel(level string) error
	Sample() int
	SetSample(sample int) error
}

// Spec lists what an Admin needs.
type Spec struct {
	Proxy     model.ProxyID
	Version   string
	Started   time.Time
	Settings  []*admpb.Setting
	Tokens    *Tokens
	Inspector Inspector
	Logging   Logging
	// Drain lets the proxy finish what is in flight and stop.
	Drain func()
}

// Admin implements port.Operators and the AdminService. It may be used by several goroutines.
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

// New returns an Admin that posts what operators ask to inbox.
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

// Answer implements port.Operators. An answer that nobody waits for is dropped.
func (admin *Admin) Answer(action event.AnswerOperator) {
	admin.mutex.Lock()
	waiting, ok := admin.pending[action.CommandID()]
	delete(admin.pending, action.CommandID())
	admin.mutex.Unlock()
	if ok {
		waiting <- action.Result()
	}
}

// execute posts a command and waits for its result. late is the code of a result
// that does not come in time.
func (admin *Admin) execute(ctx context.Context, command event.Command, late codes.Code) (event.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, kernelTimeout)
	defer cancel()
	ask := model.AdminCallID(admin.lastCallID.Add(1))
	waiting := make(chan event.Result, 1)
	admin.mutex.Lock()
	admin.pending[ask] = waiting
	admin.mutex.Unlock()
	admin.inbox.Post(event.NewCommandReceived(ask, command))
	select {
	case result := <-waiting:
		if refused, ok := result.(event.CommandFailed); ok {
			return nil, newCommandError(refused)
		}
		return result, nil
	case <-ctx.Done():
		admin.mutex.Lock()
		delete(admin.pending, ask)
		admin.mutex.Unlock()
		return nil, newError(late, "the proxy gave no answer in time", timeoutRetryAfter)
	}
}

// unexpectedResult is the error of a result that does not belong to its command.
func unexpectedResult(result event.Result) error {
	return newError(codes.Internal, fmt.Sprintf("unexpected result %T of the kernel", result), 0)
}

// inspect looks at the shared state for one call.
func (admin *Admin) inspect(ctx context.Context, look func(shared *state.State)) error {
	ctx, cancel := context.WithTimeout(ctx, kernelTimeout)
	defer cancel()
	if err := admin.spec.Inspector.Inspect(ctx, look); err != nil {
		return newError(codes.DeadlineExceeded, "the proxy gave no answer in time", timeoutRetryAfter)
	}
	return nil
}

// Package sessn manages the sessions of the callers. It validates requests, tracks the
// state of transactions and answers each request exactly once.
package sessn

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

func init() {
	kern.Register("sessn", kern.RankSessions, New, kern.ProfileStandalone, kern.ProfileHosted)
}

// Sessions holds the callers of the proxy and their running requests.
type Sessions struct {
	context *kern.Context
	callers map[model.CallerID]*caller
	runners map[model.Access]route.Runner
	quota   route.Quota // or nil
	// drainEnd is the time at which a shutdown ends what is in flight, or 0.
	drainEnd time.Duration
	ended    bool // by the shutdown
}

// New returns the plug-in. It provides the service route.Sessions.
func New(context *kern.Context) kern.Plugin {
	sessions := &Sessions{
		context: context,
		callers: make(map[model.CallerID]*caller),
		runners: make(map[model.Access]route.Runner),
	}
	sessions.quota, _ = context.Service(route.QuotaService).(route.Quota)
	context.ProvideService(route.SessionsService, sessions)
	return sessions
}

// Handle implements kern.Plugin.
func (sessions *Sessions) Handle(received event.Event) {
	switch received := received.(type) {
	case event.CallerOpened:
		sessions.callerOpened(received)
	case event.RequestReceived:
		sessions.requestReceived(received.Request())
	case event.CancelReceived:
		sessions.cancel(received.Caller())
	case event.CallerClosed:
		sessions.callerClosed(received.Caller())
	case event.CatalogChanged:
		sessions.closeWithdrawn()
	case event.DrainStarted:
		sessions.drainEnd = received.End()
	}
}

// RegisterRunner implements route.Sessions.
func (sessions *Sessions) RegisterRunner(access model.Access, runner route.Runner) {
	sessions.runners[access] = runner
}

// InFlight implements route.Sessions.
func (sessions *Sessions) InFlight() int {
	count := 0
	for _, caller := range sessions.callers {
		if caller.job != nil || caller.inTx {
			count++
		}
	}
	return count
}

func (sessions *Sessions) runner(access model.Access) route.Runner { return sessions.runners[access] }

func (sessions *Sessions) callerOpened(opened event.CallerOpened) {
	if code, detail := sessions.checkCaller(opened); code != codes.OK {
		sessions.context.Emit(event.NewLogDecision(model.Decision{
			Name:       "refuse_caller",
			Caller:     opened.Caller(),
			Deployment: opened.Deployment(),
			Reason:     detail,
			Code:       code,
		}))
		sessions.context.Emit(event.NewRefuseCaller(opened.Caller(), code, detail, refusedRetryAfter))
		return
	}
	added := &caller{
		id:         opened.Caller(),
		deployment: opened.Deployment(),
		class:      opened.Class(),
		key:        opened.Key(),
	}
	added.expire = func() { sessions.expire(added) }
	sessions.callers[added.id] = added
	sessions.context.Emit(event.NewAcceptCaller(opened.Caller()))
}

func (sessions *Sessions) checkCaller(opened event.CallerOpened) (codes.Code, string) {
	state := sessions.context.State()
	if state.Draining() {
		return codes.Draining, ""
	}
	if !state.Confirmed() {
		return codes.RevisionUnconfirmed, ""
	}
	deployment, ok := state.Deployment(opened.Deployment())
	if _, refused := sessions.identify(deployment, opened.Key()); refused.code != codes.OK {
		return refused.code, refused.detail
	}
	if !ok {
		return codes.UnknownDeployment, opened.Deployment()
	}
	if _, ok := deployment.Class(opened.Class()); !ok {
		return codes.UnknownCaller, opened.Class()
	}
	return codes.OK, ""
}

// requestReceived starts a request, or queues it if a request of the same caller is
// running.
func (sessions *Sessions) requestReceived(request *model.Request) {
	caller, ok := sessions.callers[request.Caller()]
	if !ok {
		return
	}
	if caller.job != nil {
		caller.queue = append(caller.queue, request)
		return
	}
	sessions.dispatch(caller, request)
}

func (sessions *Sessions) cancel(id model.CallerID) {
	caller, ok := sessions.callers[id]
	if ok && caller.job != nil {
		sessions.runner(caller.access).Cancel(caller.job)
	}
}

func (sessions *Sessions) callerClosed(id model.CallerID) {
	caller, ok := sessions.callers[id]
	if !ok {
		return
	}
	delete(sessions.callers, id)
	sessions.context.Timers().Cancel(caller.deadlineTimer)
	sessions.context.Timers().Cancel(caller.idleTimer)
	switch {
	case caller.job != nil:
		sessions.cancelTokenWait(caller)
		sessions.runner(caller.access).Abandon(caller.job)
	case caller.tx != nil:
		sessions.runner(caller.tx.Access()).Rollback(caller.tx)
	}
}

// Package drain shuts the proxy down gracefully. The proxy accepts no new work, waits
// until the requests in flight and its promotions in progress are finished, and stops. Requests
// that are not finished by the drain limit are ended with an answer before. Other plug-ins hand
// over their tasks to other proxies on event.DrainStarted.
package drain

import (
	"cmp"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

const (
	checkInterval = 20 * time.Millisecond
	// minIdleChecks is the number of consecutive checks without work in flight after
	// which the proxy stops. In this time the last answers are sent, and the load balancer
	// and the other proxies learn of the shutdown. Checks are counted instead of time, so
	// that a proxy whose process was paused reads the events received meanwhile before it
	// stops.
	minIdleChecks = 10
	// maxCheckGap is the time between two checks above which the process was paused. The
	// first check after a pause does not count, since it runs before the events that were
	// received meanwhile.
	maxCheckGap = 2 * checkInterval

	deployService   = "deploy"
	failoverService = "failov"
)

// inFlightCounter is the service of a plug-in that handles requests of callers or changes
// of operators.
type inFlightCounter interface {
	// InFlight returns the number of unfinished requests, transactions or changes.
	InFlight() int
}

// requestEnder is the service of the plug-in that answers the requests of callers.
type requestEnder interface {
	// EndRequests answers all unfinished requests and aborts the open transactions.
	EndRequests()
}

// failover is the service of the plug-in that orders promotions.
type failover interface {
	// PromotionInProgress reports whether this proxy runs a promotion or a switchover that
	// it should finish before it stops.
	PromotionInProgress() bool
}

func init() {
	kern.Register("drain", kern.RankDrain, func(context *kern.Context) kern.Plugin {
		return New(context)
	}, kern.ProfileStandalone, kern.ProfileHosted)
}

// Drain is the plug-in that carries out the shutdown.
type Drain struct {
	context    *kern.Context
	started    bool
	endAt      time.Duration // of the drain limit
	checkedAt  time.Duration // time of the last check
	idleChecks int           // consecutive checks without work in flight
}

// New returns the plug-in. It is inactive until event.ShutdownRequested.
func New(context *kern.Context) *Drain { return &Drain{context: context} }

// Handle implements kern.Plugin.
func (drain *Drain) Handle(received event.Event) {
	if requested, ok := received.(event.ShutdownRequested); ok {
		drain.start(cmp.Or(requested.RequestedAt(), drain.context.Now()) + requested.Limit())
	}
}

// start starts to drain. While the proxy drains, a further request can only move the end forward.
func (drain *Drain) start(endAt time.Duration) {
	if drain.started {
		drain.endAt = min(drain.endAt, endAt)
		return
	}
	drain.started = true
	drain.checkedAt = drain.context.Now()
	drain.endAt = endAt
	drain.context.State().SetDraining()
	drain.context.Publish(event.NewDrainStarted(drain.endAt))
	drain.log("drain_started", "shutdown was requested")
	drain.context.Timers().After(checkInterval, drain.check)
}

// check stops the proxy after minIdleChecks checks without work in flight, or when the
// drain limit has passed.
func (drain *Drain) check() {
	now := drain.context.Now()
	switch {
	case drain.busy():
		drain.idleChecks = 0
	case now-drain.checkedAt <= maxCheckGap:
		drain.idleChecks++
	}
	drain.checkedAt = now
	switch {
	case drain.idleChecks >= minIdleChecks:
		drain.stop("nothing is in flight")
	case now >= drain.endAt:
		if ender, ok := drain.context.Service(route.SessionsService).(requestEnder); ok {
			ender.EndRequests()
		}
		drain.stop("the drain limit has passed")
	default:
		drain.context.Timers().After(min(checkInterval, drain.endAt-now), drain.check)
	}
}

func (drain *Drain) busy() bool {
	for _, name := range []string{route.SessionsService, route.HoldersService, deployService} {
		if counter, ok := drain.context.Service(name).(inFlightCounter); ok && counter.InFlight() > 0 {
			return true
		}
	}
	failover, ok := drain.context.Service(failoverService).(failover)
	return ok && failover.PromotionInProgress()
}

func (drain *Drain) stop(reason string) {
	drain.log("drain_finished", reason)
	drain.context.Emit(event.NewStopProxy())
}

func (drain *Drain) log(name, reason string) {
	drain.context.Emit(event.NewLogDecision(model.Decision{
		Name:   name,
		Proxy:  drain.context.State().Self().ID(),
		Reason: reason,
	}))
}

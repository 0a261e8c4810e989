// Package drain is the plug-in that shuts the proxy down: it takes no new work,
// finishes what is in flight, hands over what it was driving, and stops.
package drain

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

const (
	checkInterval = 20 * time.Millisecond
	// minIdleChecks is how many checks in a row have to find nothing in flight
	// before the proxy stops, so that the last answers are sent and the balancer
	// and the other proxies have noticed. Checks are counted instead of time, so
	// that a proxy that was paused reads what came in meanwhile before it stops.
	minIdleChecks = 10

	deployService   = "deploy"
	failoverService = "failov"
)

// inFlightCounter is the service of a plug-in that answers callers or operators.
type inFlightCounter interface {
	// InFlight returns how many requests, transactions or changes are not finished.
	InFlight() int
}

// failover is the service of the plug-in that orders promotions.
type failover interface {
	// Driving reports whether a promotion is under way.
	Driving() bool
}

func init() {
	kern.Register("drain", kern.RankDrain, func(context *kern.Context) kern.Plugin {
		return New(context)
	}, kern.ProfileStandalone, kern.ProfileHosted)
}

// Drain is the plug-in.
type Drain struct {
	context    *kern.Context
	started    bool
	startedAt  time.Duration
	idleChecks int // how many checks in a row found nothing in flight
}

// New returns the plug-in of the kernel that context belongs to.
func New(context *kern.Context) *Drain { return &Drain{context: context} }

// Handle implements kern.Plugin.
func (drain *Drain) Handle(received event.Event) {
	if _, ok := received.(event.ShutdownRequested); ok {
		drain.start()
	}
}

func (drain *Drain) start() {
	if drain.started {
		return
	}
	drain.started = true
	drain.startedAt = drain.context.Now()
	drain.context.State().SetDraining()
	drain.context.Publish(event.NewDrainStarted())
	drain.log("drain_started", "shutdown was asked for")
	drain.context.Timers().After(checkInterval, drain.check)
}

// check stops the proxy once nothing is in flight any more, or when the drain
// limit has passed.
func (drain *Drain) check() {
	drain.idleChecks++
	if drain.busy() {
		drain.idleChecks = 0
	}
	waited := drain.context.Now() - drain.startedAt
	switch {
	case drain.idleChecks >= minIdleChecks:
		drain.stop("nothing is in flight")
	case waited >= drain.context.Settings().DrainLimit():
		drain.stop("the drain limit has passed")
	default:
		drain.context.Timers().After(checkInterval, drain.check)
	}
}

func (drain *Drain) busy() bool {
	for _, name := range []string{route.SessionsService, deployService} {
		if worker, ok := drain.context.Service(name).(inFlightCounter); ok && worker.InFlight() > 0 {
			return true
		}
	}
	failover, ok := drain.context.Service(failoverService).(failover)
	return ok && failover.Driving()
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

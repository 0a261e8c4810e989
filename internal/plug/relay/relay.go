// Package relay runs the statements of groups whose instances acknowledge commits
// themselves. The answer of such an instance is final, so every decision is made before a
// statement is sent: which instance may run it, and which mark the instance's log must
// cover.
package relay

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/state"
	"almondway.dev/almondway/internal/core/timer"
)

func init() { kern.Register("relay", kern.RankReads, New, kern.ProfileHosted) }

// Relay is the plug-in that runs statements and transactions. It implements route.Runner.
type Relay struct {
	context        *kern.Context
	sessions       route.Sessions
	conns          route.Conns
	admission      route.Admission
	fleet          route.Fleet
	forwards       route.Forwards      // or nil
	spread         route.Spread        // or nil
	confirmations  route.Confirmations // or nil
	runningBySeq   map[model.RequestSeq]*task
	runningByGroup *route.RunningRequests
	monitors       map[model.GroupID]*monitor
	failedAt       map[model.InstanceID]time.Duration // when an instance last failed to answer
	answeredAt     map[model.InstanceID]time.Duration // when an instance last answered
	missingMarks   map[model.InstanceID]missingMark
	pace           *timer.Pace // of refreshMarks
}

// missingMark is a mark that the log of an instance did not cover at the given time.
type missingMark struct {
	mark model.Mark
	at   time.Duration
}

// New returns the plug-in and registers it as the runner for every access mode.
func New(context *kern.Context) kern.Plugin {
	relay := &Relay{
		context:        context,
		sessions:       context.Service(route.SessionsService).(route.Sessions),
		conns:          context.Service(route.ConnsService).(route.Conns),
		admission:      context.Service(route.AdmissionService).(route.Admission),
		fleet:          context.Service(route.FleetService).(route.Fleet),
		runningBySeq:   make(map[model.RequestSeq]*task),
		runningByGroup: route.NewRunningRequests(),
		monitors:       make(map[model.GroupID]*monitor),
		failedAt:       make(map[model.InstanceID]time.Duration),
		answeredAt:     make(map[model.InstanceID]time.Duration),
		missingMarks:   make(map[model.InstanceID]missingMark),
	}
	relay.forwards, _ = context.Service(route.ForwardsService).(route.Forwards)
	relay.confirmations, _ = context.Service(route.ConfirmationsService).(route.Confirmations)
	relay.spread, _ = context.Service(route.SpreadService).(route.Spread)
	relay.sessions.RegisterRunner(model.AccessEither, relay)
	relay.pace = context.Timers().Pace(refreshInterval, relay.refreshMarks)
	return relay
}

// Handle implements kern.Plugin.
func (relay *Relay) Handle(received event.Event) {
	switch received := received.(type) {
	case event.GroupObserved:
		relay.recheckGroup(received.Group())
	case event.TermChanged:
		relay.recheckGroup(received.Group())
	case event.CatalogChanged:
		relay.pace.Wake()
		relay.refuseWithdrawn()
	case event.InstanceRestarted:
		delete(relay.failedAt, received.Instance())
		delete(relay.missingMarks, received.Instance())
	case event.InstancesListed, event.InstanceListed:
		relay.pace.Wake()
	}
}

// recheckGroup continues the waiting tasks of a group after a change of the group's state.
func (relay *Relay) recheckGroup(id model.GroupID) {
	if relay.context.State().Group(id) == nil {
		return
	}
	relay.monitor(id).clearReplaced()
	for _, item := range relay.runningByGroup.InGroup(id) {
		if waiting := item.(*task); waiting.state == taskAwaitingInstance {
			waiting.acquire()
		}
	}
}

// Start implements route.Runner.
func (relay *Relay) Start(job *route.Job) {
	relay.pace.Wake()
	started := newTask(relay, job)
	relay.runningBySeq[job.Seq()] = started
	relay.runningByGroup.Add(started)
	if tx := job.Tx(); tx != nil && tx.Opened() {
		started.resume()
		return
	}
	if !started.refuseUnconfirmed() {
		started.acquire()
	}
}

// Expire implements route.Runner.
func (relay *Relay) Expire(job *route.Job) {
	if running, ok := relay.runningBySeq[job.Seq()]; ok {
		running.expire()
	}
}

// Cancel implements route.Runner. The statement continues, because the instances of these
// groups have no request to cancel it.
func (relay *Relay) Cancel(*route.Job) {}

// Abandon implements route.Runner.
func (relay *Relay) Abandon(job *route.Job) {
	if running, ok := relay.runningBySeq[job.Seq()]; ok {
		running.stop()
		running.end()
	}
	if tx := job.Tx(); tx != nil {
		relay.Rollback(tx)
	}
}

// Rollback implements route.Runner.
func (relay *Relay) Rollback(tx *route.Tx) { route.Rollback(relay.conns, tx) }

// observePrimary records that an instance answered a statement as the primary. The
// statement was sent at sentAt, and mark is the end of the instance's log.
func (relay *Relay) observePrimary(group *state.Group, instance model.InstanceID, mark model.Mark, sentAt time.Duration) {
	if !group.ObservePrimaryTail(instance, mark, sentAt) {
		return
	}
	relay.context.Emit(event.NewLogDecision(model.Decision{
		Name:     "primary_seen",
		Group:    group.ID(),
		Instance: instance,
		Term:     mark.Term(),
		Reason:   "it answered as the primary",
	}))
	relay.context.Publish(event.NewTermChanged(group.ID(), mark.Term(), instance))
}

// refutePrimary records that an instance reported that it is not the primary.
func (relay *Relay) refutePrimary(group *state.Group, instance model.InstanceID) {
	if group.Primary() != nil && group.Primary().ID() == instance {
		relay.context.Emit(event.NewLogDecision(model.Decision{
			Name:     "primary_refuted",
			Group:    group.ID(),
			Instance: instance,
			Term:     group.Term(),
			Reason:   "it refused a write",
		}))
	}
	group.RefutePrimary(instance, relay.context.Now())
}

// isForwarded reports whether the statements on a connection are forwarded to another proxy.
func (relay *Relay) isForwarded(conn model.ConnID) bool {
	return relay.forwards != nil && relay.forwards.Forwards(conn)
}

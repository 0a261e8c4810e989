// Package relay is the plug-in that runs the statements of groups whose instances
// acknowledge commits themselves. An answer of an instance is final there, so all
// that is decided comes before a statement is sent: which instance may run it,
// and which mark its log must cover.
package relay

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/state"
)

func init() { kern.Register("relay", kern.RankReads, New, kern.ProfileHosted) }

// Relay runs the statements and transactions.
type Relay struct {
	context   *kern.Context
	sessions  route.Sessions
	conns     route.Conns
	admission route.Admission
	fleet     route.Fleet
	running   map[model.RequestSeq]*task
	board     *route.RunningRequests
	pings     map[model.GroupID]*ping
	failures  map[model.InstanceID]time.Duration // when an instance last failed to answer
	lags      map[model.InstanceID]lag
}

// lag is a mark that the log of an instance lacked.
type lag struct {
	mark model.Mark
	at   time.Duration
}

// New returns the plug-in.
func New(context *kern.Context) kern.Plugin {
	relay := &Relay{
		context:   context,
		sessions:  context.Service(route.SessionsService).(route.Sessions),
		conns:     context.Service(route.ConnsService).(route.Conns),
		admission: context.Service(route.AdmissionService).(route.Admission),
		fleet:     context.Service(route.FleetService).(route.Fleet),
		running:   make(map[model.RequestSeq]*task),
		board:     route.NewRunningRequests(),
		pings:     make(map[model.GroupID]*ping),
		failures:  make(map[model.InstanceID]time.Duration),
		lags:      make(map[model.InstanceID]lag),
	}
	relay.sessions.Serve(model.AccessEither, relay)
	context.Timers().Every(refreshInterval, relay.refresh)
	return relay
}

// Handle implements kern.Plugin.
func (relay *Relay) Handle(received event.Event) {
	switch received := received.(type) {
	case event.GroupObserved:
		relay.observed(received.Group())
	case event.TermChanged:
		relay.observed(received.Group())
	}
}

// observed looks again at every task of a group that waits.
func (relay *Relay) observed(group model.GroupID) {
	if relay.context.State().Group(group) == nil {
		return
	}
	relay.ping(group).settle()
	for _, item := range relay.board.InGroup(group) {
		if waiting := item.(*task); waiting.state == taskSeeking {
			waiting.seek()
		}
	}
}

// Start implements route.Runner.
func (relay *Relay) Start(job *route.Job) {
	started := newTask(relay, job)
	relay.running[job.Seq()] = started
	relay.board.Add(started)
	if tx := job.Tx(); tx != nil && tx.Opened() {
		started.resume()
		return
	}
	started.seek()
}

// Expire implements route.Runner.
func (relay *Relay) Expire(job *route.Job) {
	if running, ok := relay.running[job.Seq()]; ok {
		running.expire()
	}
}

// Cancel implements route.Runner. A statement runs on; there is no order to stop it.
func (relay *Relay) Cancel(*route.Job) {}

// Abandon implements route.Runner.
func (relay *Relay) Abandon(job *route.Job) {
	if running, ok := relay.running[job.Seq()]; ok {
		running.stop()
		running.end()
	}
	if tx := job.Tx(); tx != nil {
		relay.Rollback(tx)
	}
}

// Rollback implements route.Runner.
func (relay *Relay) Rollback(tx *route.Tx) { route.Rollback(relay.conns, tx) }

// observeLead records that an instance led when it answered a statement that was
// sent at sentAt.
func (relay *Relay) observeLead(view *state.Group, instance model.InstanceID, mark model.Mark, sentAt time.Duration) {
	if !view.ObservePrimaryTail(instance, mark, sentAt) {
		return
	}
	relay.context.Emit(event.NewLogDecision(model.Decision{
		Name:     "primary_seen",
		Group:    view.ID(),
		Instance: instance,
		Term:     mark.Term(),
		Reason:   "it answered as the leader",
	}))
	relay.context.Publish(event.NewTermChanged(view.ID(), mark.Term(), instance))
}

// refute records that an instance said that it does not lead.
func (relay *Relay) refute(view *state.Group, instance model.InstanceID) {
	if view.Primary() != nil && view.Primary().ID() == instance {
		relay.context.Emit(event.NewLogDecision(model.Decision{
			Name:     "primary_refuted",
			Group:    view.ID(),
			Instance: instance,
			Term:     view.Term(),
			Reason:   "it refused a write",
		}))
	}
	view.RefutePrimary(instance, relay.context.Now())
}

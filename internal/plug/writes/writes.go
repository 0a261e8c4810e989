// Package writes executes writes and write transactions on the primary. A write runs at
// most once. It is acknowledged only when it survives every promotion, and it is reported
// as not run only when that is certain.
package writes

import (
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/state"
)

func init() { kern.Register("writes", kern.RankWrites, New) }

// Writes is the plug-in that executes writes and write transactions.
type Writes struct {
	context        *kern.Context
	sessions       route.Sessions
	conns          route.Conns
	admission      route.Admission
	probes         route.Probes
	runningBySeq   map[model.RequestSeq]*write
	runningByGroup *route.RunningRequests
}

// New returns the plug-in, registers it as the runner of write requests and starts the
// periodic trim of the ledger.
func New(context *kern.Context) kern.Plugin {
	writes := &Writes{
		context:        context,
		sessions:       context.Service(route.SessionsService).(route.Sessions),
		conns:          context.Service(route.ConnsService).(route.Conns),
		admission:      context.Service(route.AdmissionService).(route.Admission),
		probes:         context.Service(route.ProbesService).(route.Probes),
		runningBySeq:   make(map[model.RequestSeq]*write),
		runningByGroup: route.NewRunningRequests(),
	}
	writes.sessions.RegisterRunner(model.AccessWrite, writes)
	context.Timers().Every(trimInterval, writes.trim)
	return writes
}

// Handle implements kern.Plugin.
func (writes *Writes) Handle(received event.Event) {
	switch received := received.(type) {
	case event.GroupObserved:
		writes.recheckGroup(received.Group())
	case event.TermChanged:
		writes.recheckGroup(received.Group())
	case event.LeavingChanged:
		if group := writes.context.State().GroupOf(received.Instance()); group != nil {
			writes.recheckGroup(group.ID())
		}
	}
}

// recheckGroup evaluates every running write of a group again.
func (writes *Writes) recheckGroup(id model.GroupID) {
	group := writes.context.State().Group(id)
	if group == nil {
		return
	}
	for _, item := range writes.runningByGroup.InGroup(id) {
		item.(*write).recheck(group)
	}
}

// Start implements route.Runner.
func (writes *Writes) Start(job *route.Job) {
	started := &write{writes: writes, job: job, requestID: job.RequestID(), readCheck: route.NewReadCheck(job)}
	writes.runningBySeq[job.Seq()] = started
	writes.runningByGroup.Add(started)
	if tx := job.Tx(); tx != nil && tx.Opened() {
		started.resume()
		return
	}
	started.acquire()
}

// Expire implements route.Runner.
func (writes *Writes) Expire(job *route.Job) {
	if running, ok := writes.runningBySeq[job.Seq()]; ok {
		running.expire()
	}
}

// Cancel implements route.Runner.
func (writes *Writes) Cancel(job *route.Job) {
	if running, ok := writes.runningBySeq[job.Seq()]; ok {
		running.cancel()
	}
}

// Abandon implements route.Runner.
func (writes *Writes) Abandon(job *route.Job) {
	if running, ok := writes.runningBySeq[job.Seq()]; ok {
		running.stop()
	}
	if tx := job.Tx(); tx != nil {
		writes.Rollback(tx)
	}
}

// Rollback implements route.Runner.
func (writes *Writes) Rollback(tx *route.Tx) { route.Rollback(writes.conns, tx) }

// writablePrimary returns the primary of a group if it may be sent writes, or nil. A
// primary without recent reports gets none, because their outcome could not be determined.
func (writes *Writes) writablePrimary(group *state.Group) *state.Member {
	if group == nil || group.Term() == 0 {
		return nil
	}
	primary := group.Primary()
	if primary == nil || primary.Leaving() || !route.CanTakeWork(writes.context, primary, group.Term()) {
		return nil
	}
	return primary
}

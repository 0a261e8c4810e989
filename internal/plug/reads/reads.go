// Package reads runs reads and read transactions. It chooses the instance and returns an
// answer to the caller only after status reports show that the data is as fresh as the read
// requires and survives every promotion.
package reads

import (
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

func init() { kern.Register("reads", kern.RankReads, New) }

// Reads is the plug-in that runs reads and read transactions. It implements route.Runner.
type Reads struct {
	context        *kern.Context
	sessions       route.Sessions
	conns          route.Conns
	admission      route.Admission
	probes         route.Probes
	runningBySeq   map[model.RequestSeq]*read
	runningByGroup *route.RunningRequests
}

// New returns the plug-in and registers it as the runner for read access.
func New(context *kern.Context) kern.Plugin {
	reads := &Reads{
		context:        context,
		sessions:       context.Service(route.SessionsService).(route.Sessions),
		conns:          context.Service(route.ConnsService).(route.Conns),
		admission:      context.Service(route.AdmissionService).(route.Admission),
		probes:         context.Service(route.ProbesService).(route.Probes),
		runningBySeq:   make(map[model.RequestSeq]*read),
		runningByGroup: route.NewRunningRequests(),
	}
	reads.sessions.RegisterRunner(model.AccessRead, reads)
	return reads
}

// Handle implements kern.Plugin.
func (reads *Reads) Handle(received event.Event) {
	switch received := received.(type) {
	case event.GroupObserved:
		reads.recheckGroup(received.Group())
	case event.TermChanged:
		reads.recheckGroup(received.Group())
	case event.LeavingChanged:
		if group := reads.context.State().GroupOf(received.Instance()); group != nil {
			reads.recheckGroup(group.ID())
		}
	}
}

// recheckGroup continues every running read of a group after a change of the group's state.
func (reads *Reads) recheckGroup(id model.GroupID) {
	group := reads.context.State().Group(id)
	if group == nil {
		return
	}
	for _, item := range reads.runningByGroup.InGroup(id) {
		item.(*read).recheck(group)
	}
}

// Start implements route.Runner.
func (reads *Reads) Start(job *route.Job) {
	tx := job.Tx()
	if job.Request().Op() == model.OpCommit {
		reads.Rollback(tx)
		reads.sessions.Finish(job, route.ResultSpec{Instance: tx.Instance(), Reason: "commit of a read transaction"})
		return
	}
	started := &read{reads: reads, job: job, readCheck: route.NewReadCheck(job)}
	reads.runningBySeq[job.Seq()] = started
	reads.runningByGroup.Add(started)
	if tx != nil && tx.Opened() {
		started.resume()
		return
	}
	if job.RequiresFresh() && job.Request().Op() != model.OpDescribe {
		reads.probes.RequestReports(job.Group(), job.Arrived(), job.Arrived())
	}
	started.acquire()
}

// Expire implements route.Runner.
func (reads *Reads) Expire(job *route.Job) {
	if running, ok := reads.runningBySeq[job.Seq()]; ok {
		running.expire()
	}
}

// Cancel implements route.Runner.
func (reads *Reads) Cancel(job *route.Job) {
	if running, ok := reads.runningBySeq[job.Seq()]; ok {
		running.cancel()
	}
}

// Abandon implements route.Runner.
func (reads *Reads) Abandon(job *route.Job) {
	if running, ok := reads.runningBySeq[job.Seq()]; ok {
		running.stop()
		if tx := job.Tx(); tx != nil {
			reads.Rollback(tx)
		}
	}
}

// Rollback implements route.Runner.
func (reads *Reads) Rollback(tx *route.Tx) { route.Rollback(reads.conns, tx) }

package reads

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/state"
)

const (
	// freshReadMaxLag is the lag up to which a replica is tried for a fresh read.
	freshReadMaxLag = 100 * time.Millisecond
	// remoteDataCenterLoad is the load that an instance in another data centre counts in addition.
	remoteDataCenterLoad = 2
	// primaryFallbackQuarters is the share of the time of a read, in quarters, after which the
	// primary serves it although the deployment spares the primary.
	primaryFallbackQuarters = 3
)

// chooseInstance returns the instance that serves a read best and why, or no instance.
func (reads *Reads) chooseInstance(read *read) (model.InstanceID, string) {
	view := read.view()
	if view == nil || view.Term() == 0 {
		return "", ""
	}
	replica, replicas := reads.leastLoadedReplica(read, view)
	if replica != nil {
		return replica.ID(), "replica"
	}
	primary := view.Primary()
	if primary == nil || !reads.serves(primary, view) || primary.Leaving() {
		return "", ""
	}
	switch {
	case replicas > 0 && read.readCheck.AwaitsReport(view, reads.context.Now()):
		return "", ""
	case replicas == 0 && !reads.awaitsReplica(read, view):
		return primary.ID(), "no replica in service"
	case read.isDescribe() || read.job.Deployment().LagPolicy() == model.LagPrimary:
		return primary.ID(), "replicas lag"
	case reads.deadlineNear(read):
		return primary.ID(), "replicas lag and the deadline nears"
	default:
		return "", ""
	}
}

// awaitsReplica reports whether a read that spares the primary waits a moment for the
// report of a replica that may be in service.
func (reads *Reads) awaitsReplica(read *read, view *state.Group) bool {
	waited := reads.context.Now() - read.job.Arrived()
	if read.job.Deployment().LagPolicy() == model.LagPrimary || waited >= reads.context.Settings().ProbeInterval() {
		return false
	}
	for _, member := range view.Members() {
		if member != view.Primary() && member.Serves(view.Term()) && !member.Leaving() {
			return true
		}
	}
	return false
}

// leastLoadedReplica returns the leastLoadedReplica that serves a read best, or nil, and how many
// replicas are in service.
func (reads *Reads) leastLoadedReplica(read *read, view *state.Group) (*state.Member, int) {
	var best *state.Member
	var bestLoad, count, ties int
	for _, member := range view.Members() {
		if member == view.Primary() || !reads.serves(member, view) || member.Leaving() {
			continue
		}
		count++
		if !reads.meetsRequirement(read, view, member) {
			continue
		}
		load := reads.load(read, member)
		switch {
		case best == nil || load < bestLoad:
			best, bestLoad, ties = member, load, 1
		case load == bestLoad:
			ties++
			if reads.context.Random().IntN(ties) == 0 {
				best = member
			}
		}
	}
	return best, count
}

// meetsRequirement reports whether a replica is expected to meet the requirement of a read.
func (reads *Reads) meetsRequirement(read *read, view *state.Group, member *state.Member) bool {
	if read.isDescribe() {
		return true
	}
	now := reads.context.Now()
	tail := member.Status().Tail()
	if _, known := read.readCheck.Index(); known || !read.job.RequiresFresh() {
		return read.readCheck.Suffices(view, tail, now)
	}
	return view.WithinStaleness(tail, freshReadMaxLag, now)
}

func (reads *Reads) serves(member *state.Member, view *state.Group) bool {
	return route.Serves(reads.context, member, view.Term())
}

// load returns what runs and waits at an instance. Another data centre and an
// instance that just failed count in addition.
func (reads *Reads) load(read *read, member *state.Member) int {
	load := reads.admission.Load(member.ID())
	if member.Instance().DataCenter() != reads.context.State().Self().DataCenter() {
		load += remoteDataCenterLoad
	}
	if member.ID() == read.avoided {
		load += reads.context.Settings().MaxWaiting()
	}
	return load
}

// deadlineNear reports whether so much of a read's time has passed that it shall wait
// for a replica no longer.
func (reads *Reads) deadlineNear(read *read) bool {
	job := read.job
	return reads.context.Now()-job.Arrived() >= (job.Deadline()-job.Arrived())/4*primaryFallbackQuarters
}

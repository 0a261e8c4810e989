package reads

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/state"
)

const (
	// freshReadMaxLag is the highest lag at which a replica is chosen for a fresh read
	// before the read has a read index.
	freshReadMaxLag = 100 * time.Millisecond
	// remoteDataCenterLoad is added to the load of an instance in another data centre.
	remoteDataCenterLoad = 2
	// primaryFallbackQuarters is the share of a read's time limit, in quarters, after which
	// the primary serves the read although the deployment's lag policy avoids the primary.
	primaryFallbackQuarters = 3
)

// chooseInstance returns the instance for a read and the reason for the choice, or the
// empty ID if the read has to wait.
func (reads *Reads) chooseInstance(read *read) (model.InstanceID, string) {
	group := read.groupState()
	if group == nil || group.Term() == 0 {
		return "", ""
	}
	replica, replicas := reads.leastLoadedReplica(read, group)
	if replica != nil {
		return replica.ID(), "replica"
	}
	primary := group.Primary()
	if primary == nil || !reads.serves(primary, group) || primary.Leaving() {
		return "", ""
	}
	switch {
	case replicas > 0 && read.readCheck.AwaitsReport(group, reads.context.Now()):
		return "", ""
	case replicas == 0 && !reads.awaitsReplica(read, group):
		return primary.ID(), "no replica in service"
	case read.isDescribe() || read.job.Deployment().LagPolicy() == model.LagPrimary:
		return primary.ID(), "replicas lag"
	case reads.deadlineNear(read):
		return primary.ID(), "replicas lag and the deadline is near"
	default:
		return "", ""
	}
}

// awaitsReplica reports whether a read whose lag policy avoids the primary waits for the
// report of a replica that may be in service. The wait ends one probe interval after the
// arrival of the read.
func (reads *Reads) awaitsReplica(read *read, group *state.Group) bool {
	waited := reads.context.Now() - read.job.Arrived()
	if read.job.Deployment().LagPolicy() == model.LagPrimary || waited >= reads.context.Settings().ProbeInterval() {
		return false
	}
	for _, member := range group.Members() {
		if member != group.Primary() && member.Serves(group.Term()) && !member.Leaving() {
			return true
		}
	}
	return false
}

// leastLoadedReplica returns the replica with the lowest load among those that meet the
// requirement of a read, or nil, and the number of replicas in service. Ties are broken at
// random.
func (reads *Reads) leastLoadedReplica(read *read, group *state.Group) (*state.Member, int) {
	var best *state.Member
	var bestLoad, count, ties int
	for _, member := range group.Members() {
		if member == group.Primary() || !reads.serves(member, group) || member.Leaving() {
			continue
		}
		count++
		if !reads.meetsRequirement(read, group, member) {
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

// meetsRequirement reports whether a replica is expected to be as fresh as a read
// requires, according to its last report.
func (reads *Reads) meetsRequirement(read *read, group *state.Group, member *state.Member) bool {
	if read.isDescribe() {
		return true
	}
	now := reads.context.Now()
	tail := member.Status().Tail()
	if _, hasIndex := read.readCheck.Index(); hasIndex || !read.job.RequiresFresh() {
		return read.readCheck.Suffices(group, tail, now)
	}
	return group.WithinStaleness(tail, freshReadMaxLag, now)
}

func (reads *Reads) serves(member *state.Member, group *state.Group) bool {
	return route.CanTakeWork(reads.context, member, group.Term())
}

// load returns the number of statements that run on an instance or wait for it, plus a
// penalty for another data centre and one for the instance that last failed this read.
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

// deadlineNear reports whether a read has used so much of its time limit that it no longer
// waits for a replica.
func (reads *Reads) deadlineNear(read *read) bool {
	job := read.job
	return reads.context.Now()-job.Arrived() >= (job.Deadline()-job.Arrived())/4*primaryFallbackQuarters
}

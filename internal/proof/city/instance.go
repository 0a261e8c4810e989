package city

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
)

const (
	readTime  = 4 * time.Millisecond
	writeTime = 2 * time.Millisecond
)

// logEntry is a commit in an instance's log, with the numbers of its writes.
type logEntry struct {
	writes []int
	term   model.Term
}

// instance simulates a database instance.
type instance struct {
	simulation *simulation
	id         model.InstanceID
	group      model.GroupID
	dataCenter model.DataCenter
	// fixedPrimary is the primary of the group if it is never replaced, or nil.
	fixedPrimary *instance
	// slowdown multiplies the time for which a statement holds a slot, unless it is 0.
	slowdown   float64
	up         bool
	unlisted   bool
	leaving    bool // announced in the listing: the instance is about to shut down
	log        []logEntry
	receivedAt []time.Duration // when each log entry was received
	applied    int             // the number of log entries that reads see
	pausedTerm model.Term      // the term whose promotion stopped replication, or 0
	// With replicationBlocked a replica receives no entries, with applyBlocked it applies none.
	replicationBlocked, applyBlocked bool
	// probesRefused is set while no slot is free for a status query. busyUntil is the time at which a
	// slot becomes free for statements.
	probesRefused bool
	busyUntil     time.Duration
	// unreachableFrom holds the proxies that cannot reach the instance.
	unreachableFrom map[*proxy]bool
	// partitioned is set on a primary that cannot reach its replicas.
	partitioned bool
	// applyDelay is the time from the receipt of an entry by a replica until reads see it.
	applyDelay time.Duration
	capacity   capacity
	fault      Fault
}

func (instance *instance) isPrimary() bool {
	return instance.primary() == instance && instance.up
}

// primary returns the primary of the instance's group, or nil.
func (instance *instance) primary() *instance {
	if instance.fixedPrimary != nil {
		return instance.fixedPrimary
	}
	return instance.simulation.primary
}

func (instance *instance) listing() model.Listing {
	spec := model.ListingSpec{
		Group:    instance.group,
		Instance: model.NewInstance(instance.id, "10.0.0.1:1", instance.dataCenter).WithCapacity(instance.capacity.listedSlots(), 0),
		Leaving:  instance.leaving,
	}
	if instance.isPrimary() {
		spec.Role = model.RolePrimary
	}
	return model.NewListing(spec)
}

// markAt returns the log position after the given number of entries.
func (instance *instance) markAt(length int) model.Mark {
	if length == 0 {
		return model.NewMark(1, 0)
	}
	return model.NewMark(instance.log[length-1].term, model.Position(length))
}

// replicateFrom copies the next entry of the primary's log and applies every received entry.
func (instance *instance) replicateFrom(primary *instance) {
	if !instance.up {
		return
	}
	if instance.pausedTerm == 0 && !instance.replicationBlocked && !primary.partitioned && len(instance.log) < len(primary.log) {
		instance.log = append(instance.log, primary.log[len(instance.log)])
		instance.receivedAt = append(instance.receivedAt, instance.simulation.now)
	}
	for !instance.applyBlocked && instance.applied < len(instance.log) && instance.hasWaited(instance.applied) {
		instance.applied++
	}
}

// hasWaited reports whether the apply delay of an entry has passed.
func (instance *instance) hasWaited(index int) bool {
	return instance.applyDelay == 0 || instance.simulation.now-instance.receivedAt[index] >= instance.applyDelay
}

// truncate drops the entries from the first one that the log of a new primary lacks.
func (instance *instance) truncate(primary *instance) {
	for index := range instance.log {
		if index >= len(primary.log) || instance.log[index].term != primary.log[index].term || instance.log[index].writes[0] != primary.log[index].writes[0] {
			instance.log = instance.log[:index]
			instance.receivedAt = instance.receivedAt[:index]
			break
		}
	}
	instance.applied = min(instance.applied, len(instance.log))
	if instance == primary {
		instance.applied = len(instance.log)
	}
}

func (instance *instance) status() model.Status {
	role := model.RoleReplica
	if instance.isPrimary() {
		role = model.RolePrimary
	}
	return model.NewStatus(instance.simulation.term, role, instance.markAt(len(instance.log)), "", 0, false).WithPausedTerm(instance.pausedTerm)
}

// payload is a statement or the answer to one.
type payload struct {
	write int // the number of the write, or 0 for a read
	check *readCheck
	// work is how long the statement holds a slot; 0 selects readTime or writeTime.
	work time.Duration
	team model.TeamName // of the caller
}

func (payload *payload) workOr(fallback time.Duration) time.Duration {
	if payload == nil || payload.work == 0 {
		return fallback
	}
	return payload.work
}

// Size implements model.Payload.
func (*payload) Size() int { return 1 }

// hasApplied reports whether the applied part of the log covers a mark.
func (instance *instance) hasApplied(mark model.Mark) bool {
	return mark.IsZero() || instance.markAt(instance.applied).Covers(mark)
}

package check

import (
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
)

const (
	instanceCount = 3
	maxLogEntries = 10
	groupID       = model.GroupID("katalog-1")
	firstTerm     = 1
)

// entryKind is the kind of a log entry.
type entryKind uint8

const (
	kindTermStart entryKind = iota
	kindWrite
	kindTombstone
)

// logEntry is an entry of a log: the first one of a term, the write, or the tombstone of the write.
type logEntry struct {
	term uint8
	kind entryKind
}

// replica is the state of one instance. replicatedTerm and replicatedLength are the
// highest log end that it reached while fenced with the term of that end.
type replica struct {
	fence            uint8
	leadsTerm        uint8 // the term in which it was promoted, or 0 for a replica
	length           uint8
	log              [maxLogEntries]logEntry
	replicatedTerm   uint8
	replicatedLength uint8
}

// groupState is a state of the model: the replicas of the group, and what was reported about
// the only write to its caller and to readers.
type groupState struct {
	replicas       [instanceCount]replica
	sentTerm       uint8 // the term in which the write was sent, or 0
	ran            bool
	reportedDone   bool
	reportedNotRun bool
	shownByRead    bool
}

func initialState() groupState {
	var start groupState
	for index := range start.replicas {
		start.replicas[index] = replica{fence: firstTerm, length: 1, log: [maxLogEntries]logEntry{{term: firstTerm}}}
		start.replicas[index].recordReplicated()
	}
	start.replicas[0].leadsTerm = firstTerm
	return start
}

func (replica *replica) entries() []logEntry { return replica.log[:replica.length] }

func (replica *replica) append(added logEntry) {
	replica.log[replica.length] = added
	replica.length++
	replica.recordReplicated()
}

// recordReplicated updates the replicated mark if the last entry is of the fenced term.
func (replica *replica) recordReplicated() {
	if last := replica.log[replica.length-1].term; last == replica.fence {
		replica.replicatedTerm, replica.replicatedLength = last, replica.length
	}
}

// copyNextEntry drops the entries that diverge from the primary's log and appends the next
// entry of that log. It returns false if the replica has the whole log.
func (replica *replica) copyNextEntry(primary *replica) bool {
	common := uint8(0)
	for common < replica.length && common < primary.length && replica.log[common] == primary.log[common] {
		common++
	}
	if common >= primary.length {
		return false
	}
	for index := common; index < maxLogEntries; index++ {
		replica.log[index] = logEntry{}
	}
	replica.length = common
	replica.append(primary.log[common])
	return true
}

func (replica *replica) fenceWith(term uint8) {
	replica.fence = term
	replica.leadsTerm = 0
}

// find returns the index of the first entry of a kind, or -1.
func (replica *replica) find(wanted entryKind) int {
	for index, entry := range replica.entries() {
		if entry.kind == wanted {
			return index
		}
	}
	return -1
}

func (replica *replica) isPrimary() bool {
	return replica.leadsTerm != 0 && replica.leadsTerm == replica.fence
}

func termOf(count uint8) model.Term { return model.NewTerm(uint64(count), 0) }

func markOf(term, length uint8) model.Mark {
	return model.NewMark(termOf(term), model.Position(length))
}

func (replica *replica) status() model.Status {
	role := model.RoleReplica
	if replica.isPrimary() {
		role = model.RolePrimary
	}
	return model.NewStatus(termOf(replica.fence), role, markOf(replica.log[replica.length-1].term, replica.length), "", 0, false)
}

// replicatedStatus returns the status that the instance reported when it reached its replicated
// mark.
func (replica *replica) replicatedStatus() model.Status {
	return model.NewStatus(termOf(replica.replicatedTerm), model.RoleReplica, markOf(replica.replicatedTerm, replica.replicatedLength), "", 0, false)
}

func instanceID(index int) model.InstanceID { return model.InstanceID(rune('a' + index)) }

// proxyView returns the state of a proxy that received every status of every instance.
func (group *groupState) proxyView() *state.Group {
	var members []model.Instance
	for index := range group.replicas {
		members = append(members, model.NewInstance(instanceID(index), "", ""))
	}
	view := state.NewGroup(model.NewGroup(groupID, members))
	for index := range group.replicas {
		view.Observe(instanceID(index), group.replicas[index].replicatedStatus(), 0)
	}
	for index := range group.replicas {
		view.Observe(instanceID(index), group.replicas[index].status(), 1)
	}
	return view
}

// newestPrimary returns the primary of the highest term, or nil if that term has none.
func (group *groupState) newestPrimary() *replica {
	highest := uint8(0)
	for index := range group.replicas {
		highest = max(highest, group.replicas[index].fence)
	}
	for index := range group.replicas {
		if candidate := &group.replicas[index]; candidate.isPrimary() && candidate.fence == highest {
			return candidate
		}
	}
	return nil
}

// violation describes the guarantee that the state violates. It is empty if there is none.
func (group *groupState) violation() string {
	primary := group.newestPrimary()
	if primary == nil {
		return ""
	}
	hasWrite := primary.find(kindWrite) >= 0
	switch {
	case group.reportedDone && !hasWrite:
		return "an acknowledged write is lost"
	case group.shownByRead && !hasWrite:
		return "a write that a read returned is lost"
	case group.reportedNotRun && hasWrite:
		return "a write that was reported as not run is in the log"
	default:
		return ""
	}
}

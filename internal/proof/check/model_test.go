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

// entryKind tells what a log entry is.
type entryKind uint8

const (
	kindTermStart entryKind = iota
	kindWrite
	kindTombstone
)

// logEntry is a log entry: the first one of a term, the write, or its tombstone.
type logEntry struct {
	term uint8
	kind entryKind
}

// replica is the state of one instance. proofTerm and proofLength are the
// highest log end that it had while fenced with the term of that end.
type replica struct {
	fence            uint8
	leadsTerm        uint8
	length           uint8
	log              [maxLogEntries]logEntry
	replicatedTerm   uint8
	replicatedLength uint8
}

// groupState is a state of the group together with what the caller of the one write was told.
type groupState struct {
	replicas       [instanceCount]replica
	sentTerm       uint8
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

func (replica *replica) recordReplicated() {
	if last := replica.log[replica.length-1].term; last == replica.fence {
		replica.replicatedTerm, replica.replicatedLength = last, replica.length
	}
}

// copyNextEntry takes the next entry of the primary's log and drops what diverges from it.
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

func (replica *replica) find(wanted entryKind) int {
	for index, item := range replica.entries() {
		if item.kind == wanted {
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

// replicatedStatus returns the report that the instance gave when it reached its proof.
func (replica *replica) replicatedStatus() model.Status {
	return model.NewStatus(termOf(replica.replicatedTerm), model.RoleReplica, markOf(replica.replicatedTerm, replica.replicatedLength), "", 0, false)
}

func instanceID(index int) model.InstanceID { return model.InstanceID(rune('a' + index)) }

// proxyView returns what a proxy knows that heard every instance at every moment.
func (history *groupState) proxyView() *state.Group {
	var members []model.Instance
	for index := range history.replicas {
		members = append(members, model.NewInstance(instanceID(index), "", ""))
	}
	view := state.NewGroup(model.NewGroup(groupID, members))
	for index := range history.replicas {
		view.Observe(instanceID(index), history.replicas[index].replicatedStatus(), 0)
	}
	for index := range history.replicas {
		view.Observe(instanceID(index), history.replicas[index].status(), 1)
	}
	return view
}

// newestPrimary returns the primary of the highest term, or nil while there is none.
func (history *groupState) newestPrimary() *replica {
	highest := uint8(0)
	for index := range history.replicas {
		highest = max(highest, history.replicas[index].fence)
	}
	for index := range history.replicas {
		if candidate := &history.replicas[index]; candidate.isPrimary() && candidate.fence == highest {
			return candidate
		}
	}
	return nil
}

// violation names the promise that the history breaks, or returns the empty text.
func (history *groupState) violation() string {
	primary := history.newestPrimary()
	if primary == nil {
		return ""
	}
	holds := primary.find(kindWrite) >= 0
	switch {
	case history.reportedDone && !holds:
		return "an acknowledged write is lost"
	case history.shownByRead && !holds:
		return "a write that a read showed is taken away"
	case history.reportedNotRun && holds:
		return "a write that was reported as not run is in the log"
	default:
		return ""
	}
}

package check

import (
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
)

const (
	size     = 3
	maxLog   = 10
	group    = model.GroupID("katalog-1")
	firstAge = 1
)

// kind tells what a log entry is.
type kind uint8

const (
	kindFirst kind = iota
	kindWrite
	kindTombstone
)

// entry is a log entry: the first one of a term, the write, or its tombstone.
type entry struct {
	term uint8
	kind kind
}

// replica is the state of one instance. proofTerm and proofLength are the
// highest log end that it had while fenced with the term of that end.
type replica struct {
	fence       uint8
	leads       uint8
	length      uint8
	log         [maxLog]entry
	proofTerm   uint8
	proofLength uint8
}

// history is a state of the group together with what the caller of the one write was told.
type history struct {
	replicas [size]replica
	sent     uint8
	ran      bool
	done     bool
	notRun   bool
	shown    bool
}

func newHistory() history {
	var start history
	for index := range start.replicas {
		start.replicas[index] = replica{fence: firstAge, length: 1, log: [maxLog]entry{{term: firstAge}}}
		start.replicas[index].prove()
	}
	start.replicas[0].leads = firstAge
	return start
}

func (replica *replica) entries() []entry { return replica.log[:replica.length] }

func (replica *replica) append(added entry) {
	replica.log[replica.length] = added
	replica.length++
	replica.prove()
}

func (replica *replica) prove() {
	if last := replica.log[replica.length-1].term; last == replica.fence {
		replica.proofTerm, replica.proofLength = last, replica.length
	}
}

// copyFrom takes the next entry of the primary's log and drops what diverges from it.
func (replica *replica) copyFrom(primary *replica) bool {
	common := uint8(0)
	for common < replica.length && common < primary.length && replica.log[common] == primary.log[common] {
		common++
	}
	if common >= primary.length {
		return false
	}
	for index := common; index < maxLog; index++ {
		replica.log[index] = entry{}
	}
	replica.length = common
	replica.append(primary.log[common])
	return true
}

func (replica *replica) fenceWith(term uint8) {
	replica.fence = term
	replica.leads = 0
}

func (replica *replica) find(wanted kind) int {
	for index, item := range replica.entries() {
		if item.kind == wanted {
			return index
		}
	}
	return -1
}

func (replica *replica) leading() bool { return replica.leads != 0 && replica.leads == replica.fence }

func termOf(count uint8) model.Term { return model.NewTerm(uint64(count), 0) }

func markOf(term, length uint8) model.Mark {
	return model.NewMark(termOf(term), model.Position(length))
}

func (replica *replica) status() model.Status {
	role := model.RoleReplica
	if replica.leading() {
		role = model.RolePrimary
	}
	return model.NewStatus(termOf(replica.fence), role, markOf(replica.log[replica.length-1].term, replica.length), "", 0, false)
}

// proof returns the report that the instance gave when it reached its proof.
func (replica *replica) proof() model.Status {
	return model.NewStatus(termOf(replica.proofTerm), model.RoleReplica, markOf(replica.proofTerm, replica.proofLength), "", 0, false)
}

func nameOf(index int) model.InstanceID { return model.InstanceID(rune('a' + index)) }

// view returns what a proxy knows that heard every instance at every moment.
func (history *history) view() *state.Group {
	var members []model.Instance
	for index := range history.replicas {
		members = append(members, model.NewInstance(nameOf(index), "", ""))
	}
	view := state.NewGroup(model.NewGroup(group, members))
	for index := range history.replicas {
		view.Observe(nameOf(index), history.replicas[index].proof(), 0)
	}
	for index := range history.replicas {
		view.Observe(nameOf(index), history.replicas[index].status(), 1)
	}
	return view
}

// newest returns the primary of the highest term, or nil while there is none.
func (history *history) newest() *replica {
	highest := uint8(0)
	for index := range history.replicas {
		highest = max(highest, history.replicas[index].fence)
	}
	for index := range history.replicas {
		if candidate := &history.replicas[index]; candidate.leading() && candidate.fence == highest {
			return candidate
		}
	}
	return nil
}

// broken names the promise that the history breaks, or returns the empty text.
func (history *history) broken() string {
	primary := history.newest()
	if primary == nil {
		return ""
	}
	holds := primary.find(kindWrite) >= 0
	switch {
	case history.done && !holds:
		return "an acknowledged write is lost"
	case history.shown && !holds:
		return "a write that a read showed is taken away"
	case history.notRun && holds:
		return "a write that was reported as not run is in the log"
	default:
		return ""
	}
}

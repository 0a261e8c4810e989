package check

import (
	"testing"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/model"
)

const (
	maxTerm       = 5
	maxRuleStates = 4_000_000
)

// rule is what a variant of the product decides: whether a term starts with an
// entry, when a write is done, when a tombstone is, and what a read shows.
type rule struct {
	name             string
	writesFirstEntry bool
	writeDone        func(history *groupState, at model.Mark) bool
	tombstoneDone    func(history *groupState, at model.Mark) bool
	mayShow          func(history *groupState, server int) bool
	violation        string
}

var rules = []rule{
	{"product", true, productAcknowledged, productAcknowledged, productStable, ""},
	{"acknowledges on the primary's answer", true, onPrimaryAnswer, productAcknowledged, productStable, "an acknowledged write is lost"},
	{"counts reports of any term", true, majorityOfAnyTerm, productAcknowledged, productStable, "an acknowledged write is lost"},
	{"writes no first entry of a term", false, majorityOfAnyTerm, productAcknowledged, productStable, "an acknowledged write is lost"},
	{"reports not run on the primary's answer", true, productAcknowledged, onPrimaryAnswer, productStable, "a write that was reported as not run is in the log"},
	{"shows what any instance has", true, productAcknowledged, productAcknowledged, always, "a write that a read showed is taken away"},
}

func TestAcknowledgementRules(t *testing.T) {
	for _, rule := range rules {
		t.Run(rule.name, func(t *testing.T) {
			is := is.New(t)
			broken, states := searchRule(rule)
			t.Logf("%d states", states)
			is.Equal(broken, rule.violation)
			is.True(states < maxRuleStates) // the search ended by itself
		})
	}
}

// productAcknowledged lets the product's rule decide.
func productAcknowledged(history *groupState, at model.Mark) bool {
	return history.proxyView().Acknowledged(at)
}

func onPrimaryAnswer(*groupState, model.Mark) bool { return true }

// majorityOfAnyTerm counts every instance whose log has the entry, whatever term it is fenced with.
func majorityOfAnyTerm(history *groupState, at model.Mark) bool {
	count := 0
	for index := range history.replicas {
		replica := &history.replicas[index]
		position := int(at.Position())
		if position <= int(replica.length) && termOf(replica.log[position-1].term) == at.Term() {
			count++
		}
	}
	return count > instanceCount/2
}

// productStable lets the product's rule decide, for every term that the proxy may believe in.
func productStable(history *groupState, server int) bool {
	view := history.proxyView()
	status := history.replicas[server].status()
	return view.Primary() != nil && view.Stable(status.Tail())
}

func always(*groupState, int) bool { return true }

// searchRule visits every history up to maxTerm, breadth first, and returns the first broken promise.
func searchRule(rule rule) (string, int) {
	start := initialState()
	seen := map[groupState]bool{start: true}
	queue := []groupState{start}
	for len(queue) > 0 && len(seen) < maxRuleStates {
		current := queue[0]
		queue = queue[1:]
		if broken := current.violation(); broken != "" {
			return broken, len(seen)
		}
		for _, next := range successors(rule, current) {
			if !seen[next] {
				seen[next] = true
				queue = append(queue, next)
			}
		}
	}
	return "", len(seen)
}

func successors(rule rule, current groupState) []groupState {
	var next []groupState
	for index := range current.replicas {
		next = append(next, writeSteps(current, index)...)
		next = append(next, replicationSteps(current, index)...)
	}
	next = append(next, reportSteps(rule, current)...)
	return append(next, promotionSteps(rule, current)...)
}

// writeSteps returns what the write and its tombstone can do on one instance. The
// write runs only in the term that it was sent in and only while the ledger has no row of it.
func writeSteps(current groupState, index int) []groupState {
	primary := &current.replicas[index]
	if !primary.isPrimary() {
		return nil
	}
	var next []groupState
	free := primary.find(kindWrite) < 0 && primary.find(kindTombstone) < 0
	if current.sentTerm == 0 {
		sent := current
		sent.sentTerm = primary.leadsTerm
		next = append(next, sent)
	}
	if current.sentTerm == primary.leadsTerm && !current.ran && free {
		ran := current
		ran.ran = true
		ran.replicas[index].append(logEntry{term: primary.leadsTerm, kind: kindWrite})
		next = append(next, ran)
	}
	if current.sentTerm != 0 && free {
		settled := current
		settled.replicas[index].append(logEntry{term: primary.leadsTerm, kind: kindTombstone})
		next = append(next, settled)
	}
	return next
}

// replicationSteps returns what other instances can take from a primary.
func replicationSteps(current groupState, index int) []groupState {
	primary := current.replicas[index]
	if !primary.isPrimary() {
		return nil
	}
	var next []groupState
	for other := range current.replicas {
		if other == index || current.replicas[other].fence > primary.fence {
			continue
		}
		changed := current
		if changed.replicas[other].fence < primary.fence {
			changed.replicas[other].fenceWith(primary.fence)
			changed.replicas[other].recordReplicated()
			next = append(next, changed)
			continue
		}
		if changed.replicas[other].copyNextEntry(&primary) {
			next = append(next, changed)
		}
	}
	return next
}

// reportSteps returns what the caller and the readers can be told.
func reportSteps(rule rule, current groupState) []groupState {
	var next []groupState
	for index := range current.replicas {
		replica := &current.replicas[index]
		if at := replica.find(kindWrite); at >= 0 && !current.reportedDone && rule.writeDone(&current, markAt(replica, at)) {
			told := current
			told.reportedDone = true
			next = append(next, told)
		}
		if at := replica.find(kindTombstone); at >= 0 && !current.reportedNotRun && rule.tombstoneDone(&current, markAt(replica, at)) {
			told := current
			told.reportedNotRun = true
			next = append(next, told)
		}
		if replica.find(kindWrite) >= 0 && !current.shownByRead && rule.mayShow(&current, index) {
			told := current
			told.shownByRead = true
			next = append(next, told)
		}
	}
	return next
}

func markAt(replica *replica, index int) model.Mark {
	return markOf(replica.log[index].term, uint8(index+1))
}

// promotionSteps returns what a promoter can do: fence a majority and let its most advanced instance lead.
func promotionSteps(rule rule, current groupState) []groupState {
	term := uint8(0)
	for index := range current.replicas {
		term = max(term, current.replicas[index].fence)
	}
	term++
	if term > maxTerm {
		return nil
	}
	var next []groupState
	for absent := range current.replicas {
		promoted := current
		best := -1
		for index := range promoted.replicas {
			if index == absent {
				continue
			}
			promoted.replicas[index].fenceWith(term)
			if best < 0 || !promoted.replicas[best].status().Tail().Covers(promoted.replicas[index].status().Tail()) {
				best = index
			}
		}
		promoted.replicas[best].leadsTerm = term
		if rule.writesFirstEntry {
			promoted.replicas[best].append(logEntry{term: term})
		}
		next = append(next, promoted)
	}
	return next
}

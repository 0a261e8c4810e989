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

// rule is the product's acknowledgement rule or a variant of it: whether each term starts
// with an entry, when a write and a tombstone are reported to the caller, and which data a
// read may return. violation is the one that the search must find.
type rule struct {
	name             string
	writesFirstEntry bool
	writeDone        func(group *groupState, at model.Mark) bool
	tombstoneDone    func(group *groupState, at model.Mark) bool
	mayShow          func(group *groupState, instance int) bool
	violation        string
}

var rules = []rule{
	{"product", true, productAcknowledged, productAcknowledged, productStable, ""},
	{"acknowledges on the primary's answer", true, onPrimaryAnswer, productAcknowledged, productStable, "an acknowledged write is lost"},
	{"counts statuses of any term", true, majorityOfAnyTerm, productAcknowledged, productStable, "an acknowledged write is lost"},
	{"writes no first entry of a term", false, majorityOfAnyTerm, productAcknowledged, productStable, "an acknowledged write is lost"},
	{"reports not run on the primary's answer", true, productAcknowledged, onPrimaryAnswer, productStable, "a write that was reported as not run is in the log"},
	{"returns data of any instance", true, productAcknowledged, productAcknowledged, always, "a write that a read returned is lost"},
}

func TestAcknowledgementRules(t *testing.T) {
	for _, rule := range rules {
		t.Run(rule.name, func(t *testing.T) {
			is := is.New(t)
			violation, states := searchRule(rule)
			t.Logf("%d states", states)
			is.Equal(violation, rule.violation)
			is.True(states < maxRuleStates) // the search was exhaustive or found a violation
		})
	}
}

// productAcknowledged applies the product's rule.
func productAcknowledged(group *groupState, at model.Mark) bool {
	return group.proxyView().Acknowledged(at)
}

func onPrimaryAnswer(*groupState, model.Mark) bool { return true }

// majorityOfAnyTerm counts every instance whose log contains the entry, in whichever term it is
// fenced.
func majorityOfAnyTerm(group *groupState, at model.Mark) bool {
	count := 0
	for index := range group.replicas {
		replica := &group.replicas[index]
		position := int(at.Position())
		if position <= int(replica.length) && termOf(replica.log[position-1].term) == at.Term() {
			count++
		}
	}
	return count > instanceCount/2
}

// productStable applies the product's rule, in every term that the proxy may consider current.
func productStable(group *groupState, instance int) bool {
	view := group.proxyView()
	status := group.replicas[instance].status()
	return view.Primary() != nil && view.Stable(status.Tail())
}

func always(*groupState, int) bool { return true }

// searchRule visits every reachable state up to maxTerm, breadth first. It returns the first
// violation and the number of visited states.
func searchRule(rule rule) (string, int) {
	start := initialState()
	seen := map[groupState]bool{start: true}
	queue := []groupState{start}
	for len(queue) > 0 && len(seen) < maxRuleStates {
		current := queue[0]
		queue = queue[1:]
		if violation := current.violation(); violation != "" {
			return violation, len(seen)
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

// writeSteps returns the states after the write is sent, runs or is replaced by a tombstone on
// one instance. The write runs only in the term in which it was sent, and only while the
// ledger has no row for it.
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

// replicationSteps returns the states after another instance adopts the fence of a primary or
// copies the next entry of its log.
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

// reportSteps returns the states after the outcome of the write is reported to its caller or a
// read returns the write.
func reportSteps(rule rule, current groupState) []groupState {
	var next []groupState
	for index := range current.replicas {
		replica := &current.replicas[index]
		if at := replica.find(kindWrite); at >= 0 && !current.reportedDone && rule.writeDone(&current, markAt(replica, at)) {
			reported := current
			reported.reportedDone = true
			next = append(next, reported)
		}
		if at := replica.find(kindTombstone); at >= 0 && !current.reportedNotRun && rule.tombstoneDone(&current, markAt(replica, at)) {
			reported := current
			reported.reportedNotRun = true
			next = append(next, reported)
		}
		if replica.find(kindWrite) >= 0 && !current.shownByRead && rule.mayShow(&current, index) {
			reported := current
			reported.shownByRead = true
			next = append(next, reported)
		}
	}
	return next
}

func markAt(replica *replica, index int) model.Mark {
	return markOf(replica.log[index].term, uint8(index+1))
}

// promotionSteps returns the states after a promotion in the next term: a majority is fenced and
// its most advanced instance becomes primary.
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

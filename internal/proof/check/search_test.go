package check

import (
	"testing"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/model"
)

const (
	maxTerm   = 5
	maxStates = 4_000_000
)

// rule is what a variant of the product decides: whether a term starts with an
// entry, when a write is done, when a tombstone is, and what a read shows.
type rule struct {
	name       string
	firstEntry bool
	final      func(history *history, at model.Mark) bool
	settled    func(history *history, at model.Mark) bool
	shows      func(history *history, server int) bool
	broken     string
}

var rules = []rule{
	{"product", true, acknowledged, acknowledged, stable, ""},
	{"acknowledges on the primary's answer", true, onAnswer, acknowledged, stable, "an acknowledged write is lost"},
	{"counts reports of any term", true, anyTerm, acknowledged, stable, "an acknowledged write is lost"},
	{"writes no first entry of a term", false, anyTerm, acknowledged, stable, "an acknowledged write is lost"},
	{"reports not run on the primary's answer", true, acknowledged, onAnswer, stable, "a write that was reported as not run is in the log"},
	{"shows what any instance has", true, acknowledged, acknowledged, always, "a write that a read showed is taken away"},
}

func TestRules(t *testing.T) {
	for _, rule := range rules {
		t.Run(rule.name, func(t *testing.T) {
			is := is.New(t)
			broken, states := search(rule)
			t.Logf("%d states", states)
			is.Equal(broken, rule.broken)
			is.True(states < maxStates) // the search ended by itself
		})
	}
}

// acknowledged lets the product's rule decide.
func acknowledged(history *history, at model.Mark) bool { return history.view().Acknowledged(at) }

func onAnswer(*history, model.Mark) bool { return true }

// anyTerm counts every instance whose log has the entry, whatever term it is fenced with.
func anyTerm(history *history, at model.Mark) bool {
	count := 0
	for index := range history.replicas {
		replica := &history.replicas[index]
		position := int(at.Position())
		if position <= int(replica.length) && termOf(replica.log[position-1].term) == at.Term() {
			count++
		}
	}
	return count > size/2
}

// stable lets the product's rule decide, for every term that the proxy may believe in.
func stable(history *history, server int) bool {
	view := history.view()
	status := history.replicas[server].status()
	return view.Primary() != nil && view.Stable(status.Tail())
}

func always(*history, int) bool { return true }

// search visits every history up to maxTerm, breadth first, and returns the first broken promise.
func search(rule rule) (string, int) {
	start := newHistory()
	seen := map[history]bool{start: true}
	queue := []history{start}
	for len(queue) > 0 && len(seen) < maxStates {
		current := queue[0]
		queue = queue[1:]
		if broken := current.broken(); broken != "" {
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

func successors(rule rule, current history) []history {
	var next []history
	for index := range current.replicas {
		next = append(next, writes(current, index)...)
		next = append(next, copies(current, index)...)
	}
	next = append(next, verdicts(rule, current)...)
	return append(next, promotions(rule, current)...)
}

// writes returns what the write and its tombstone can do on one instance. The
// write runs only in the term that it was sent in and only while the ledger has no row of it.
func writes(current history, index int) []history {
	primary := &current.replicas[index]
	if !primary.leading() {
		return nil
	}
	var next []history
	free := primary.find(kindWrite) < 0 && primary.find(kindTombstone) < 0
	if current.sent == 0 {
		sent := current
		sent.sent = primary.leads
		next = append(next, sent)
	}
	if current.sent == primary.leads && !current.ran && free {
		ran := current
		ran.ran = true
		ran.replicas[index].append(entry{term: primary.leads, kind: kindWrite})
		next = append(next, ran)
	}
	if current.sent != 0 && free {
		settled := current
		settled.replicas[index].append(entry{term: primary.leads, kind: kindTombstone})
		next = append(next, settled)
	}
	return next
}

// copies returns what other instances can take from a primary.
func copies(current history, index int) []history {
	primary := current.replicas[index]
	if !primary.leading() {
		return nil
	}
	var next []history
	for other := range current.replicas {
		if other == index || current.replicas[other].fence > primary.fence {
			continue
		}
		changed := current
		if changed.replicas[other].fence < primary.fence {
			changed.replicas[other].fenceWith(primary.fence)
			changed.replicas[other].prove()
			next = append(next, changed)
			continue
		}
		if changed.replicas[other].copyFrom(&primary) {
			next = append(next, changed)
		}
	}
	return next
}

// verdicts returns what the caller and the readers can be told.
func verdicts(rule rule, current history) []history {
	var next []history
	for index := range current.replicas {
		replica := &current.replicas[index]
		if at := replica.find(kindWrite); at >= 0 && !current.done && rule.final(&current, markAt(replica, at)) {
			told := current
			told.done = true
			next = append(next, told)
		}
		if at := replica.find(kindTombstone); at >= 0 && !current.notRun && rule.settled(&current, markAt(replica, at)) {
			told := current
			told.notRun = true
			next = append(next, told)
		}
		if replica.find(kindWrite) >= 0 && !current.shown && rule.shows(&current, index) {
			told := current
			told.shown = true
			next = append(next, told)
		}
	}
	return next
}

func markAt(replica *replica, index int) model.Mark {
	return markOf(replica.log[index].term, uint8(index+1))
}

// promotions returns what a promoter can do: fence a majority and let its most advanced instance lead.
func promotions(rule rule, current history) []history {
	term := uint8(0)
	for index := range current.replicas {
		term = max(term, current.replicas[index].fence)
	}
	term++
	if term > maxTerm {
		return nil
	}
	var next []history
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
		promoted.replicas[best].leads = term
		if rule.firstEntry {
			promoted.replicas[best].append(entry{term: term})
		}
		next = append(next, promoted)
	}
	return next
}

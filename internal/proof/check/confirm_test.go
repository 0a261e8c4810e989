package check

import (
	"flag"
	"fmt"
	"hash/maphash"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// This search covers what callers are told: a commit counts as acknowledged once the proxy has passed
// it on. The proxy reaches the primary, and the holder of the lease or not. An instance takes part in
// commits before the holder counts it, reports are as old as the attempt, and orders are carried out at
// any time after they were sent. One instance of the three joins.

const maxConfirmStates = 40_000_000

var largeSearches = flag.Bool("check.large", false, "also run the searches of more than three million states")

// server is the state of one instance.
type server struct {
	member
	term uint8 // the term that it follows
	// listed is set while its entry is in the store.
	listed bool
	// awaited is set if it ran, without an entry, when the attempt began.
	awaited bool
}

// holder is what the holder of the lease knows.
type holder struct {
	counted  uint8 // bit set of the instances that may have acknowledged commits
	ordered  int8  // the instance that an order which may still be carried out names
	leader   int8  // the last known primary
	term     uint8 // of leader
	alone    bool  // no order since leader has reported as primary named another instance
	reported bool  // the primary has reported since the lease was taken or an order has ended
}

// confirmState is a state of the model.
type confirmState struct {
	servers      [instanceCount]server
	primary      int8
	lastPrimary  int8 // the instance that was promoted last
	term         uint8
	commitCount  uint8
	positions    [maxCommits]uint8 // of each commit in the log
	terms        [maxCommits]uint8 // of each commit
	writers      [maxCommits]int8  // the primary of each commit
	replicated   uint8             // bit set of the commits of the current primary that a replica has
	acked        uint8             // bit set of the commits that the primary has acknowledged to the proxy
	told         uint8             // bit set of the commits that the proxy has passed on
	undone       uint8             // bit set of the commits that a promoted instance lacked
	holder       holder
	row          holder // the lease row
	attempt      promotionAttempt
	tokenCount   uint8
	highestToken uint8
	orders       [maxOrders]promotionOrder
	orderCount   uint8
	relied       uint8 // bit set of the instances that the proxy relies on without a holder
	reliedTerm   uint8
	attemptCount uint8
	crashCount   uint8
	holderCount  uint8
	endCount     uint8
	lost         bool // a primary lacks a commit that was passed on
}

func TestConfirmedCommitsSurvivePromotion(t *testing.T) {
	t.Parallel()
	for _, rule := range confirmers() {
		if rule.large && !*largeSearches {
			continue
		}
		t.Run(rule.name, func(t *testing.T) {
			is := is.New(t)
			steps, states := searchConfirmations(rule)
			t.Logf("%d states, steps to a lost commit: %v", states, steps)
			is.Equal(len(steps) > 0, rule.losesCommits)
			is.True(states < maxConfirmStates) // the search was exhaustive or found a lost commit
		})
	}
}

func initialConfirmState() confirmState {
	start := confirmState{term: 1, holder: holder{ordered: noInstance, term: 1, alone: true, reported: true}}
	for index := range start.servers {
		start.servers[index] = server{term: 1, listed: true}
		start.holder.counted |= commitBit(uint8(index))
	}
	joining := instanceCount - 1
	start.servers[joining] = server{member: member{absent: true, down: true}}
	start.holder.counted &^= commitBit(uint8(joining))
	start.row = start.holder
	start.row.reported = false
	start.relied, start.reliedTerm = start.holder.counted, 1
	return start
}

// confirmStep is a successor and what led to it.
type confirmStep struct {
	name  string
	index int // of the instance or the commit
	next  confirmState
}

func (step confirmStep) String() string { return fmt.Sprintf("%s %d", step.name, step.index) }

// searchConfirmations visits every reachable state, breadth first. It returns the steps to the first
// state in which a commit is lost, and the number of visited states. It keeps hashes of the visited
// states, each with that of the state before.
func searchConfirmations(rule confirmer) ([]confirmStep, int) {
	seed := maphash.MakeSeed()
	start := initialConfirmState()
	first := maphash.Comparable(seed, start)
	seen := map[uint64]uint64{first: 0}
	for level := []confirmState{start}; len(level) > 0 && len(seen) < maxConfirmStates; {
		var following []confirmState
		for _, current := range level {
			before := maphash.Comparable(seed, current)
			for _, step := range current.successors(rule) {
				hash := maphash.Comparable(seed, step.next)
				if _, ok := seen[hash]; ok {
					continue
				}
				seen[hash] = before
				following = append(following, step.next)
				if step.next.lost {
					path := []uint64{hash}
					for at := before; at != first; at = seen[at] {
						path = append(path, at)
					}
					slices.Reverse(path)
					return replay(rule, seed, path), len(seen)
				}
			}
		}
		level = following
	}
	return nil, len(seen)
}

// replay returns the steps to the states with the given hashes.
func replay(rule confirmer, seed maphash.Seed, path []uint64) []confirmStep {
	current := initialConfirmState()
	var steps []confirmStep
	for _, hash := range path {
		for _, step := range current.successors(rule) {
			if maphash.Comparable(seed, step.next) == hash {
				steps = append(steps, step)
				current = step.next
				break
			}
		}
	}
	return steps
}

func (current confirmState) successors(rule confirmer) []confirmStep {
	all := make([]confirmStep, 0, 24)
	all = current.commitSteps(rule, all)
	all = current.confirmSteps(rule, all)
	all = current.processSteps(rule, all)
	all = current.listSteps(rule, all)
	all = current.holderSteps(rule, all)
	all = current.promotionSteps(rule, all)
	return current.carryOutSteps(rule, all)
}

// commitSteps adds the states after a commit is written, received by a replica or acknowledged by
// the primary.
func (current confirmState) commitSteps(rule confirmer, all []confirmStep) []confirmStep {
	if current.primary == noInstance || current.servers[current.primary].down {
		return all
	}
	primary := &current.servers[current.primary]
	if current.commitCount < rule.commits {
		next := current
		written := commitEntry{commit: current.commitCount, term: current.term}
		next.servers[current.primary].append(written)
		next.positions[written.commit], next.terms[written.commit] = next.servers[current.primary].length, current.term
		next.writers[written.commit] = current.primary
		next.commitCount++
		all = append(all, confirmStep{"commit written", int(written.commit), next})
	}
	for index := range current.servers {
		replica := &current.servers[index]
		if int8(index) == current.primary || replica.down || replica.paused || replica.term != current.term || replica.length >= primary.length {
			continue
		}
		next := current
		added := primary.log[replica.length]
		next.servers[index].append(added)
		next.replicated |= commitBit(added.commit)
		next.servers[index].logLost = replica.logLost && next.servers[index].length < primary.length
		all = append(all, confirmStep{"received by", index, next})
	}
	for _, entry := range primary.log[:primary.length] {
		bit := commitBit(entry.commit)
		if entry.term == current.term && current.replicated&bit != 0 && current.acked&bit == 0 {
			next := current
			next.acked |= bit
			if rule.byPrimary {
				next.tell(entry.commit)
			}
			all = append(all, confirmStep{"primary acknowledges", int(entry.commit), next})
		}
	}
	return all
}

// tell passes on a commit.
func (current *confirmState) tell(commit uint8) {
	current.told |= commitBit(commit)
	current.lost = current.told&current.undone != 0
}

func (member *member) contains(commit uint8) bool {
	for _, entry := range member.log[:member.length] {
		if entry.commit == commit {
			return true
		}
	}
	return false
}

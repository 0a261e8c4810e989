package fuzz

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/tune"
)

const (
	minDelay = time.Millisecond
	maxDelay = 3 * time.Millisecond
)

var wallStart = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// proxyLogic is the decision code of one proxy: the product's kernel or a naive version.
type proxyLogic interface {
	Handle(now time.Duration, received event.Event) []event.Action
	Tick(now time.Duration) []event.Action
	Next() (time.Duration, bool)
}

// logicFactory makes the decision code of a proxy that starts at the given wall-clock time.
type logicFactory func(self model.ProxyView, settings *tune.Settings, started time.Time, seed uint64) proxyLogic

// simulation is a set of proxies, instances and callers on one fake clock.
type simulation struct {
	now            time.Duration
	random         *rand.Rand
	schedule       schedule
	scheduledCount uint64
	nodes          []*node
	instances      []*instance
	groups         []model.Group
	platform       *platform
	callers        []*caller
	oracle         *oracle
	newLogic       logicFactory
	settings       tune.Spec
}

// newSimulation returns a running world of groups of three instances, with the
// deployments "gradski" and "morning-table" accepted.
func newSimulation(seed uint64, groups, proxies int, brains logicFactory) *simulation {
	world := &simulation{random: rand.New(rand.NewPCG(seed, seed)), newLogic: brains, settings: tune.Default()}
	world.oracle = newOracle(world)
	world.platform = newPlatform(world)
	for index := range groups {
		world.addGroup(model.GroupID(fmt.Sprintf("katalog-%d", index+1)))
	}
	for range proxies {
		world.startNode()
	}
	world.run(3 * time.Second)
	world.applyInitialDeployments()
	world.run(3 * time.Second)
	return world
}

func (world *simulation) addGroup(id model.GroupID) {
	var members []model.Instance
	for index, suffix := range []string{"a", "b", "c"} {
		name := model.InstanceID(string(id) + "-" + suffix)
		dataCenter := []model.DataCenter{"gradska-dvorana", "sveuciliste-dc", "trnje-hall"}[index]
		members = append(members, model.NewInstance(name, string(name)+":5432", dataCenter))
	}
	world.groups = append(world.groups, model.NewGroup(id, members))
	for index, member := range members {
		world.instances = append(world.instances, newInstance(world, id, member, index == 0))
	}
}

func (world *simulation) instance(id model.InstanceID) *instance {
	for _, candidate := range world.instances {
		if candidate.id == id {
			return candidate
		}
	}
	return nil
}

// primaryOf returns the live instance that leads the highest term of a group, or nil.
func (world *simulation) primaryOf(group model.GroupID) *instance {
	var best *instance
	for _, candidate := range world.members(group) {
		if candidate.primary && (best == nil || candidate.fence > best.fence) {
			best = candidate
		}
	}
	for _, candidate := range world.members(group) {
		if best != nil && candidate.fence > best.fence {
			return nil
		}
	}
	return best
}

func (world *simulation) members(group model.GroupID) []*instance {
	var members []*instance
	for _, candidate := range world.instances {
		if candidate.group == group {
			members = append(members, candidate)
		}
	}
	return members
}

// after calls callback when delay has passed.
func (world *simulation) after(delay time.Duration, callback func()) {
	world.scheduledCount++
	heap.Push(&world.schedule, &scheduledCall{at: world.now + delay, sequence: world.scheduledCount, callback: callback})
}

// delay returns a random network delay.
func (world *simulation) delay() time.Duration {
	return minDelay + time.Duration(world.random.Int64N(int64(maxDelay-minDelay)))
}

// run lets the given time pass.
func (world *simulation) run(duration time.Duration) {
	end := world.now + duration
	for {
		next, ok := world.nextDue()
		if !ok || next > end {
			world.now = end
			return
		}
		world.now = max(world.now, next)
		world.step()
	}
}

// runUntil lets time pass until done or the limit is reached.
func (world *simulation) runUntil(limit time.Duration, done func() bool) {
	end := world.now + limit
	for !done() {
		next, ok := world.nextDue()
		if !ok || next > end {
			world.now = end
			return
		}
		world.now = max(world.now, next)
		world.step()
	}
}

func (world *simulation) nextDue() (time.Duration, bool) {
	var earliest time.Duration
	found := false
	if len(world.schedule) > 0 {
		earliest, found = world.schedule[0].at, true
	}
	for _, node := range world.nodes {
		at, ok := node.nextDue()
		if ok && (!found || at < earliest) {
			earliest, found = at, true
		}
	}
	return earliest, found
}

func (world *simulation) step() {
	if len(world.schedule) > 0 && world.schedule[0].at <= world.now {
		heap.Pop(&world.schedule).(*scheduledCall).callback()
		return
	}
	for _, node := range world.nodes {
		if at, ok := node.nextDue(); ok && at <= world.now {
			node.tick()
			return
		}
	}
}

type scheduledCall struct {
	at       time.Duration
	sequence uint64
	callback func()
}

type schedule []*scheduledCall

func (schedule schedule) Len() int { return len(schedule) }

func (schedule schedule) Less(left, right int) bool {
	if schedule[left].at != schedule[right].at {
		return schedule[left].at < schedule[right].at
	}
	return schedule[left].sequence < schedule[right].sequence
}

func (schedule schedule) Swap(left, right int) {
	schedule[left], schedule[right] = schedule[right], schedule[left]
}

func (schedule *schedule) Push(value any) { *schedule = append(*schedule, value.(*scheduledCall)) }

func (schedule *schedule) Pop() any {
	last := len(*schedule) - 1
	removed := (*schedule)[last]
	*schedule = (*schedule)[:last]
	return removed
}

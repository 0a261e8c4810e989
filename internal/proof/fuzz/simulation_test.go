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

// proxyLogic is the decision code of one proxy: the product's kernel or the naive
// implementation.
type proxyLogic interface {
	Handle(now time.Duration, received event.Event) []event.Action
	Tick(now time.Duration) []event.Action
	Next() (time.Duration, bool)
}

// logicFactory returns the decision code of a proxy that starts at the given
// wall-clock time.
type logicFactory func(self model.ProxyView, settings *tune.Settings, started time.Time, seed uint64) proxyLogic

// simulation runs proxies, instances, callers and the platform on one fake clock.
type simulation struct {
	now            time.Duration
	random         *rand.Rand
	schedule       schedule
	scheduledCount uint64
	proxies        []*proxy
	instances      []*instance
	groups         []model.Group
	platform       *platform
	callers        []*caller
	oracle         *oracle
	newLogic       logicFactory
	settings       tune.Spec
}

// newSimulation returns a running simulation of groups of three instances, with the
// deployments "gradski" and "morning-table" accepted.
func newSimulation(seed uint64, groups, proxies int, newLogic logicFactory) *simulation {
	simulation := &simulation{random: rand.New(rand.NewPCG(seed, seed)), newLogic: newLogic, settings: tune.Default()}
	simulation.oracle = newOracle(simulation)
	simulation.platform = newPlatform(simulation)
	for index := range groups {
		simulation.addGroup(model.GroupID(fmt.Sprintf("katalog-%d", index+1)))
	}
	for range proxies {
		simulation.startProxy()
	}
	simulation.run(3 * time.Second)
	simulation.applyInitialDeployments()
	simulation.run(3 * time.Second)
	return simulation
}

func (simulation *simulation) addGroup(id model.GroupID) {
	var members []model.Instance
	for index, suffix := range []string{"a", "b", "c"} {
		name := model.InstanceID(string(id) + "-" + suffix)
		dataCenter := []model.DataCenter{"gradska-dvorana", "sveuciliste-dc", "trnje-hall"}[index]
		members = append(members, model.NewInstance(name, string(name)+":5432", dataCenter))
	}
	simulation.groups = append(simulation.groups, model.NewGroup(id, members))
	for index, member := range members {
		simulation.instances = append(simulation.instances, newInstance(simulation, id, member, index == 0))
	}
}

func (simulation *simulation) instance(id model.InstanceID) *instance {
	for _, candidate := range simulation.instances {
		if candidate.id == id {
			return candidate
		}
	}
	return nil
}

// primaryOf returns the primary of the highest term of a group, alive or not. It
// returns nil if a member has a higher fence, for example during a promotion.
func (simulation *simulation) primaryOf(group model.GroupID) *instance {
	var best *instance
	for _, candidate := range simulation.members(group) {
		if candidate.primary && (best == nil || candidate.fence > best.fence) {
			best = candidate
		}
	}
	for _, candidate := range simulation.members(group) {
		if best != nil && candidate.fence > best.fence {
			return nil
		}
	}
	return best
}

func (simulation *simulation) members(group model.GroupID) []*instance {
	var members []*instance
	for _, candidate := range simulation.instances {
		if candidate.group == group {
			members = append(members, candidate)
		}
	}
	return members
}

// runAfter schedules callback to run after delay.
func (simulation *simulation) runAfter(delay time.Duration, callback func()) {
	simulation.scheduledCount++
	heap.Push(&simulation.schedule, &scheduledCall{at: simulation.now + delay, sequence: simulation.scheduledCount, callback: callback})
}

// delay returns a random network delay.
func (simulation *simulation) delay() time.Duration {
	return minDelay + time.Duration(simulation.random.Int64N(int64(maxDelay-minDelay)))
}

// run advances the simulated time by duration.
func (simulation *simulation) run(duration time.Duration) {
	end := simulation.now + duration
	for {
		next, ok := simulation.nextDue()
		if !ok || next > end {
			simulation.now = end
			return
		}
		simulation.now = max(simulation.now, next)
		simulation.step()
	}
}

// runUntil advances the simulated time until done returns true or limit has passed.
func (simulation *simulation) runUntil(limit time.Duration, done func() bool) {
	end := simulation.now + limit
	for !done() {
		next, ok := simulation.nextDue()
		if !ok || next > end {
			simulation.now = end
			return
		}
		simulation.now = max(simulation.now, next)
		simulation.step()
	}
}

func (simulation *simulation) nextDue() (time.Duration, bool) {
	var earliest time.Duration
	found := false
	if len(simulation.schedule) > 0 {
		earliest, found = simulation.schedule[0].at, true
	}
	for _, proxy := range simulation.proxies {
		at, ok := proxy.nextDue()
		if ok && (!found || at < earliest) {
			earliest, found = at, true
		}
	}
	return earliest, found
}

func (simulation *simulation) step() {
	if len(simulation.schedule) > 0 && simulation.schedule[0].at <= simulation.now {
		heap.Pop(&simulation.schedule).(*scheduledCall).callback()
		return
	}
	for _, proxy := range simulation.proxies {
		if at, ok := proxy.nextDue(); ok && at <= simulation.now {
			proxy.tick()
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

package limit

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/codes"
)

// rankedSpec describes a lane and the number of its waiters.
type rankedSpec struct {
	name     string
	priority int
	weight   int
	work     time.Duration
	waiters  int
}

func (rankedSpec rankedSpec) lane() lane {
	return lane{key: laneKey{deployment: rankedSpec.name}, priority: rankedSpec.priority, weight: max(1, rankedSpec.weight), work: rankedSpec.work}
}

func newLanes(turnInterval int, specs []rankedSpec) *lanes {
	lanes := &lanes{turnInterval: turnInterval}
	for _, spec := range specs {
		for range spec.waiters {
			lanes.push(spec.lane(), []string{spec.name}, flowSpec{deployment: spec.name}.newWaiter())
		}
	}
	return lanes
}

// order pops count waiters and returns the first letters of their lanes.
func (lanes *lanes) order(count int) string {
	var order string
	for range min(count, lanes.size) {
		order += lanes.pop().SlotRequest().Job.Deployment().Name()[:1]
	}
	return order
}

func TestLaneOrder(t *testing.T) {
	const short, long = 8 * time.Millisecond, 40 * time.Millisecond
	tests := []struct {
		name         string
		turnInterval int
		lanes        []rankedSpec
		order        string
	}{
		{"higher priority first", 100, []rankedSpec{{name: "a", priority: 2, waiters: 2}, {name: "b", priority: 1, waiters: 2}}, "bbaa"},
		{"negative priority first", 100, []rankedSpec{{name: "a", waiters: 2}, {name: "b", priority: -1, waiters: 2}}, "bbaa"},
		{"priority goes before work", 100, []rankedSpec{{name: "a", priority: 2, work: short, waiters: 2}, {name: "b", priority: 1, work: long, waiters: 2}}, "bbaa"},
		{"least work first", 100, []rankedSpec{{name: "a", work: long, waiters: 2}, {name: "b", work: short, waiters: 2}}, "bbaa"},
		{"similar work in turn", 100, []rankedSpec{{name: "a", work: long, waiters: 2}, {name: "b", work: 9 * long / 10, waiters: 2}}, "abab"},
		{"similar work by weight", 100, []rankedSpec{{name: "a", weight: 2, waiters: 4}, {name: "b", waiters: 2}}, "aabaab"},
		{"no lane starves", 3, []rankedSpec{{name: "a", work: short, waiters: 9}, {name: "b", work: long, waiters: 2}, {name: "c", priority: 1, waiters: 2}}, "aabaacaabaaca"},
		{"rank has no effect", 1, []rankedSpec{{name: "a", work: long, waiters: 2}, {name: "b", work: short, waiters: 2}}, "abab"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			lanes := newLanes(test.turnInterval, test.lanes)
			is.Equal(lanes.order(len(test.order)), test.order)
			is.Equal(lanes.size, 0)
			is.Equal(len(lanes.list), 0)
		})
	}
}

// The place that is expected for a request is close to the one that it gets if no other
// request arrives meanwhile, and never better than first.
func TestPlace(t *testing.T) {
	const short, long = 8 * time.Millisecond, 40 * time.Millisecond
	tests := []struct {
		name  string
		lanes []rankedSpec
		added rankedSpec
	}{
		{"empty queue", nil, rankedSpec{name: "x"}},
		{"own lane only", []rankedSpec{{name: "x", waiters: 5}}, rankedSpec{name: "x"}},
		{"highest priority", []rankedSpec{{name: "a", priority: 2, work: short, waiters: 12}}, rankedSpec{name: "x", priority: 1, work: long}},
		{"least work", []rankedSpec{{name: "a", work: long, waiters: 12}, {name: "x", work: short, waiters: 2}}, rankedSpec{name: "x", work: short}},
		{"most work", []rankedSpec{{name: "a", work: short, waiters: 6}}, rankedSpec{name: "x", work: long}},
		{"by turn", []rankedSpec{{name: "a", work: short, waiters: 200}}, rankedSpec{name: "x", work: long}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			lanes := newLanes(DefaultPolicy().TurnInterval, test.lanes)
			place := lanes.place(test.added.lane())
			added := flowSpec{deployment: "last"}.newWaiter()
			lanes.push(test.added.lane(), []string{test.added.name}, added)
			popped := 1
			for lanes.pop() != added {
				popped++
			}
			is.True(place >= 1)
			is.True(math.Abs(place-float64(popped)) <= float64(DefaultPolicy().TurnInterval))
		})
	}
}

func TestRemoveFromLane(t *testing.T) {
	is := is.New(t)
	lanes := newLanes(8, []rankedSpec{{name: "a", waiters: 1}})
	path, key := []string{"b"}, laneKey{deployment: "b"}
	waiter := flowSpec{deployment: "b"}.newWaiter()
	is.True(!lanes.remove(key, path, waiter))
	lanes.push(lane{key: key, weight: 1}, path, waiter)
	is.True(lanes.remove(key, path, waiter))
	is.True(!lanes.remove(key, path, waiter))
	is.Equal(lanes.order(9), "a")
}

// A request is judged by its own place: one with a high priority waits although the queue
// is long, and one that would come last is denied at once.
func TestOwnPlaceDecides(t *testing.T) {
	tests := []struct {
		name     string
		priority int
		code     codes.Code
	}{
		{"higher priority than the queue", 0, codes.OK},
		{"lower priority than the queue", 2, codes.Overloaded},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			limits := newLimits(1)
			for range 40 {
				limits.Acquire(flowSpec{deployment: "many", priority: 1}.newWaiter())
			}
			standing := DefaultPolicy().BurstTolerance
			limits.context.Timers().Advance(standing)
			limits.instanceLimit(instance).progressAt = standing // a slot was granted just now
			// The queue of 39 waiters takes 195 ms.
			added := flowSpec{deployment: "one", priority: test.priority, target: standing + 50*time.Millisecond}.newWaiter()
			limits.Acquire(added)
			is.Equal(added.code, test.code)
		})
	}
}

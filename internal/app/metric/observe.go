package metric

import (
	"runtime"
	"time"

	"almondway.dev/almondway/internal/core/count"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/port"
	"almondway.dev/almondway/internal/core/state"
)

// ObserveState updates the metrics of the kernel's shared state. It must be called in the
// kernel's loop; now is the time of the kernel's clock.
func ObserveState(registry *Registry, shared *state.State, now time.Duration) {
	revision, known := shared.Revision()
	registry.Gauge("revision").Update(int64(revision))
	registry.Gauge("revision_known").Update(boolToInt(known))
	registry.Gauge("revision_confirmed").Update(boolToInt(shared.Confirmed()))
	registry.Gauge("draining").Update(boolToInt(shared.Draining()))
	registry.Gauge("may_promote").Update(boolToInt(shared.Promoter() != 0))
	registry.Gauge("deployments").Update(int64(len(shared.Deployments())))
	registry.Gauge("proxies").Update(int64(len(shared.Proxies())))
	registry.Gauge("groups").Update(int64(len(shared.Groups())))
	var withoutPrimary, unreachable, leaving int64
	for _, group := range shared.Groups() {
		withoutPrimary += boolToInt(group.Primary() == nil)
		if age, ok := group.MarkAge(now); ok {
			registry.FloatGauge("mark_age_seconds", NewLabel("group", string(group.ID()))).Update(age.Seconds())
		}
		if view := group.LoadView(); view.At > 0 {
			registry.FloatGauge("load_evenness", NewLabel("group", string(group.ID()))).Update(view.Evenness)
			registry.FloatGauge("load_report_age_seconds", NewLabel("group", string(group.ID()))).Update((view.Age + now - view.At).Seconds())
		}
		for _, member := range group.Members() {
			unreachable += boolToInt(member.Failures() > 0)
			leaving += boolToInt(member.Leaving())
		}
	}
	for _, list := range model.ListNames() {
		if checkedAt, ok := shared.ListCheckedAt(list); ok {
			registry.FloatGauge("list_age_seconds", NewLabel("list", string(list))).Update((now - checkedAt).Seconds())
		}
	}
	registry.Gauge("groups_without_primary").Update(withoutPrimary)
	registry.Gauge("instances_unreachable").Update(unreachable)
	registry.Gauge("instances_leaving").Update(leaving)
	observeCounts(registry, shared.Counts())
}

// ObserveLists updates the counters of the calls for the platform's lists.
func ObserveLists(registry *Registry, lists []port.ListStatus) {
	for _, list := range lists {
		label := NewLabel("list", list.Name)
		observeOutcomes(registry, "list_calls_total", label, list.Answered, list.Failed)
		registry.Gauge("list_unreadable_entries", label).Update(int64(list.Unreadable))
	}
}

// ObserveCalls updates the counters of the calls to the platform's store.
func ObserveCalls(registry *Registry, calls []port.CallCount) {
	for _, call := range calls {
		label := NewLabel("purpose", call.Purpose)
		observeOutcomes(registry, "store_calls_total", label, call.Answered, call.Failed)
	}
}

// ObserveAnswers updates the counters of the answers of instances that were not used.
func ObserveAnswers(registry *Registry, answers port.AnswerCounts) {
	for kind, value := range map[string]uint64{"repeated": answers.Repeated, "unmatched": answers.Unmatched} {
		counter := registry.Counter("instance_answers_unused_total", NewLabel("kind", kind))
		counter.Inc(int64(value) - counter.Count())
	}
}

// observeOutcomes sets the counters of answered and failed calls.
func observeOutcomes(registry *Registry, name string, label Label, answered, failed uint64) {
	for outcome, value := range map[string]uint64{"answered": answered, "failed": failed} {
		counter := registry.Counter(name, label, NewLabel("outcome", outcome))
		counter.Inc(int64(value) - counter.Count())
	}
}

// observeCounts updates the kernel's counters and adds the failover gaps since the last
// call to their summary.
func observeCounts(registry *Registry, counts *count.Counts) {
	for _, name := range count.Names() {
		counter := registry.Counter(name.String() + "_total")
		counter.Inc(int64(counts.Value(name)) - counter.Count())
	}
	gaps := registry.Timer("failover_gap_seconds")
	for _, gap := range counts.TakeFailoverGaps() {
		gaps.Update(gap)
	}
}

// ObserveRuntime updates the gauges of the Go runtime and the uptime.
func ObserveRuntime(registry *Registry, uptime time.Duration) {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	registry.Gauge("uptime_seconds").Update(int64(uptime / time.Second))
	registry.Gauge("goroutines").Update(int64(runtime.NumGoroutine()))
	registry.Gauge("heap_bytes").Update(int64(memory.HeapAlloc))
	registry.Gauge("memory_bytes").Update(int64(memory.Sys))
}

func boolToInt(value bool) int64 {
	if value {
		return 1
	}
	return 0
}

package metric

import (
	"fmt"

	"github.com/rcrowley/go-metrics"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/port"
	"almondway.dev/almondway/internal/core/state"
)

// maxCounters limits the labeled counters of a DecisionLog. Further decisions are counted
// in one counter without labels.
const maxCounters = 10000

// maxHistograms limits the labeled histograms of a DecisionLog, each of which has sixteen
// lines in the Prometheus text format.
const maxHistograms = 1000

// readEvent is the name of the decision that completes a read.
const readEvent = "route_read"

// Values of the label role.
const (
	rolePrimary = "primary"
	roleReplica = "replica"
	roleNone    = "none"
)

// counterKey identifies a counter of decisions by its labels.
type counterKey struct {
	event      string
	deployment string
	kind       string
	role       string
	code       codes.Code
}

// DecisionLog counts decisions and passes them to the next port.DecisionLog. It is used
// only by the kernel's loop.
type DecisionLog struct {
	registry   *Registry
	next       port.DecisionLog
	shared     *state.State
	counters   map[counterKey]metrics.Counter
	histograms map[histogramKey]*Histogram
	reads      map[string]*readCounts
}

// histogramKey identifies a histogram of durations by its metric and labels.
type histogramKey struct {
	metric string
	// label is the name of the label that has value.
	label      string
	value      string
	deployment string
	kind       string
	code       codes.Code
}

// readCounts counts the answered reads of a deployment.
type readCounts struct {
	total     int64
	byReplica int64
}

// NewDecisionLog returns a DecisionLog that passes decisions to next. It reads shared in
// the kernel's loop to determine the role of an instance.
func NewDecisionLog(registry *Registry, next port.DecisionLog, shared *state.State) *DecisionLog {
	return &DecisionLog{
		registry:   registry,
		next:       next,
		shared:     shared,
		counters:   make(map[counterKey]metrics.Counter),
		histograms: make(map[histogramKey]*Histogram),
		reads:      make(map[string]*readCounts),
	}
}

// Record implements port.DecisionLog.
func (decisionLog *DecisionLog) Record(decision model.Decision) {
	key := counterKey{event: decision.Name, code: decision.Code}
	if decision.IsRouting() {
		key.role = decisionLog.roleOf(decision.Instance)
	}
	if decision.IsRouting() && !isInvalidRequest(decision.Code) {
		key.deployment = decision.Deployment
		key.kind = decision.Kind
	}
	decisionLog.counter(key).Inc(1)
	if decision.Took > 0 {
		decisionLog.observeDurations(decision, key)
	}
	if key.event == readEvent && key.code == codes.OK {
		decisionLog.countRead(key)
	}
	decisionLog.next.Record(decision)
}

// ObserveReadShares updates the gauges of the share of reads that replicas served, one
// for each deployment.
func (decisionLog *DecisionLog) ObserveReadShares() {
	for deployment, counts := range decisionLog.reads {
		share := float64(counts.byReplica) / float64(counts.total)
		decisionLog.registry.FloatGauge("replica_read_share", NewLabel("deployment", deployment)).Update(share)
	}
}

// observeDurations records the durations of a decision in histograms. Those of a request
// are its total time, its wait before execution and its time at the instance; that of
// any other decision is the time from the start of a promotion to the phase.
func (decisionLog *DecisionLog) observeDurations(decision model.Decision, key counterKey) {
	if !decision.IsRouting() {
		decisionLog.histogram(histogramKey{metric: "phase_seconds", label: "event", value: decision.Name}).Update(decision.Took)
		return
	}
	request := histogramKey{
		metric: "request_seconds", label: "role", value: key.role,
		deployment: key.deployment, kind: key.kind, code: decision.Code,
	}
	decisionLog.histogram(request).Update(decision.Took)
	if decision.Instance == "" {
		return
	}
	instance := string(decision.Instance)
	decisionLog.histogram(histogramKey{metric: "wait_seconds", label: "instance", value: instance}).Update(decision.Waited)
	if decision.Code == codes.OK {
		decisionLog.histogram(histogramKey{metric: "instance_seconds", label: "instance", value: instance}).Update(decision.Took - decision.Waited)
	}
}

// histogram returns the histogram of the key. Keys beyond maxHistograms share one
// histogram per metric.
func (decisionLog *DecisionLog) histogram(key histogramKey) *Histogram {
	if histogram, ok := decisionLog.histograms[key]; ok {
		return histogram
	}
	if len(decisionLog.histograms) >= maxHistograms {
		return decisionLog.registry.Histogram("other_" + key.metric)
	}
	labels := []Label{NewLabel(key.label, key.value)}
	if key.label == "role" {
		labels = append(
			labels,
			NewLabel("code", fmt.Sprintf("AW%03d", int(key.code))),
			NewLabel("deployment", key.deployment),
			NewLabel("kind", key.kind),
		)
	}
	histogram := decisionLog.registry.Histogram(key.metric, labels...)
	decisionLog.histograms[key] = histogram
	return histogram
}

func (decisionLog *DecisionLog) countRead(key counterKey) {
	counts, ok := decisionLog.reads[key.deployment]
	if !ok {
		counts = &readCounts{}
		decisionLog.reads[key.deployment] = counts
	}
	counts.total++
	if key.role == roleReplica {
		counts.byReplica++
	}
}

func (decisionLog *DecisionLog) counter(key counterKey) metrics.Counter {
	if counter, ok := decisionLog.counters[key]; ok {
		return counter
	}
	if len(decisionLog.counters) >= maxCounters {
		return decisionLog.registry.Counter("decisions_uncounted_total")
	}
	counter := decisionLog.registerCounter(key)
	decisionLog.counters[key] = counter
	return counter
}

func (decisionLog *DecisionLog) registerCounter(key counterKey) metrics.Counter {
	labels := []Label{NewLabel("event", key.event), NewLabel("code", fmt.Sprintf("AW%03d", int(key.code)))}
	if key.role == "" {
		return decisionLog.registry.Counter("decisions_total", labels...)
	}
	labels = append(labels,
		NewLabel("deployment", key.deployment),
		NewLabel("kind", key.kind),
		NewLabel("role", key.role),
	)
	return decisionLog.registry.Counter("requests_total", labels...)
}

// isInvalidRequest reports whether the code is that of an invalid request. The deployment
// and the kind of such a request may be any text and must not become labels.
func isInvalidRequest(code codes.Code) bool {
	return code >= codes.UnknownDeployment && code < codes.Overloaded
}

func (decisionLog *DecisionLog) roleOf(instance model.InstanceID) string {
	if instance == "" {
		return roleNone
	}
	group := decisionLog.shared.GroupOf(instance)
	if group == nil {
		return roleNone
	}
	if primary := group.Primary(); primary != nil && primary.ID() == instance {
		return rolePrimary
	}
	return roleReplica
}

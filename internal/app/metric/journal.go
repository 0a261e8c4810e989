package metric

import (
	"fmt"

	"github.com/rcrowley/go-metrics"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/port"
	"almondway.dev/almondway/internal/core/state"
)

// maxCounters bounds the series of a Journal. Decisions beyond it are counted in
// the series without labels of requests.
const maxCounters = 10000

// maxHistograms bounds the histograms of a Journal, each of which has sixteen lines.
const maxHistograms = 1000

// readEvent is the name of the decision that ends a read.
const readEvent = "route_read"

// The values of the label role.
const (
	rolePrimary = "primary"
	roleReplica = "replica"
	roleNone    = "none"
)

// counterKey are the labels by which a decision is counted.
type counterKey struct {
	event      string
	deployment string
	kind       string
	role       string
	code       codes.Code
}

// DecisionLog counts decisions and hands them on. It is used by the kernel's loop alone.
type DecisionLog struct {
	registry   *Registry
	next       port.DecisionLog
	shared     *state.State
	counters   map[counterKey]metrics.Counter
	histograms map[histogramKey]*Histogram
	reads      map[string]*readCounts
}

// histogramKey are the labels by which the durations of decisions are counted.
type histogramKey struct {
	metric string
	// label names what value is.
	label      string
	value      string
	deployment string
	kind       string
	code       codes.Code
}

// readCounts counts the reads of a deployment that were answered.
type readCounts struct {
	total     int64
	byReplica int64
}

// NewDecisionLog returns a Journal that hands decisions on to next. It reads shared
// in the kernel's loop to tell the role of an instance.
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

// Decide implements port.Journal.
func (journal *DecisionLog) Decide(decision model.Decision) {
	counted := counterKey{event: decision.Name, code: decision.Code}
	if decision.IsRouting() {
		counted.role = journal.roleOf(decision.Instance)
	}
	if decision.IsRouting() && !isInvalidRequest(decision.Code) {
		counted.deployment = decision.Deployment
		counted.kind = decision.Kind
	}
	journal.counter(counted).Inc(1)
	if decision.Took > 0 {
		journal.observeDurations(decision, counted)
	}
	if counted.event == readEvent && counted.code == codes.OK {
		journal.countRead(counted)
	}
	journal.next.Decide(decision)
}

// ObserveReadShares brings the share of reads that replicas served up to date, for each deployment.
func (journal *DecisionLog) ObserveReadShares() {
	for deployment, share := range journal.reads {
		ratio := float64(share.byReplica) / float64(share.total)
		journal.registry.FloatGauge("replica_read_share", NewLabel("deployment", deployment)).Update(ratio)
	}
}

// observeDurations counts how long a request took, waited for its turn and was at the instance,
// or how long after its start a promotion reached a phase.
func (journal *DecisionLog) observeDurations(decision model.Decision, counted counterKey) {
	if !decision.IsRouting() {
		journal.histogram(histogramKey{metric: "phase_seconds", label: "event", value: decision.Name}).Update(decision.Took)
		return
	}
	request := histogramKey{
		metric: "request_seconds", label: "role", value: counted.role,
		deployment: counted.deployment, kind: counted.kind, code: decision.Code,
	}
	journal.histogram(request).Update(decision.Took)
	if decision.Instance == "" {
		return
	}
	instance := string(decision.Instance)
	journal.histogram(histogramKey{metric: "wait_seconds", label: "instance", value: instance}).Update(decision.Waited)
	if decision.Code == codes.OK {
		journal.histogram(histogramKey{metric: "instance_seconds", label: "instance", value: instance}).Update(decision.Took - decision.Waited)
	}
}

// histogram returns the histogram of the labels. Those beyond maxTimed share one for each name.
func (journal *DecisionLog) histogram(counted histogramKey) *Histogram {
	if histogram, ok := journal.histograms[counted]; ok {
		return histogram
	}
	if len(journal.histograms) >= maxHistograms {
		return journal.registry.Histogram("other_" + counted.metric)
	}
	labels := []Label{NewLabel(counted.label, counted.value)}
	if counted.label == "role" {
		labels = append(
			labels,
			NewLabel("code", fmt.Sprintf("AW%03d", int(counted.code))),
			NewLabel("deployment", counted.deployment),
			NewLabel("kind", counted.kind),
		)
	}
	histogram := journal.registry.Histogram(counted.metric, labels...)
	journal.histograms[counted] = histogram
	return histogram
}

func (journal *DecisionLog) countRead(counted counterKey) {
	counts, ok := journal.reads[counted.deployment]
	if !ok {
		counts = &readCounts{}
		journal.reads[counted.deployment] = counts
	}
	counts.total++
	if counted.role == roleReplica {
		counts.byReplica++
	}
}

func (journal *DecisionLog) counter(counted counterKey) metrics.Counter {
	if counter, ok := journal.counters[counted]; ok {
		return counter
	}
	if len(journal.counters) >= maxCounters {
		return journal.registry.Counter("decisions_uncounted_total")
	}
	counter := journal.registerCounter(counted)
	journal.counters[counted] = counter
	return counter
}

func (journal *DecisionLog) registerCounter(counted counterKey) metrics.Counter {
	labels := []Label{NewLabel("event", counted.event), NewLabel("code", fmt.Sprintf("AW%03d", int(counted.code)))}
	if counted.role == "" {
		return journal.registry.Counter("decisions_total", labels...)
	}
	labels = append(labels,
		NewLabel("deployment", counted.deployment),
		NewLabel("kind", counted.kind),
		NewLabel("role", counted.role),
	)
	return journal.registry.Counter("requests_total", labels...)
}

// isInvalidRequest reports whether the request was wrong; its deployment and kind may
// then be any text and are no labels.
func isInvalidRequest(code codes.Code) bool {
	return code >= codes.UnknownDeployment && code < codes.Overloaded
}

func (journal *DecisionLog) roleOf(instance model.InstanceID) string {
	if instance == "" {
		return roleNone
	}
	group := journal.shared.GroupOf(instance)
	if group == nil {
		return roleNone
	}
	if primary := group.Primary(); primary != nil && primary.ID() == instance {
		return rolePrimary
	}
	return roleReplica
}

package metric

import (
	"fmt"

	"github.com/rcrowley/go-metrics"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/port"
	"almondway.dev/almondway/internal/core/state"
)

// maxSeries bounds the series of a Journal. Decisions beyond it are counted in
// the series without labels of requests.
const maxSeries = 10000

// maxTimed bounds the histograms of a Journal, each of which has sixteen lines.
const maxTimed = 1000

// readEvent is the name of the decision that ends a read.
const readEvent = "route_read"

// The values of the label role.
const (
	rolePrimary = "primary"
	roleReplica = "replica"
	roleNone    = "none"
)

// series are the labels by which a decision is counted.
type series struct {
	name       string
	deployment string
	kind       string
	role       string
	code       codes.Code
}

// Journal counts decisions and hands them on. It is used by the kernel's loop alone.
type Journal struct {
	registry *Registry
	next     port.DecisionLog
	shared   *state.State
	counters map[series]metrics.Counter
	timed    map[timed]*Histogram
	shares   map[string]*share
}

// timed are the labels by which the durations of decisions are counted.
type timed struct {
	name string
	// label names what value is.
	label      string
	value      string
	deployment string
	kind       string
	code       codes.Code
}

// share counts the reads of a deployment that were answered.
type share struct {
	reads     int64
	byReplica int64
}

// NewJournal returns a Journal that hands decisions on to next. It reads shared
// in the kernel's loop to tell the role of an instance.
func NewJournal(registry *Registry, next port.DecisionLog, shared *state.State) *Journal {
	return &Journal{
		registry: registry,
		next:     next,
		shared:   shared,
		counters: make(map[series]metrics.Counter),
		timed:    make(map[timed]*Histogram),
		shares:   make(map[string]*share),
	}
}

// Decide implements port.Journal.
func (journal *Journal) Decide(decision model.Decision) {
	counted := series{name: decision.Name, code: decision.Code}
	if decision.IsRouting() {
		counted.role = journal.role(decision.Instance)
	}
	if decision.IsRouting() && !isMistake(decision.Code) {
		counted.deployment = decision.Deployment
		counted.kind = decision.Kind
	}
	journal.counter(counted).Inc(1)
	if decision.Took > 0 {
		journal.time(decision, counted)
	}
	if counted.name == readEvent && counted.code == codes.OK {
		journal.countRead(counted)
	}
	journal.next.Decide(decision)
}

// Observe brings the share of reads that replicas served up to date, for each deployment.
func (journal *Journal) Observe() {
	for deployment, share := range journal.shares {
		ratio := float64(share.byReplica) / float64(share.reads)
		journal.registry.Ratio("replica_read_share", NewLabel("deployment", deployment)).Update(ratio)
	}
}

// time counts how long a request took, waited for its turn and was at the instance,
// or how long after its start a promotion reached a phase.
func (journal *Journal) time(decision model.Decision, counted series) {
	if !decision.IsRouting() {
		journal.histogram(timed{name: "phase_seconds", label: "event", value: decision.Name}).Update(decision.Took)
		return
	}
	request := timed{
		name: "request_seconds", label: "role", value: counted.role,
		deployment: counted.deployment, kind: counted.kind, code: decision.Code,
	}
	journal.histogram(request).Update(decision.Took)
	if decision.Instance == "" {
		return
	}
	instance := string(decision.Instance)
	journal.histogram(timed{name: "wait_seconds", label: "instance", value: instance}).Update(decision.Waited)
	if decision.Code == codes.OK {
		journal.histogram(timed{name: "instance_seconds", label: "instance", value: instance}).Update(decision.Took - decision.Waited)
	}
}

// histogram returns the histogram of the labels. Those beyond maxTimed share one for each name.
func (journal *Journal) histogram(counted timed) *Histogram {
	if histogram, ok := journal.timed[counted]; ok {
		return histogram
	}
	if len(journal.timed) >= maxTimed {
		return journal.registry.Histogram("other_" + counted.name)
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
	histogram := journal.registry.Histogram(counted.name, labels...)
	journal.timed[counted] = histogram
	return histogram
}

func (journal *Journal) countRead(counted series) {
	counts, ok := journal.shares[counted.deployment]
	if !ok {
		counts = &share{}
		journal.shares[counted.deployment] = counts
	}
	counts.reads++
	if counted.role == roleReplica {
		counts.byReplica++
	}
}

func (journal *Journal) counter(counted series) metrics.Counter {
	if counter, ok := journal.counters[counted]; ok {
		return counter
	}
	if len(journal.counters) >= maxSeries {
		return journal.registry.Counter("decisions_uncounted_total")
	}
	counter := journal.register(counted)
	journal.counters[counted] = counter
	return counter
}

func (journal *Journal) register(counted series) metrics.Counter {
	labels := []Label{NewLabel("event", counted.name), NewLabel("code", fmt.Sprintf("AW%03d", int(counted.code)))}
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

// isMistake reports whether the request was wrong; its deployment and kind may
// then be any text and are no labels.
func isMistake(code codes.Code) bool {
	return code >= codes.UnknownDeployment && code < codes.Overloaded
}

func (journal *Journal) role(instance model.InstanceID) string {
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

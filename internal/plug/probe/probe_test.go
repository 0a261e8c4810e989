package probe

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
	"almondway.dev/almondway/internal/core/tune"
)

const (
	group    model.GroupID    = "katalog-1"
	instance model.InstanceID = "katalog-1-a"
)

// fixture runs a kernel that probes a group of one instance.
type fixture struct {
	kernel *kern.Kernel
	prober *Prober
	now    time.Duration
	probes []event.Probe
	terms  int
}

// Handle implements kern.Plugin. It counts the term changes.
func (harness *fixture) Handle(received event.Event) {
	if _, ok := received.(event.TermChanged); ok {
		harness.terms++
	}
}

func newFixture() *fixture {
	harness := &fixture{}
	newProber := func(context *kern.Context) kern.Plugin {
		harness.prober = New(context).(*Prober)
		return harness.prober
	}
	newObserver := func(*kern.Context) kern.Plugin { return harness }
	harness.kernel = kern.NewWithFactories(model.ProxyView{}, tune.New(tune.Default()), time.Time{}, 1, newProber, newObserver)
	harness.kernel.State().SetGroups([]model.Group{model.NewGroup(group, []model.Instance{model.NewInstance(instance, "127.0.0.1:1", "")})})
	return harness
}

func (harness *fixture) group() *state.Group { return harness.kernel.State().Group(group) }

func (harness *fixture) collectProbes(actions []event.Action) {
	for _, action := range actions {
		if probe, ok := action.(event.Probe); ok {
			harness.probes = append(harness.probes, probe)
		}
	}
}

func (harness *fixture) tick(delay time.Duration) {
	harness.now += delay
	harness.collectProbes(harness.kernel.Tick(harness.now))
}

// requestReport requests a report that is newer than now.
func (harness *fixture) requestReport() {
	harness.prober.context.Timers().After(0, func() {
		now := harness.prober.context.Now()
		harness.prober.RequestReports(group, now, now)
	})
	harness.tick(time.Microsecond)
}

// report answers the probe at index with the given log tail.
func (harness *fixture) report(index int, tail model.Mark) {
	status := model.NewStatus(tail.Term(), model.RolePrimary, tail, "", 0, false)
	harness.collectProbes(harness.kernel.Handle(harness.now, event.NewStatusReported(harness.probes[index].Probe(), instance, status)))
}

func (harness *fixture) fail(index int) {
	harness.collectProbes(harness.kernel.Handle(harness.now, event.NewProbeFailed(harness.probes[index].Probe(), instance, model.ConnFailureTimeout)))
}

func mark(position model.Position) model.Mark { return model.NewMark(model.NewTerm(1, 1), position) }

func TestOneProbeIsOutstanding(t *testing.T) {
	is := is.New(t)
	harness := newFixture()
	harness.tick(50 * time.Millisecond)
	harness.tick(500 * time.Millisecond)
	harness.requestReport()
	is.Equal(len(harness.probes), 1)
	harness.report(0, mark(1))
	is.Equal(len(harness.probes), 2) // the request is still open
	is.Equal(harness.group().Member(instance).SentAt(), 50*time.Millisecond)
	is.Equal(harness.terms, 1)
	harness.report(1, mark(2))
	is.Equal(len(harness.probes), 2) // the request is met
	is.Equal(harness.group().Member(instance).Status().Tail(), mark(2))
	is.Equal(harness.terms, 1)
}

func TestLateAnswer(t *testing.T) {
	is := is.New(t)
	harness := newFixture()
	harness.tick(50 * time.Millisecond)
	harness.fail(0)
	is.Equal(harness.group().Member(instance).Failures(), 1)
	harness.tick(50 * time.Millisecond)
	harness.report(1, mark(2))
	harness.report(0, mark(1))
	harness.report(1, mark(1))
	is.Equal(harness.group().Member(instance).Status().Tail(), mark(2))
	is.Equal(harness.group().Member(instance).Failures(), 0)
}

func TestMissingAnswer(t *testing.T) {
	is := is.New(t)
	harness := newFixture()
	harness.tick(50 * time.Millisecond)
	harness.tick(tune.Default().ProbeTimeout)
	is.Equal(len(harness.probes), 1)
	harness.tick(tune.Default().ProbeTimeout)
	is.Equal(harness.group().Member(instance).Failures(), 1)
	is.Equal(len(harness.probes), 2) // the next probe is sent at once
}

func TestSpacing(t *testing.T) {
	is := is.New(t)
	harness := newFixture()
	harness.tick(50 * time.Millisecond)
	harness.report(0, mark(1))
	harness.requestReport()
	is.Equal(len(harness.probes), 1) // the minimum spacing has not passed
	harness.tick(time.Millisecond)
	is.Equal(len(harness.probes), 2)
}

func TestOrderAnswered(t *testing.T) {
	tests := []struct {
		name  string
		role  model.Role
		fence uint64
		terms int
	}{
		{"promoted", model.RolePrimary, 1, 1},
		{"fenced only", model.RoleReplica, 2, 0},
		{"fenced before its first entry", model.RolePrimary, 2, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			harness := newFixture()
			status := model.NewStatus(model.NewTerm(test.fence, 1), test.role, mark(1), "", 0, false)
			harness.collectProbes(harness.kernel.Handle(harness.now, event.NewOrderAnswered(1, instance, true, status)))
			is.Equal(harness.terms, test.terms)
			is.True(!harness.group().Member(instance).Reported()) // the answer is not recorded as a report
		})
	}
}

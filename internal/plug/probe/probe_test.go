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
func (fixture *fixture) Handle(received event.Event) {
	if _, ok := received.(event.TermChanged); ok {
		fixture.terms++
	}
}

func newFixture() *fixture {
	fixture := &fixture{}
	newProber := func(context *kern.Context) kern.Plugin {
		fixture.prober = New(context).(*Prober)
		return fixture.prober
	}
	newObserver := func(*kern.Context) kern.Plugin { return fixture }
	fixture.kernel = kern.NewWithFactories(model.ProxyView{}, tune.New(tune.Default()), time.Time{}, 1, newProber, newObserver)
	fixture.kernel.State().SetGroups([]model.Group{model.NewGroup(group, []model.Instance{model.NewInstance(instance, "127.0.0.1:1", "")})})
	return fixture
}

func (fixture *fixture) group() *state.Group { return fixture.kernel.State().Group(group) }

func (fixture *fixture) collectProbes(actions []event.Action) {
	for _, action := range actions {
		if probe, ok := action.(event.Probe); ok {
			fixture.probes = append(fixture.probes, probe)
		}
	}
}

func (fixture *fixture) tick(delay time.Duration) {
	fixture.now += delay
	fixture.collectProbes(fixture.kernel.Tick(fixture.now))
}

// requestReport requests a report that is newer than now.
func (fixture *fixture) requestReport() {
	fixture.prober.context.Timers().After(0, func() {
		now := fixture.prober.context.Now()
		fixture.prober.RequestReports(group, now, now)
	})
	fixture.tick(time.Microsecond)
}

// report answers the probe at index with the given log tail.
func (fixture *fixture) report(index int, tail model.Mark) {
	status := model.NewStatus(tail.Term(), model.RolePrimary, tail, "", 0, false)
	fixture.collectProbes(fixture.kernel.Handle(fixture.now, event.NewStatusReported(fixture.probes[index].Probe(), instance, status)))
}

func (fixture *fixture) fail(index int) {
	fixture.collectProbes(fixture.kernel.Handle(fixture.now, event.NewProbeFailed(fixture.probes[index].Probe(), instance, model.ConnFailureTimeout)))
}

func mark(position model.Position) model.Mark { return model.NewMark(model.NewTerm(1, 1), position) }

func TestOneProbeIsOutstanding(t *testing.T) {
	is := is.New(t)
	fixture := newFixture()
	fixture.tick(50 * time.Millisecond)
	fixture.tick(500 * time.Millisecond)
	fixture.requestReport()
	is.Equal(len(fixture.probes), 1)
	fixture.report(0, mark(1))
	is.Equal(len(fixture.probes), 2) // the request is still open
	is.Equal(fixture.group().Member(instance).SentAt(), 50*time.Millisecond)
	is.Equal(fixture.terms, 1)
	fixture.report(1, mark(2))
	is.Equal(len(fixture.probes), 2) // the request is met
	is.Equal(fixture.group().Member(instance).Status().Tail(), mark(2))
	is.Equal(fixture.terms, 1)
}

func TestLateAnswer(t *testing.T) {
	is := is.New(t)
	fixture := newFixture()
	fixture.tick(50 * time.Millisecond)
	fixture.fail(0)
	is.Equal(fixture.group().Member(instance).Failures(), 1)
	fixture.tick(50 * time.Millisecond)
	fixture.report(1, mark(2))
	fixture.report(0, mark(1))
	fixture.report(1, mark(1))
	is.Equal(fixture.group().Member(instance).Status().Tail(), mark(2))
	is.Equal(fixture.group().Member(instance).Failures(), 0)
}

func TestMissingAnswer(t *testing.T) {
	is := is.New(t)
	fixture := newFixture()
	fixture.tick(50 * time.Millisecond)
	fixture.tick(tune.Default().ProbeTimeout)
	is.Equal(len(fixture.probes), 1)
	fixture.tick(tune.Default().ProbeTimeout)
	is.Equal(fixture.group().Member(instance).Failures(), 1)
	is.Equal(len(fixture.probes), 2) // the next probe is sent at once
}

func TestSpacing(t *testing.T) {
	is := is.New(t)
	fixture := newFixture()
	fixture.tick(50 * time.Millisecond)
	fixture.report(0, mark(1))
	fixture.requestReport()
	is.Equal(len(fixture.probes), 1) // the minimum spacing has not passed
	fixture.tick(time.Millisecond)
	is.Equal(len(fixture.probes), 2)
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
			fixture := newFixture()
			status := model.NewStatus(model.NewTerm(test.fence, 1), test.role, mark(1), "", 0, false)
			fixture.collectProbes(fixture.kernel.Handle(fixture.now, event.NewOrderAnswered(1, instance, true, status)))
			is.Equal(fixture.terms, test.terms)
			is.True(!fixture.group().Member(instance).Reported()) // the answer is not recorded as a report
		})
	}
}

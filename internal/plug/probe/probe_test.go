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

// harness is a kernel that probes a group of one instance.
type harness struct {
	kernel *kern.Kernel
	prober *Prober
	now    time.Duration
	probes []event.Probe
	terms  int
}

// Handle implements kern.Plugin. It counts the changes of term.
func (bench *harness) Handle(received event.Event) {
	if _, ok := received.(event.TermChanged); ok {
		bench.terms++
	}
}

func newHarness() *harness {
	bench := &harness{}
	catch := func(context *kern.Context) kern.Plugin {
		bench.prober = New(context).(*Prober)
		return bench.prober
	}
	watch := func(*kern.Context) kern.Plugin { return bench }
	bench.kernel = kern.NewWithFactories(model.ProxyView{}, tune.New(tune.Default()), time.Time{}, 1, catch, watch)
	bench.kernel.State().SetGroups([]model.Group{model.NewGroup(group, []model.Instance{model.NewInstance(instance, "127.0.0.1:1", "")})})
	return bench
}

func (bench *harness) group() *state.Group { return bench.kernel.State().Group(group) }

func (bench *harness) collectProbes(actions []event.Action) {
	for _, action := range actions {
		if probe, ok := action.(event.Probe); ok {
			bench.probes = append(bench.probes, probe)
		}
	}
}

func (bench *harness) tick(delay time.Duration) {
	bench.now += delay
	bench.collectProbes(bench.kernel.Tick(bench.now))
}

// requestReport asks for a report that is newer than now.
func (bench *harness) requestReport() {
	bench.prober.context.Timers().After(0, func() {
		now := bench.prober.context.Now()
		bench.prober.RequestReports(group, now, now)
	})
	bench.tick(time.Microsecond)
}

// report answers the probe of the given index at the given tail.
func (bench *harness) report(index int, tail model.Mark) {
	status := model.NewStatus(tail.Term(), model.RolePrimary, tail, "", 0, false)
	bench.collectProbes(bench.kernel.Handle(bench.now, event.NewStatusReported(bench.probes[index].Probe(), instance, status)))
}

func (bench *harness) fail(index int) {
	bench.collectProbes(bench.kernel.Handle(bench.now, event.NewProbeFailed(bench.probes[index].Probe(), instance, model.ConnFailureTimeout)))
}

func mark(position model.Position) model.Mark { return model.NewMark(model.NewTerm(1, 1), position) }

func TestOneProbeIsOutstanding(t *testing.T) {
	is := is.New(t)
	bench := newHarness()
	bench.tick(50 * time.Millisecond)
	bench.tick(500 * time.Millisecond)
	bench.requestReport()
	is.Equal(len(bench.probes), 1)
	bench.report(0, mark(1))
	is.Equal(len(bench.probes), 2) // the demand stands
	is.Equal(bench.group().Member(instance).SentAt(), 50*time.Millisecond)
	is.Equal(bench.terms, 1)
	bench.report(1, mark(2))
	is.Equal(len(bench.probes), 2) // met
	is.Equal(bench.group().Member(instance).Status().Tail(), mark(2))
	is.Equal(bench.terms, 1)
}

func TestLateAnswer(t *testing.T) {
	is := is.New(t)
	bench := newHarness()
	bench.tick(50 * time.Millisecond)
	bench.fail(0)
	is.Equal(bench.group().Member(instance).Failures(), 1)
	bench.tick(50 * time.Millisecond)
	bench.report(1, mark(2))
	bench.report(0, mark(1))
	bench.report(1, mark(1))
	is.Equal(bench.group().Member(instance).Status().Tail(), mark(2))
	is.Equal(bench.group().Member(instance).Failures(), 0)
}

func TestMissingAnswer(t *testing.T) {
	is := is.New(t)
	bench := newHarness()
	bench.tick(50 * time.Millisecond)
	bench.tick(tune.Default().ProbeTimeout)
	is.Equal(len(bench.probes), 1)
	bench.tick(tune.Default().ProbeTimeout)
	is.Equal(bench.group().Member(instance).Failures(), 1)
	is.Equal(len(bench.probes), 2) // probing goes on
}

func TestSpacing(t *testing.T) {
	is := is.New(t)
	bench := newHarness()
	bench.tick(50 * time.Millisecond)
	bench.report(0, mark(1))
	bench.requestReport()
	is.Equal(len(bench.probes), 1) // too soon
	bench.tick(time.Millisecond)
	is.Equal(len(bench.probes), 2)
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
			bench := newHarness()
			status := model.NewStatus(model.NewTerm(test.fence, 1), test.role, mark(1), "", 0, false)
			bench.collectProbes(bench.kernel.Handle(bench.now, event.NewOrderAnswered(1, instance, true, status)))
			is.Equal(bench.terms, test.terms)
			is.True(!bench.group().Member(instance).Reported()) // it is no report
		})
	}
}

package sessn

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/state"
	"almondway.dev/almondway/internal/core/tune"
)

const registrar model.CallerID = 1

// runner records the Jobs that it was given.
type runner struct {
	sessions   *Sessions
	jobs       []*route.Job
	abandoned  int
	rolledBack int
}

func (runner *runner) Start(job *route.Job) { runner.jobs = append(runner.jobs, job) }

func (runner *runner) Expire(job *route.Job) {
	runner.sessions.Finish(job, route.ResultSpec{Outcome: model.OutcomeUnknown, Code: codes.OutcomeUnknown})
}

func (runner *runner) Cancel(job *route.Job) {
	runner.sessions.Finish(job, route.ResultSpec{Outcome: model.OutcomeNotRun, Code: codes.Canceled})
}

func (runner *runner) Abandon(*route.Job) { runner.abandoned++ }

func (runner *runner) Rollback(*route.Tx) { runner.rolledBack++ }

// fixture is a kernel with the sessions alone.
type fixture struct {
	kernel   *kern.Kernel
	sessions *Sessions
	reader   *runner
	writer   *runner
	now      time.Duration
	replies  []*model.Reply
	refused  []codes.Code
	lastSeq  model.RequestSeq
}

func newFixture(groups ...model.GroupID) *fixture {
	bench := &fixture{}
	catch := func(context *kern.Context) kern.Plugin {
		bench.sessions = New(context).(*Sessions)
		return bench.sessions
	}
	bench.kernel = kern.NewWithFactories(model.ProxyView{}, tune.New(tune.Default()), time.Time{}, 1, catch)
	bench.reader = &runner{sessions: bench.sessions}
	bench.writer = &runner{sessions: bench.sessions}
	bench.sessions.Serve(model.AccessRead, bench.reader)
	bench.sessions.Serve(model.AccessWrite, bench.writer)
	deployment := model.NewDeployment(model.DeploymentSpec{
		Name:   "katalog-db",
		Groups: groups,
		Kinds: []model.Kind{
			model.NewKind(model.KindSpec{Name: "browse", Access: model.AccessRead, Staleness: time.Second, Timeout: time.Second}),
			model.NewKind(model.KindSpec{Name: "edit", Access: model.AccessWrite, Idempotent: true}),
			model.NewKind(model.KindSpec{Name: "settings", Access: model.AccessRead, Group: groups[0]}),
		},
		Classes: []model.CallerClass{model.NewCallerClass(model.CallerClassSpec{Name: "registrar"})},
	})
	bench.state().SetDeployments(1, []*model.Deployment{deployment})
	bench.state().SetConfirmed(true)
	return bench
}

func (bench *fixture) state() *state.State { return bench.kernel.State() }

func (bench *fixture) take(actions []event.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case event.AnswerCaller:
			bench.replies = append(bench.replies, action.Reply())
		case event.RefuseCaller:
			bench.refused = append(bench.refused, action.Code())
		}
	}
}

func (bench *fixture) handle(received event.Event) {
	bench.take(bench.kernel.Handle(bench.now, received))
}

func (bench *fixture) open() {
	bench.handle(event.NewCallerOpened(registrar, "katalog-db", "registrar"))
}

func (bench *fixture) send(spec model.RequestSpec) {
	bench.lastSeq++
	spec.Seq = bench.lastSeq
	spec.Caller = registrar
	bench.handle(event.NewRequestReceived(model.NewRequest(spec)))
}

// finish gives the last Job of a runner its result.
func (bench *fixture) finish(runner *runner, result route.ResultSpec) {
	bench.sessions.context.Timers().After(0, func() {
		bench.sessions.Finish(runner.jobs[len(runner.jobs)-1], result)
	})
	bench.take(bench.kernel.Tick(bench.now))
}

func TestCallerOpened(t *testing.T) {
	tests := []struct {
		name       string
		deployment string
		class      string
		change     func(state *state.State)
		refused    []codes.Code
	}{
		{"accepted", "katalog-db", "registrar", func(*state.State) {}, nil},
		{"unknown deployment", "none", "registrar", func(*state.State) {}, []codes.Code{codes.UnknownDeployment}},
		{"unknown class", "katalog-db", "none", func(*state.State) {}, []codes.Code{codes.UnknownCaller}},
		{"draining", "katalog-db", "registrar", (*state.State).SetDraining, []codes.Code{codes.Draining}},
		{"revision not confirmed", "katalog-db", "registrar", func(state *state.State) {
			state.SetConfirmed(false)
		}, []codes.Code{codes.RevisionUnconfirmed}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			bench := newFixture("katalog-1")
			test.change(bench.state())
			bench.handle(event.NewCallerOpened(registrar, test.deployment, test.class))
			is.Equal(bench.refused, test.refused)
		})
	}
}

func TestGroup(t *testing.T) {
	tests := []struct {
		name  string
		spec  model.RequestSpec
		group model.GroupID
		code  codes.Code
	}{
		{"named", model.RequestSpec{Kind: "browse", Group: "katalog-2"}, "katalog-2", codes.OK},
		{"of the kind", model.RequestSpec{Kind: "settings"}, "katalog-1", codes.OK},
		{"by key", model.RequestSpec{Kind: "browse", Key: "course-17"}, rendezvous([]model.GroupID{"katalog-1", "katalog-2"}, "course-17"), codes.OK},
		{"none", model.RequestSpec{Kind: "browse"}, "", codes.UnknownGroup},
		{"unknown", model.RequestSpec{Kind: "browse", Group: "katalog-9"}, "", codes.UnknownGroup},
		{"unknown kind", model.RequestSpec{Kind: "none", Group: "katalog-2"}, "", codes.UnknownKind},
		{"no kind and no default", model.RequestSpec{Group: "katalog-2"}, "", codes.UnknownKind},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			bench := newFixture("katalog-1", "katalog-2")
			bench.open()
			bench.send(test.spec)
			if test.code != codes.OK {
				is.Equal(bench.replies[0].Code(), test.code)
				is.Equal(bench.replies[0].Outcome(), model.OutcomeNotRun)
				is.Equal(len(bench.reader.jobs), 0)
				return
			}
			is.Equal(bench.reader.jobs[0].Group(), test.group)
		})
	}
}

func TestRendezvousMovesFewKeys(t *testing.T) {
	is := is.New(t)
	before := []model.GroupID{"katalog-1", "katalog-2", "katalog-3"}
	after := []model.GroupID{"katalog-1", "katalog-2", "katalog-3", "katalog-4"}
	moved := 0
	for number := range 1000 {
		key := fmt.Sprintf("course-%d", number)
		if group := rendezvous(after, key); group != rendezvous(before, key) {
			is.Equal(group, model.GroupID("katalog-4"))
			moved++
		}
	}
	is.True(moved > 150 && moved < 350)
}

func TestOneAnswerForEachRequest(t *testing.T) {
	is := is.New(t)
	bench := newFixture("katalog-1")
	bench.open()
	bench.send(model.RequestSpec{Kind: "browse"})
	bench.send(model.RequestSpec{Kind: "edit"}) // waits behind the first
	is.Equal(len(bench.reader.jobs), 1)
	is.Equal(len(bench.writer.jobs), 0)
	bench.finish(bench.reader, route.ResultSpec{})
	bench.finish(bench.reader, route.ResultSpec{})
	is.Equal(len(bench.replies), 1)
	is.Equal(bench.replies[0].Seq(), model.RequestSeq(1))
	is.Equal(len(bench.writer.jobs), 1)
	is.Equal(bench.sessions.InFlight(), 1)
	bench.handle(event.NewCancelReceived(registrar))
	is.Equal(bench.replies[1].Code(), codes.Canceled)
	is.Equal(bench.sessions.InFlight(), 0)
}

func TestDeadline(t *testing.T) {
	tests := []struct {
		name    string
		spec    model.RequestSpec
		timeout time.Duration
	}{
		{"of the request", model.RequestSpec{Kind: "browse", Timeout: 50 * time.Millisecond}, 50 * time.Millisecond},
		{"of the kind", model.RequestSpec{Kind: "browse"}, time.Second},
		{"default", model.RequestSpec{Kind: "settings"}, 5 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			bench := newFixture("katalog-1")
			bench.open()
			bench.send(test.spec)
			bench.now += test.timeout - time.Millisecond
			bench.take(bench.kernel.Tick(bench.now))
			is.Equal(len(bench.replies), 0)
			bench.now += 2 * time.Millisecond
			bench.take(bench.kernel.Tick(bench.now))
			is.Equal(bench.replies[0].Code(), codes.OutcomeUnknown)
		})
	}
}

func TestSessionTokenKeepsNewestMark(t *testing.T) {
	is := is.New(t)
	bench := newFixture("katalog-1")
	bench.open()
	mark := model.NewMark(model.NewTerm(1, 1), 7)
	bench.send(model.RequestSpec{Kind: "edit"})
	bench.finish(bench.writer, route.ResultSpec{Mark: mark})
	is.Equal(bench.replies[0].Token().Mark("katalog-1"), mark)
	bench.send(model.RequestSpec{Kind: "browse"})
	is.Equal(bench.reader.jobs[0].Seen(), mark)
	bench.finish(bench.reader, route.ResultSpec{Mark: model.NewMark(model.NewTerm(1, 1), 6)})
	is.Equal(bench.replies[1].Token().Mark("katalog-1"), mark)
}

func TestDraining(t *testing.T) {
	is := is.New(t)
	bench := newFixture("katalog-1")
	bench.open()
	bench.send(model.RequestSpec{Op: model.OpBegin})
	bench.send(model.RequestSpec{Kind: "edit"})
	bench.state().SetDraining()
	bench.finish(bench.writer, route.ResultSpec{})
	bench.send(model.RequestSpec{Kind: "edit"}) // of the open transaction
	bench.finish(bench.writer, route.ResultSpec{})
	bench.send(model.RequestSpec{Op: model.OpCommit})
	is.Equal(bench.sessions.InFlight(), 1)
	bench.finish(bench.writer, route.ResultSpec{})
	is.Equal(bench.sessions.InFlight(), 0)
	bench.send(model.RequestSpec{Kind: "browse"})
	is.Equal(len(bench.replies), 5)
	for _, reply := range bench.replies[:4] {
		is.Equal(reply.Code(), codes.OK)
	}
	is.Equal(bench.replies[4].Code(), codes.Draining)
	is.Equal(bench.replies[4].Outcome(), model.OutcomeNotRun)
}

func TestCallerClosed(t *testing.T) {
	is := is.New(t)
	bench := newFixture("katalog-1")
	bench.open()
	bench.send(model.RequestSpec{Op: model.OpBegin})
	bench.send(model.RequestSpec{Kind: "edit"})
	bench.finish(bench.writer, route.ResultSpec{})
	bench.handle(event.NewCallerClosed(registrar))
	is.Equal(bench.writer.rolledBack, 1)
	bench.open()
	bench.send(model.RequestSpec{Kind: "edit"})
	bench.handle(event.NewCallerClosed(registrar))
	is.Equal(bench.writer.abandoned, 1)
	bench.finish(bench.writer, route.ResultSpec{})
	is.Equal(len(bench.replies), 2) // nobody is left to answer
}

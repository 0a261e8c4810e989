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

// runner is a route.Runner that records its Jobs.
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

// fixture is a kernel with the session plug-in only.
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
	fixture := &fixture{}
	factory := func(context *kern.Context) kern.Plugin {
		fixture.sessions = New(context).(*Sessions)
		return fixture.sessions
	}
	fixture.kernel = kern.NewWithFactories(model.ProxyView{}, tune.New(tune.Default()), time.Time{}, 1, factory)
	fixture.reader = &runner{sessions: fixture.sessions}
	fixture.writer = &runner{sessions: fixture.sessions}
	fixture.sessions.RegisterRunner(model.AccessRead, fixture.reader)
	fixture.sessions.RegisterRunner(model.AccessWrite, fixture.writer)
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
	fixture.state().SetDeployments(1, []*model.Deployment{deployment})
	fixture.state().SetConfirmed(true)
	return fixture
}

func (fixture *fixture) state() *state.State { return fixture.kernel.State() }

func (fixture *fixture) recordAnswers(actions []event.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case event.AnswerCaller:
			fixture.replies = append(fixture.replies, action.Reply())
		case event.RefuseCaller:
			fixture.refused = append(fixture.refused, action.Code())
		}
	}
}

func (fixture *fixture) handle(received event.Event) {
	fixture.recordAnswers(fixture.kernel.Handle(fixture.now, received))
}

func (fixture *fixture) open() {
	fixture.handle(event.NewCallerOpened(registrar, "katalog-db", "registrar"))
}

func (fixture *fixture) send(spec model.RequestSpec) {
	fixture.lastSeq++
	spec.Seq = fixture.lastSeq
	spec.Caller = registrar
	fixture.handle(event.NewRequestReceived(model.NewRequest(spec)))
}

// finish finishes the last Job of a runner.
func (fixture *fixture) finish(runner *runner, result route.ResultSpec) {
	fixture.sessions.context.Timers().After(0, func() {
		fixture.sessions.Finish(runner.jobs[len(runner.jobs)-1], result)
	})
	fixture.recordAnswers(fixture.kernel.Tick(fixture.now))
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
			fixture := newFixture("katalog-1")
			test.change(fixture.state())
			fixture.handle(event.NewCallerOpened(registrar, test.deployment, test.class))
			is.Equal(fixture.refused, test.refused)
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
			fixture := newFixture("katalog-1", "katalog-2")
			fixture.open()
			fixture.send(test.spec)
			if test.code != codes.OK {
				is.Equal(fixture.replies[0].Code(), test.code)
				is.Equal(fixture.replies[0].Outcome(), model.OutcomeNotRun)
				is.Equal(len(fixture.reader.jobs), 0)
				return
			}
			is.Equal(fixture.reader.jobs[0].Group(), test.group)
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
	fixture := newFixture("katalog-1")
	fixture.open()
	fixture.send(model.RequestSpec{Kind: "browse"})
	fixture.send(model.RequestSpec{Kind: "edit"}) // queued behind the first
	is.Equal(len(fixture.reader.jobs), 1)
	is.Equal(len(fixture.writer.jobs), 0)
	fixture.finish(fixture.reader, route.ResultSpec{})
	fixture.finish(fixture.reader, route.ResultSpec{})
	is.Equal(len(fixture.replies), 1)
	is.Equal(fixture.replies[0].Seq(), model.RequestSeq(1))
	is.Equal(len(fixture.writer.jobs), 1)
	is.Equal(fixture.sessions.InFlight(), 1)
	fixture.handle(event.NewCancelReceived(registrar))
	is.Equal(fixture.replies[1].Code(), codes.Canceled)
	is.Equal(fixture.sessions.InFlight(), 0)
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
			fixture := newFixture("katalog-1")
			fixture.open()
			fixture.send(test.spec)
			fixture.now += test.timeout - time.Millisecond
			fixture.recordAnswers(fixture.kernel.Tick(fixture.now))
			is.Equal(len(fixture.replies), 0)
			fixture.now += 2 * time.Millisecond
			fixture.recordAnswers(fixture.kernel.Tick(fixture.now))
			is.Equal(fixture.replies[0].Code(), codes.OutcomeUnknown)
		})
	}
}

func TestSessionTokenKeepsNewestMark(t *testing.T) {
	is := is.New(t)
	fixture := newFixture("katalog-1")
	fixture.open()
	mark := model.NewMark(model.NewTerm(1, 1), 7)
	fixture.send(model.RequestSpec{Kind: "edit"})
	fixture.finish(fixture.writer, route.ResultSpec{Mark: mark})
	is.Equal(fixture.replies[0].Token().Mark("katalog-1"), mark)
	fixture.send(model.RequestSpec{Kind: "browse"})
	is.Equal(fixture.reader.jobs[0].Seen(), mark)
	fixture.finish(fixture.reader, route.ResultSpec{Mark: model.NewMark(model.NewTerm(1, 1), 6)})
	is.Equal(fixture.replies[1].Token().Mark("katalog-1"), mark)
}

func TestDraining(t *testing.T) {
	is := is.New(t)
	fixture := newFixture("katalog-1")
	fixture.open()
	fixture.send(model.RequestSpec{Op: model.OpBegin})
	fixture.send(model.RequestSpec{Kind: "edit"})
	fixture.state().SetDraining()
	fixture.finish(fixture.writer, route.ResultSpec{})
	fixture.send(model.RequestSpec{Kind: "edit"}) // belongs to the open transaction
	fixture.finish(fixture.writer, route.ResultSpec{})
	fixture.send(model.RequestSpec{Op: model.OpCommit})
	is.Equal(fixture.sessions.InFlight(), 1)
	fixture.finish(fixture.writer, route.ResultSpec{})
	is.Equal(fixture.sessions.InFlight(), 0)
	fixture.send(model.RequestSpec{Kind: "browse"})
	is.Equal(len(fixture.replies), 5)
	for _, reply := range fixture.replies[:4] {
		is.Equal(reply.Code(), codes.OK)
	}
	is.Equal(fixture.replies[4].Code(), codes.Draining)
	is.Equal(fixture.replies[4].Outcome(), model.OutcomeNotRun)
}

func TestCallerClosed(t *testing.T) {
	is := is.New(t)
	fixture := newFixture("katalog-1")
	fixture.open()
	fixture.send(model.RequestSpec{Op: model.OpBegin})
	fixture.send(model.RequestSpec{Kind: "edit"})
	fixture.finish(fixture.writer, route.ResultSpec{})
	fixture.handle(event.NewCallerClosed(registrar))
	is.Equal(fixture.writer.rolledBack, 1)
	fixture.open()
	fixture.send(model.RequestSpec{Kind: "edit"})
	fixture.handle(event.NewCallerClosed(registrar))
	is.Equal(fixture.writer.abandoned, 1)
	fixture.finish(fixture.writer, route.ResultSpec{})
	is.Equal(len(fixture.replies), 2) // the caller has disconnected
}

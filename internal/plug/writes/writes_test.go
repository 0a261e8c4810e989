package writes

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/ident"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/tune"
	_ "almondway.dev/almondway/internal/plug/conns"
	_ "almondway.dev/almondway/internal/plug/limit"
	_ "almondway.dev/almondway/internal/plug/probe"
	_ "almondway.dev/almondway/internal/plug/reads"
	_ "almondway.dev/almondway/internal/plug/sessn"
	"almondway.dev/almondway/internal/stand/script"
)

const (
	registrar model.CallerID = 1
	answer                   = script.TextPayload("answer")
)

var requestID = ident.New(time.Date(2026, 12, 3, 20, 0, 0, 0, time.UTC), rand.New(rand.NewPCG(1, 1)))

func deployment() *model.Deployment {
	return model.NewDeployment(model.DeploymentSpec{
		Name:   script.Deployment,
		Groups: []model.GroupID{script.Group},
		Kinds: []model.Kind{
			model.NewKind(model.KindSpec{Name: "edit", Access: model.AccessWrite, Idempotent: true, Timeout: time.Second}),
			model.NewKind(model.KindSpec{Name: "enrol", Access: model.AccessWrite, Timeout: time.Second}),
			model.NewKind(model.KindSpec{Name: "seat_count", Access: model.AccessRead, Timeout: time.Second}),
		},
		Classes:   []model.CallerClass{model.NewCallerClass(model.CallerClassSpec{Name: "registrar", ReadYourWrites: true})},
		LagPolicy: model.LagWait,
	})
}

func newScript() *script.Script {
	testScript := script.New(deployment(), tune.Default())
	testScript.OpenCaller(registrar, "registrar")
	testScript.Actions()
	return testScript
}

// step is one step of a scripted test case.
type step func(script *script.Script)

// done returns a step that answers the running execution, which must be of the given work
// step on the given instance.
func done(instance model.InstanceID, work model.Step, mark model.Mark) step {
	return func(script *script.Script) {
		script.CompleteExecution(expectExecution(script, instance, work), mark, answer)
	}
}

func fail(instance model.InstanceID, work model.Step, class model.FailureClass, mark model.Mark) step {
	return func(script *script.Script) {
		script.FailExecution(expectExecution(script, instance, work), class, mark)
	}
}

// unanswered returns a step that expects an execution on A and leaves it without an answer.
func unanswered(work model.Step) step {
	return func(testScript *script.Script) { expectExecution(testScript, script.A, work) }
}

func expectExecution(script *script.Script, instance model.InstanceID, work model.Step) script.Execution {
	execution := script.Execution()
	if execution.Instance != instance || execution.Work.Step() != work {
		panic("unexpected execution on " + string(execution.Instance))
	}
	return execution
}

func setTail(instance model.InstanceID, mark model.Mark) step {
	return func(script *script.Script) { script.Instance(instance).Tail = mark }
}

func setFence(instance model.InstanceID, count uint64) step {
	return func(testScript *script.Script) { testScript.Instance(instance).Fence = script.Term(count) }
}

func advance(delay time.Duration) step {
	return func(script *script.Script) { script.Advance(delay) }
}

// promote disconnects A and makes B the primary of the next term.
func promote(testScript *script.Script) {
	testScript.Instance(script.A).Silent = true
	testScript.Promote(script.B, 2, script.C)
	testScript.Advance(100 * time.Millisecond)
}

func setAllSilent(testScript *script.Script) {
	for _, id := range []model.InstanceID{script.A, script.B, script.C} {
		testScript.Instance(id).Silent = true
	}
	testScript.Advance(time.Second)
}

func TestWrite(t *testing.T) {
	const (
		single  = model.StepSingle
		settles = model.StepSettle
		a       = script.A
		b       = script.B
	)
	first := script.Mark(1, 2)
	second := script.Mark(2, 3)
	none := model.Mark{}
	tests := []struct {
		name      string
		kind      string
		requestID string
		steps     []step
		outcome   model.Outcome
		code      codes.Code
		replayed  bool
	}{
		{"acknowledged by a replica", "edit", "", []step{done(a, single, first), setTail(b, first)}, model.OutcomeDone, codes.OK, false},
		{"answer of the primary alone", "edit", "", []step{done(a, single, first), advance(time.Second)}, model.OutcomeUnknown, codes.OutcomeUnknown, false},
		{"report of an instance with another fence", "edit", "", []step{
			done(a, single, first), setTail(b, first), setFence(b, 2), advance(time.Second),
		}, model.OutcomeUnknown, codes.OutcomeUnknown, false},
		{"error of the database", "edit", "", []step{fail(a, single, model.FailureStatement, none)}, model.OutcomeNotRun, codes.Statement, false},
		{"replayed", "enrol", requestID, []step{fail(a, single, model.FailureReplay, first), setTail(b, first)}, model.OutcomeDone, codes.OK, true},
		{"replay that no majority has", "enrol", requestID, []step{
			fail(a, single, model.FailureReplay, first), advance(time.Second),
		}, model.OutcomeUnknown, codes.OutcomeUnknown, false},
		{"tombstone", "enrol", requestID, []step{fail(a, single, model.FailureTombstone, first), setTail(b, first)}, model.OutcomeNotRun, codes.RequestIDSettled, false},
		{"id of another statement", "enrol", requestID, []step{fail(a, single, model.FailureMismatch, none)}, model.OutcomeNotRun, codes.RequestIDReused, false},
		{"lost and id of another statement", "enrol", requestID, []step{
			fail(a, single, model.FailureLost, none), advance(50 * time.Millisecond), fail(a, single, model.FailureMismatch, none),
		}, model.OutcomeUnknown, codes.RequestIDReused, false},
		{"no request id", "enrol", "", nil, model.OutcomeNotRun, codes.RequestIDMissing, false},
		{"request id that is no UUID", "enrol", "17", nil, model.OutcomeNotRun, codes.MalformedRequestID, false},
		{"request id beyond retention", "enrol", ident.LowerBound(time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)), nil, model.OutcomeNotRun, codes.RequestIDExpired, false},
		{"request id from the future", "enrol", ident.LowerBound(time.Date(2026, 12, 3, 21, 0, 0, 0, time.UTC)), nil, model.OutcomeNotRun, codes.RequestIDExpired, false},
		{"refused by a fenced primary", "enrol", requestID, []step{
			fail(a, single, model.FailureFenced, none), promote, done(b, single, second), setTail(script.C, second),
		}, model.OutcomeDone, codes.OK, false},
		{"never sent", "enrol", requestID, []step{
			fail(a, single, model.FailureNotSent, none), advance(50 * time.Millisecond), done(a, single, first), setTail(b, first),
		}, model.OutcomeDone, codes.OK, false},
		{"lost and found in the ledger", "enrol", requestID, []step{
			fail(a, single, model.FailureLost, none), advance(50 * time.Millisecond),
			fail(a, single, model.FailureReplay, first), setTail(b, first),
		}, model.OutcomeDone, codes.OK, true},
		{"lost and run by the second sending", "enrol", requestID, []step{
			fail(a, single, model.FailureLost, none), advance(50 * time.Millisecond), done(a, single, first), setTail(b, first),
		}, model.OutcomeDone, codes.OK, false},
		{"lost, refused by the database and settled as not run", "enrol", requestID, []step{
			fail(a, single, model.FailureLost, none), advance(50 * time.Millisecond),
			fail(a, single, model.FailureStatement, none), done(a, settles, first), setTail(b, first),
		}, model.OutcomeNotRun, codes.RequestIDSettled, false},
		{"lost, refused by the database and settled as done", "enrol", requestID, []step{
			fail(a, single, model.FailureLost, none), advance(50 * time.Millisecond),
			fail(a, single, model.FailureStatement, none), fail(a, settles, model.FailureReplay, first), setTail(b, first),
		}, model.OutcomeDone, codes.OK, true},
		{"settlement that no majority has", "enrol", requestID, []step{
			fail(a, single, model.FailureLost, none), advance(50 * time.Millisecond),
			fail(a, single, model.FailureStatement, none), done(a, settles, first), advance(time.Second),
		}, model.OutcomeUnknown, codes.OutcomeUnknown, false},
		{"lost, settled and run under a new id", "edit", "", []step{
			fail(a, single, model.FailureLost, none), advance(50 * time.Millisecond),
			fail(a, single, model.FailureStatement, none), done(a, settles, first), setTail(b, first), advance(50 * time.Millisecond),
			done(a, single, script.Mark(1, 3)), setTail(b, script.Mark(1, 3)),
		}, model.OutcomeDone, codes.OK, false},
		{"lost and no primary", "enrol", requestID, []step{unanswered(single), setAllSilent}, model.OutcomeUnknown, codes.OutcomeUnknown, false},
		{"replaced while it ran, row survived", "enrol", requestID, []step{
			unanswered(single), promote, fail(b, single, model.FailureReplay, second), setTail(script.C, second),
		}, model.OutcomeDone, codes.OK, true},
		{"replaced while it ran, row lost", "enrol", requestID, []step{
			unanswered(single), promote, done(b, single, second), setTail(script.C, second),
		}, model.OutcomeDone, codes.OK, false},
		{"replaced before the acknowledgement, row survived", "enrol", requestID, []step{
			done(a, single, first), promote, fail(b, single, model.FailureReplay, second), setTail(script.C, second),
		}, model.OutcomeDone, codes.OK, false},
		{"replaced before the acknowledgement, row lost", "enrol", requestID, []step{
			done(a, single, first), promote, done(b, single, second), setTail(script.C, second),
		}, model.OutcomeDone, codes.OK, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			testScript := newScript()
			testScript.Send(model.RequestSpec{Caller: registrar, Kind: test.kind, RequestID: test.requestID})
			for _, step := range test.steps {
				is.Equal(len(testScript.Replies()), 0) // no reply before the outcome is certain
				step(testScript)
			}
			testScript.Advance(50 * time.Millisecond)
			reply := testScript.Reply()
			is.True(reply != nil)
			is.Equal(reply.Code(), test.code)
			is.Equal(reply.Outcome(), test.outcome)
			is.Equal(reply.Replayed(), test.replayed)
			is.Equal(len(testScript.Executions()), 0)
		})
	}
}

func TestWriteWaitsForPrimary(t *testing.T) {
	is := is.New(t)
	testScript := newScript()
	setAllSilent(testScript)
	testScript.Send(model.RequestSpec{Caller: registrar, Kind: "edit"})
	testScript.Advance(900 * time.Millisecond)
	is.Equal(len(testScript.Replies()), 0)
	testScript.Advance(200 * time.Millisecond)
	reply := testScript.Reply()
	is.True(reply != nil)
	is.Equal(reply.Outcome(), model.OutcomeNotRun)
	is.Equal(reply.Code(), codes.NoPrimary)
	is.True(reply.RetryAfter() > 0)
	is.Equal(len(testScript.Executions()), 0)
}

func TestReplyTokenHoldsMarkOfWrite(t *testing.T) {
	is := is.New(t)
	testScript := newScript()
	mark := script.Mark(1, 2)
	testScript.Send(model.RequestSpec{Caller: registrar, Kind: "edit"})
	done(script.A, model.StepSingle, mark)(testScript)
	setTail(script.B, mark)(testScript)
	testScript.Advance(50 * time.Millisecond)
	is.Equal(testScript.Reply().Token().Mark(script.Group), mark)
}

func TestTrim(t *testing.T) {
	is := is.New(t)
	testScript := newScript()
	testScript.Advance(61 * time.Second)
	execution := expectExecution(testScript, script.A, model.StepTrim)
	is.Equal(execution.Work.FencingTerm(), script.Term(1))
	_, origin, err := ident.Parse(execution.Work.LedgerID())
	is.NoErr(err)
	is.True(origin.Before(time.Date(2026, 12, 2, 20, 2, 1, 0, time.UTC)))
	testScript.CompleteExecution(execution, script.Mark(1, 2), nil)
}

// closes reports whether actions close the connection.
func closes(actions []event.Action, conn model.ConnID) bool {
	for _, action := range actions {
		if closed, ok := action.(event.CloseConn); ok && closed.Conn() == conn {
			return true
		}
	}
	return false
}

func TestWriteWaitsDuringSwitchover(t *testing.T) {
	is := is.New(t)
	script := newScript()
	group := script.GroupState()
	group.HoldWrites(time.Minute, true)
	script.Send(model.RequestSpec{Caller: registrar, Kind: "edit"})
	script.Advance(100 * time.Millisecond)
	is.Equal(len(script.Executions()), 0)
	group.ReleaseWrites()
	script.Advance(100 * time.Millisecond)
	is.Equal(script.Execution().Instance, model.InstanceID("katalog-1-a"))
}

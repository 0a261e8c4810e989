package reads

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/tune"
	_ "almondway.dev/almondway/internal/plug/conns"
	_ "almondway.dev/almondway/internal/plug/limit"
	_ "almondway.dev/almondway/internal/plug/probe"
	_ "almondway.dev/almondway/internal/plug/sessn"
	"almondway.dev/almondway/internal/stand/script"
)

const (
	student      model.CallerID = 1
	answer                      = script.TextPayload("answer")
	maxStaleness                = 300 * time.Millisecond
)

func deployment(policy model.LagPolicy) *model.Deployment {
	return model.NewDeployment(model.DeploymentSpec{
		Name:   script.Deployment,
		Groups: []model.GroupID{script.Group},
		Kinds: []model.Kind{
			model.NewKind(model.KindSpec{Name: "seat_count", Access: model.AccessRead, Timeout: time.Second}),
			model.NewKind(model.KindSpec{Name: "browse", Access: model.AccessRead, Staleness: maxStaleness, Timeout: time.Second}),
			model.NewKind(model.KindSpec{Name: "edit", Access: model.AccessWrite, Idempotent: true}),
		},
		Classes: []model.CallerClass{
			model.NewCallerClass(model.CallerClassSpec{Name: "student"}),
			model.NewCallerClass(model.CallerClassSpec{Name: "registrar", ReadYourWrites: true}),
		},
		LagPolicy: policy,
	})
}

func newScript(policy model.LagPolicy) *script.Script {
	testScript := script.New(deployment(policy), tune.Default())
	testScript.OpenCaller(student, "student")
	testScript.Actions()
	return testScript
}

// step is one step of a script.
type step func(script *script.Script)

// serve answers the running execution, which must be on one of the instances, at the
// instance's tail.
func serve(instances ...model.InstanceID) step {
	return func(script *script.Script) {
		execution := expectExecution(script, instances...)
		script.CompleteExecution(execution, script.Instance(execution.Instance).Tail, answer)
	}
}

func fail(class model.FailureClass, instances ...model.InstanceID) step {
	return func(script *script.Script) {
		script.FailExecution(expectExecution(script, instances...), class, model.Mark{})
	}
}

// expectExecution returns the running execution, which must be on one of the instances.
func expectExecution(script *script.Script, instances ...model.InstanceID) script.Execution {
	execution := script.Execution()
	for _, instance := range instances {
		if execution.Instance == instance {
			return execution
		}
	}
	panic("unexpected execution on " + string(execution.Instance))
}

func setTail(mark model.Mark, instances ...model.InstanceID) step {
	return func(script *script.Script) {
		for _, instance := range instances {
			script.Instance(instance).Tail = mark
		}
	}
}

func setSilent(instances ...model.InstanceID) step {
	return func(script *script.Script) {
		for _, instance := range instances {
			script.Instance(instance).Silent = true
		}
	}
}

func clearSilent(instances ...model.InstanceID) step {
	return func(script *script.Script) {
		for _, instance := range instances {
			script.Instance(instance).Silent = false
		}
	}
}

func setLeaving(instance model.InstanceID) step {
	return func(script *script.Script) { script.Instance(instance).Leaving = true }
}

func advance(delay time.Duration) step {
	return func(script *script.Script) { script.Advance(delay) }
}

func send(kind string, token model.Token) step {
	return func(script *script.Script) {
		script.Send(model.RequestSpec{Caller: student, Kind: kind, Token: token})
	}
}

// promote makes B the primary of term 2.
func promote(testScript *script.Script) {
	testScript.Instance(script.B).Leaving = false
	testScript.Promote(script.B, 2, script.C)
}

func TestRead(t *testing.T) {
	const (
		a = script.A
		b = script.B
		c = script.C
	)
	var none model.Token
	seen := none.With(script.Group, script.Mark(1, 2))
	future := none.With(script.Group, script.Mark(9, 900))
	second := script.Mark(1, 2)
	tests := []struct {
		name   string
		policy model.LagPolicy
		steps  []step
		code   codes.Code
		mark   model.Mark
	}{
		{"fresh at a replica", model.LagWait, []step{send("seat_count", none), serve(b, c)}, codes.OK, script.Mark(1, 1)},
		{"bounded at a replica", model.LagWait, []step{send("browse", none), serve(b, c)}, codes.OK, script.Mark(1, 1)},
		{"fresh, no report since the arrival", model.LagWait, []step{
			setSilent(a, b, c), send("seat_count", none), serve(b, c), advance(time.Second),
		}, codes.DeadlineExceeded, model.Mark{}},
		{"fresh, only the isolated primary reports", model.LagPrimary, []step{
			setSilent(b, c), send("seat_count", none), serve(b, c), advance(time.Second),
		}, codes.DeadlineExceeded, model.Mark{}},
		{"fresh, served by an isolated former primary after a promotion", model.LagPrimary, []step{
			setLeaving(b), setLeaving(c), advance(100 * time.Millisecond), send("seat_count", none),
			promote, serve(a), advance(100 * time.Millisecond), serve(b),
		}, codes.OK, script.Mark(2, 2)},
		{"fresh, one replica lags and the other has the write", model.LagWait, []step{
			send("seat_count", none), setTail(second, a, c), setSilent(b), advance(30 * time.Millisecond),
			func(script *script.Script) {
				script.CompleteExecution(expectExecution(script, b, c), model.NewMark(second.Term(), 1), answer)
			},
			serve(c),
		}, codes.OK, second},
		{"fresh, both replicas lag and the policy waits", model.LagWait, []step{
			setTail(second, a, b), advance(100 * time.Millisecond), setSilent(b), advance(2 * time.Second),
			send("seat_count", none), advance(100 * time.Millisecond), setTail(second, c), advance(100 * time.Millisecond), serve(c),
		}, codes.OK, second},
		{"fresh, both replicas lag and the policy falls back to the primary", model.LagPrimary, []step{
			setTail(second, a, b), advance(100 * time.Millisecond), setSilent(b), advance(2 * time.Second),
			send("seat_count", none), advance(30 * time.Millisecond), serve(a),
		}, codes.OK, second},
		{"fresh, both replicas equally far behind the primary", model.LagPrimary, []step{
			setTail(second, a), send("seat_count", none), advance(10 * time.Millisecond), serve(b, c),
		}, codes.OK, script.Mark(1, 1)},
		{"token that the replica does not cover", model.LagWait, []step{
			setTail(second, a, b), advance(100 * time.Millisecond), send("browse", seen), serve(b),
		}, codes.OK, second},
		{"token ahead of every acknowledged write", model.LagWait, []step{
			send("browse", future), advance(50 * time.Millisecond), serve(b, c),
		}, codes.OK, script.Mark(1, 1)},
		{"bounded, no reports within the staleness", model.LagPrimary, []step{
			send("browse", none), setSilent(a, b, c), advance(400 * time.Millisecond), serve(b, c), advance(time.Second),
		}, codes.DeadlineExceeded, model.Mark{}},
		{"bounded, replica far behind", model.LagWait, []step{
			setTail(second, a, b), advance(time.Second), send("browse", none), serve(b),
		}, codes.OK, second},
		{"no replica in service", model.LagWait, []step{
			setLeaving(b), setLeaving(c), advance(100 * time.Millisecond), send("seat_count", none), serve(a),
		}, codes.OK, script.Mark(1, 1)},
		{"no instance in service", model.LagWait, []step{
			setSilent(a, b, c), advance(time.Second), send("seat_count", none), advance(time.Second),
		}, codes.NoReplica, model.Mark{}},
		{"instances report again", model.LagWait, []step{
			setSilent(a, b, c), advance(time.Second), send("seat_count", none), clearSilent(a, b, c), advance(10 * time.Millisecond), serve(b, c),
		}, codes.OK, script.Mark(1, 1)},
		{"answer lost", model.LagWait, []step{
			send("seat_count", none), fail(model.FailureLost, b, c), serve(b, c),
		}, codes.OK, script.Mark(1, 1)},
		{"replica becomes silent during the execution", model.LagWait, []step{
			send("seat_count", none),
			func(script *script.Script) { setSilent(expectExecution(script, b, c).Instance)(script) },
			advance(400 * time.Millisecond), serve(b, c),
		}, codes.OK, script.Mark(1, 1)},
		{"refused by a leaving replica", model.LagWait, []step{
			send("seat_count", none), fail(model.FailureLeaving, b, c), serve(b, c),
		}, codes.OK, script.Mark(1, 1)},
		{"database error", model.LagWait, []step{
			send("seat_count", none), fail(model.FailureStatement, b, c),
		}, codes.Statement, model.Mark{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			testScript := newScript(test.policy)
			for _, step := range test.steps {
				is.Equal(len(testScript.Replies()), 0) // no reply before the answer is verified
				step(testScript)
			}
			testScript.Advance(50 * time.Millisecond)
			reply := testScript.Reply()
			is.True(reply != nil)
			is.Equal(reply.Code(), test.code)
			is.Equal(reply.Answer() == answer, test.code == codes.OK)
			is.Equal(reply.RetryAfter() > 0, test.code == codes.DeadlineExceeded || test.code == codes.NoReplica)
			if test.code == codes.OK && test.mark.Term() < script.Term(9) {
				is.True(reply.Token().Mark(script.Group).Covers(test.mark))
			}
			is.Equal(len(testScript.Executions()), 0)
		})
	}
}

func TestReadTransaction(t *testing.T) {
	const (
		a = script.A
		b = script.B
		c = script.C
	)
	second := script.Mark(1, 2)
	var none model.Token
	tests := []struct {
		name  string
		steps []step
		code  codes.Code
	}{
		{"further statement", []step{send("browse", none), serve(b, c)}, codes.OK},
		{"further statement waits for its instance", []step{
			setTail(second, a, b, c), send("seat_count", none),
			func(testScript *script.Script) {
				testScript.CompleteExecution(expectExecution(testScript, b, c), script.Mark(1, 1), answer)
			},
			advance(20 * time.Millisecond), serve(b, c),
		}, codes.OK},
		{"connection lost", []step{send("browse", none), fail(model.FailureLost, b, c)}, codes.TransactionLost},
		{"write kind", []step{send("edit", none)}, codes.KindMismatch},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			testScript := newScript(model.LagWait)
			testScript.Send(model.RequestSpec{Caller: student, Op: model.OpBegin})
			send("browse", none)(testScript)
			serve(b, c)(testScript)
			is.Equal(len(testScript.Replies()), 2)
			for _, step := range test.steps {
				step(testScript)
			}
			testScript.Advance(50 * time.Millisecond)
			reply := testScript.Reply()
			is.True(reply != nil)
			is.Equal(reply.Code(), test.code)
			testScript.Resets()
			testScript.Send(model.RequestSpec{Caller: student, Op: model.OpCommit})
			is.Equal(testScript.Reply().TxState(), model.TxNone)
			is.Equal(len(testScript.Resets()) > 0, test.code != codes.TransactionLost) // no pooled connection keeps a transaction
		})
	}
}

func TestAbandonedConnectionIsClosed(t *testing.T) {
	tests := []struct {
		name    string
		abandon step
		code    codes.Code
	}{
		{"deadline", advance(1100 * time.Millisecond), codes.DeadlineExceeded},
		{"cancel", func(script *script.Script) { script.Handle(event.NewCancelReceived(student)) }, codes.Canceled},
		{"caller gone", func(script *script.Script) { script.Handle(event.NewCallerClosed(student)) }, codes.OK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			testScript := newScript(model.LagWait)
			send("seat_count", model.Token{})(testScript)
			execution := expectExecution(testScript, script.B, script.C)
			test.abandon(testScript)
			if reply := testScript.Reply(); reply != nil {
				is.Equal(reply.Code(), test.code)
			}
			closed := false
			for _, action := range testScript.Actions() {
				if closing, ok := action.(event.CloseConn); ok && closing.Conn() == execution.Conn {
					closed = true
				}
			}
			is.True(closed)
			testScript.CompleteExecution(execution, script.Mark(1, 1), answer) // the late answer is dropped
			is.Equal(len(testScript.Replies()), 0)
			testScript.OpenCaller(student+1, "student")
			testScript.Send(model.RequestSpec{Caller: student + 1, Kind: "seat_count"})
			is.True(expectExecution(testScript, script.B, script.C).Conn != execution.Conn)
		})
	}
}

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
	student model.CallerID = 1
	answer                 = script.Text("answer")
	bound                  = 300 * time.Millisecond
)

func deployment(policy model.LagPolicy) *model.Deployment {
	return model.NewDeployment(model.DeploymentSpec{
		Name:   script.Deployment,
		Groups: []model.GroupID{script.Group},
		Kinds: []model.Kind{
			model.NewKind(model.KindSpec{Name: "seat_count", Access: model.AccessRead, Timeout: time.Second}),
			model.NewKind(model.KindSpec{Name: "browse", Access: model.AccessRead, Staleness: bound, Timeout: time.Second}),
			model.NewKind(model.KindSpec{Name: "edit", Access: model.AccessWrite, Idempotent: true}),
		},
		Classes: []model.CallerClass{
			model.NewCallerClass(model.CallerClassSpec{Name: "student"}),
			model.NewCallerClass(model.CallerClassSpec{Name: "registrar", ReadYourWrites: true}),
		},
		LagPolicy: policy,
	})
}

func start(policy model.LagPolicy) *script.Script {
	started := script.New(deployment(policy), tune.Default())
	started.Open(student, "student")
	started.Actions()
	return started
}

// step is one step of a scripted history.
type step func(script *script.Script)

// serve answers the running execution at the instance's own tail.
func serve(instances ...model.InstanceID) step {
	return func(script *script.Script) {
		execution := expect(script, instances...)
		script.Done(execution, script.Instance(execution.Instance).Tail, answer)
	}
}

func fail(class model.FailureClass, instances ...model.InstanceID) step {
	return func(script *script.Script) {
		script.Fail(expect(script, instances...), class, model.Mark{})
	}
}

// expect takes the running execution, which must be on one of the instances.
func expect(script *script.Script, instances ...model.InstanceID) script.Execution {
	execution := script.Execution()
	for _, instance := range instances {
		if execution.Instance == instance {
			return execution
		}
	}
	panic("unexpected execution on " + string(execution.Instance))
}

func tail(mark model.Mark, instances ...model.InstanceID) step {
	return func(script *script.Script) {
		for _, instance := range instances {
			script.Instance(instance).Tail = mark
		}
	}
}

func silent(instances ...model.InstanceID) step {
	return func(script *script.Script) {
		for _, instance := range instances {
			script.Instance(instance).Silent = true
		}
	}
}

func heard(instances ...model.InstanceID) step {
	return func(script *script.Script) {
		for _, instance := range instances {
			script.Instance(instance).Silent = false
		}
	}
}

func leaving(instance model.InstanceID) step {
	return func(script *script.Script) { script.Instance(instance).Leaving = true }
}

func wait(delay time.Duration) step {
	return func(script *script.Script) { script.Advance(delay) }
}

func ask(kind string, token model.Token) step {
	return func(script *script.Script) {
		script.Send(model.RequestSpec{Caller: student, Kind: kind, Token: token})
	}
}

// promote lets B lead the next term.
func promote(played *script.Script) {
	played.Instance(script.B).Leaving = false
	played.Promote(script.B, 2, script.C)
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
		{"fresh at a replica", model.LagWait, []step{ask("seat_count", none), serve(b, c)}, codes.OK, script.Mark(1, 1)},
		{"bounded at a replica", model.LagWait, []step{ask("browse", none), serve(b, c)}, codes.OK, script.Mark(1, 1)},
		{"fresh, no report since the arrival", model.LagWait, []step{
			silent(a, b, c), ask("seat_count", none), serve(b, c), wait(time.Second),
		}, codes.DeadlineExceeded, model.Mark{}},
		{"fresh, only the cut-off primary reports", model.LagPrimary, []step{
			silent(b, c), ask("seat_count", none), serve(b, c), wait(time.Second),
		}, codes.DeadlineExceeded, model.Mark{}},
		{"fresh, served by a cut-off primary while another leads", model.LagPrimary, []step{
			leaving(b), leaving(c), wait(100 * time.Millisecond), ask("seat_count", none),
			promote, serve(a), wait(100 * time.Millisecond), serve(b),
		}, codes.OK, script.Mark(2, 2)},
		{"fresh, the replica lags and the other has it", model.LagWait, []step{
			ask("seat_count", none), tail(second, a, c), silent(b), wait(30 * time.Millisecond),
			func(script *script.Script) {
				script.Done(expect(script, b, c), model.NewMark(second.Term(), 1), answer)
			},
			serve(c),
		}, codes.OK, second},
		{"fresh, both replicas lag and the policy waits", model.LagWait, []step{
			tail(second, a, b), wait(100 * time.Millisecond), silent(b), wait(2 * time.Second),
			ask("seat_count", none), wait(100 * time.Millisecond), tail(second, c), wait(100 * time.Millisecond), serve(c),
		}, codes.OK, second},
		{"fresh, both replicas lag and the policy is prompt", model.LagPrimary, []step{
			tail(second, a, b), wait(100 * time.Millisecond), silent(b), wait(2 * time.Second),
			ask("seat_count", none), wait(30 * time.Millisecond), serve(a),
		}, codes.OK, second},
		{"fresh, both replicas equally far behind the primary", model.LagPrimary, []step{
			tail(second, a), ask("seat_count", none), wait(10 * time.Millisecond), serve(b, c),
		}, codes.OK, script.Mark(1, 1)},
		{"token that the replica does not cover", model.LagWait, []step{
			tail(second, a, b), wait(100 * time.Millisecond), ask("browse", seen), serve(b),
		}, codes.OK, second},
		{"token of no acknowledged write", model.LagWait, []step{
			ask("browse", future), wait(50 * time.Millisecond), serve(b, c),
		}, codes.OK, script.Mark(1, 1)},
		{"bounded, both replicas frozen", model.LagPrimary, []step{
			ask("browse", none), silent(a, b, c), wait(400 * time.Millisecond), serve(b, c), wait(time.Second),
		}, codes.DeadlineExceeded, model.Mark{}},
		{"bounded, replica far behind", model.LagWait, []step{
			tail(second, a, b), wait(time.Second), ask("browse", none), serve(b),
		}, codes.OK, second},
		{"no replica in service", model.LagWait, []step{
			leaving(b), leaving(c), wait(100 * time.Millisecond), ask("seat_count", none), serve(a),
		}, codes.OK, script.Mark(1, 1)},
		{"no instance in service", model.LagWait, []step{
			silent(a, b, c), wait(time.Second), ask("seat_count", none), wait(time.Second),
		}, codes.NoReplica, model.Mark{}},
		{"instances come back", model.LagWait, []step{
			silent(a, b, c), wait(time.Second), ask("seat_count", none), heard(a, b, c), wait(10 * time.Millisecond), serve(b, c),
		}, codes.OK, script.Mark(1, 1)},
		{"answer lost", model.LagWait, []step{
			ask("seat_count", none), fail(model.FailureLost, b, c), serve(b, c),
		}, codes.OK, script.Mark(1, 1)},
		{"replica falls silent", model.LagWait, []step{
			ask("seat_count", none),
			func(script *script.Script) { silent(expect(script, b, c).Instance)(script) },
			wait(400 * time.Millisecond), serve(b, c),
		}, codes.OK, script.Mark(1, 1)},
		{"refused by a leaving replica", model.LagWait, []step{
			ask("seat_count", none), fail(model.FailureLeaving, b, c), serve(b, c),
		}, codes.OK, script.Mark(1, 1)},
		{"error of the database", model.LagWait, []step{
			ask("seat_count", none), fail(model.FailureStatement, b, c),
		}, codes.Statement, model.Mark{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			played := start(test.policy)
			for _, step := range test.steps {
				is.Equal(len(played.Replies()), 0) // answered before it is proved
				step(played)
			}
			played.Advance(50 * time.Millisecond)
			reply := played.Reply()
			is.True(reply != nil)
			is.Equal(reply.Code(), test.code)
			is.Equal(reply.Answer() == answer, test.code == codes.OK)
			is.Equal(reply.RetryAfter() > 0, test.code == codes.DeadlineExceeded || test.code == codes.NoReplica)
			if test.code == codes.OK && test.mark.Term() < script.Term(9) {
				is.True(reply.Token().Mark(script.Group).Covers(test.mark))
			}
			is.Equal(len(played.Executions()), 0)
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
		{"further statement", []step{ask("browse", none), serve(b, c)}, codes.OK},
		{"further statement waits for its instance", []step{
			tail(second, a, b, c), ask("seat_count", none),
			func(played *script.Script) { played.Done(expect(played, b, c), script.Mark(1, 1), answer) },
			wait(20 * time.Millisecond), serve(b, c),
		}, codes.OK},
		{"connection lost", []step{ask("browse", none), fail(model.FailureLost, b, c)}, codes.TransactionLost},
		{"write kind", []step{ask("edit", none)}, codes.KindMismatch},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			played := start(model.LagWait)
			played.Send(model.RequestSpec{Caller: student, Op: model.OpBegin})
			ask("browse", none)(played)
			serve(b, c)(played)
			is.Equal(len(played.Replies()), 2)
			for _, step := range test.steps {
				step(played)
			}
			played.Advance(50 * time.Millisecond)
			reply := played.Reply()
			is.True(reply != nil)
			is.Equal(reply.Code(), test.code)
			played.Resets()
			played.Send(model.RequestSpec{Caller: student, Op: model.OpCommit})
			is.Equal(played.Reply().TxState(), model.TxNone)
			is.Equal(len(played.Resets()) > 0, test.code != codes.TransactionLost) // no connection keeps a transaction
		})
	}
}

func TestAbandonedConnectionIsClosed(t *testing.T) {
	tests := []struct {
		name    string
		abandon step
		code    codes.Code
	}{
		{"deadline", wait(1100 * time.Millisecond), codes.DeadlineExceeded},
		{"cancel", func(script *script.Script) { script.Handle(event.NewCancelReceived(student)) }, codes.Canceled},
		{"caller gone", func(script *script.Script) { script.Handle(event.NewCallerClosed(student)) }, codes.OK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			played := start(model.LagWait)
			ask("seat_count", model.Token{})(played)
			execution := expect(played, script.B, script.C)
			test.abandon(played)
			if reply := played.Reply(); reply != nil {
				is.Equal(reply.Code(), test.code)
			}
			closed := false
			for _, action := range played.Actions() {
				if closing, ok := action.(event.CloseConn); ok && closing.Conn() == execution.Conn {
					closed = true
				}
			}
			is.True(closed)
			played.Done(execution, script.Mark(1, 1), answer) // the late answer reaches nobody
			is.Equal(len(played.Replies()), 0)
			played.Open(student+1, "student")
			played.Send(model.RequestSpec{Caller: student + 1, Kind: "seat_count"})
			is.True(expect(played, script.B, script.C).Conn != execution.Conn)
		})
	}
}

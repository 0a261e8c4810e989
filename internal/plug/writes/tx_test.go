package writes

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/stand/script"
)

// send returns a step that sends a request of the registrar.
func send(op model.Op, kind string) step {
	return func(script *script.Script) {
		script.Send(model.RequestSpec{Caller: registrar, Op: op, Kind: kind})
	}
}

// answered returns a step that checks the only reply since the previous step.
func answered(is *is.I, code codes.Code, outcome model.Outcome, state model.TxState) step {
	return func(script *script.Script) {
		script.Advance(50 * time.Millisecond)
		reply := script.Reply()
		is.True(reply != nil)
		is.Equal(reply.Code(), code)
		is.Equal(reply.Outcome(), outcome)
		is.Equal(reply.TxState(), state)
	}
}

func TestTransaction(t *testing.T) {
	const (
		a = script.A
		b = script.B
	)
	is := is.New(t)
	mark := script.Mark(1, 2)
	second := script.Mark(2, 3)
	none := model.Mark{}
	ok := func(state model.TxState) step { return answered(is, codes.OK, model.OutcomeDone, state) }
	lost := func(state model.TxState) step {
		return answered(is, codes.TransactionLost, model.OutcomeNotRun, state)
	}
	begin := []step{
		send(model.OpBegin, ""), ok(model.TxOpen),
		send(model.OpStatement, "edit"), done(a, model.StepFirst, script.Mark(1, 1)), ok(model.TxOpen),
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"commit acknowledged by a replica", []step{
			send(model.OpStatement, "edit"), done(a, model.StepNext, script.Mark(1, 1)), ok(model.TxOpen),
			send(model.OpCommit, ""), done(a, model.StepCommit, mark), setTail(b, mark), ok(model.TxNone),
		}},
		{"commit of the primary alone", []step{
			send(model.OpCommit, ""), done(a, model.StepCommit, mark), advance(10 * time.Second),
			answered(is, codes.OutcomeUnknown, model.OutcomeUnknown, model.TxNone),
		}},
		{"rollback", []step{send(model.OpRollback, ""), ok(model.TxNone)}},
		{"fresh read at the primary is accepted", []step{
			send(model.OpStatement, "seat_count"), done(a, model.StepNext, script.Mark(1, 1)), ok(model.TxOpen),
		}},
		{"fresh read of an entry that no replica has", []step{
			send(model.OpStatement, "seat_count"), done(a, model.StepNext, mark), advance(2 * time.Second),
			answered(is, codes.DeadlineExceeded, model.OutcomeNotRun, model.TxFailed),
		}},
		{"error of the database", []step{
			send(model.OpStatement, "edit"), fail(a, model.StepNext, model.FailureStatement, none),
			answered(is, codes.Statement, model.OutcomeNotRun, model.TxFailed),
			send(model.OpStatement, "edit"), answered(is, codes.TransactionState, model.OutcomeNotRun, model.TxFailed),
			send(model.OpCommit, ""), answered(is, codes.TransactionState, model.OutcomeNotRun, model.TxNone),
		}},
		{"connection lost in a statement", []step{
			send(model.OpStatement, "edit"), fail(a, model.StepNext, model.FailureLost, none), lost(model.TxFailed),
			send(model.OpRollback, ""), ok(model.TxNone),
		}},
		{"primary replaced between statements", []step{
			promote, send(model.OpStatement, "edit"), lost(model.TxFailed),
		}},
		{"primary replaced before the commit", []step{promote, send(model.OpCommit, ""), lost(model.TxNone)}},
		{"primary replaced during a statement", []step{
			send(model.OpStatement, "edit"), unanswered(model.StepNext), promote, lost(model.TxFailed),
		}},
		{"commit lost, settled as done", []step{
			send(model.OpCommit, ""), fail(a, model.StepCommit, model.FailureLost, none),
			fail(a, model.StepSettle, model.FailureReplay, mark), setTail(b, mark), ok(model.TxNone),
		}},
		{"commit lost, settled as not run", []step{
			send(model.OpCommit, ""), fail(a, model.StepCommit, model.FailureLost, none),
			done(a, model.StepSettle, mark), setTail(b, mark), lost(model.TxNone),
		}},
		{"primary replaced during the commit", []step{
			send(model.OpCommit, ""), unanswered(model.StepCommit), promote,
			done(b, model.StepSettle, second), setTail(script.C, second), lost(model.TxNone),
		}},
		{"commit refused by a fenced primary", []step{
			send(model.OpCommit, ""), fail(a, model.StepCommit, model.FailureFenced, none), lost(model.TxNone),
		}},
		{"non-idempotent kind without a request id", []step{
			send(model.OpStatement, "enrol"), answered(is, codes.RequestIDMissing, model.OutcomeNotRun, model.TxFailed),
		}},
		{"unknown kind", []step{
			send(model.OpStatement, "none"), answered(is, codes.UnknownKind, model.OutcomeNotRun, model.TxFailed),
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			*is = *is.New(t)
			testScript := newScript()
			for _, step := range append(begin, test.steps...) {
				step(testScript)
			}
			is.Equal(len(testScript.Replies()), 0)
			is.Equal(len(testScript.Executions()), 0)
		})
	}
}

func TestTransactionOfDisconnectedCaller(t *testing.T) {
	tests := []struct {
		name   string
		steps  []step
		closed bool
	}{
		{"between statements", nil, false},
		{"during a statement", []step{send(model.OpStatement, "edit")}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			testScript := newScript()
			send(model.OpBegin, "")(testScript)
			send(model.OpStatement, "edit")(testScript)
			first := expectExecution(testScript, script.A, model.StepFirst)
			testScript.CompleteExecution(first, script.Mark(1, 1), answer)
			for _, step := range test.steps {
				step(testScript)
			}
			testScript.Actions()
			testScript.Resets()
			testScript.Handle(event.NewCallerClosed(registrar))
			is.Equal(closes(testScript.Actions(), first.Conn), test.closed)
			is.Equal(len(testScript.Resets()), map[bool]int{true: 0, false: 1}[test.closed]) // the connection is rolled back before reuse
		})
	}
}

func TestWriteOfDisconnectedCaller(t *testing.T) {
	is := is.New(t)
	testScript := newScript()
	send(model.OpStatement, "edit")(testScript)
	running := expectExecution(testScript, script.A, model.StepSingle)
	testScript.Handle(event.NewCallerClosed(registrar))
	testScript.CompleteExecution(running, script.Mark(1, 2), answer)
	is.True(!closes(testScript.Actions(), running.Conn)) // the statement left no open transaction on the connection
	is.Equal(len(testScript.Executions()), 0)
	is.Equal(len(testScript.Replies()), 0)
}

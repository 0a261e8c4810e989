package back

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/wire"
)

var testMark = model.NewMark(model.NewTerm(1, 0), 7)

// fixture is a Backend with one open connection to an instance.
type fixture struct {
	backend  *Backend
	events   events
	instance *instance
}

func newFixture(t testing.TB, spec Spec, script func(sql string) reply) *fixture {
	t.Helper()
	is := is.New(t)
	posted := make(events, 64)
	backend, err := New(spec, posted)
	is.NoErr(err)
	t.Cleanup(backend.Shutdown)
	fixture := &fixture{backend: backend, events: posted, instance: newInstance(t, script)}
	backend.Open(event.NewOpenConn(1, "katalog-1-a", fixture.instance.address()))
	is.Equal(posted.next(t), event.NewConnOpened(1))
	return fixture
}

func (fixture *fixture) execute(t testing.TB, exec model.ExecID, spec model.WorkSpec) event.Event {
	t.Helper()
	fixture.backend.Execute(event.NewExecute(exec, 1, model.NewWork(spec)))
	return fixture.events.next(t)
}

func oneRowReply(string) reply { return reply{rows: [][][]byte{{[]byte("42")}}, tag: "SELECT 1"} }

func simple(sql string) model.Payload {
	return wire.NewStatement(wire.StatementSpec{SQL: sql, Simple: true})
}

func withModes(modes string) model.Payload {
	return wire.NewStatement(wire.StatementSpec{SQL: "SELECT 1", Simple: true, BeginModes: modes})
}

func extended(sql string, params ...string) model.Payload {
	spec := wire.StatementSpec{SQL: sql}
	for _, param := range params {
		spec.Params = append(spec.Params, []byte(param))
	}
	return wire.NewStatement(spec)
}

func TestExecuteSteps(t *testing.T) {
	write := model.WorkSpec{Write: true, FencingTerm: model.NewTerm(1, 0), LedgerID: "id", Digest: 9}
	withStep := func(spec model.WorkSpec, step model.Step, statement model.Payload) model.WorkSpec {
		spec.Step, spec.Statement = step, statement
		return spec
	}
	const begin = "SELECT almondway_begin('16777216', 'id', '9')"
	const readWrite = "SET TRANSACTION READ WRITE"
	tests := []struct {
		name string
		work model.WorkSpec
		want []string
	}{
		{"read", model.WorkSpec{Statement: simple("SELECT 1")}, []string{"SELECT 1"}},
		{"read with parameters", model.WorkSpec{Statement: extended("SELECT $1", "x")}, []string{"SELECT $1"}},
		{"write", withStep(write, model.StepSingle, simple("UPDATE x")), []string{readWrite, begin, "UPDATE x"}},
		{"write with parameters", withStep(write, model.StepSingle, extended("UPDATE x", "y")), []string{readWrite, begin, "UPDATE x"}},
		{"first of write", withStep(write, model.StepFirst, simple("UPDATE x")), []string{"BEGIN READ WRITE", begin, "UPDATE x"}},
		{"first of write with parameters", withStep(write, model.StepFirst, extended("UPDATE x")), []string{"BEGIN READ WRITE", begin, "UPDATE x"}},
		{"first of read", model.WorkSpec{Step: model.StepFirst, Statement: simple("SELECT 1")}, []string{"BEGIN READ ONLY", "SELECT 1"}},
		{"first with modes", model.WorkSpec{Step: model.StepFirst, Statement: withModes("ISOLATION LEVEL SERIALIZABLE")}, []string{"BEGIN ISOLATION LEVEL SERIALIZABLE READ ONLY", "SELECT 1"}},
		{"first read-only", model.WorkSpec{Step: model.StepFirst, Statement: withModes("READ ONLY")}, []string{"BEGIN READ ONLY", "SELECT 1"}},
		{"settle", withStep(write, model.StepSettle, nil), []string{readWrite, "SELECT almondway_settle('16777216', 'id')"}},
		{"trim", withStep(write, model.StepTrim, nil), []string{readWrite, "SELECT almondway_trim('16777216', 'id')"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture(t, Spec{}, oneRowReply)
			done, ok := fixture.execute(t, 5, test.work).(event.ExecuteDone)
			is.True(ok)
			is.Equal(done.Exec(), model.ExecID(5))
			is.Equal(done.Mark(), testMark)
			statements, batches := fixture.instance.received()
			is.Equal(statements, test.want)
			is.Equal(batches, 2) // one for the start-up, one for the step
			if test.work.Statement != nil {
				results := done.Answer().(*wire.Answer).Results()
				is.Equal(len(results), 1)
				is.Equal(results[0].Rows(), [][][]byte{{[]byte("42")}})
			}
		})
	}
}

func TestTransactionAndReset(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(t, Spec{}, func(sql string) reply {
		if sql == "UPDATE fail" {
			return reply{state: "23505"}
		}
		return reply{}
	})
	write := model.WorkSpec{Write: true, Step: model.StepFirst, Statement: simple("UPDATE x")}
	_, ok := fixture.execute(t, 1, write).(event.ExecuteDone)
	is.True(ok)
	failed := fixture.execute(t, 2, model.WorkSpec{Write: true, Step: model.StepNext, Statement: simple("UPDATE fail")}).(event.ExecuteFailed)
	is.Equal(failed.Class(), model.FailureStatement)
	is.Equal(failed.Usable(), false)
	failed = fixture.execute(t, 3, model.WorkSpec{Write: true, Step: model.StepCommit}).(event.ExecuteFailed)
	is.Equal(failed.Class(), model.FailureStatement)
	is.Equal(failed.Usable(), true)
	_, ok = fixture.execute(t, 4, write).(event.ExecuteDone)
	is.True(ok)
	described := fixture.execute(t, 5, model.WorkSpec{Step: model.StepDescribe, Statement: extended("SELECT $1")}).(event.ExecuteDone)
	is.Equal(described.Answer().(*wire.Description).ParamTypes(), []uint32{25})
	fixture.backend.Reset(event.NewResetConn(1))
	is.Equal(fixture.events.next(t), event.NewResetDone(1, true))
	statements, _ := fixture.instance.received()
	is.Equal(statements[len(statements)-2:], []string{"ROLLBACK", "DISCARD ALL"})
}

func TestExecuteFailures(t *testing.T) {
	tests := []struct {
		name   string
		reply  reply
		class  model.FailureClass
		usable bool
		closed bool
	}{
		{"statement", reply{state: "23505"}, model.FailureStatement, true, false},
		{"fenced", reply{state: wire.SQLStateFenced}, model.FailureFenced, true, false},
		{"replay", reply{state: wire.SQLStateReplay}, model.FailureReplay, true, false},
		{"tombstone", reply{state: wire.SQLStateTombstone}, model.FailureTombstone, true, false},
		{"mismatch", reply{state: wire.SQLStateMismatch}, model.FailureMismatch, true, false},
		{"busy", reply{state: wire.SQLStateTooManyConnections}, model.FailureBusy, true, false},
		{"leaving", reply{state: wire.SQLStateAdminShutdown, fatal: true}, model.FailureLeaving, false, true},
		{"unknown completion", reply{state: "40003"}, model.FailureLost, true, false},
		{"connection closed", reply{closeConn: true}, model.FailureLost, false, true},
		{"silent", reply{hold: true}, model.FailureLost, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture(t, Spec{}, func(string) reply { return test.reply })
			work := model.WorkSpec{Write: true, Statement: simple("UPDATE x"), Timeout: 200 * time.Millisecond}
			failed, ok := fixture.execute(t, 8, work).(event.ExecuteFailed)
			is.True(ok)
			is.Equal(failed.Exec(), model.ExecID(8))
			is.Equal(failed.Class(), test.class)
			is.Equal(failed.Usable(), test.usable)
			if test.closed {
				is.Equal(fixture.events.next(t), event.NewConnClosed(1))
				again := fixture.execute(t, 9, work).(event.ExecuteFailed)
				is.Equal(again.Class(), model.FailureNotSent)
			}
		})
	}
}

func TestCancel(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{}, 1)
	fixture := newFixture(t, Spec{}, func(string) reply {
		started <- struct{}{}
		return reply{hold: true}
	})
	fixture.backend.Execute(event.NewExecute(3, 1, model.NewWork(model.WorkSpec{Statement: simple("SELECT 1")})))
	<-started
	fixture.backend.Cancel(event.NewCancelExecute(2, 1)) // another execution is not running: no effect
	fixture.backend.Cancel(event.NewCancelExecute(3, 1))
	failed := fixture.events.next(t).(event.ExecuteFailed)
	is.Equal(failed.Class(), model.FailureStatement)
	is.Equal(failed.Answer().(*wire.Failure).Response().Code, "57014")
	is.Equal(failed.Usable(), true)
}

func TestCancelBeforeStart(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(t, Spec{}, oneRowReply)
	fixture.backend.findConn(1).cancel(3)
	read := model.WorkSpec{Statement: simple("SELECT 1")}
	failed := fixture.execute(t, 3, read).(event.ExecuteFailed)
	is.Equal(failed.Answer().(*wire.Failure).Response().Code, "57014")
	is.Equal(failed.Usable(), true)
	_, ok := fixture.execute(t, 4, read).(event.ExecuteDone)
	is.True(ok)
	statements, _ := fixture.instance.received()
	is.Equal(len(statements), 1)
}

func TestAnswerTooLarge(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(t, Spec{MaxAnswerBytes: 10}, func(string) reply {
		row := [][]byte{[]byte("eleven byte")}
		return reply{rows: [][][]byte{row, row}, tag: "SELECT 2"}
	})
	done := fixture.execute(t, 1, model.WorkSpec{Statement: simple("SELECT 1")}).(event.ExecuteDone)
	answer := done.Answer().(*wire.Answer)
	is.True(answer.Overflow())
	is.Equal(len(answer.Results()[0].Rows()), 0)
}

func TestStrayDataMakesConnUnusable(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(t, Spec{CheckInterval: time.Hour}, func(string) reply {
		return reply{rows: [][][]byte{{[]byte("42")}}, tag: "SELECT 1", stray: true}
	})
	read := model.WorkSpec{Statement: simple("SELECT 1")}
	_, ok := fixture.execute(t, 1, read).(event.ExecuteDone)
	is.True(ok)
	failed := fixture.execute(t, 2, read).(event.ExecuteFailed)
	is.Equal(failed.Class(), model.FailureNotSent)
	is.Equal(fixture.events.next(t), event.NewConnClosed(1))
}

func TestIdleConnCloseDetected(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(t, Spec{CheckInterval: time.Millisecond}, oneRowReply)
	fixture.instance.closeConns()
	is.Equal(fixture.events.next(t), event.NewConnClosed(1))
}

func TestCloseFailsRunningExecution(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{}, 1)
	fixture := newFixture(t, Spec{}, func(string) reply {
		started <- struct{}{}
		return reply{hold: true}
	})
	fixture.backend.Execute(event.NewExecute(3, 1, model.NewWork(model.WorkSpec{Statement: simple("SELECT 1")})))
	<-started
	fixture.backend.Close(event.NewCloseConn(1))
	failed := fixture.events.next(t).(event.ExecuteFailed)
	is.Equal(failed.Class(), model.FailureLost)
	fixture.backend.Reset(event.NewResetConn(1))
	is.Equal(fixture.events.next(t), event.NewResetDone(1, false))
}

package holder

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// A statement that a holder may not run is refused before anything is sent to the instance. The
// code lets the forwarding proxy ask another one where that one may know better.
func TestHolderRefuses(t *testing.T) {
	tests := []struct {
		name   string
		change func(process *process, spec *model.ForwardSpec)
		want   codes.Code
	}{
		{"unknown key", func(_ *process, spec *model.ForwardSpec) { spec.Key = model.DigestKey("other") }, codes.UnknownKey},
		{"old configuration", func(process *process, _ *model.ForwardSpec) { process.now += maxAge + time.Second }, codes.RevisionUnconfirmed},
		{"key of another team", func(_ *process, spec *model.ForwardSpec) { spec.Team = "b" }, codes.UnknownKey},
		{"no teams known", func(process *process, _ *model.ForwardSpec) { process.kernel.State().SetTeams(nil) }, codes.UnknownKey},
		{"unknown deployment", func(_ *process, spec *model.ForwardSpec) { spec.Deployment = "other" }, codes.UnknownDeployment},
		{"unknown kind", func(_ *process, spec *model.ForwardSpec) { spec.Kind = "other" }, codes.UnknownKind},
		{"unknown instance", func(_ *process, spec *model.ForwardSpec) { spec.Instance = "other" }, codes.UnknownGroup},
		{"draining", func(process *process, _ *model.ForwardSpec) { process.kernel.State().SetDraining() }, codes.Draining},
		{"too many statements", func(process *process, spec *model.ForwardSpec) {
			for number := range uint64(maxStatements) {
				waiting := forwardSpec(model.StepSingle)
				waiting.Number = 100 + number
				process.receive(waiting)
			}
		}, codes.Overloaded},
		{"too many bytes", func(process *process, spec *model.ForwardSpec) {
			spec.Statement = text(make([]byte, maxStatementBytes+1))
		}, codes.Overloaded},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			process := newProcess(t, "p-1", true)
			spec := forwardSpec(model.StepSingle)
			test.change(process, &spec)
			process.receive(spec)
			reply := process.onlyAnswer()
			is.Equal(reply.Outcome(), model.ForwardDenied)
			is.Equal(reply.Code(), test.want)
			is.Equal(len(process.conns.works), 0)
		})
	}
}

// A call for another process, a call that runs already, and any call while the setting is off get a
// refusal that states that nothing ran.
func TestHolderRefusesCall(t *testing.T) {
	tests := []struct {
		name    string
		enabled bool
		calls   []model.ProxyID
		want    codes.Code
	}{
		{"for another proxy", true, []model.ProxyID{"p-2"}, codes.WrongProxy},
		{"twice", true, []model.ProxyID{"p-1", "p-1"}, codes.WrongProxy},
		{"off", false, []model.ProxyID{"p-1"}, codes.Unsupported},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			process := newProcess(t, "p-1", test.enabled)
			for _, to := range test.calls {
				spec := forwardSpec(model.StepSingle)
				spec.To = to
				process.receive(spec)
			}
			refused, ok := process.actions[len(process.actions)-1].(event.RefuseForward)
			is.True(ok)
			is.Equal(refused.Code(), test.want)
			is.True(len(process.conns.users) < len(test.calls)+1)
		})
	}
}

// A key that is withdrawn while the statement waits at the holder is not used any more, whether the
// holder hears of it before the connection is granted or its configuration has become too old.
func TestKeyWithdrawnWhileWaiting(t *testing.T) {
	tests := []struct {
		name   string
		change func(process *process)
		want   codes.Code
	}{
		{"the holder is told", func(process *process) {
			process.setKeys("other")
			process.handle(event.NewCatalogChanged(1))
		}, codes.UnknownKey},
		{"found when the connection is granted", func(process *process) {
			process.setKeys("other")
			process.grant()
		}, codes.UnknownKey},
		{"the configuration is too old", func(process *process) {
			process.kernel.State().SetListCheckedAt(model.ListConfiguration, process.now-maxAge)
			process.grant()
		}, codes.RevisionUnconfirmed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			process := newProcess(t, "p-1", true)
			process.receive(forwardSpec(model.StepSingle))
			test.change(process)
			reply := process.onlyAnswer()
			is.Equal(reply.Outcome(), model.ForwardDenied)
			is.Equal(reply.Code(), test.want)
			is.Equal(len(process.conns.works), 0)
			is.Equal(process.holder.served.InFlight(), 0)
		})
	}
}

// The statement is sent with the limit of the age of the configuration, and the confirmation of the
// primary goes first. Its mark is that of the answer.
func TestConfirmedStatement(t *testing.T) {
	is := is.New(t)
	process := newProcess(t, "p-1", true)
	spec := forwardSpec(model.StepSingle)
	spec.Confirm, spec.Write = true, false
	process.receive(spec)
	process.grant()
	is.Equal(process.conns.works[0].Step(), model.StepConfirmPrimary)
	conn := process.conns.lastConn
	process.run(func() {
		process.conns.granted[conn].ExecuteDone(event.NewExecuteDone(1, conn, model.NewMark(1, 6), nil))
	})
	is.Equal(process.conns.works[1].Step(), model.StepSingle)
	until, _ := process.kernel.State().KeysValidUntil(maxAge)
	is.Equal(process.conns.works[1].SendBefore(), until)
	is.True(process.conns.works[1].Timeout() <= spec.Remaining-answerMargin)
	process.done()
	reply := process.onlyAnswer()
	is.Equal(reply.Outcome(), model.ForwardDone)
	is.Equal(reply.Mark(), model.NewMark(1, 6))
	is.Equal(process.conns.released[conn], false)
}

// A transaction stays on its connection from its first statement to its commit.
func TestTransactionAtHolder(t *testing.T) {
	is := is.New(t)
	process := newProcess(t, "p-1", true)
	tx := process.openTx()
	process.kernel.State().SetDraining() // does not end it
	process.receive(next(tx, model.StepNext, 4))
	process.done()
	is.Equal(process.onlyAnswer().Tx(), tx)
	is.Equal(process.holder.served.InFlight(), 1)
	process.receive(next(tx, model.StepCommit, 5))
	process.done()
	is.Equal(process.onlyAnswer().Tx(), model.ForwardTx{})
	is.Equal(len(process.conns.users), 1)
	is.Equal(process.conns.released[1], false)
	is.Equal(process.holder.served.InFlight(), 0)
}

// A statement of a transaction that is not open here, or not that of the proxy, runs nothing.
func TestForeignTransaction(t *testing.T) {
	tests := []struct {
		name   string
		change func(process *process, spec *model.ForwardSpec)
	}{
		{"of an earlier process of the holder", func(_ *process, spec *model.ForwardSpec) { spec.Tx = model.NewForwardTx(99, spec.Tx.Number()) }},
		{"of another proxy", func(_ *process, spec *model.ForwardSpec) { spec.From = proxyView("p-3") }},
		{"of an earlier process of the proxy", func(_ *process, spec *model.ForwardSpec) { spec.Process = 8 }},
		{"whose connection is lost", func(process *process, _ *model.ForwardSpec) { clear(process.conns.granted) }},
		{"whose key was withdrawn", func(process *process, _ *model.ForwardSpec) { process.setKeys("other") }},
		{"whose statement runs", func(process *process, spec *model.ForwardSpec) {
			process.receive(next(spec.Tx, model.StepNext, 9))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			process := newProcess(t, "p-1", true)
			spec := next(process.openTx(), model.StepCommit, 4)
			test.change(process, &spec)
			before := len(process.conns.works)
			process.receive(spec)
			reply := process.onlyAnswer()
			is.Equal(reply.Outcome(), model.ForwardFailed)
			is.Equal(reply.Class(), model.FailureForwardNotRun)
			is.Equal(len(process.conns.works), before)
		})
	}
}

// A transaction that nobody will end is rolled back, so that it keeps no connection and no locks.
func TestTransactionIsRolledBack(t *testing.T) {
	tests := []struct {
		name string
		act  func(process *process, tx model.ForwardTx)
	}{
		{"its proxy has ended it", func(process *process, tx model.ForwardTx) {
			process.handle(event.NewEndForwardReceived("p-0", 7, "p-1", 0, tx))
		}},
		{"its proxy gave up the call that opened it", func(process *process, _ model.ForwardTx) {
			process.handle(event.NewEndForwardReceived("p-0", 7, "p-1", 3, model.ForwardTx{}))
		}},
		{"it is idle for the limit of its kind", func(process *process, _ model.ForwardTx) { process.pass(2600 * time.Millisecond) }},
		{"its proxy is no longer live", func(process *process, _ model.ForwardTx) {
			process.kernel.State().SetDeployments(2, []*model.Deployment{newDeployment()})
			process.kernel.State().SetProxies([]model.ProxyView{proxyView("p-1"), proxyView("p-2"), proxyView("p-3"), proxyView("p-4")})
			process.pass(4 * time.Second)
		}},
		{"its key was withdrawn", func(process *process, _ model.ForwardTx) {
			process.setKeys("other")
			process.handle(event.NewCatalogChanged(1))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			process := newProcess(t, "p-1", true)
			tx := process.openTx()
			test.act(process, tx)
			is.Equal(process.conns.released[1], true) // dirty: rolled back
			is.Equal(process.holder.served.InFlight(), 0)
		})
	}
}

// A statement that is given up while it waits never runs. One that runs is finished, and the
// transaction that it opened is rolled back.
func TestStatementIsGivenUp(t *testing.T) {
	is := is.New(t)
	process := newProcess(t, "p-1", true)
	end := event.NewEndForwardReceived("p-0", 7, "p-1", 3, model.ForwardTx{})
	process.receive(forwardSpec(model.StepSingle))
	process.handle(end)
	is.Equal(process.conns.canceled, 1)
	is.Equal(process.onlyAnswer().Code(), codes.Canceled)
	process.receive(forwardSpec(model.StepFirst))
	process.grant()
	process.handle(end)
	process.done()
	is.Equal(process.conns.released[1], true)
	is.Equal(process.holder.served.InFlight(), 0)
}

// At its deadline a statement is answered: as refused if it waits, as lost if it runs.
func TestStatementExpires(t *testing.T) {
	is := is.New(t)
	process := newProcess(t, "p-1", true)
	process.receive(forwardSpec(model.StepSingle))
	process.pass(1100 * time.Millisecond)
	is.Equal(process.onlyAnswer().Code(), codes.Overloaded)
	is.Equal(process.conns.canceled, 1)
	process.receive(forwardSpec(model.StepSingle))
	process.grant()
	process.pass(1100 * time.Millisecond)
	is.Equal(process.onlyAnswer().Class(), model.FailureLost)
	is.Equal(process.conns.discards, 1)
}

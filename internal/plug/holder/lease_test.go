package holder

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

// fakeUser records what it is told.
type fakeUser struct {
	conn   model.ConnID
	done   []event.ExecuteDone
	failed []event.ExecuteFailed
	denied []route.Denial
}

// ConnGranted implements route.ConnUser.
func (user *fakeUser) ConnGranted(conn model.ConnID) { user.conn = conn }

// ConnDenied implements route.ConnUser.
func (user *fakeUser) ConnDenied(denial route.Denial) { user.denied = append(user.denied, denial) }

// ExecuteDone implements route.ConnUser.
func (user *fakeUser) ExecuteDone(done event.ExecuteDone) { user.done = append(user.done, done) }

// ExecuteFailed implements route.ConnUser.
func (user *fakeUser) ExecuteFailed(failed event.ExecuteFailed) {
	user.failed = append(user.failed, failed)
}

// ConnLost implements route.ConnUser.
func (user *fakeUser) ConnLost(model.ConnID) {}

// sender is a process that holds no connections to the instance.
type sender struct {
	*process
	user  *fakeUser
	order []model.ProxyView
}

func newSender(t *testing.T) *sender {
	order := newProcess(t, "p-0", true).kernel.State().HoldersOf(instance)
	last := order[len(order)-1]
	return &sender{process: newProcess(t, last.ID(), true), user: &fakeUser{}, order: order}
}

// execute sends a statement of a new lease, or of the present one for a further step.
func (sender *sender) execute(step model.Step, write bool) {
	if step == model.StepSingle || step == model.StepFirst {
		deployment, _ := sender.kernel.State().Deployment("d")
		kind, _ := deployment.Kind("k")
		job := route.NewJob(route.JobSpec{
			Request: model.NewRequest(model.RequestSpec{Seq: 1}), Deployment: deployment, Kind: kind, Group: "g", RequestID: "r",
			Team: sender.kernel.State().Teams().Find("a"), Key: model.DigestKey(secret), Arrived: sender.now, Deadline: sender.now + time.Second,
		})
		sender.run(func() { sender.holder.Acquire(route.SlotRequest{Instance: instance, Job: job}, sender.user) })
	}
	work := model.NewWork(model.WorkSpec{Step: step, Write: write, Statement: text("statement"), Timeout: time.Second})
	sender.run(func() { sender.holder.Execute(sender.user.conn, work) })
}

// sent returns the forwarded statements.
func (sender *sender) sent() []event.Forward {
	var sent []event.Forward
	for _, action := range sender.actions {
		if forward, ok := action.(event.Forward); ok {
			sent = append(sent, forward)
		}
	}
	return sent
}

func (sender *sender) last() event.Forward {
	sender.t.Helper()
	sent := sender.sent()
	if len(sent) == 0 {
		sender.t.Fatal("nothing was forwarded")
	}
	return sent[len(sent)-1]
}

func (sender *sender) ends() []event.EndForward {
	var ends []event.EndForward
	for _, action := range sender.actions {
		if end, ok := action.(event.EndForward); ok {
			ends = append(ends, end)
		}
	}
	return ends
}

func (sender *sender) fail(notRun bool) {
	sender.handle(event.NewForwardFailed(sender.last().ID(), notRun, "reason"))
}

func (sender *sender) answer(spec model.ForwardReplySpec) {
	sender.handle(event.NewForwardAnswered(sender.last().ID(), model.NewForwardReply(spec)))
}

// openTx opens a transaction at the first holder.
func (sender *sender) openTx() {
	sender.execute(model.StepFirst, true)
	sender.answer(model.ForwardReplySpec{Answer: text("row"), Tx: model.NewForwardTx(9, 4)})
}

// What certainly did not run goes to the other holder, then to the next proxy, and at last runs on a
// connection of this proxy.
func TestNotRunIsSentElsewhere(t *testing.T) {
	is := is.New(t)
	sender := newSender(t)
	sender.execute(model.StepSingle, true)
	for range proxiesAsked {
		sender.fail(true)
	}
	asked := make(map[model.ProxyID]bool)
	for _, forward := range sender.sent() {
		asked[forward.Body().To()] = true
	}
	is.Equal(len(sender.sent()), proxiesAsked)
	for _, proxy := range sender.order[:proxiesAsked] {
		is.True(asked[proxy.ID()])
	}
	is.Equal(len(sender.conns.users), 1)
	sender.grant()
	is.Equal(sender.conns.works[0].Step(), model.StepSingle)
	sender.done()
	is.Equal(len(sender.user.done), 1)
	is.Equal(sender.admission.running, 0)
	sender.run(func() { sender.holder.Release(sender.user.conn, false) })
	is.Equal(len(sender.holder.leases), 0)
	is.Equal(len(sender.conns.released), 1)
}

// A lost answer: a read and the first statement of a transaction are sent to the other holder once,
// a write or a commit never, and a statement of an open transaction fails with it. The first holder is
// told to end what it may have opened.
func TestLostAnswer(t *testing.T) {
	tests := []struct {
		name     string
		step     model.Step
		write    bool
		wantSent int
		wantEnds int
	}{
		{"read", model.StepSingle, false, 2, 1},
		{"write", model.StepSingle, true, 1, 0},
		{"first statement", model.StepFirst, true, 2, 2},
		{"further statement", model.StepNext, true, 2, 1},
		{"commit", model.StepCommit, true, 2, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sender := newSender(t)
			if test.step == model.StepNext || test.step == model.StepCommit {
				sender.openTx()
			}
			sender.execute(test.step, test.write)
			for sender.user.failed == nil {
				sender.fail(false)
			}
			is.Equal(len(sender.sent()), test.wantSent)
			is.Equal(len(sender.ends()), test.wantEnds)
			is.Equal(sender.user.failed[0].Class(), model.FailureForwardLost)
			is.Equal(sender.admission.running, 0)
		})
	}
}

// A refusal that another proxy may know better about goes on to it; any other one is final.
func TestDenial(t *testing.T) {
	tests := []struct {
		code     codes.Code
		wantSent int
	}{
		{codes.Draining, 2},
		{codes.UnknownKey, 2},
		{codes.RevisionUnconfirmed, 2},
		{codes.NoReplica, 2},
		{codes.Overloaded, 2},
		{codes.TeamLimit, 1},
	}
	for _, test := range tests {
		t.Run(test.code.String(), func(t *testing.T) {
			is := is.New(t)
			sender := newSender(t)
			sender.execute(model.StepFirst, true)
			sender.answer(model.ForwardReplySpec{Outcome: model.ForwardDenied, Code: test.code, RetryAfter: 70 * time.Millisecond})
			is.Equal(len(sender.sent()), test.wantSent)
			if test.wantSent == 1 {
				is.Equal(sender.user.denied, []route.Denial{{Code: test.code, RetryAfter: 70 * time.Millisecond}})
				is.Equal(len(sender.holder.leases), 0)
			}
		})
	}
}

// A transaction stays with its holder when the members change, also if that is no holder any more.
func TestTransactionStaysWithHolder(t *testing.T) {
	is := is.New(t)
	sender := newSender(t)
	sender.openTx()
	first := sender.last().Body().To()
	var others []model.ProxyView
	for _, proxy := range sender.order {
		if proxy.ID() != first {
			others = append(others, proxy)
		}
	}
	sender.kernel.State().SetProxies(append(others, proxyView("p-8"), proxyView("p-9")))
	sender.execute(model.StepNext, true)
	is.Equal(sender.last().Body().To(), first)
	is.Equal(sender.last().Body().Tx(), model.NewForwardTx(9, 4))
	sender.answer(model.ForwardReplySpec{Answer: text("row"), Tx: model.NewForwardTx(9, 4)})
	sender.run(func() { sender.holder.Release(sender.user.conn, true) }) // rolled back by the caller
	is.Equal(sender.ends()[0].To().ID(), first)
	is.Equal(sender.ends()[0].Tx(), model.NewForwardTx(9, 4))
}

// A holder that has lost the transaction has run nothing of its next statement, and the transaction
// is over.
func TestHolderLostTransaction(t *testing.T) {
	is := is.New(t)
	sender := newSender(t)
	sender.openTx()
	sender.execute(model.StepCommit, true)
	sender.answer(model.ForwardReplySpec{Outcome: model.ForwardFailed, Class: model.FailureForwardNotRun})
	is.Equal(sender.user.failed[0].Class(), model.FailureForwardNotRun)
	sender.run(func() { sender.holder.Release(sender.user.conn, true) })
	is.Equal(len(sender.ends()), 0)
}

// A holder that has answered nothing by the deadline of a statement gets no new ones for some
// seconds. Those in flight are given up.
func TestSilentHolderIsLeftOut(t *testing.T) {
	is := is.New(t)
	sender := newSender(t)
	sender.execute(model.StepSingle, false)
	silent := sender.last().Body().To()
	sender.pass(silenceTime + 200*time.Millisecond)
	sender.execute(model.StepSingle, false)
	is.True(sender.last().Body().To() != silent) // even before the deadline
	sender.answer(model.ForwardReplySpec{Answer: text("row")})
	first := sender.sent()[0]
	sender.pass(time.Second)
	for _, lease := range sender.holder.leases {
		if lease.call != nil {
			sender.run(func() { sender.holder.Discard(lease.id) })
		}
	}
	is.Equal(sender.ends()[0].Number(), first.Body().Number())
	is.Equal(sender.ends()[0].To().ID(), silent)
	sender.execute(model.StepSingle, false)
	is.True(sender.last().Body().To() != silent)
	sender.answer(model.ForwardReplySpec{Answer: text("row")})
	sender.pass(avoidTime + time.Second)
	sender.execute(model.StepSingle, false)
	is.Equal(sender.last().Body().To(), silent) // it is asked again
}

// What is forwarded at a time is bounded, and so is the memory for it.
func TestLeasesAreBounded(t *testing.T) {
	is := is.New(t)
	sender := newSender(t)
	for range maxLeases {
		sender.execute(model.StepSingle, false)
	}
	is.Equal(len(sender.user.denied), 0)
	sender.execute(model.StepSingle, false)
	is.Equal(sender.user.denied[0].Code, codes.Overloaded)
}

// What the proxy sends itself, and callers without a team, use connections of this proxy.
func TestOwnStatementsAreNotForwarded(t *testing.T) {
	is := is.New(t)
	sender := newSender(t)
	sender.run(func() { sender.holder.Acquire(route.SlotRequest{Instance: instance, BypassLimit: true}, sender.user) })
	deployment, _ := sender.kernel.State().Deployment("d")
	job := route.NewJob(route.JobSpec{Request: model.NewRequest(model.RequestSpec{Seq: 1}), Deployment: deployment, Group: "g"})
	sender.run(func() { sender.holder.Acquire(route.SlotRequest{Instance: instance, Job: job}, sender.user) })
	is.Equal(len(sender.conns.users), 2)
	is.Equal(len(sender.holder.leases), 0)
}

// What both holders are too busy for is refused. The next proxy, with its small share, is not asked.
func TestBothHoldersAreOverloaded(t *testing.T) {
	is := is.New(t)
	sender := newSender(t)
	sender.execute(model.StepSingle, true)
	for range 2 {
		sender.answer(model.ForwardReplySpec{Outcome: model.ForwardDenied, Code: codes.Overloaded, RetryAfter: 70 * time.Millisecond})
	}
	is.Equal(len(sender.sent()), 2)
	is.Equal(sender.user.denied, []route.Denial{{Code: codes.Overloaded, RetryAfter: 70 * time.Millisecond}})
	is.Equal(len(sender.holder.leases), 0)
}

// Guards against a refusal that states that nothing ran after the statement was sent to a holder
// whose answer was lost, and against repetitions beyond the retry budget.
func TestLostThenDenied(t *testing.T) {
	is := is.New(t)
	sender := newSender(t)
	sender.execute(model.StepSingle, false)
	sender.fail(false)
	sender.answer(model.ForwardReplySpec{Outcome: model.ForwardDenied, Code: codes.TeamLimit})
	is.Equal(len(sender.user.denied), 1)
	is.True(sender.user.denied[0].MayHaveRun)

	sender = newSender(t)
	sender.admission.exhausted = true
	sender.execute(model.StepSingle, false)
	sender.fail(false)
	is.Equal(len(sender.sent()), 1)
	is.Equal(sender.user.failed[0].Class(), model.FailureForwardLost)
}

// Guards against a statement that no proxy accepts and that takes all holders away from the others of
// its proxy, and against a draining holder that is asked first again and again.
func TestWhoIsLeftOut(t *testing.T) {
	tests := []struct {
		name  string
		reply func(sender *sender)
		want  bool
	}{
		{"the statement is refused", func(sender *sender) {
			sender.handle(event.NewForwardFailed(sender.last().ID(), true, "malformed").WithRejected())
		}, false},
		{"the call fails", func(sender *sender) { sender.fail(true) }, true},
		{"unknown key", func(sender *sender) {
			sender.answer(model.ForwardReplySpec{Outcome: model.ForwardDenied, Code: codes.UnknownKey})
		}, false},
		{"draining", func(sender *sender) {
			sender.answer(model.ForwardReplySpec{Outcome: model.ForwardDenied, Code: codes.Draining})
		}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sender := newSender(t)
			sender.execute(model.StepSingle, true)
			first := sender.last().Body().To()
			test.reply(sender)
			is.Equal(sender.holder.peer(first).avoidedUntil > sender.now, test.want)
		})
	}
}

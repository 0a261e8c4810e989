package holder

import (
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/count"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

// lease takes the place of a connection whose statements another proxy runs. It implements
// directUser for the case that this proxy has to run them itself.
type lease struct {
	holder    *Holder
	id        model.ConnID
	request   route.SlotRequest
	user      route.ConnUser
	work      *model.Work
	expiresAt time.Duration // of the statement
	call      *call         // in flight, or nil
	asked     []model.ProxyID
	resent    bool            // the answer was lost once
	target    model.ProxyView // of the last call
	tx        model.ForwardTx // open at target
	direct    *direct         // on a connection of this proxy, or nil
	counted   bool            // a statement counts as running on the instance
}

// call is a forwarded statement without an answer.
type call struct {
	lease  *lease
	peer   *peer
	number uint64
	sentAt time.Duration
}

func (lease *lease) hasAsked(id model.ProxyID) bool { return slices.Contains(lease.asked, id) }

// execute starts a statement.
func (lease *lease) execute(work *model.Work) {
	lease.work = work
	lease.expiresAt = lease.holder.context.Now() + work.Timeout()
	lease.asked, lease.resent = lease.asked[:0], false
	switch {
	case lease.direct != nil:
		lease.direct.run(lease.directWork())
	case lease.tx != model.ForwardTx{}:
		lease.send(lease.target)
	default:
		lease.sendNext("")
	}
}

// sendNext forwards the statement to the next proxy that may run it. reason says why the previous
// one did not, or is empty.
func (lease *lease) sendNext(reason string) {
	if proxy, ok := lease.holder.chooseProxy(lease); ok {
		lease.send(proxy)
		return
	}
	if reason == "" {
		reason = "no holder can be asked"
	}
	lease.holder.count(count.ForwardsRunHere)
	lease.log("forward_run_here", reason)
	lease.direct = newDirect(lease.holder, lease.request, lease)
	lease.direct.acquire(lease.directWork())
}

// directWork returns the statement for a connection of this proxy.
func (lease *lease) directWork() directWork {
	return directWork{
		step:      lease.work.Step(),
		write:     lease.work.Write(),
		confirm:   lease.work.Confirm(),
		after:     lease.work.After(),
		statement: lease.work.Statement(),
		deadline:  lease.expiresAt,
	}
}

// send forwards the statement to a proxy.
func (lease *lease) send(proxy model.ProxyView) {
	holder := lease.holder
	now, id := holder.context.Now(), model.ForwardID(holder.context.NextID())
	lease.target = proxy
	lease.asked = append(lease.asked, proxy.ID())
	lease.call = &call{lease: lease, peer: holder.peer(proxy.ID()), number: uint64(id), sentAt: now}
	lease.call.peer.recordSent(now)
	holder.calls[id] = lease.call
	if !lease.counted {
		lease.counted = true
		holder.admission.ForceAcquire(lease.request)
	}
	job, remaining := lease.request.Job, max(time.Millisecond, lease.expiresAt-now)
	body := model.NewForward(model.ForwardSpec{
		From:       holder.context.State().Self(),
		Process:    holder.process,
		To:         proxy.ID(),
		Number:     uint64(id),
		Instance:   lease.request.Instance,
		Deployment: job.Deployment().Name(),
		Kind:       job.Kind().Name(),
		Op:         job.Request().Op(),
		RequestID:  job.LoggedID(),
		Key:        job.Key(),
		Team:       job.Team().Name(),
		Statement:  lease.work.Statement(),
		Step:       lease.work.Step(),
		Confirm:    lease.work.Confirm(),
		Write:      lease.work.Write(),
		After:      lease.work.After(),
		Waited:     now - job.Arrived(),
		Remaining:  remaining,
		Tx:         lease.tx,
	})
	holder.count(count.ForwardsSent)
	holder.context.Emit(event.NewForward(id, proxy.Address(), body, remaining+answerGrace))
}

// uncount records that no statement runs any more. held is how long it held a slot of the instance,
// or 0 if that is not known.
func (lease *lease) uncount(held time.Duration) {
	if lease.counted {
		lease.counted = false
		end := route.SlotAnswered
		if held == 0 {
			end = route.SlotUnused
		}
		lease.holder.admission.Release(lease.request, held, end)
	}
}

// handleReply passes the answer of a proxy on.
func (lease *lease) handleReply(reply *model.ForwardReply) {
	lease.uncount(reply.Held())
	switch reply.Outcome() {
	case model.ForwardDone:
		lease.handleDone(reply)
	case model.ForwardFailed:
		lease.tx = model.ForwardTx{}
		usable := reply.Class() != model.FailureNotSent && reply.Class() != model.FailureLost &&
			reply.Class() != model.FailureForwardNotRun && reply.Class() != model.FailureForwardLost
		lease.fail(reply.Class(), usable, reply.Mark(), reply.Answer())
	case model.ForwardDenied:
		lease.handleDenial(reply)
	}
}

func (lease *lease) handleDone(reply *model.ForwardReply) {
	step := lease.work.Step()
	opened := step == model.StepFirst || step == model.StepNext
	if opened != (reply.Tx() != model.ForwardTx{}) {
		lease.tx = model.ForwardTx{}
		lease.fail(model.FailureForwardLost, false, model.Mark{}, nil)
		return
	}
	lease.tx = reply.Tx()
	lease.user.ExecuteDone(event.NewExecuteDone(0, lease.id, reply.Mark(), reply.Answer()))
}

// handleDenial passes a refusal on, unless another proxy may know better: one that lacks the
// present configuration or cannot reach the instance speaks for itself only. A holder that is
// overloaded, too, since the teams are not evenly divided among the two.
func (lease *lease) handleDenial(reply *model.ForwardReply) {
	step := lease.work.Step()
	if step == model.StepNext || step == model.StepCommit {
		lease.tx = model.ForwardTx{}
		lease.fail(model.FailureForwardNotRun, false, model.Mark{}, nil)
		return
	}
	switch reply.Code() {
	case codes.RevisionUnconfirmed, codes.Draining, codes.Unsupported:
		lease.holder.avoid(lease.holder.peer(lease.target.ID()), reply.Reason(), avoidTime)
		lease.sendNext(reply.Reason())
		return
	case codes.UnknownKey, codes.UnknownDeployment, codes.UnknownKind, codes.UnknownGroup:
		lease.sendNext(reply.Reason())
		return
	case codes.Overloaded:
		if proxy, ok := lease.holder.chooseProxy(lease); ok && lease.holder.context.State().IsHolder(lease.request.Instance, proxy.ID()) {
			lease.send(proxy)
			return
		}
	case codes.NoReplica:
		if proxy, ok := lease.holder.chooseProxy(lease); ok {
			lease.send(proxy)
			return
		}
	}
	lease.deny(route.Denial{Code: reply.Code(), RetryAfter: reply.RetryAfter(), Reason: reply.Reason()})
}

// handleFailure handles a call that got no usable answer. What cannot have run goes to the next
// proxy. A read or the first statement of a transaction, which have no effect without their
// answer, go to the next one once. The proxy that may have them is told to give them up, since a
// transaction that it has opened would keep its locks.
func (lease *lease) handleFailure(number uint64, notRun bool, reason string) {
	lease.uncount(0)
	step := lease.work.Step()
	inTx := step == model.StepNext || step == model.StepCommit
	safe := step == model.StepFirst || step == model.StepSingle && !lease.work.Write()
	inTime := lease.expiresAt-lease.holder.context.Now() >= minResendTime
	switch {
	case notRun && inTx:
		lease.endTx()
		lease.fail(model.FailureForwardNotRun, false, model.Mark{}, nil)
	case notRun:
		lease.sendNext(reason)
	case safe && !lease.resent && inTime && lease.holder.admission.TakeRetry(lease.request.Job.Group()):
		lease.resent = true
		lease.emitEnd(number, model.ForwardTx{})
		lease.log("forward_resent", reason)
		lease.sendNext(reason)
	default:
		if step == model.StepNext || step == model.StepFirst {
			lease.emitEnd(number, lease.tx)
		}
		lease.tx = model.ForwardTx{}
		lease.fail(model.FailureForwardLost, false, model.Mark{}, nil)
	}
}

func (lease *lease) fail(class model.FailureClass, usable bool, mark model.Mark, answer model.Payload) {
	lease.user.ExecuteFailed(event.NewExecuteFailed(0, lease.id, class, usable, mark, answer))
}

func (lease *lease) deny(denial route.Denial) {
	delete(lease.holder.leases, lease.id)
	denial.MayHaveRun = lease.resent
	lease.user.ConnDenied(denial)
}

// endTx tells the holder to roll the open transaction back.
func (lease *lease) endTx() {
	if lease.tx != (model.ForwardTx{}) {
		lease.emitEnd(0, lease.tx)
		lease.tx = model.ForwardTx{}
	}
}

func (lease *lease) emitEnd(number uint64, tx model.ForwardTx) {
	holder := lease.holder
	holder.context.Emit(event.NewEndForward(holder.context.State().Self(), holder.process, lease.target, number, tx))
}

// release ends the lease after its last statement was answered.
func (lease *lease) release(dirty bool) {
	delete(lease.holder.leases, lease.id)
	if lease.direct != nil {
		lease.direct.release(dirty)
		return
	}
	lease.endTx()
}

// discard ends the lease whose statement is no longer needed. A holder that has answered nothing
// since the statement was sent, by its deadline, is left out for some time.
func (lease *lease) discard() {
	holder := lease.holder
	delete(holder.leases, lease.id)
	if lease.direct != nil {
		lease.direct.discard()
		return
	}
	if lease.call == nil {
		lease.endTx()
		return
	}
	given := lease.call
	holder.finishCall(model.ForwardID(given.number))
	lease.uncount(0)
	if holder.context.Now() >= lease.expiresAt && given.peer.silentSince <= given.sentAt {
		holder.avoid(given.peer, "no answer by the deadline of a statement", avoidTime)
	}
	lease.emitEnd(given.number, lease.tx)
}

// RequestID implements route.IdentifiedUser.
func (lease *lease) RequestID() string {
	if user, ok := lease.user.(route.IdentifiedUser); ok {
		return user.RequestID()
	}
	return ""
}

// log logs a decision about the statement.
func (lease *lease) log(name, reason string) {
	job := lease.request.Job
	lease.holder.context.Emit(event.NewLogDecision(model.Decision{
		Name:       name,
		Caller:     job.Request().Caller(),
		Seq:        job.Seq(),
		RequestID:  job.LoggedID(),
		Deployment: job.Deployment().Name(),
		Kind:       job.Kind().Name(),
		Group:      job.Group(),
		Instance:   lease.request.Instance,
		Proxy:      lease.target.ID(),
		Reason:     reason,
	}))
}

// directDenied implements directUser.
func (lease *lease) directDenied(denial route.Denial) { lease.deny(denial) }

// directDone implements directUser.
func (lease *lease) directDone(mark model.Mark, answer model.Payload, _ time.Duration) {
	lease.user.ExecuteDone(event.NewExecuteDone(0, lease.id, mark, answer))
}

// directFailed implements directUser.
func (lease *lease) directFailed(failed event.ExecuteFailed, _ time.Duration) {
	lease.fail(failed.Class(), failed.Usable(), failed.Mark(), failed.Answer())
}

// directLost implements directUser.
func (lease *lease) directLost() {
	delete(lease.holder.leases, lease.id)
	lease.user.ConnLost(lease.id)
}

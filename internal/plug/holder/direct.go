package holder

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

// directWork is a statement for a connection of this proxy.
type directWork struct {
	step      model.Step
	write     bool
	confirm   bool // the instance confirms first that it is the primary
	after     model.Mark
	statement model.Payload
	deadline  time.Duration
}

// directUser runs statements on a connection of this proxy.
type directUser interface {
	// directDenied is called if the statement is refused before anything was sent.
	directDenied(denial route.Denial)
	// directDone delivers the answer. mark is that of the confirmation, if there was one.
	directDone(mark model.Mark, answer model.Payload, held time.Duration)
	// directFailed is called if the statement failed.
	directFailed(failed event.ExecuteFailed, held time.Duration)
	// directLost is called if the connection is lost while nothing runs on it.
	directLost()
}

type directState int

const (
	directIdle directState = iota
	directWaiting
	directConfirming
	directExecuting
)

// direct is a connection of this proxy on which a statement or a transaction runs. It implements
// route.ConnUser.
type direct struct {
	holder  *Holder
	request route.SlotRequest
	user    directUser
	state   directState
	work    directWork
	waitID  route.WaitID
	conn    model.ConnID
	sentAt  time.Duration
	mark    model.Mark // of the confirmation
}

func newDirect(holder *Holder, request route.SlotRequest, user directUser) *direct {
	request.Forwarded = false
	return &direct{holder: holder, request: request, user: user}
}

// acquire requests a connection and runs the first statement on it.
func (direct *direct) acquire(work directWork) {
	direct.work, direct.state = work, directWaiting
	if waitID := direct.holder.inner.Acquire(direct.request, direct); waitID != 0 {
		direct.waitID = waitID
	}
}

// ConnGranted implements route.ConnUser. The key is checked again after the wait.
func (direct *direct) ConnGranted(conn model.ConnID) {
	direct.conn, direct.waitID = conn, 0
	if code, reason := route.CheckKey(direct.holder.context, direct.request.Job); code != codes.OK {
		direct.state = directIdle
		direct.holder.inner.Release(conn, false)
		direct.user.directDenied(route.Denial{Code: code, Reason: reason})
		return
	}
	direct.run(direct.work)
}

// run runs a statement on the connection.
func (direct *direct) run(work directWork) {
	direct.work = work
	direct.sentAt = direct.holder.context.Now()
	if work.confirm {
		direct.state = directConfirming
		direct.execute(model.WorkSpec{Step: model.StepConfirmPrimary})
		return
	}
	direct.executeStatement()
}

func (direct *direct) executeStatement() {
	direct.state = directExecuting
	direct.execute(model.WorkSpec{
		Step:       direct.work.step,
		Write:      direct.work.write,
		Statement:  direct.work.statement,
		After:      direct.work.after,
		SendBefore: route.SendBefore(direct.holder.context, direct.request.Job),
	})
}

func (direct *direct) execute(spec model.WorkSpec) {
	spec.Timeout = max(time.Millisecond, direct.work.deadline-direct.holder.context.Now())
	direct.holder.inner.Execute(direct.conn, model.NewWork(spec))
}

// ConnDenied implements route.ConnUser.
func (direct *direct) ConnDenied(denial route.Denial) {
	direct.waitID, direct.state = 0, directIdle
	direct.user.directDenied(denial)
}

// ExecuteDone implements route.ConnUser.
func (direct *direct) ExecuteDone(done event.ExecuteDone) {
	if direct.state == directConfirming {
		direct.mark = done.Mark()
		direct.executeStatement()
		return
	}
	mark := done.Mark()
	if direct.work.confirm {
		mark = direct.mark
	}
	direct.state = directIdle
	direct.user.directDone(mark, done.Answer(), direct.held())
}

// ExecuteFailed implements route.ConnUser.
func (direct *direct) ExecuteFailed(failed event.ExecuteFailed) {
	direct.user.directFailed(failed, direct.held())
}

// ConnLost implements route.ConnUser.
func (direct *direct) ConnLost(model.ConnID) { direct.user.directLost() }

// RequestID implements route.IdentifiedUser.
func (direct *direct) RequestID() string {
	if user, ok := direct.user.(route.IdentifiedUser); ok {
		return user.RequestID()
	}
	return ""
}

func (direct *direct) held() time.Duration { return direct.holder.context.Now() - direct.sentAt }

func (direct *direct) park() { direct.holder.inner.Park(direct.conn) }

func (direct *direct) resume() bool { return direct.holder.inner.Resume(direct.conn, direct) }

// release returns the connection. It is reset if a confirmation failed on it.
func (direct *direct) release(dirty bool) {
	dirty = dirty || direct.state == directConfirming
	direct.state = directIdle
	direct.holder.inner.Release(direct.conn, dirty)
}

// discard ends the wait for a connection, or closes the connection.
func (direct *direct) discard() {
	if direct.state == directWaiting {
		direct.holder.inner.CancelWait(direct.waitID)
	} else {
		direct.holder.inner.Discard(direct.conn)
	}
	direct.state = directIdle
}

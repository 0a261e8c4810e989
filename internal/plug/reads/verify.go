package reads

import (
	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/state"
)

// recheck continues the read after new reports of its group.
func (read *read) recheck(group *state.Group) {
	switch read.state {
	case readAwaitingInstance:
		read.readCheck.Observe(group)
		read.acquire()
	case readVerifying:
		read.verify(group)
	case readCatchingUp:
		read.readCheck.Observe(group)
		read.catchUp(group)
	case readAcquiring:
		read.updateReadIndex(group)
	case readExecuting:
		read.updateReadIndex(group)
		read.checkSilence(group)
	case readEnded:
	}
}

// updateReadIndex keeps the lowest read index since the arrival while the read waits for
// its answer. A read that accepts staleness rarely needs the index and skips the update.
func (read *read) updateReadIndex(group *state.Group) {
	if read.job.RequiresFresh() {
		read.readCheck.Observe(group)
	}
}

// checkSilence runs the read on another instance if its instance stays silent for a probe
// interval. A single observation is not enough, because every instance appears silent
// right after a pause of this proxy. A further statement of a transaction is bound to its
// instance and waits.
func (read *read) checkSilence(group *state.Group) {
	context := read.reads.context
	member := group.Member(read.instance)
	if read.reason == reasonOpenTransaction || (member != nil && !route.Silent(context, member)) {
		read.silentSince = 0
		return
	}
	if read.silentSince == 0 {
		read.silentSince = context.Now()
	}
	if context.Now()-read.silentSince >= context.Settings().ProbeInterval() {
		read.discardConn()
		read.retry()
	}
}

// discardConn closes the connection on which the read runs. A transaction loses its
// connection.
func (read *read) discardConn() {
	read.reads.conns.Discard(read.conn)
	read.conn = 0
	if tx := read.job.Tx(); tx != nil {
		tx.Close()
	}
}

// verify checks the answer against the reports of the group: it returns the answer to the
// caller, requests more reports, or repeats the read.
func (read *read) verify(group *state.Group) {
	switch read.readCheck.Verdict(group, read.mark, read.reads.context.Now()) {
	case route.VerdictAccepted:
		read.finish(route.ResultSpec{Mark: read.mark, Answer: read.answer, Reason: read.reason})
	case route.VerdictPending:
		read.requestReports()
	case route.VerdictStale:
		read.repeat(group)
	}
}

// repeat runs the read again after a stale answer. The first statement of a transaction may
// run on another instance; a later one waits until its instance has caught up.
func (read *read) repeat(group *state.Group) {
	read.log("repeat", "the answer was stale")
	read.answer = nil
	tx := read.job.Tx()
	switch {
	case tx == nil:
		read.acquire()
	case read.reason == reasonOpenTransaction:
		read.state = readCatchingUp
		read.catchUp(group)
	default:
		read.reads.conns.Release(tx.Conn(), true)
		tx.Restart()
		read.acquire()
	}
}

// catchUp runs a statement of an open transaction again once the reported log position of
// its instance meets the statement's requirement.
func (read *read) catchUp(group *state.Group) {
	member := group.Member(read.instance)
	if member != nil && read.reads.serves(member, group) && read.readCheck.Suffices(group, member.Status().Tail(), read.reads.context.Now()) {
		read.resume()
		return
	}
	read.requestReports()
}

func (read *read) expire() {
	code := codes.DeadlineExceeded
	if read.state == readAwaitingInstance {
		code = codes.NoReplica
	}
	reason := "deadline while " + read.stateName()
	read.stopAndFinish(code, reason)
}

func (read *read) cancel() { read.stopAndFinish(codes.Canceled, "canceled") }

func (read *read) stopAndFinish(code codes.Code, reason string) {
	read.stop()
	result := route.ResultSpec{Outcome: model.OutcomeNotRun, Code: code, Instance: read.instance, Reason: reason}
	if code != codes.Canceled {
		result.RetryAfter = read.reads.admission.RetryAfter(read.instance)
	}
	read.reads.sessions.Finish(read.job, result)
}

// stop ends the read without a result. If a statement is still running, its connection is
// closed.
func (read *read) stop() {
	switch read.state {
	case readAcquiring:
		read.reads.conns.CancelWait(read.waitID)
	case readExecuting:
		read.discardConn()
	case readAwaitingInstance, readVerifying, readCatchingUp, readEnded:
	}
	read.end()
}

func (read *read) stateName() string {
	switch read.state {
	case readAwaitingInstance:
		return "no instance could serve the read"
	case readAcquiring:
		return "waiting for a connection"
	case readExecuting:
		return "the statement ran"
	default:
		return "the answer was not verified"
	}
}

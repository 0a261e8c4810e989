package writes

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/state"
)

type writeState int

const (
	// writeAwaitingPrimary: no primary is known to accept the write, or the back-off has
	// not ended.
	writeAwaitingPrimary writeState = iota
	// writeAcquiring: the write waits for a connection to the primary.
	writeAcquiring
	// writeExecuting: the primary executes the statement, the commit or the settlement.
	writeExecuting
	// writeCheckingRead: the answer to a read of an open transaction is held until the read
	// check accepts it.
	writeCheckingRead
	// writeConfirming: the result is held until a majority has its mark.
	writeConfirming
	writeEnded
)

const (
	// minTimeout is the shortest timeout of an execution, for writes whose deadline is
	// imminent.
	minTimeout     = time.Millisecond
	initialBackoff = 5 * time.Millisecond
	maxBackoff     = 200 * time.Millisecond
)

// write is a running write: a single statement, or a statement or the commit of a
// transaction. It implements route.ConnUser and route.RunningRequest.
type write struct {
	writes    *Writes
	job       *route.Job
	readCheck route.ReadCheck
	state     writeState
	listIndex int
	requestID string
	term      model.Term
	// fencedTerm is the last term in which an instance refused the write as fenced.
	fencedTerm model.Term
	instance   model.InstanceID
	waitID     route.WaitID
	conn       model.ConnID
	step       model.Step
	// settling is set while the outcome is determined by a settlement.
	settling bool
	// attemptInDoubt is set when an earlier attempt may have taken effect.
	attemptInDoubt bool
	retries        int
	// notBefore is the end of the back-off on the kernel's clock.
	notBefore time.Duration
	mark      model.Mark
	result    route.ResultSpec
}

// RequestID implements route.IdentifiedUser.
func (write *write) RequestID() string { return write.requestID }

// Group implements route.RunningRequest.
func (write *write) Group() model.GroupID { return write.job.Group() }

// ListIndex implements route.RunningRequest.
func (write *write) ListIndex() int { return write.listIndex }

// SetListIndex implements route.RunningRequest.
func (write *write) SetListIndex(index int) { write.listIndex = index }

// groupState returns the state of the group, or nil if the group is not listed.
func (write *write) groupState() *state.Group {
	return write.writes.context.State().Group(write.job.Group())
}

func (write *write) isCommit() bool { return write.job.Request().Op() == model.OpCommit }

// continuesTx reports whether the write is a further statement of an open transaction.
func (write *write) continuesTx() bool {
	return write.step == model.StepNext || write.step == model.StepDescribe
}

// requestReports requests reports of the group that are newer than the current ones.
func (write *write) requestReports() {
	write.writes.probes.RequestReports(write.job.Group(), write.writes.context.Now(), write.job.Arrived())
}

// acquire requests a connection to the primary. The write waits instead while no
// primary is usable, while a switchover holds the writes, after the instance refused it as
// fenced in this term and until its back-off has ended. A newer term ends the back-off
// early.
func (write *write) acquire() {
	group := write.groupState()
	primary := write.writes.writablePrimary(group)
	held := group != nil && group.WritesHeld(write.writes.context.Now())
	if primary == nil || held || group.Term() == write.fencedTerm {
		write.state = writeAwaitingPrimary
		write.requestReports()
		return
	}
	if write.writes.context.Now() < write.notBefore && group.Term() <= write.term {
		write.state = writeAwaitingPrimary
		return
	}
	write.term = group.Term()
	write.instance = primary.ID()
	write.state = writeAcquiring
	waitID := write.writes.conns.Acquire(route.SlotRequest{Instance: write.instance, Job: write.job}, write)
	if waitID != 0 {
		write.waitID = waitID
	}
}

// ConnGranted implements route.ConnUser.
func (write *write) ConnGranted(conn model.ConnID) {
	write.waitID = 0
	write.conn = conn
	switch {
	case write.settling:
		write.execute(model.StepSettle)
	case write.job.Tx() != nil:
		write.job.Tx().Open(conn, write.instance, write.term)
		write.execute(model.StepFirst)
	default:
		write.execute(model.StepSingle)
	}
}

func (write *write) execute(step model.Step) {
	write.state = writeExecuting
	write.step = step
	spec := model.WorkSpec{
		Step:        step,
		Write:       true,
		FencingTerm: write.term,
		LedgerID:    write.requestID,
		Digest:      write.digest(),
		Statement:   write.job.Request().Statement(),
		Timeout:     max(minTimeout, write.job.Deadline()-write.writes.context.Now()),
	}
	if step == model.StepSettle {
		spec.Statement = nil
	}
	write.writes.conns.Execute(write.conn, model.NewWork(spec))
}

func (write *write) digest() uint64 {
	if tx := write.job.Tx(); tx != nil {
		return tx.Digest()
	}
	return write.job.Request().Digest()
}

// ConnDenied implements route.ConnUser.
func (write *write) ConnDenied(denial route.Denial) {
	write.waitID = 0
	if write.attemptInDoubt || denial.Code == codes.NoReplica {
		write.backOff()
		return
	}
	write.finish(route.ResultSpec{Outcome: model.OutcomeNotRun, Code: denial.Code, RetryAfter: denial.RetryAfter, Reason: denial.Reason})
}

// ConnLost implements route.ConnUser.
func (write *write) ConnLost(model.ConnID) {
	if tx := write.job.Tx(); tx != nil {
		tx.Close()
	}
}

// ExecuteDone implements route.ConnUser.
func (write *write) ExecuteDone(done event.ExecuteDone) {
	if write.state == writeEnded {
		write.writes.conns.Release(write.conn, false)
		return
	}
	switch write.step {
	case model.StepFirst, model.StepNext, model.StepDescribe:
		write.stepDone(done)
	case model.StepSettle:
		write.release()
		write.confirm(done.Mark(), write.notRunResult("settled as not run"))
	default:
		write.release()
		write.confirm(done.Mark(), route.ResultSpec{Answer: done.Answer(), Reason: "primary"})
	}
}

// release returns the connection to the pool after a statement that left no open
// transaction on it.
func (write *write) release() {
	write.writes.conns.Release(write.conn, false)
	write.conn = 0
	if write.isCommit() && !write.settling {
		write.job.Tx().Close()
	}
}

// log emits a decision that the final result does not show.
func (write *write) log(name string, code codes.Code, reason string) {
	write.writes.context.Emit(event.NewLogDecision(model.Decision{
		Name:       name,
		Caller:     write.job.Request().Caller(),
		RequestID:  write.requestID,
		Deployment: write.job.Deployment().Name(),
		Group:      write.job.Group(),
		Instance:   write.instance,
		Term:       write.term,
		Reason:     reason,
		Code:       code,
	}))
}

// finish ends the write and sends its result to the caller.
func (write *write) finish(result route.ResultSpec) {
	result.Instance = write.instance
	write.end()
	write.writes.sessions.Finish(write.job, result)
}

func (write *write) end() {
	write.state = writeEnded
	delete(write.writes.runningBySeq, write.job.Seq())
	write.writes.runningByGroup.Remove(write)
}

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
	// writeAwaitingPrimary: no primary can take the write as far as is known.
	writeAwaitingPrimary writeState = iota
	// writeAcquiring: the write waits for a connection to the primary.
	writeAcquiring
	// writeExecuting: the primary runs the statement.
	writeExecuting
	// writeCheckingRead: the statement of an open transaction is held until it is proved.
	writeCheckingRead
	// writeConfirming: the result is held until a majority has its mark.
	writeConfirming
	writeEnded
)

const (
	// minTimeout is the least time that the adapter is given for an execution.
	minTimeout   = time.Millisecond
	firstBackoff = 5 * time.Millisecond
	maxBackoff   = 200 * time.Millisecond
)

// write is a running write. It implements route.Taker and route.Item.
type write struct {
	writes         *Writes
	job            *route.Job
	readCheck      route.ReadCheck
	state          writeState
	listIndex      int
	requestID      string
	term           model.Term
	fencedTerm     model.Term
	instance       model.InstanceID
	waitID         route.WaitID
	conn           model.ConnID
	step           model.Step
	settling       bool
	attemptInDoubt bool
	retries        int
	notBefore      time.Duration
	mark           model.Mark
	result         route.ResultSpec
}

// Group implements route.Item.
func (write *write) Group() model.GroupID { return write.job.Group() }

// ListIndex implements route.Item.
func (write *write) ListIndex() int { return write.listIndex }

// SetListIndex implements route.Item.
func (write *write) SetListIndex(place int) { write.listIndex = place }

func (write *write) view() *state.Group { return write.writes.context.State().Group(write.job.Group()) }

func (write *write) isCommit() bool { return write.job.Request().Op() == model.OpCommit }

// continuesTx reports whether the write is a further statement of an open transaction.
func (write *write) continuesTx() bool {
	return write.step == model.StepNext || write.step == model.StepDescribe
}

// requestReports asks for reports that are newer than all at hand.
func (write *write) requestReports() {
	write.writes.probes.RequestReports(write.job.Group(), write.writes.context.Now(), write.job.Arrived())
}

// acquireConn asks for a connection to the primary, or waits for a primary. It waits
// too while the primary is being moved on purpose.
func (write *write) acquireConn() {
	view := write.view()
	primary := write.writes.writablePrimary(view)
	held := view != nil && view.WritesHeld(write.writes.context.Now())
	if primary == nil || held || view.Term() == write.fencedTerm {
		write.state = writeAwaitingPrimary
		write.requestReports()
		return
	}
	if write.writes.context.Now() < write.notBefore && view.Term() <= write.term {
		write.state = writeAwaitingPrimary
		return
	}
	write.term = view.Term()
	write.instance = primary.ID()
	write.state = writeAcquiring
	ticket := write.writes.conns.Acquire(route.SlotRequest{Instance: write.instance, Job: write.job}, write)
	if ticket != 0 {
		write.waitID = ticket
	}
}

// ConnGranted implements route.Taker.
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

// ConnDenied implements route.Taker.
func (write *write) ConnDenied(code codes.Code, retryAfter time.Duration) {
	write.waitID = 0
	if write.attemptInDoubt || code == codes.NoReplica {
		write.backOff()
		return
	}
	write.finish(route.ResultSpec{Outcome: model.OutcomeNotRun, Code: code, RetryAfter: retryAfter, Reason: "no connection"})
}

// ConnLost implements route.Taker.
func (write *write) ConnLost(model.ConnID) {
	if tx := write.job.Tx(); tx != nil {
		tx.Close()
	}
}

// ExecuteDone implements route.Taker.
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

// release gives the connection back after a statement that left it clean.
func (write *write) release() {
	write.writes.conns.Release(write.conn, false)
	write.conn = 0
	if write.isCommit() && !write.settling {
		write.job.Tx().Close()
	}
}

// log writes a decision that the result alone does not show.
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

// finish gives the write its result.
func (write *write) finish(result route.ResultSpec) {
	result.Instance = write.instance
	write.end()
	write.writes.sessions.Finish(write.job, result)
}

func (write *write) end() {
	write.state = writeEnded
	delete(write.writes.running, write.job.Seq())
	write.writes.byGroup.Remove(write)
}

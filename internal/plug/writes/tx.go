package writes

import (
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/state"
)

// resume runs a further statement or the commit of an open transaction.
func (write *write) resume() {
	tx := write.job.Tx()
	group := write.groupState()
	write.instance = tx.Instance()
	write.term = tx.Term()
	if group == nil || group.Term() != tx.Term() {
		write.failTx("primary replaced")
		return
	}
	if tx.Conn() == 0 || !write.writes.conns.Resume(tx.Conn(), write) {
		tx.Close()
		write.failTx("connection lost")
		return
	}
	write.conn = tx.Conn()
	write.execute(write.nextStep())
}

func (write *write) nextStep() model.Step {
	switch write.job.Request().Op() {
	case model.OpCommit:
		return model.StepCommit
	case model.OpDescribe:
		return model.StepDescribe
	default:
		return model.StepNext
	}
}

// stepDone handles the answer to a statement of an open transaction. The answer to a
// read kind is held until the read check accepts it.
func (write *write) stepDone(done event.ExecuteDone) {
	write.writes.conns.Park(write.conn)
	write.conn = 0
	write.result = route.ResultSpec{Answer: done.Answer(), Reason: "open transaction"}
	if write.step == model.StepDescribe || write.job.Kind().Access() == model.AccessWrite {
		write.finish(write.result)
		return
	}
	write.mark = done.Mark()
	write.state = writeCheckingRead
	write.checkRead(write.groupState())
}

// checkRead delivers the answer to a read within the transaction once the read check
// accepts it. The data of the current term's primary becomes recent enough in time; the
// data of an older term never does, so the transaction fails.
func (write *write) checkRead(group *state.Group) {
	switch {
	case group == nil || group.Term() != write.term:
		write.failTx("primary replaced")
	case write.readCheck.Verdict(group, write.mark, write.writes.context.Now()) == route.VerdictAccepted:
		write.finish(write.result)
	default:
		write.requestReports()
	}
}

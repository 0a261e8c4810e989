package conns

import (
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

func (pools *Pools) handleConnOpened(opened event.ConnOpened) {
	conn, ok := pools.conns[opened.Conn()]
	if !ok || conn.state != connOpening {
		return
	}
	pool := conn.pool
	pool.endOpening(conn)
	if pool.failures > 0 {
		pool.log("instance_reached", "a connection was opened")
	}
	pool.failures = 0
	pool.connectTime += (pools.context.Now() - conn.since - pool.connectTime) / connectTimeSmoothing
	pool.addIdle(conn)
	pool.grantWaiting()
	pool.fill()
}

func (pools *Pools) handleConnFailed(failed event.ConnFailed) {
	conn, ok := pools.conns[failed.Conn()]
	if !ok || conn.state != connOpening {
		return
	}
	pools.openFailed(conn, failed.Reason())
}

func (pools *Pools) openFailed(conn *conn, reason model.ConnFailure) {
	delete(pools.conns, conn.id)
	conn.pool.openFailed(conn, reason)
}

func (pools *Pools) handleConnClosed(closed event.ConnClosed) {
	conn, ok := pools.conns[closed.Conn()]
	if !ok || conn.exec != 0 {
		return
	}
	if conn.state == connOpening {
		pools.openFailed(conn, model.ConnFailureReset)
		return
	}
	user := conn.user
	pools.removeConn(conn)
	if user != nil {
		user.ConnLost(closed.Conn())
	}
}

func (pools *Pools) handleResetDone(done event.ResetDone) {
	conn, ok := pools.conns[done.Conn()]
	if !ok || conn.state != connResetting {
		return
	}
	if !done.Ok() {
		pools.removeConn(conn)
		return
	}
	conn.pool.addIdle(conn)
	conn.pool.grantWaiting()
}

// finishExecution marks an execution as finished and returns its connection. It returns
// nil if the execution is unknown, for example because its connection was discarded.
func (pools *Pools) finishExecution(exec model.ExecID) *conn {
	conn, ok := pools.execs[exec]
	if !ok {
		return nil
	}
	delete(pools.execs, exec)
	conn.exec = 0
	return conn
}

func (pools *Pools) handleExecuteDone(done event.ExecuteDone) {
	if conn := pools.finishExecution(done.Exec()); conn != nil {
		if conn.step != model.StepConfirmPrimary {
			conn.pool.newestAnswered = max(conn.pool.newestAnswered, conn.since)
		}
		conn.user.ExecuteDone(done)
	}
}

func (pools *Pools) handleExecuteFailed(failed event.ExecuteFailed) {
	conn := pools.finishExecution(failed.Exec())
	if conn == nil {
		return
	}
	user := conn.user
	if failed.Class() == model.FailureBusy {
		pools.releaseSlot(conn, route.SlotUnused)
	}
	if failed.Class() == model.FailureLeaving {
		pools.context.Publish(event.NewLeavingChanged(conn.pool.instance.ID(), true))
	}
	if !failed.Usable() {
		pools.spoil(conn, spoilReason(failed.Class()))
	}
	user.ExecuteFailed(failed)
}

// spoilReason returns why a connection cannot be used again after a failed execution.
func spoilReason(class model.FailureClass) string {
	switch class {
	case model.FailureNotSent:
		return "nothing was sent"
	case model.FailureLost:
		return "the answer was lost"
	case model.FailureLeaving:
		return "the instance is shutting down"
	case model.FailureStatement:
		return "the statement failed"
	default:
		return "the instance refused the statement"
	}
}

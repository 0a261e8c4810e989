package city

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// conn is a connection from a proxy to an instance.
type conn struct {
	proxy     *proxy
	id        model.ConnID
	instance  *instance
	team      model.TeamName
	closed    bool
	hanging   bool // holds its place at the instance although it is closed
	inTx      bool
	readWrite bool  // whether the open transaction may write
	writes    []int // the writes of the open transaction
}

func (proxy *proxy) canReach(instance *instance) bool {
	return instance.up && !instance.unreachableFrom[proxy]
}

func (proxy *proxy) openConn(action event.OpenConn) {
	instance := proxy.simulation.instance(action.Instance())
	delay := proxy.delayTo(instance)
	switch capacity := &instance.capacity; {
	case !instance.up:
		proxy.post(2*delay, event.NewConnFailed(action.Conn(), model.ConnFailureRefused))
	case instance.unreachableFrom[proxy]:
		proxy.post(700*time.Millisecond, event.NewConnFailed(action.Conn(), model.ConnFailureTimeout))
	case instance.fault.Full || capacity.maxConns > 0 && capacity.conns >= capacity.maxConns:
		proxy.simulation.evenness.connRefused++
		proxy.post(2*delay, event.NewConnFailed(action.Conn(), model.ConnFailureFull))
	default:
		capacity.conns++
		capacity.opened++
		proxy.conns[action.Conn()] = &conn{proxy: proxy, id: action.Conn(), instance: instance, team: action.Team()}
		if capacity.handshake == 0 {
			proxy.post(defaultConnectTime, event.NewConnOpened(action.Conn()))
			return
		}
		capacity.acquire(func() {
			proxy.simulation.runAfter(capacity.handshake, func() {
				capacity.release(capacity.handshake)
				proxy.post(2*delay, event.NewConnOpened(action.Conn()))
			})
		})
	}
}

func (proxy *proxy) probe(action event.Probe) {
	instance := proxy.simulation.instance(action.Instance())
	switch {
	case !instance.up:
		proxy.post(2*networkDelay, event.NewProbeFailed(action.Probe(), instance.id, model.ConnFailureRefused))
	case instance.probesRefused:
		proxy.post(2*networkDelay, event.NewProbeFailed(action.Probe(), instance.id, model.ConnFailureFull))
	case instance.unreachableFrom[proxy]:
		proxy.post(action.Timeout(), event.NewProbeFailed(action.Probe(), instance.id, model.ConnFailureTimeout))
	default:
		proxy.simulation.runAfter(networkDelay, func() {
			proxy.post(networkDelay, event.NewStatusReported(action.Probe(), instance.id, instance.status()))
		})
	}
}

func (proxy *proxy) sendOrder(action event.SendOrder) {
	instance := proxy.simulation.instance(action.Instance())
	if !proxy.canReach(instance) {
		proxy.post(action.Timeout(), event.NewOrderFailed(action.Order(), instance.id, model.ConnFailureTimeout))
		return
	}
	proxy.simulation.runAfter(networkDelay, func() {
		accepted := instance.applyOrder(action.Body())
		proxy.post(networkDelay, event.NewOrderAnswered(action.Order(), instance.id, accepted, instance.status()))
	})
}

// applyOrder executes a pause or step-down order and reports whether it was accepted. An
// order with a term that is not above the instance's has no effect. The answer to it is an
// error or, if staleOrdersAnswered is set, the status like after any other order.
func (instance *instance) applyOrder(body event.Order) bool {
	if !instance.up {
		return false
	}
	switch body := body.(type) {
	case event.Pause:
		if body.Term() <= instance.simulation.term {
			return instance.simulation.staleOrdersAnswered
		}
		if !instance.isPrimary() {
			instance.pausedTerm = body.Term()
		}
	case event.StepDown:
		if instance.isPrimary() && body.Term() > instance.simulation.term {
			instance.simulation.primary = nil
			instance.simulation.publishListings()
		}
	}
	return true
}

// rollBack discards the open transaction of the connection.
func (conn *conn) rollBack() {
	conn.inTx = false
	conn.writes = nil
}

// end rolls back the open transaction of a closed connection and frees its place.
func (conn *conn) end() {
	conn.rollBack()
	if !conn.hanging {
		conn.instance.capacity.conns--
	}
}

// execute sends a unit of work to the instance.
func (conn *conn) execute(action event.Execute) {
	proxy, work := conn.proxy, action.Work()
	if !conn.instance.up {
		proxy.post(2*proxy.delayTo(conn.instance), event.NewExecuteFailed(action.Exec(), conn.id, model.FailureLost, false, model.Mark{}, nil))
		return
	}
	if conn.instance.unreachableFrom[proxy] {
		proxy.post(work.Timeout(), event.NewExecuteFailed(action.Exec(), conn.id, model.FailureLost, false, model.Mark{}, nil))
		return
	}
	proxy.simulation.evenness.countSent(proxy, conn.instance)
	proxy.simulation.runAfter(proxy.delayTo(conn.instance), func() { conn.runWork(action) })
}

func (conn *conn) sendFailure(action event.Execute, class model.FailureClass) {
	conn.proxy.post(conn.proxy.delayTo(conn.instance), event.NewExecuteFailed(action.Exec(), conn.id, class, class != model.FailureLost, model.Mark{}, nil))
}

// failure returns how the instance fails a unit of work before it runs, if it does.
func (instance *instance) failure(step model.Step) (model.FailureClass, bool) {
	fault, confirms := instance.fault, step == model.StepConfirmPrimary
	if instance.simulation.now < instance.busyUntil || fault.Full || !confirms && instance.capacity.full() {
		return model.FailureBusy, true
	}
	fails := fault.ErrorShare > 0 && !confirms && instance.simulation.random.Float64() < fault.ErrorShare
	return model.FailureStatement, fails
}

// runWork executes a unit of work that has reached the instance.
func (conn *conn) runWork(action event.Execute) {
	instance, work := conn.instance, action.Work()
	if !instance.up || conn.closed {
		conn.sendFailure(action, model.FailureLost)
		return
	}
	if class, failed := instance.failure(work.Step()); failed {
		if class == model.FailureBusy {
			instance.simulation.evenness.countRejected(instance, work)
		}
		conn.sendFailure(action, class)
		return
	}
	instance.simulation.evenness.countArrived(instance, work)
	statement, _ := work.Statement().(*payload)
	conn.countStatement(statement)
	if work.Step() == model.StepFirst {
		if !conn.begin(action) {
			return
		}
	}
	switch {
	case work.Step() == model.StepConfirmPrimary:
		if !instance.isPrimary() {
			conn.sendFailure(action, model.FailureFenced)
			return
		}
		conn.sendResult(action)
	case conn.inTx && conn.readWrite && !instance.isPrimary():
		conn.sendFailure(action, model.FailureFenced)
	case work.Step() == model.StepCommit:
		conn.commit(action)
	case statement.write > 0 && !instance.isPrimary():
		conn.sendFailure(action, model.FailureFenced)
	case statement.write > 0 && conn.inTx:
		conn.hold(action, statement.workOr(writeTime), func() {
			conn.writes = append(conn.writes, statement.write)
			conn.sendResult(action)
		})
	case statement.write > 0:
		conn.hold(action, statement.workOr(0), func() { conn.appendCommit(action, []int{statement.write}) })
	case work.Step() == model.StepSingle && !instance.hasApplied(work.After()):
		conn.sendFailure(action, model.FailureLagging)
	default:
		statement.check.verify(instance)
		conn.hold(action, statement.workOr(readTime), func() { conn.sendResult(action) })
	}
}

// countStatement counts a statement of a caller, and reports a violation if it is not one of the
// connection's team.
func (conn *conn) countStatement(statement *payload) {
	if statement == nil {
		return
	}
	conn.instance.capacity.statements++
	if statement.team != conn.team {
		conn.instance.simulation.oracle.reportViolation("a statement of team %q ran on a connection of team %q", statement.team, conn.team)
	}
}

// hold holds a slot of the instance for a time and then calls done, unless the connection
// was closed meanwhile.
func (conn *conn) hold(action event.Execute, span time.Duration, done func()) {
	capacity := &conn.instance.capacity
	finish := func() {
		if conn.closed || !conn.instance.up {
			conn.sendFailure(action, model.FailureLost)
			return
		}
		done()
	}
	if slowdown := conn.instance.slowdown; slowdown > 0 {
		span = time.Duration(slowdown * float64(span))
	}
	if span == 0 {
		finish()
		return
	}
	simulation := conn.proxy.simulation
	capacity.acquire(func() {
		started := simulation.now
		end := func() {
			capacity.release(simulation.now - started)
			finish()
		}
		switch fault := conn.instance.fault; {
		case !fault.hangs(simulation.random):
			simulation.runAfter(fault.span(span), end)
		case fault.HangTime == 0:
			conn.hang(end)
		default:
			conn.outlives(fault.HangTime, end)
		}
	})
}

// begin opens a transaction for its first statement. It reports a failure and returns false
// if the instance cannot serve the transaction.
func (conn *conn) begin(action event.Execute) bool {
	work := action.Work()
	if work.Write() && !conn.instance.isPrimary() {
		conn.sendFailure(action, model.FailureFenced)
		return false
	}
	if !work.Write() && !conn.instance.hasApplied(work.After()) {
		conn.sendFailure(action, model.FailureLagging)
		return false
	}
	conn.inTx, conn.readWrite, conn.writes = true, work.Write(), nil
	return true
}

func (conn *conn) commit(action event.Execute) {
	writes := conn.writes
	conn.rollBack()
	if len(writes) == 0 {
		conn.sendResult(action)
		return
	}
	statement, _ := action.Work().Statement().(*payload)
	conn.hold(action, statement.workOr(0), func() { conn.appendCommit(action, writes) })
}

// appendCommit appends a commit to the primary's log. The answer is sent once a replica has
// received it.
func (conn *conn) appendCommit(action event.Execute, writes []int) {
	primary := conn.instance
	if !primary.isPrimary() {
		conn.sendFailure(action, model.FailureFenced)
		return
	}
	primary.log = append(primary.log, logEntry{writes: writes, term: primary.simulation.term})
	primary.receivedAt = append(primary.receivedAt, primary.simulation.now)
	primary.applied = len(primary.log)
	conn.proxy.simulation.oracle.recordExecution(writes)
	conn.awaitReplication(action, len(primary.log), primary.simulation.term)
}

// awaitReplication answers a commit once a replica has received it. The commit fails if the
// primary has stepped down or was replaced.
func (conn *conn) awaitReplication(action event.Execute, length int, term model.Term) {
	primary, simulation := conn.instance, conn.proxy.simulation
	if !primary.up || conn.closed {
		conn.sendFailure(action, model.FailureLost)
		return
	}
	if !primary.isPrimary() || simulation.term != term {
		conn.sendFailure(action, model.FailureStatement)
		return
	}
	for _, replica := range simulation.instances {
		if replica != primary && replica.primary() == primary && len(replica.log) >= length {
			simulation.oracle.recordAck(primary.log[length-1].writes, length)
			conn.sendResult(action)
			return
		}
	}
	simulation.runAfter(networkDelay, func() { conn.awaitReplication(action, length, term) })
}

// sendResult answers a unit of work.
func (conn *conn) sendResult(action event.Execute) {
	if conn.instance.unreachableFrom[conn.proxy] {
		conn.proxy.post(action.Work().Timeout(), event.NewExecuteFailed(action.Exec(), conn.id, model.FailureLost, false, model.Mark{}, nil))
		return
	}
	mark := conn.instance.markAt(len(conn.instance.log))
	if !conn.instance.isPrimary() {
		mark = conn.instance.markAt(conn.instance.applied)
	}
	conn.proxy.post(conn.proxy.delayTo(conn.instance), event.NewExecuteDone(action.Exec(), conn.id, mark, &payload{}))
}

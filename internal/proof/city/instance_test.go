package city

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

const (
	readTime  = 4 * time.Millisecond
	writeTime = 2 * time.Millisecond
)

// logEntry is a commit in a log.
type logEntry struct {
	writes []int
	term   model.Term
}

// instance is a database instance.
type instance struct {
	environment *environment
	id          model.InstanceID
	up          bool
	unlisted    bool
	leaving     bool // it is about to shut down
	log         []logEntry
	applied     int
	pausedTerm  model.Term
	// replicationBlocked replicas receive nothing; slow ones apply nothing.
	replicationBlocked, applyBlocked bool
	// probesRefused is set while no slot is free for a status, and busyUntil is when one is for statements.
	probesRefused bool
	busyUntil     time.Duration
	// unreachableFrom holds the proxies that cannot reach the instance.
	unreachableFrom map[*proxy]bool
	// partitioned is set on a primary whose replicas it does not reach.
	partitioned bool
}

func (instance *instance) isPrimary() bool {
	return instance.environment.primary == instance && instance.up
}

func (instance *instance) listing() model.Listing {
	spec := model.ListingSpec{
		Group:    groupID,
		Instance: model.NewInstance(instance.id, "10.0.0.1:1", "trnje-hall").WithCapacity(5, 0),
		Leaving:  instance.leaving,
	}
	if instance.isPrimary() {
		spec.Role = model.RolePrimary
	}
	return model.NewListing(spec)
}

func (instance *instance) markAt(length int) model.Mark {
	if length == 0 {
		return model.NewMark(1, 0)
	}
	return model.NewMark(instance.log[length-1].term, model.Position(length))
}

// replicateFrom copies the next entries of the primary's log and applies them.
func (instance *instance) replicateFrom(primary *instance) {
	if !instance.up {
		return
	}
	if instance.pausedTerm == 0 && !instance.replicationBlocked && !primary.partitioned && len(instance.log) < len(primary.log) {
		instance.log = append(instance.log, primary.log[len(instance.log)])
	}
	if !instance.applyBlocked {
		instance.applied = len(instance.log)
	}
}

// truncate drops what the log of a new primary does not have.
func (instance *instance) truncate(primary *instance) {
	for index := range instance.log {
		if index >= len(primary.log) || instance.log[index].term != primary.log[index].term || instance.log[index].writes[0] != primary.log[index].writes[0] {
			instance.log = instance.log[:index]
			break
		}
	}
	instance.applied = min(instance.applied, len(instance.log))
	if instance == primary {
		instance.applied = len(instance.log)
	}
}

func (instance *instance) status() model.Status {
	role := model.RoleReplica
	if instance.isPrimary() {
		role = model.RolePrimary
	}
	return model.NewStatus(instance.environment.term, role, instance.markAt(len(instance.log)), "", 0, false).WithPausedTerm(instance.pausedTerm)
}

// payload is a statement, or the answer to one.
type payload struct {
	write int // the number of the write, or 0 for a read
	check *readCheck
}

// Size implements model.Payload.
func (*payload) Size() int { return 1 }

// conn is a connection of a proxy to an instance.
type conn struct {
	proxy     *proxy
	id        model.ConnID
	instance  *instance
	closed    bool
	inTx      bool
	readWrite bool // the open transaction may write
	writes    []int
}

func (node *proxy) canReach(instance *instance) bool {
	return instance.up && !instance.unreachableFrom[node]
}

func (node *proxy) openConn(action event.OpenConn) {
	instance := node.environment.instance(action.Instance())
	switch {
	case !instance.up:
		node.post(2*networkDelay, event.NewConnFailed(action.Conn(), model.ConnFailureRefused))
	case instance.unreachableFrom[node]:
		node.post(700*time.Millisecond, event.NewConnFailed(action.Conn(), model.ConnFailureTimeout))
	default:
		node.conns[action.Conn()] = &conn{proxy: node, id: action.Conn(), instance: instance}
		node.post(12*networkDelay, event.NewConnOpened(action.Conn()))
	}
}

func (node *proxy) probe(action event.Probe) {
	instance := node.environment.instance(action.Instance())
	switch {
	case !instance.up:
		node.post(2*networkDelay, event.NewProbeFailed(action.Probe(), instance.id, model.ConnFailureRefused))
	case instance.probesRefused:
		node.post(2*networkDelay, event.NewProbeFailed(action.Probe(), instance.id, model.ConnFailureFull))
	case instance.unreachableFrom[node]:
		node.post(action.Timeout(), event.NewProbeFailed(action.Probe(), instance.id, model.ConnFailureTimeout))
	default:
		node.environment.runAfter(networkDelay, func() {
			node.post(networkDelay, event.NewStatusReported(action.Probe(), instance.id, instance.status()))
		})
	}
}

func (node *proxy) sendOrder(action event.SendOrder) {
	instance := node.environment.instance(action.Instance())
	if !node.canReach(instance) {
		node.post(action.Timeout(), event.NewOrderFailed(action.Order(), instance.id, model.ConnFailureTimeout))
		return
	}
	node.environment.runAfter(networkDelay, func() {
		accepted := instance.handleOrder(action.Body())
		node.post(networkDelay, event.NewOrderAnswered(action.Order(), instance.id, accepted, instance.status()))
	})
}

// handleOrder carries out an order.
func (instance *instance) handleOrder(body event.Order) bool {
	if !instance.up {
		return false
	}
	switch body := body.(type) {
	case event.Pause:
		if body.Term() <= instance.environment.term {
			return false
		}
		if !instance.isPrimary() {
			instance.pausedTerm = body.Term()
		}
	case event.StepDown:
		if instance.isPrimary() && body.Term() > instance.environment.term {
			instance.environment.primary = nil
			instance.environment.publishListings()
		}
	}
	return true
}

// rollBack ends the open transaction of the connection.
func (conn *conn) rollBack() {
	conn.inTx = false
	conn.writes = nil
}

// execute runs a Work at the instance.
func (conn *conn) execute(action event.Execute) {
	node, work := conn.proxy, action.Work()
	if !conn.instance.up {
		node.post(2*networkDelay, event.NewExecuteFailed(action.Exec(), conn.id, model.FailureLost, false, model.Mark{}, nil))
		return
	}
	if conn.instance.unreachableFrom[node] {
		node.post(work.Timeout(), event.NewExecuteFailed(action.Exec(), conn.id, model.FailureLost, false, model.Mark{}, nil))
		return
	}
	node.environment.runAfter(networkDelay, func() { conn.runWork(action) })
}

func (conn *conn) sendFailure(action event.Execute, class model.FailureClass) {
	conn.proxy.post(networkDelay, event.NewExecuteFailed(action.Exec(), conn.id, class, class != model.FailureLost, model.Mark{}, nil))
}

func (conn *conn) runWork(action event.Execute) {
	instance, work := conn.instance, action.Work()
	if !instance.up || conn.closed {
		conn.sendFailure(action, model.FailureLost)
		return
	}
	if instance.environment.now < instance.busyUntil {
		conn.sendFailure(action, model.FailureBusy)
		return
	}
	statement, _ := work.Statement().(*payload)
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
		conn.sendResult(action, 0)
	case conn.inTx && conn.readWrite && !instance.isPrimary():
		conn.sendFailure(action, model.FailureFenced)
	case work.Step() == model.StepCommit:
		conn.commit(action)
	case statement.write > 0 && !instance.isPrimary():
		conn.sendFailure(action, model.FailureFenced)
	case statement.write > 0 && conn.inTx:
		conn.writes = append(conn.writes, statement.write)
		conn.sendResult(action, writeTime)
	case statement.write > 0:
		conn.appendCommit(action, []int{statement.write})
	case work.Step() == model.StepSingle && !instance.hasApplied(work.After()):
		conn.sendFailure(action, model.FailureLagging)
	default:
		statement.check.verify(instance)
		conn.sendResult(action, readTime)
	}
}

// begin opens the transaction of a first statement.
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
		conn.sendResult(action, 0)
		return
	}
	conn.appendCommit(action, writes)
}

// appendCommit writes a commit into the primary's log and answers once a replica has it.
func (conn *conn) appendCommit(action event.Execute, writes []int) {
	primary := conn.instance
	primary.log = append(primary.log, logEntry{writes: writes, term: primary.environment.term})
	primary.applied = len(primary.log)
	conn.proxy.environment.oracle.recordExecution(writes)
	conn.awaitReplication(action, len(primary.log), primary.environment.term)
}

func (conn *conn) awaitReplication(action event.Execute, length int, term model.Term) {
	primary, world := conn.instance, conn.proxy.environment
	if !primary.up || conn.closed {
		conn.sendFailure(action, model.FailureLost)
		return
	}
	if !primary.isPrimary() || world.term != term {
		conn.sendFailure(action, model.FailureStatement)
		return
	}
	for _, replica := range world.instances {
		if replica != primary && len(replica.log) >= length {
			world.oracle.recordAck(primary.log[length-1].writes, length)
			conn.sendResult(action, 0)
			return
		}
	}
	world.runAfter(networkDelay, func() { conn.awaitReplication(action, length, term) })
}

func (conn *conn) sendResult(action event.Execute, span time.Duration) {
	world := conn.proxy.environment
	world.runAfter(span, func() {
		if !conn.instance.up || conn.closed {
			conn.sendFailure(action, model.FailureLost)
			return
		}
		if conn.instance.unreachableFrom[conn.proxy] {
			conn.proxy.post(action.Work().Timeout(), event.NewExecuteFailed(action.Exec(), conn.id, model.FailureLost, false, model.Mark{}, nil))
			return
		}
		mark := conn.instance.markAt(len(conn.instance.log))
		if !conn.instance.isPrimary() {
			mark = conn.instance.markAt(conn.instance.applied)
		}
		conn.proxy.post(networkDelay, event.NewExecuteDone(action.Exec(), conn.id, mark, &payload{}))
	})
}

// hasApplied reports whether the applied log covers a mark.
func (instance *instance) hasApplied(mark model.Mark) bool {
	return mark.IsZero() || instance.markAt(instance.applied).Covers(mark)
}

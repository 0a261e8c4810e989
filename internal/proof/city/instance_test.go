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

// entry is a commit in a log.
type entry struct {
	writes []int
	term   model.Term
}

// instance is a database instance.
type instance struct {
	world    *world
	id       model.InstanceID
	up       bool
	unlisted bool
	leaving  bool // it is about to shut down
	log      []entry
	applied  int
	paused   model.Term
	// deaf replicas receive nothing; slow ones apply nothing.
	deaf, slow bool
	// full is set while no slot is free for a status, and busyUntil is when one is for statements.
	full      bool
	busyUntil time.Duration
	// cut holds the proxies that cannot reach the instance.
	cut map[*node]bool
	// apart is set on a primary whose replicas it does not reach.
	apart bool
}

func (instance *instance) leads() bool { return instance.world.leader == instance && instance.up }

func (instance *instance) listing() model.Listing {
	spec := model.ListingSpec{
		Group:    group,
		Instance: model.NewInstance(instance.id, "10.0.0.1:1", "trnje-hall").WithCapacity(5, 0),
		Leaving:  instance.leaving,
	}
	if instance.leads() {
		spec.Role = model.RolePrimary
	}
	return model.NewListing(spec)
}

func (instance *instance) mark(length int) model.Mark {
	if length == 0 {
		return model.NewMark(1, 0)
	}
	return model.NewMark(instance.log[length-1].term, model.Position(length))
}

// receive copies the next entries of the primary's log and applies them.
func (instance *instance) receive(primary *instance) {
	if !instance.up {
		return
	}
	if instance.paused == 0 && !instance.deaf && !primary.apart && len(instance.log) < len(primary.log) {
		instance.log = append(instance.log, primary.log[len(instance.log)])
	}
	if !instance.slow {
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
	if instance.leads() {
		role = model.RolePrimary
	}
	return model.NewStatus(instance.world.term, role, instance.mark(len(instance.log)), "", 0, false).WithPausedTerm(instance.paused)
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
	node     *node
	id       model.ConnID
	instance *instance
	closed   bool
	inTx     bool
	plain    bool // the open transaction may write
	writes   []int
}

func (node *node) reach(instance *instance) bool { return instance.up && !instance.cut[node] }

func (node *node) open(action event.OpenConn) {
	instance := node.world.instance(action.Instance())
	switch {
	case !instance.up:
		node.post(2*hop, event.NewConnFailed(action.Conn(), model.ConnFailureRefused))
	case instance.cut[node]:
		node.post(700*time.Millisecond, event.NewConnFailed(action.Conn(), model.ConnFailureTimeout))
	default:
		node.conns[action.Conn()] = &conn{node: node, id: action.Conn(), instance: instance}
		node.post(12*hop, event.NewConnOpened(action.Conn()))
	}
}

func (node *node) probe(action event.Probe) {
	instance := node.world.instance(action.Instance())
	switch {
	case !instance.up:
		node.post(2*hop, event.NewProbeFailed(action.Probe(), instance.id, model.ConnFailureRefused))
	case instance.full:
		node.post(2*hop, event.NewProbeFailed(action.Probe(), instance.id, model.ConnFailureFull))
	case instance.cut[node]:
		node.post(action.Timeout(), event.NewProbeFailed(action.Probe(), instance.id, model.ConnFailureTimeout))
	default:
		node.world.after(hop, func() {
			node.post(hop, event.NewStatusReported(action.Probe(), instance.id, instance.status()))
		})
	}
}

func (node *node) order(action event.SendOrder) {
	instance := node.world.instance(action.Instance())
	if !node.reach(instance) {
		node.post(action.Timeout(), event.NewOrderFailed(action.Order(), instance.id, model.ConnFailureTimeout))
		return
	}
	node.world.after(hop, func() {
		accepted := instance.take(action.Body())
		node.post(hop, event.NewOrderAnswered(action.Order(), instance.id, accepted, instance.status()))
	})
}

// take carries out an order.
func (instance *instance) take(body event.Order) bool {
	if !instance.up {
		return false
	}
	switch body := body.(type) {
	case event.Pause:
		if body.Term() <= instance.world.term {
			return false
		}
		if !instance.leads() {
			instance.paused = body.Term()
		}
	case event.StepDown:
		if instance.leads() && body.Term() > instance.world.term {
			instance.world.leader = nil
			instance.world.relist()
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
	node, work := conn.node, action.Work()
	if !conn.instance.up {
		node.post(2*hop, event.NewExecuteFailed(action.Exec(), conn.id, model.FailureLost, false, model.Mark{}, nil))
		return
	}
	if conn.instance.cut[node] {
		node.post(work.Timeout(), event.NewExecuteFailed(action.Exec(), conn.id, model.FailureLost, false, model.Mark{}, nil))
		return
	}
	node.world.after(hop, func() { conn.arrive(action) })
}

func (conn *conn) fail(action event.Execute, class model.FailureClass) {
	conn.node.post(hop, event.NewExecuteFailed(action.Exec(), conn.id, class, class != model.FailureLost, model.Mark{}, nil))
}

func (conn *conn) arrive(action event.Execute) {
	instance, work := conn.instance, action.Work()
	if !instance.up || conn.closed {
		conn.fail(action, model.FailureLost)
		return
	}
	if instance.world.now < instance.busyUntil {
		conn.fail(action, model.FailureBusy)
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
		if !instance.leads() {
			conn.fail(action, model.FailureFenced)
			return
		}
		conn.done(action, 0)
	case conn.inTx && conn.plain && !instance.leads():
		conn.fail(action, model.FailureFenced)
	case work.Step() == model.StepCommit:
		conn.commit(action)
	case statement.write > 0 && !instance.leads():
		conn.fail(action, model.FailureFenced)
	case statement.write > 0 && conn.inTx:
		conn.writes = append(conn.writes, statement.write)
		conn.done(action, writeTime)
	case statement.write > 0:
		conn.append(action, []int{statement.write})
	case work.Step() == model.StepSingle && !instance.has(work.After()):
		conn.fail(action, model.FailureLagging)
	default:
		statement.check.ran(instance)
		conn.done(action, readTime)
	}
}

// begin opens the transaction of a first statement.
func (conn *conn) begin(action event.Execute) bool {
	work := action.Work()
	if work.Write() && !conn.instance.leads() {
		conn.fail(action, model.FailureFenced)
		return false
	}
	if !work.Write() && !conn.instance.has(work.After()) {
		conn.fail(action, model.FailureLagging)
		return false
	}
	conn.inTx, conn.plain, conn.writes = true, work.Write(), nil
	return true
}

func (conn *conn) commit(action event.Execute) {
	writes := conn.writes
	conn.rollBack()
	if len(writes) == 0 {
		conn.done(action, 0)
		return
	}
	conn.append(action, writes)
}

// append writes a commit into the primary's log and answers once a replica has it.
func (conn *conn) append(action event.Execute, writes []int) {
	primary := conn.instance
	primary.log = append(primary.log, entry{writes: writes, term: primary.world.term})
	primary.applied = len(primary.log)
	conn.node.world.oracle.ran(writes)
	conn.acknowledge(action, len(primary.log), primary.world.term)
}

func (conn *conn) acknowledge(action event.Execute, length int, term model.Term) {
	primary, world := conn.instance, conn.node.world
	if !primary.up || conn.closed {
		conn.fail(action, model.FailureLost)
		return
	}
	if !primary.leads() || world.term != term {
		conn.fail(action, model.FailureStatement)
		return
	}
	for _, replica := range world.instances {
		if replica != primary && len(replica.log) >= length {
			world.oracle.acknowledged(primary.log[length-1].writes, length)
			conn.done(action, 0)
			return
		}
	}
	world.after(hop, func() { conn.acknowledge(action, length, term) })
}

func (conn *conn) done(action event.Execute, span time.Duration) {
	world := conn.node.world
	world.after(span, func() {
		if !conn.instance.up || conn.closed {
			conn.fail(action, model.FailureLost)
			return
		}
		if conn.instance.cut[conn.node] {
			conn.node.post(action.Work().Timeout(), event.NewExecuteFailed(action.Exec(), conn.id, model.FailureLost, false, model.Mark{}, nil))
			return
		}
		mark := conn.instance.mark(len(conn.instance.log))
		if !conn.instance.leads() {
			mark = conn.instance.mark(conn.instance.applied)
		}
		conn.node.post(hop, event.NewExecuteDone(action.Exec(), conn.id, mark, &payload{}))
	})
}

// has reports whether the applied log covers a mark.
func (instance *instance) has(mark model.Mark) bool {
	return mark.IsZero() || instance.mark(instance.applied).Covers(mark)
}

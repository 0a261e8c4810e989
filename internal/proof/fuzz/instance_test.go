package fuzz

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

const replicationInterval = 2 * time.Millisecond

// statement is the payload of a request: a write of a unique value or a read.
type statement struct {
	key   string
	value int
	write bool
	owner string
}

func (statement *statement) Size() int { return len(statement.key) }

// answer is the payload of a reply: the write that a read found, or the write itself.
type answer struct {
	statement *statement
	value     int
	mark      model.Mark
}

func (answer *answer) Size() int { return 1 }

// logEntry is one entry of an instance's log.
type logEntry struct {
	term      model.Term
	ledgerID  string
	digest    uint64
	tombstone bool
	writes    []*statement
}

// contains reports whether the entry holds the write of value.
func (entry logEntry) contains(value int) bool {
	for _, write := range entry.writes {
		if write.value == value {
			return true
		}
	}
	return false
}

// instance is a fake database instance.
type instance struct {
	simulation       *simulation
	group            model.GroupID
	id               model.InstanceID
	address          string
	fence            model.Term
	primary          bool
	upstream         model.InstanceID
	upstreamSeenAt   time.Duration
	log              []logEntry
	lag              time.Duration
	alive            bool
	incarnation      int
	frozen           bool
	groupPartitioned bool
	leaving          bool
	leavingAt        time.Duration
	deferred         []func()
	openTxs          map[connKey]*transaction
}

type connKey struct {
	node *node
	conn model.ConnID
}

// transaction is an open write transaction of a connection.
type transaction struct {
	term     model.Term
	ledgerID string
	digest   uint64
	writes   []*statement
}

func newInstance(world *simulation, group model.GroupID, member model.Instance, primary bool) *instance {
	first := model.NewTerm(1, 0)
	created := &instance{
		simulation: world,
		group:      group,
		id:         member.ID(),
		address:    member.Address(),
		fence:      first,
		primary:    primary,
		upstream:   model.InstanceID(string(group) + "-a"),
		log:        []logEntry{{term: first}},
		alive:      true,
		openTxs:    make(map[connKey]*transaction),
	}
	created.scheduleReplication()
	return created
}

func (instance *instance) tail() model.Mark {
	if len(instance.log) == 0 {
		return model.Mark{}
	}
	return model.NewMark(instance.log[len(instance.log)-1].term, model.Position(len(instance.log)))
}

// connectedTo reports whether the instance hears other members of its group.
func (instance *instance) connectedTo(other *instance) bool {
	return instance.alive && other.alive && !instance.frozen && !other.frozen && !instance.groupPartitioned && !other.groupPartitioned
}

func (instance *instance) scheduleReplication() {
	instance.simulation.after(replicationInterval+instance.lag, func() {
		instance.replicate()
		instance.scheduleReplication()
	})
}

// replicate copies the log of the upstream and drops what that log does not hold.
func (instance *instance) replicate() {
	source := instance.simulation.instance(instance.upstream)
	if instance.primary || source == nil || source == instance || !instance.connectedTo(source) {
		return
	}
	if !source.primary || source.fence != instance.fence {
		return
	}
	instance.upstreamSeenAt = instance.simulation.now
	common := 0
	for common < len(instance.log) && common < len(source.log) && sameLogEntry(instance.log[common], source.log[common]) {
		common++
	}
	instance.log = append(instance.log[:common:common], source.log[common:]...)
}

func sameLogEntry(left, right logEntry) bool {
	if left.term != right.term || left.ledgerID != right.ledgerID || left.tombstone != right.tombstone {
		return false
	}
	return len(left.writes) == len(right.writes) && (len(left.writes) == 0 || left.writes[0] == right.writes[0])
}

// deliver runs callback on the instance, later if the instance is frozen.
func (instance *instance) deliver(callback func()) {
	if instance.frozen {
		instance.deferred = append(instance.deferred, callback)
		return
	}
	callback()
}

// kill ends the process. Its log and its fence stay on disk; its connections break.
func (instance *instance) kill() {
	if !instance.alive {
		return
	}
	instance.alive = false
	instance.incarnation++
	clear(instance.openTxs)
	instance.thaw()
	for _, node := range instance.simulation.nodes {
		node.breakConns(instance)
	}
}

// boot starts the process again. A former primary does not lead.
func (instance *instance) boot() {
	if instance.alive {
		return
	}
	instance.alive = true
	instance.primary = false
}

// wipe replaces the instance by an empty one of the same name.
func (instance *instance) wipe() {
	instance.kill()
	instance.alive = true
	instance.primary = false
	instance.fence = 0
	instance.log = nil
	instance.upstream = ""
}

func (instance *instance) thaw() {
	instance.frozen = false
	waiting := instance.deferred
	instance.deferred = nil
	for _, callback := range waiting {
		callback()
	}
}

func (instance *instance) status() model.Status {
	role := model.RoleReplica
	silence := instance.simulation.now - instance.upstreamSeenAt
	upstream := instance.upstream
	if instance.primary {
		role, silence, upstream = model.RolePrimary, 0, ""
	}
	return model.NewStatus(instance.fence, role, instance.tail(), upstream, silence, instance.leaving)
}

// applyOrder carries out an order and reports whether it was taken.
func (instance *instance) applyOrder(order event.Order) bool {
	switch order := order.(type) {
	case event.Fence:
		if order.Term() < instance.fence {
			return false
		}
		if order.Term() > instance.fence {
			instance.raiseFence(order.Term())
		}
		return true
	case event.Promote:
		if order.Term() != instance.fence {
			return false
		}
		if !instance.primary {
			instance.primary = true
			instance.log = append(instance.log[:len(instance.log):len(instance.log)], logEntry{term: instance.fence})
		}
		return true
	case event.Follow:
		if order.Term() < instance.fence || (order.Term() == instance.fence && instance.primary) {
			return false
		}
		if order.Term() > instance.fence {
			instance.raiseFence(order.Term())
		}
		instance.upstream = order.Primary()
		return true
	default:
		return false
	}
}

func (instance *instance) raiseFence(term model.Term) {
	instance.fence = term
	instance.primary = false
	instance.upstreamSeenAt = instance.simulation.now
	clear(instance.openTxs)
}

// lookup returns the log entry under a ledger key.
func (instance *instance) lookup(ledgerID string) (logEntry, bool) {
	for _, item := range instance.log {
		if item.ledgerID != "" && item.ledgerID == ledgerID {
			return item, true
		}
	}
	return logEntry{}, false
}

// read returns the last write of a key.
func (instance *instance) read(asked *statement) *answer {
	found := &answer{statement: asked}
	for position, item := range instance.log {
		for _, write := range item.writes {
			if write.key == asked.key {
				found.value = write.value
				found.mark = model.NewMark(item.term, model.Position(position+1))
			}
		}
	}
	return found
}

// execute runs a Work and returns the event that answers it.
func (instance *instance) execute(key connKey, action event.Execute) event.Event {
	work := action.Work()
	done := func(payload model.Payload) event.Event {
		return event.NewExecuteDone(action.Exec(), action.Conn(), instance.tail(), payload)
	}
	fail := func(class model.FailureClass) event.Event {
		delete(instance.openTxs, key)
		return event.NewExecuteFailed(action.Exec(), action.Conn(), class, class != model.FailureLost, instance.tail(), nil)
	}
	asked, _ := work.Statement().(*statement)
	switch work.Step() {
	case model.StepRollback:
		delete(instance.openTxs, key)
		return done(nil)
	case model.StepDescribe, model.StepTrim:
		return done(nil)
	case model.StepSettle:
		return instance.settle(work, done, fail)
	case model.StepSingle, model.StepFirst:
		if !work.Write() {
			return done(instance.read(asked))
		}
		if class, refused := instance.checkWrite(work); refused {
			return fail(class)
		}
		instance.openTxs[key] = &transaction{term: work.FencingTerm(), ledgerID: work.LedgerID(), digest: work.Digest()}
	}
	opened := instance.openTxs[key]
	if opened == nil {
		if work.Write() {
			return fail(model.FailureFenced)
		}
		return done(instance.readOrNil(asked))
	}
	if asked != nil {
		opened.writes = append(opened.writes, asked)
	}
	if work.Step() == model.StepFirst || work.Step() == model.StepNext {
		return done(&answer{statement: asked, value: asked.value})
	}
	if !instance.primary || instance.fence != opened.term {
		return fail(model.FailureFenced)
	}
	if row, exists := instance.lookup(opened.ledgerID); exists {
		if row.tombstone {
			return fail(model.FailureTombstone)
		}
		return fail(model.FailureReplay)
	}
	instance.append(opened)
	delete(instance.openTxs, key)
	if asked == nil {
		return done(nil)
	}
	return done(&answer{statement: asked, value: asked.value, mark: instance.tail()})
}

func (instance *instance) readOrNil(asked *statement) model.Payload {
	if asked == nil {
		return nil
	}
	return instance.read(asked)
}

func (instance *instance) append(committed *transaction) {
	added := logEntry{term: instance.fence, ledgerID: committed.ledgerID, digest: committed.digest, writes: committed.writes}
	instance.log = append(instance.log[:len(instance.log):len(instance.log)], added)
}

func (instance *instance) checkWrite(work *model.Work) (model.FailureClass, bool) {
	if !instance.primary || instance.fence != work.FencingTerm() {
		return model.FailureFenced, true
	}
	row, ok := instance.lookup(work.LedgerID())
	switch {
	case !ok:
		return 0, false
	case row.tombstone:
		return model.FailureTombstone, true
	case row.digest != work.Digest():
		return model.FailureMismatch, true
	default:
		return model.FailureReplay, true
	}
}

func (instance *instance) settle(work *model.Work, done func(model.Payload) event.Event, fail func(model.FailureClass) event.Event) event.Event {
	if !instance.primary || instance.fence != work.FencingTerm() {
		return fail(model.FailureFenced)
	}
	row, ok := instance.lookup(work.LedgerID())
	if ok && !row.tombstone {
		return fail(model.FailureReplay)
	}
	if !ok {
		added := logEntry{term: instance.fence, ledgerID: work.LedgerID(), tombstone: true}
		instance.log = append(instance.log[:len(instance.log):len(instance.log)], added)
	}
	return done(nil)
}

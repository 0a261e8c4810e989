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

// answer is the payload of a reply: the value and mark of the write that a read
// returned, or of the write itself.
type answer struct {
	statement *statement
	value     int
	mark      model.Mark
}

func (answer *answer) Size() int { return 1 }

// logEntry is one entry of an instance's log. A tombstone is a ledger row that
// prevents a write with its ledger ID from running later.
type logEntry struct {
	term      model.Term
	ledgerID  string
	digest    uint64
	tombstone bool
	writes    []*statement
}

// contains reports whether the entry contains the write of value.
func (logEntry logEntry) contains(value int) bool {
	for _, write := range logEntry.writes {
		if write.value == value {
			return true
		}
	}
	return false
}

// instance is a fake of a database instance.
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
	proxy *proxy
	conn  model.ConnID
}

// transaction is an open write transaction on a connection.
type transaction struct {
	term     model.Term
	ledgerID string
	digest   uint64
	writes   []*statement
}

func newInstance(simulation *simulation, group model.GroupID, member model.Instance, primary bool) *instance {
	first := model.NewTerm(1, 0)
	created := &instance{
		simulation: simulation,
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

// connectedTo reports whether the instance and another member of its group can
// exchange messages.
func (instance *instance) connectedTo(other *instance) bool {
	return instance.alive && other.alive && !instance.frozen && !other.frozen && !instance.groupPartitioned && !other.groupPartitioned
}

func (instance *instance) scheduleReplication() {
	instance.simulation.runAfter(replicationInterval+instance.lag, func() {
		instance.replicate()
		instance.scheduleReplication()
	})
}

// replicate copies the log of the upstream and removes the entries that the
// upstream does not have.
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

// deliver runs callback on the instance, or defers it until thaw if the instance
// is frozen.
func (instance *instance) deliver(callback func()) {
	if instance.frozen {
		instance.deferred = append(instance.deferred, callback)
		return
	}
	callback()
}

// kill ends the process. The log and the fence survive on disk, the connections
// break.
func (instance *instance) kill() {
	if !instance.alive {
		return
	}
	instance.alive = false
	instance.incarnation++
	clear(instance.openTxs)
	instance.thaw()
	for _, proxy := range instance.simulation.proxies {
		proxy.breakConns(instance)
	}
}

// boot starts the process again. A former primary starts as a replica.
func (instance *instance) boot() {
	if instance.alive {
		return
	}
	instance.alive = true
	instance.primary = false
}

// wipe replaces the instance by an empty one with the same ID.
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
	deferred := instance.deferred
	instance.deferred = nil
	for _, callback := range deferred {
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

// applyOrder executes an order and reports whether the instance accepted it.
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

// lookup returns the log entry with the given ledger ID.
func (instance *instance) lookup(ledgerID string) (logEntry, bool) {
	for _, entry := range instance.log {
		if entry.ledgerID != "" && entry.ledgerID == ledgerID {
			return entry, true
		}
	}
	return logEntry{}, false
}

// read returns the last write of a key in the log.
func (instance *instance) read(requested *statement) *answer {
	found := &answer{statement: requested}
	for position, entry := range instance.log {
		for _, write := range entry.writes {
			if write.key == requested.key {
				found.value = write.value
				found.mark = model.NewMark(entry.term, model.Position(position+1))
			}
		}
	}
	return found
}

// execute runs a unit of work and returns the event with its result.
func (instance *instance) execute(key connKey, action event.Execute) event.Event {
	work := action.Work()
	done := func(payload model.Payload) event.Event {
		return event.NewExecuteDone(action.Exec(), action.Conn(), instance.tail(), payload)
	}
	fail := func(class model.FailureClass) event.Event {
		delete(instance.openTxs, key)
		return event.NewExecuteFailed(action.Exec(), action.Conn(), class, class != model.FailureLost, instance.tail(), nil)
	}
	requested, _ := work.Statement().(*statement)
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
			return done(instance.read(requested))
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
		return done(instance.readOrNil(requested))
	}
	if requested != nil {
		opened.writes = append(opened.writes, requested)
	}
	if work.Step() == model.StepFirst || work.Step() == model.StepNext {
		return done(&answer{statement: requested, value: requested.value})
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
	if requested == nil {
		return done(nil)
	}
	return done(&answer{statement: requested, value: requested.value, mark: instance.tail()})
}

func (instance *instance) readOrNil(requested *statement) model.Payload {
	if requested == nil {
		return nil
	}
	return instance.read(requested)
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

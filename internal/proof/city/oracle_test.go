package city

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// oracle knows what happened and what callers were told.
type oracle struct {
	environment *environment
	lastWrite   int
	executions  map[int]int
	reported    map[int]string
	acked       map[int]int // the position of each acknowledged write in the log
	acks        []ack       // in the order of their times
	violations  []string
	served      int
	requested   int
}

// ack tells that from a time on a write was acknowledged; top is the write with
// the highest position until then.
type ack struct {
	at          time.Duration
	newestWrite int
}

func (oracle *oracle) reportViolation(format string, values ...any) {
	oracle.violations = append(oracle.violations, fmt.Sprintf("%v: ", oracle.environment.now)+fmt.Sprintf(format, values...))
}

func (oracle *oracle) recordExecution(writes []int) {
	if oracle.executions == nil {
		oracle.executions = make(map[int]int)
	}
	for _, write := range writes {
		oracle.executions[write]++
		if oracle.executions[write] > 1 {
			oracle.reportViolation("write %d ran twice", write)
		}
		if oracle.reported[write] == "not run" {
			oracle.reportViolation("write %d ran after its caller was told that it had not", write)
		}
	}
}

func (oracle *oracle) recordAck(writes []int, position int) {
	top := writes[0]
	if last := len(oracle.acks) - 1; last >= 0 && oracle.acked[oracle.acks[last].newestWrite] > position {
		top = oracle.acks[last].newestWrite
	}
	for _, write := range writes {
		oracle.acked[write] = position
	}
	oracle.acks = append(oracle.acks, ack{at: oracle.environment.now, newestWrite: top})
}

// newestAckedBefore returns the write with the highest position that was acknowledged before
// a time, or 0.
func (oracle *oracle) newestAckedBefore(before time.Duration) int {
	index := sort.Search(len(oracle.acks), func(index int) bool { return oracle.acks[index].at >= before })
	if index == 0 {
		return 0
	}
	return oracle.acks[index-1].newestWrite
}

// checkPromoted checks that the new primary has every acknowledged write.
func (oracle *oracle) checkPromoted(candidate *instance) {
	for write, position := range oracle.acked {
		if !candidate.hasWrite(write, position, len(candidate.log)) {
			oracle.reportViolation("acknowledged write %d is not in the log of %s, which is promoted", write, candidate.id)
		}
	}
}

// hasWrite reports whether the first length entries of the log have a write that was
// acknowledged at a position.
func (instance *instance) hasWrite(write, position, length int) bool {
	return position <= length && slices.Contains(instance.log[position-1].writes, write)
}

// readCheck is what a read must see.
type readCheck struct {
	oracle   *oracle
	kind     string
	required []int
}

// verify checks a read where it runs.
func (check *readCheck) verify(instance *instance) {
	length := instance.applied
	if instance.isPrimary() {
		length = len(instance.log)
	}
	for _, write := range check.required {
		if !instance.hasWrite(write, check.oracle.acked[write], length) {
			check.oracle.reportViolation("a %s read on %s lacks write %d", check.kind, instance.id, write)
			return
		}
	}
}

// session is a caller's connection.
type session struct {
	proxy     *proxy
	kernel    any
	id        model.CallerID
	kind      string
	busy      bool
	inTx      bool
	lastAcked int // the session's last acknowledged write
}

func (world *environment) openSession(node *proxy, kind string) *session {
	session := &session{proxy: node, kernel: node.kernel, id: model.CallerID(world.random.Uint64()>>1 + 1), kind: kind}
	node.post(networkDelay, event.NewCallerOpened(session.id, kind, ""))
	return session
}

// proxyKilled reports whether the session's proxy was killed meanwhile.
func (session *session) proxyKilled() bool { return session.kernel != any(session.proxy.kernel) }

func (session *session) send(spec model.RequestSpec, done func(reply *model.Reply)) {
	node := session.proxy
	node.lastSeq++
	spec.Seq = node.lastSeq
	spec.Caller = session.id
	session.busy = true
	node.pendingReplies[spec.Seq] = func(reply *model.Reply) {
		session.busy = false
		session.inTx = reply.TxState() != model.TxNone
		done(reply)
	}
	node.post(networkDelay, event.NewRequestReceived(model.NewRequest(spec)))
}

// requiredWrites returns the writes that a read which begins now must see.
func (session *session) requiredWrites() []int {
	oracle := session.proxy.environment.oracle
	var needed []int
	before := oracle.environment.now
	if session.kind != "primary" {
		before -= maxStaleness
	}
	if top := oracle.newestAckedBefore(before); top > 0 {
		needed = append(needed, top)
	}
	if session.kind == "own" && session.lastAcked > 0 {
		needed = append(needed, session.lastAcked)
	}
	return needed
}

func (session *session) read() {
	oracle := session.proxy.environment.oracle
	oracle.requested++
	check := &readCheck{oracle: oracle, kind: session.kind, required: session.requiredWrites()}
	session.send(model.RequestSpec{Op: model.OpStatement, Statement: &payload{check: check}}, func(reply *model.Reply) {
		if reply.Code() == codes.OK {
			oracle.served++
		}
	})
}

func (session *session) write() {
	oracle := session.proxy.environment.oracle
	oracle.requested++
	oracle.lastWrite++
	write := oracle.lastWrite
	spec := model.RequestSpec{Op: model.OpStatement, Writes: true, Statement: &payload{write: write}}
	session.send(spec, func(reply *model.Reply) { session.recordResult([]int{write}, reply) })
}

// runTransaction runs a transaction of two writes.
func (session *session) runTransaction() {
	oracle := session.proxy.environment.oracle
	oracle.requested++
	writes := []int{oracle.lastWrite + 1, oracle.lastWrite + 2}
	oracle.lastWrite += 2
	statement := func(write int, next func(reply *model.Reply)) {
		spec := model.RequestSpec{Op: model.OpStatement, Writes: true, Statement: &payload{write: write}}
		session.send(spec, next)
	}
	commit := func(*model.Reply) {
		session.send(model.RequestSpec{Op: model.OpCommit, Statement: &payload{}}, func(reply *model.Reply) { session.recordResult(writes, reply) })
	}
	session.send(model.RequestSpec{Op: model.OpBegin}, func(*model.Reply) {
		statement(writes[0], func(reply *model.Reply) {
			if reply.Code() != codes.OK {
				session.recordResult(writes, reply)
				return
			}
			statement(writes[1], commit)
		})
	})
}

// recordResult notes what the caller of a write was told.
func (session *session) recordResult(writes []int, reply *model.Reply) {
	oracle := session.proxy.environment.oracle
	for _, write := range writes {
		switch {
		case reply.Code() == codes.OK:
			if oracle.executions[write] == 0 {
				oracle.reportViolation("write %d was reported as done and never ran", write)
			}
			if _, ok := oracle.acked[write]; !ok {
				oracle.reportViolation("write %d was reported as done before it was acknowledged", write)
			}
			session.lastAcked = write
		case reply.Outcome() == model.OutcomeNotRun:
			oracle.reported[write] = "not run"
			if oracle.executions[write] > 0 {
				oracle.reportViolation("write %d ran and its caller was told that it had not", write)
			}
		}
	}
	if reply.Code() == codes.OK {
		oracle.served++
	}
	if reply.TxState() != model.TxNone {
		session.send(model.RequestSpec{Op: model.OpRollback}, func(*model.Reply) {})
	}
}

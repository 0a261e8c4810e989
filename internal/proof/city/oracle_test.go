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
	world  *world
	writes int
	runs   map[int]int
	told   map[int]string
	acked  map[int]int // the position of each acknowledged write in the log
	acks   []ack       // in the order of their times
	broken []string
	served int
	asked  int
}

// ack tells that from a time on a write was acknowledged; top is the write with
// the highest position until then.
type ack struct {
	at  time.Duration
	top int
}

func (oracle *oracle) breaks(format string, values ...any) {
	oracle.broken = append(oracle.broken, fmt.Sprintf("%v: ", oracle.world.now)+fmt.Sprintf(format, values...))
}

func (oracle *oracle) ran(writes []int) {
	if oracle.runs == nil {
		oracle.runs = make(map[int]int)
	}
	for _, write := range writes {
		oracle.runs[write]++
		if oracle.runs[write] > 1 {
			oracle.breaks("write %d ran twice", write)
		}
		if oracle.told[write] == "not run" {
			oracle.breaks("write %d ran after its caller was told that it had not", write)
		}
	}
}

func (oracle *oracle) acknowledged(writes []int, position int) {
	top := writes[0]
	if last := len(oracle.acks) - 1; last >= 0 && oracle.acked[oracle.acks[last].top] > position {
		top = oracle.acks[last].top
	}
	for _, write := range writes {
		oracle.acked[write] = position
	}
	oracle.acks = append(oracle.acks, ack{at: oracle.world.now, top: top})
}

// newest returns the write with the highest position that was acknowledged before
// a time, or 0.
func (oracle *oracle) newest(before time.Duration) int {
	index := sort.Search(len(oracle.acks), func(index int) bool { return oracle.acks[index].at >= before })
	if index == 0 {
		return 0
	}
	return oracle.acks[index-1].top
}

// promoted checks that the new primary has every acknowledged write.
func (oracle *oracle) promoted(candidate *instance) {
	for write, position := range oracle.acked {
		if !candidate.holds(write, position, len(candidate.log)) {
			oracle.breaks("acknowledged write %d is not in the log of %s, which is promoted", write, candidate.id)
		}
	}
}

// holds reports whether the first length entries of the log have a write that was
// acknowledged at a position.
func (instance *instance) holds(write, position, length int) bool {
	return position <= length && slices.Contains(instance.log[position-1].writes, write)
}

// readCheck is what a read must see.
type readCheck struct {
	oracle *oracle
	kind   string
	needed []int
}

// ran checks a read where it runs.
func (check *readCheck) ran(instance *instance) {
	length := instance.applied
	if instance.leads() {
		length = len(instance.log)
	}
	for _, write := range check.needed {
		if !instance.holds(write, check.oracle.acked[write], length) {
			check.oracle.breaks("a %s read on %s lacks write %d", check.kind, instance.id, write)
			return
		}
	}
}

// session is a caller's connection.
type session struct {
	node   *node
	kernel any
	id     model.CallerID
	kind   string
	busy   bool
	inTx   bool
	acked  int // the session's last acknowledged write
}

func (world *world) connect(node *node, kind string) *session {
	session := &session{node: node, kernel: node.kernel, id: model.CallerID(world.random.Uint64()>>1 + 1), kind: kind}
	node.post(hop, event.NewCallerOpened(session.id, kind, ""))
	return session
}

// ended reports whether the session's proxy was killed meanwhile.
func (session *session) ended() bool { return session.kernel != any(session.node.kernel) }

func (session *session) send(spec model.RequestSpec, done func(reply *model.Reply)) {
	node := session.node
	node.lastSeq++
	spec.Seq = node.lastSeq
	spec.Caller = session.id
	session.busy = true
	node.waiting[spec.Seq] = func(reply *model.Reply) {
		session.busy = false
		session.inTx = reply.TxState() != model.TxNone
		done(reply)
	}
	node.post(hop, event.NewRequestReceived(model.NewRequest(spec)))
}

// needed returns the writes that a read which begins now must see.
func (session *session) needed() []int {
	oracle := session.node.world.oracle
	var needed []int
	before := oracle.world.now
	if session.kind != "primary" {
		before -= staleness
	}
	if top := oracle.newest(before); top > 0 {
		needed = append(needed, top)
	}
	if session.kind == "own" && session.acked > 0 {
		needed = append(needed, session.acked)
	}
	return needed
}

func (session *session) read() {
	oracle := session.node.world.oracle
	oracle.asked++
	check := &readCheck{oracle: oracle, kind: session.kind, needed: session.needed()}
	session.send(model.RequestSpec{Op: model.OpStatement, Statement: &payload{check: check}}, func(reply *model.Reply) {
		if reply.Code() == codes.OK {
			oracle.served++
		}
	})
}

func (session *session) write() {
	oracle := session.node.world.oracle
	oracle.asked++
	oracle.writes++
	write := oracle.writes
	spec := model.RequestSpec{Op: model.OpStatement, Writes: true, Statement: &payload{write: write}}
	session.send(spec, func(reply *model.Reply) { session.told([]int{write}, reply) })
}

// transact runs a transaction of two writes.
func (session *session) transact() {
	oracle := session.node.world.oracle
	oracle.asked++
	writes := []int{oracle.writes + 1, oracle.writes + 2}
	oracle.writes += 2
	statement := func(write int, next func(reply *model.Reply)) {
		spec := model.RequestSpec{Op: model.OpStatement, Writes: true, Statement: &payload{write: write}}
		session.send(spec, next)
	}
	commit := func(*model.Reply) {
		session.send(model.RequestSpec{Op: model.OpCommit, Statement: &payload{}}, func(reply *model.Reply) { session.told(writes, reply) })
	}
	session.send(model.RequestSpec{Op: model.OpBegin}, func(*model.Reply) {
		statement(writes[0], func(reply *model.Reply) {
			if reply.Code() != codes.OK {
				session.told(writes, reply)
				return
			}
			statement(writes[1], commit)
		})
	})
}

// told notes what the caller of a write was told.
func (session *session) told(writes []int, reply *model.Reply) {
	oracle := session.node.world.oracle
	for _, write := range writes {
		switch {
		case reply.Code() == codes.OK:
			if oracle.runs[write] == 0 {
				oracle.breaks("write %d was reported as done and never ran", write)
			}
			if _, ok := oracle.acked[write]; !ok {
				oracle.breaks("write %d was reported as done before it was acknowledged", write)
			}
			session.acked = write
		case reply.Outcome() == model.OutcomeNotRun:
			oracle.told[write] = "not run"
			if oracle.runs[write] > 0 {
				oracle.breaks("write %d ran and its caller was told that it had not", write)
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

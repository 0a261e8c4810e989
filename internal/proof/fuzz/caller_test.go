package fuzz

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/google/uuid"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
)

// caller is a client with one session. It sends one request at a time.
type caller struct {
	world   *world
	class   string
	node    *node
	id      model.CallerID
	ready   bool
	gone    bool
	token   model.Token
	pending *request
	inTx    bool
	writes  []*request
}

// request is what a caller sent and what it was told.
type request struct {
	spec       model.RequestSpec
	statement  *statement
	kind       string
	caller     *caller
	node       *node
	sentAt     time.Duration
	answeredAt time.Duration
	reply      *model.Reply
	lost       bool
	end        *request
}

func (request *request) answered() bool { return request == nil || request.reply != nil }

// ok reports whether the caller was told that the request itself succeeded.
func (request *request) ok() bool {
	return request.reply != nil && request.reply.Outcome() == model.OutcomeDone && request.reply.Code() == codes.OK
}

// inTransaction reports whether the request was a statement of a transaction that stayed open.
func (request *request) inTransaction() bool {
	return request.reply != nil && request.reply.TxState() != model.TxNone
}

// done reports whether the caller was told that the effect of the request stands.
func (request *request) done() bool {
	if request.inTransaction() {
		return request.end != nil && request.end.spec.Op == model.OpCommit && request.end.ok()
	}
	return request.ok()
}

// doneAt returns when the caller was told that the effect stands.
func (request *request) doneAt() time.Duration {
	if request.inTransaction() && request.end != nil {
		return request.end.answeredAt
	}
	return request.answeredAt
}

// notRun reports whether the caller was told that the request has no effect.
func (request *request) notRun() bool {
	if request.inTransaction() {
		return request.end != nil && request.end.reply != nil &&
			(request.end.spec.Op == model.OpRollback || request.end.reply.Outcome() == model.OutcomeNotRun)
	}
	return request.reply != nil && request.reply.Outcome() == model.OutcomeNotRun
}

// connect opens a caller's connection to a proxy and waits for its acceptance.
func (world *world) connect(node *node, class string) *caller {
	opened := &caller{world: world, class: class}
	world.callers = append(world.callers, opened)
	opened.roam(node)
	return opened
}

// roam continues the session on another proxy.
func (caller *caller) roam(node *node) {
	caller.leave()
	node.lastID++
	caller.node = node
	caller.id = node.lastID
	caller.ready = false
	caller.gone = false
	caller.inTx = false
	node.callers[caller.id] = caller
	node.post(callerOpened(caller))
	caller.world.runUntil(time.Second, func() bool { return caller.ready || caller.gone })
}

func (caller *caller) leave() {
	if caller.node == nil || caller.gone {
		return
	}
	delete(caller.node.callers, caller.id)
	caller.node.post(callerClosed(caller))
	caller.lose()
}

func (caller *caller) accepted() { caller.ready = true }

// refused takes the end of the connection by the proxy.
func (caller *caller) refused() {
	delete(caller.node.callers, caller.id)
	caller.lose()
}

// lose records that the connection is gone and with it the answer that it waits for.
func (caller *caller) lose() {
	caller.gone = true
	caller.inTx = false
	caller.writes = nil
	if caller.pending != nil {
		caller.pending.lost = true
		caller.pending = nil
	}
}

func (caller *caller) answered(reply *model.Reply) {
	if caller.pending == nil || caller.pending.spec.Seq != reply.Seq() {
		caller.world.oracle.fail("P4", "caller %d got an answer to request %d that it does not wait for", caller.id, reply.Seq())
		return
	}
	finished := caller.pending
	caller.pending = nil
	finished.reply = reply
	finished.answeredAt = caller.world.now
	caller.token = caller.token.Merge(reply.Token())
	caller.inTx = reply.TxState() != model.TxNone
	caller.track(finished)
	caller.world.oracle.answered(finished)
}

// track ties the writes of a transaction to the request that ends it.
func (caller *caller) track(finished *request) {
	if finished.statement != nil && finished.statement.write && caller.inTx && finished.ok() {
		caller.writes = append(caller.writes, finished)
	}
	if caller.inTx {
		return
	}
	if finished.spec.Op == model.OpCommit || finished.spec.Op == model.OpRollback {
		for _, write := range caller.writes {
			write.end = finished
		}
	}
	caller.writes = nil
}

// send sends a request and returns at once.
func (caller *caller) send(kind string, asked *statement, op model.Op, requestID string) *request {
	if caller.pending != nil || !caller.ready || caller.gone {
		return nil
	}
	caller.world.oracle.sequence++
	spec := model.RequestSpec{
		Seq:       model.RequestSeq(caller.world.oracle.sequence),
		Caller:    caller.id,
		Op:        op,
		Kind:      kind,
		RequestID: requestID,
		Token:     caller.token,
	}
	if asked != nil {
		spec.Key = asked.key
		spec.Digest = uint64(asked.value)
		spec.Statement = asked
	}
	sent := &request{spec: spec, statement: asked, kind: kind, caller: caller, node: caller.node, sentAt: caller.world.now}
	caller.pending = sent
	caller.world.oracle.requests = append(caller.world.oracle.requests, sent)
	caller.node.post(requestReceived(model.NewRequest(spec)))
	return sent
}

// call sends a request and waits for its answer.
func (caller *caller) call(kind string, asked *statement, op model.Op, requestID string) *request {
	sent := caller.send(kind, asked, op, requestID)
	if sent != nil {
		caller.world.runUntil(10*time.Second, func() bool { return sent.answered() || sent.lost })
	}
	return sent
}

// owner names the caller's connection, and with it the transaction that is open on it.
func (caller *caller) owner() string {
	return string(caller.node.id) + "/" + strconv.FormatUint(uint64(caller.id), 10)
}

func (caller *caller) write() *request {
	return caller.call("edit_listing", caller.world.newWrite(scenarioKey), model.OpStatement, caller.world.newRequestID())
}

func (caller *caller) read(kind string) {
	caller.call(kind, &statement{key: scenarioKey}, model.OpStatement, "")
}

// newWrite returns a write of a value that no other write has.
func (world *world) newWrite(key string) *statement {
	world.oracle.lastValue++
	return &statement{key: key, value: world.oracle.lastValue, write: true}
}

// newRequestID returns a version 7 UUID of the world's time.
func (world *world) newRequestID() string {
	var id uuid.UUID
	world.oracle.lastID++
	binary.BigEndian.PutUint64(id[0:8], uint64(wallStart.Add(world.now).UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:16], world.oracle.lastID)
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}

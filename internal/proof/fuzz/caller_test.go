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
	simulation   *simulation
	class        string
	node         *node
	id           model.CallerID
	ready        bool
	disconnected bool
	token        model.Token
	pending      *request
	inTx         bool
	txWrites     []*request
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
	connLost   bool
	endRequest *request
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

// acknowledged reports whether the caller was told that the effect of the request stands.
func (request *request) acknowledged() bool {
	if request.inTransaction() {
		return request.endRequest != nil && request.endRequest.spec.Op == model.OpCommit && request.endRequest.ok()
	}
	return request.ok()
}

// acknowledgedAt returns when the caller was told that the effect stands.
func (request *request) acknowledgedAt() time.Duration {
	if request.inTransaction() && request.endRequest != nil {
		return request.endRequest.answeredAt
	}
	return request.answeredAt
}

// notRun reports whether the caller was told that the request has no effect.
func (request *request) notRun() bool {
	if request.inTransaction() {
		return request.endRequest != nil && request.endRequest.reply != nil &&
			(request.endRequest.spec.Op == model.OpRollback || request.endRequest.reply.Outcome() == model.OutcomeNotRun)
	}
	return request.reply != nil && request.reply.Outcome() == model.OutcomeNotRun
}

// connect opens a caller's connection to a proxy and waits for its acceptance.
func (world *simulation) connect(node *node, class string) *caller {
	opened := &caller{simulation: world, class: class}
	world.callers = append(world.callers, opened)
	opened.moveTo(node)
	return opened
}

// moveTo continues the session on another proxy.
func (caller *caller) moveTo(node *node) {
	caller.close()
	node.lastCallerID++
	caller.node = node
	caller.id = node.lastCallerID
	caller.ready = false
	caller.disconnected = false
	caller.inTx = false
	node.callers[caller.id] = caller
	node.post(callerOpened(caller))
	caller.simulation.runUntil(time.Second, func() bool { return caller.ready || caller.disconnected })
}

func (caller *caller) close() {
	if caller.node == nil || caller.disconnected {
		return
	}
	delete(caller.node.callers, caller.id)
	caller.node.post(callerClosed(caller))
	caller.markDisconnected()
}

func (caller *caller) handleAccepted() { caller.ready = true }

// handleClosed takes the end of the connection by the proxy.
func (caller *caller) handleClosed() {
	delete(caller.node.callers, caller.id)
	caller.markDisconnected()
}

// markDisconnected records that the connection is gone and with it the answer that it waits for.
func (caller *caller) markDisconnected() {
	caller.disconnected = true
	caller.inTx = false
	caller.txWrites = nil
	if caller.pending != nil {
		caller.pending.connLost = true
		caller.pending = nil
	}
}

func (caller *caller) handleReply(reply *model.Reply) {
	if caller.pending == nil || caller.pending.spec.Seq != reply.Seq() {
		caller.simulation.oracle.addViolation("P4", "caller %d got an answer to request %d that it does not wait for", caller.id, reply.Seq())
		return
	}
	finished := caller.pending
	caller.pending = nil
	finished.reply = reply
	finished.answeredAt = caller.simulation.now
	caller.token = caller.token.Merge(reply.Token())
	caller.inTx = reply.TxState() != model.TxNone
	caller.linkTransactionEnd(finished)
	caller.simulation.oracle.checkReply(finished)
}

// linkTransactionEnd ties the writes of a transaction to the request that ends it.
func (caller *caller) linkTransactionEnd(finished *request) {
	if finished.statement != nil && finished.statement.write && caller.inTx && finished.ok() {
		caller.txWrites = append(caller.txWrites, finished)
	}
	if caller.inTx {
		return
	}
	if finished.spec.Op == model.OpCommit || finished.spec.Op == model.OpRollback {
		for _, write := range caller.txWrites {
			write.endRequest = finished
		}
	}
	caller.txWrites = nil
}

// send sends a request and returns at once.
func (caller *caller) send(kind string, asked *statement, op model.Op, requestID string) *request {
	if caller.pending != nil || !caller.ready || caller.disconnected {
		return nil
	}
	caller.simulation.oracle.lastSeq++
	spec := model.RequestSpec{
		Seq:       model.RequestSeq(caller.simulation.oracle.lastSeq),
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
	sent := &request{spec: spec, statement: asked, kind: kind, caller: caller, node: caller.node, sentAt: caller.simulation.now}
	caller.pending = sent
	caller.simulation.oracle.requests = append(caller.simulation.oracle.requests, sent)
	caller.node.post(requestReceived(model.NewRequest(spec)))
	return sent
}

// call sends a request and waits for its answer.
func (caller *caller) call(kind string, asked *statement, op model.Op, requestID string) *request {
	sent := caller.send(kind, asked, op, requestID)
	if sent != nil {
		caller.simulation.runUntil(10*time.Second, func() bool { return sent.answered() || sent.connLost })
	}
	return sent
}

// connName names the caller's connection, and with it the transaction that is open on it.
func (caller *caller) connName() string {
	return string(caller.node.id) + "/" + strconv.FormatUint(uint64(caller.id), 10)
}

func (caller *caller) write() *request {
	return caller.call("edit_listing", caller.simulation.newWrite(scenarioKey), model.OpStatement, caller.simulation.newRequestID())
}

func (caller *caller) read(kind string) {
	caller.call(kind, &statement{key: scenarioKey}, model.OpStatement, "")
}

// newWrite returns a write of a value that no other write has.
func (world *simulation) newWrite(key string) *statement {
	world.oracle.lastValue++
	return &statement{key: key, value: world.oracle.lastValue, write: true}
}

// newRequestID returns a version 7 UUID of the world's time.
func (world *simulation) newRequestID() string {
	var id uuid.UUID
	world.oracle.lastRequestID++
	binary.BigEndian.PutUint64(id[0:8], uint64(wallStart.Add(world.now).UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:16], world.oracle.lastRequestID)
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}

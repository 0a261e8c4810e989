package fuzz

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/google/uuid"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
)

// caller is a client with one session and at most one request in flight.
type caller struct {
	simulation   *simulation
	class        string
	proxy        *proxy
	id           model.CallerID
	ready        bool
	disconnected bool
	token        model.Token
	pending      *request
	inTx         bool
	txWrites     []*request
}

// request is a request of a caller with its reply. A statement of a transaction
// also has the request that ended the transaction.
type request struct {
	spec       model.RequestSpec
	statement  *statement
	kind       string
	caller     *caller
	proxy      *proxy
	sentAt     time.Duration
	answeredAt time.Duration
	reply      *model.Reply
	connLost   bool
	endRequest *request
}

func (request *request) answered() bool { return request == nil || request.reply != nil }

// ok reports whether the reply says that the request itself succeeded.
func (request *request) ok() bool {
	return request.reply != nil && request.reply.Outcome() == model.OutcomeDone && request.reply.Code() == codes.OK
}

// inTransaction reports whether a transaction was open after the request.
func (request *request) inTransaction() bool {
	return request.reply != nil && request.reply.TxState() != model.TxNone
}

// acknowledged reports whether the caller received confirmation that the effect
// of the request is committed.
func (request *request) acknowledged() bool {
	if request.inTransaction() {
		return request.endRequest != nil && request.endRequest.spec.Op == model.OpCommit && request.endRequest.ok()
	}
	return request.ok()
}

// acknowledgedAt returns the time at which the caller received that confirmation.
func (request *request) acknowledgedAt() time.Duration {
	if request.inTransaction() && request.endRequest != nil {
		return request.endRequest.answeredAt
	}
	return request.answeredAt
}

// notRun reports whether the caller received confirmation that the request has
// no effect.
func (request *request) notRun() bool {
	if request.inTransaction() {
		return request.endRequest != nil && request.endRequest.reply != nil &&
			(request.endRequest.spec.Op == model.OpRollback || request.endRequest.reply.Outcome() == model.OutcomeNotRun)
	}
	return request.reply != nil && request.reply.Outcome() == model.OutcomeNotRun
}

// connect opens a connection of a new caller to a proxy and waits up to 1 s until
// the proxy accepts or closes it.
func (simulation *simulation) connect(proxy *proxy, class string) *caller {
	opened := &caller{simulation: simulation, class: class}
	simulation.callers = append(simulation.callers, opened)
	opened.moveTo(proxy)
	return opened
}

// moveTo closes the connection and continues the session on another proxy.
func (caller *caller) moveTo(proxy *proxy) {
	caller.close()
	proxy.lastCallerID++
	caller.proxy = proxy
	caller.id = proxy.lastCallerID
	caller.ready = false
	caller.disconnected = false
	caller.inTx = false
	proxy.callers[caller.id] = caller
	proxy.post(callerOpened(caller))
	caller.simulation.runUntil(time.Second, func() bool { return caller.ready || caller.disconnected })
}

func (caller *caller) close() {
	if caller.proxy == nil || caller.disconnected {
		return
	}
	delete(caller.proxy.callers, caller.id)
	caller.proxy.post(callerClosed(caller))
	caller.markDisconnected()
}

func (caller *caller) handleAccepted() { caller.ready = true }

// handleClosed handles a connection that the proxy refused or closed.
func (caller *caller) handleClosed() {
	delete(caller.proxy.callers, caller.id)
	caller.markDisconnected()
}

// markDisconnected records the loss of the connection and of the pending reply.
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
		caller.simulation.oracle.reportViolation("P4", "caller %d received a reply to request %d, which is not its pending request", caller.id, reply.Seq())
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

// linkTransactionEnd records the request that ended a transaction in each of
// the transaction's writes.
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

// send sends a request without waiting for the reply. It returns nil if the
// caller is disconnected or has a request in flight.
func (caller *caller) send(kind string, requested *statement, op model.Op, requestID string) *request {
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
	if requested != nil {
		spec.Key = requested.key
		spec.Digest = uint64(requested.value)
		spec.Statement = requested
	}
	sent := &request{spec: spec, statement: requested, kind: kind, caller: caller, proxy: caller.proxy, sentAt: caller.simulation.now}
	caller.pending = sent
	caller.simulation.oracle.requests = append(caller.simulation.oracle.requests, sent)
	caller.proxy.post(requestReceived(model.NewRequest(spec)))
	return sent
}

// call sends a request and waits up to 10 s for the reply.
func (caller *caller) call(kind string, requested *statement, op model.Op, requestID string) *request {
	sent := caller.send(kind, requested, op, requestID)
	if sent != nil {
		caller.simulation.runUntil(10*time.Second, func() bool { return sent.answered() || sent.connLost })
	}
	return sent
}

// connName identifies the caller's connection, and so the transaction open on it.
func (caller *caller) connName() string {
	return string(caller.proxy.id) + "/" + strconv.FormatUint(uint64(caller.id), 10)
}

func (caller *caller) write() *request {
	return caller.call("edit_listing", caller.simulation.newWrite(scenarioKey), model.OpStatement, caller.simulation.newRequestID())
}

func (caller *caller) read(kind string) {
	caller.call(kind, &statement{key: scenarioKey}, model.OpStatement, "")
}

// newWrite returns a write of a unique value.
func (simulation *simulation) newWrite(key string) *statement {
	simulation.oracle.lastValue++
	return &statement{key: key, value: simulation.oracle.lastValue, write: true}
}

// newRequestID returns a version 7 UUID with the simulated time.
func (simulation *simulation) newRequestID() string {
	var id uuid.UUID
	simulation.oracle.lastRequestID++
	binary.BigEndian.PutUint64(id[0:8], uint64(wallStart.Add(simulation.now).UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:16], simulation.oracle.lastRequestID)
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}

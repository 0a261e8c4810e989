package conns

import (
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/timer"
)

const (
	// unreachable is the code for an instance that cannot be connected to.
	unreachable = codes.NoReplica

	maxOpening  = 4
	warmDivisor = 2
	// borrowLimit is how many connections to an instance a proxy may hold whose share is smaller.
	borrowLimit = 4
	// txParts of txWhole connections may be owned by transactions.
	txParts          = 2
	txWhole          = 3
	maxDoublings     = 6
	maintainInterval = 100 * time.Millisecond
	// patience is the least time that a request waits for a connection before it is refused.
	patience = 500 * time.Millisecond
	// briefly is how long a connection beyond the share may be unused.
	briefly = 200 * time.Millisecond
	// firstHandshake is taken as the time to open a connection before one was opened.
	firstHandshake = 15 * time.Millisecond
	// handshakeSmoothing is the share of a new sample in the mean, as a divisor.
	handshakeSmoothing = 8
	firstBackoff       = 20 * time.Millisecond
	maxBackoff         = time.Second
)

type connState int

const (
	connOpening connState = iota
	connIdle
	connBusy
	connResetting
	connClosed
)

// conn is one backend connection. It has a taker while it is busy.
type conn struct {
	id    model.ConnID
	pool  *pool
	state connState
	taker route.ConnUser
	ask   route.SlotRequest
	exec  model.ExecID
	slot  bool
	inTx  bool // it was granted to a transaction
	since time.Duration
}

// pool holds the connections to one instance.
type pool struct {
	pools    *Pools
	instance model.Instance
	idle     []*conn
	waiting  []*ticket
	total    int
	opening  int
	inTx     int // connections that transactions own
	failures int
	failedAt time.Duration
	reason   model.ConnFailure
	blocked  time.Duration
	retry    timer.ID
	// handshake is the mean time that it takes to open a connection.
	handshake time.Duration
}

// share returns this proxy's share of the connections of an instance; it is 0
// where there are more proxies than connections.
func (pool *pool) share() int {
	context := pool.pools.context
	conns := context.Settings().ConnsPerInstance()
	if listed := pool.instance.MaxConns(); listed > 0 {
		conns = listed
	}
	return conns / max(1, len(context.State().Proxies()))
}

// limit returns how many connections this proxy may hold. Where many proxies share
// few connections, each may take more than its share for a while, since most hold
// none; the instance refuses what is too much.
func (pool *pool) limit() int {
	if pool.instance.MaxConns() == 0 {
		return max(1, pool.share())
	}
	return max(borrowLimit, pool.share())
}

// txLimit returns how many connections transactions may own at once. They rest
// between their statements, so a few must be left for single statements.
func (pool *pool) txLimit() int { return max(1, pool.limit()*txParts/txWhole) }

// own records whether a transaction owns a connection.
func (pool *pool) own(conn *conn, inTx bool) {
	switch {
	case inTx && !conn.inTx:
		pool.inTx++
	case !inTx && conn.inTx:
		pool.inTx--
	}
	conn.inTx = inTx
}

// connected reports whether a connection stands.
func (pool *pool) connected() bool { return pool.total > pool.opening }

// warm returns how many connections are kept open ahead of need.
func (pool *pool) warm() int {
	if share := pool.share(); pool.instance.MaxConns() > 0 && share < borrowLimit {
		return min(share, 1)
	}
	return max(1, pool.share()/warmDivisor)
}

// serve hands idle connections to the tickets that wait longest.
func (pool *pool) serve() {
	for len(pool.waiting) > 0 && len(pool.idle) > 0 {
		first := pool.waiting[0]
		pool.waiting = slices.Delete(pool.waiting, 0, 1)
		pool.grant(first)
	}
}

// take gives a ticket a connection now or queues it.
func (pool *pool) take(ticket *ticket) {
	if len(pool.idle) > 0 && len(pool.waiting) == 0 {
		pool.grant(ticket)
		return
	}
	pool.waiting = append(pool.waiting, ticket)
	pool.fill()
	if pool.total == 0 && pool.reason != model.ConnFailureFull {
		pool.sendAway()
	}
}

func (pool *pool) grant(ticket *ticket) {
	last := len(pool.idle) - 1
	conn := pool.idle[last]
	pool.idle[last] = nil
	pool.idle = pool.idle[:last]
	conn.state = connBusy
	conn.slot = true
	conn.since = pool.pools.context.Now()
	conn.taker = ticket.taker
	conn.ask = ticket.ask
	pool.own(conn, ticket.ask.Job != nil && ticket.ask.Job.Tx() != nil)
	ticket.end()
	ticket.taker.ConnGranted(conn.id)
}

func (pool *pool) park(conn *conn) {
	conn.state = connIdle
	pool.own(conn, false)
	conn.since = pool.pools.context.Now()
	pool.idle = append(pool.idle, conn)
}

func (pool *pool) unqueue(ticket *ticket) {
	if index := slices.Index(pool.waiting, ticket); index >= 0 {
		pool.waiting = slices.Delete(pool.waiting, index, index+1)
	}
}

func (pool *pool) remove(conn *conn) {
	pool.total--
	pool.own(conn, false)
	if index := slices.Index(pool.idle, conn); index >= 0 {
		pool.idle = slices.Delete(pool.idle, index, index+1)
	}
}

// fill opens the connections that waiting tickets and the warm reserve need.
func (pool *pool) fill() {
	if pool.pools.context.Now() < pool.blocked {
		return
	}
	for pool.opening < maxOpening && pool.total < pool.limit() && pool.needs() {
		pool.open()
	}
}

func (pool *pool) needs() bool {
	return pool.opening < len(pool.waiting) || pool.total < pool.warm()
}

func (pool *pool) open() {
	context := pool.pools.context
	added := &conn{id: model.ConnID(context.NextID()), pool: pool, state: connOpening, since: context.Now()}
	pool.pools.conns[added.id] = added
	pool.total++
	pool.opening++
	context.Emit(event.NewOpenConn(added.id, pool.instance.ID(), pool.instance.Address()))
}

// openFailed holds further openings back for a time that doubles with each
// failure. Requests that wait for an instance to which no connection stands are
// sent away, so that reads can go elsewhere.
func (pool *pool) openFailed(failed *conn, reason model.ConnFailure) {
	failed.state = connClosed
	pool.total--
	pool.opening--
	if pool.failures == 0 {
		pool.log("instance_unreachable", reason.String())
	}
	pool.failedAt = pool.pools.context.Now()
	pool.reason = reason
	pool.backOff()
	if reason == model.ConnFailureLeaving {
		pool.pools.context.Publish(event.NewLeavingChanged(pool.instance.ID(), true))
	}
	if reason != model.ConnFailureFull && !pool.connected() {
		pool.sendAway()
	}
}

// log writes that the instance was lost or regained.
func (pool *pool) log(name, reason string) {
	pool.pools.context.Emit(event.NewLogDecision(model.Decision{Name: name, Instance: pool.instance.ID(), Reason: reason}))
}

func (pool *pool) backOff() {
	context := pool.pools.context
	backoff := min(maxBackoff, firstBackoff<<min(pool.failures, maxDoublings))
	backoff = backoff/2 + time.Duration(context.Random().Int64N(int64(backoff)))
	pool.failures++
	pool.blocked = context.Now() + backoff
	context.Timers().Cancel(pool.retry)
	pool.retry = context.Timers().After(backoff, pool.fill)
}

// reached ends the back-off of an instance that could not be reached, because it
// answered a probe that was sent at sentAt.
func (pool *pool) reached(sentAt time.Duration) {
	if pool.failures == 0 || sentAt <= pool.failedAt || pool.reason == model.ConnFailureFull {
		return
	}
	pool.blocked = 0
	pool.fill()
}

// refuseLate denies the requests that have waited for a connection beyond their
// target: transactions hold all of them, and others could be served in time.
func (pool *pool) refuseLate() {
	now := pool.pools.context.Now()
	var kept, late []*ticket
	for _, waiting := range pool.waiting {
		job := waiting.ask.Job
		if job != nil && job.Kind().TargetLatency() > 0 && now-job.Arrived() >= max(patience, job.Kind().TargetLatency()) {
			late = append(late, waiting)
			continue
		}
		kept = append(kept, waiting)
	}
	pool.waiting = kept
	for _, refused := range late {
		refused.end()
		pool.pools.admission.Release(refused.ask, 0, true)
		refused.taker.ConnDenied(codes.Overloaded, pool.pools.admission.RetryAfter(refused.ask.Instance))
	}
}

// sendAway denies every request that waits for a connection.
func (pool *pool) sendAway() {
	waiting := pool.waiting
	pool.waiting = nil
	for _, ticket := range waiting {
		ticket.end()
		pool.pools.admission.Release(ticket.ask, 0, true)
		ticket.taker.ConnDenied(unreachable, 0)
	}
}

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

	maxOpening     = 4
	minOpenDivisor = 2
	// borrowLimit is how many connections to an instance a proxy may hold whose share is smaller.
	borrowLimit = 4
	// txShareNumerator of txWhole connections may be owned by transactions.
	txShareNumerator   = 2
	txShareDenominator = 3
	maxDoublings       = 6
	maintainInterval   = 100 * time.Millisecond
	// minConnWait is the least time that a request waits for a connection before it is refused.
	minConnWait = 500 * time.Millisecond
	// excessIdleTimeout is how long a connection beyond the share may be unused.
	excessIdleTimeout = 200 * time.Millisecond
	// initialConnectTime is taken as the time to open a connection before one was opened.
	initialConnectTime = 15 * time.Millisecond
	// connectTimeSmoothing is the share of a new sample in the mean, as a divisor.
	connectTimeSmoothing = 8
	initialBackoff       = 20 * time.Millisecond
	maxBackoff           = time.Second
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
	id      model.ConnID
	pool    *pool
	state   connState
	user    route.ConnUser
	request route.SlotRequest
	exec    model.ExecID
	hasSlot bool
	inTx    bool // it was granted to a transaction
	since   time.Duration
}

// pool holds the connections to one instance.
type pool struct {
	pools        *Pools
	instance     model.Instance
	idle         []*conn
	waiting      []*waiter
	total        int
	opening      int
	txConns      int // connections that transactions own
	failures     int
	failedAt     time.Duration
	lastFailure  model.ConnFailure
	blockedUntil time.Duration
	retryTimer   timer.ID
	// connectTime is the mean time that it takes to open a connection.
	connectTime time.Duration
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

// maxOpen returns how many connections this proxy may hold. Where many proxies share
// few connections, each may take more than its share for a while, since most hold
// none; the instance refuses what is too much.
func (pool *pool) maxOpen() int {
	if pool.instance.MaxConns() == 0 {
		return max(1, pool.share())
	}
	return max(borrowLimit, pool.share())
}

// maxTxConns returns how many connections transactions may own at once. They rest
// between their statements, so a few must be left for single statements.
func (pool *pool) maxTxConns() int { return max(1, pool.maxOpen()*txShareNumerator/txShareDenominator) }

// setInTx records whether a transaction owns a connection.
func (pool *pool) setInTx(conn *conn, inTx bool) {
	switch {
	case inTx && !conn.inTx:
		pool.txConns++
	case !inTx && conn.inTx:
		pool.txConns--
	}
	conn.inTx = inTx
}

// connected reports whether a connection stands.
func (pool *pool) connected() bool { return pool.total > pool.opening }

// minOpen returns how many connections are kept open ahead of need.
func (pool *pool) minOpen() int {
	if share := pool.share(); pool.instance.MaxConns() > 0 && share < borrowLimit {
		return min(share, 1)
	}
	return max(1, pool.share()/minOpenDivisor)
}

// grantWaiting hands idle connections to the tickets that wait longest.
func (pool *pool) grantWaiting() {
	for len(pool.waiting) > 0 && len(pool.idle) > 0 {
		first := pool.waiting[0]
		pool.waiting = slices.Delete(pool.waiting, 0, 1)
		pool.grant(first)
	}
}

// grantOrQueue gives a ticket a connection now or queues it.
func (pool *pool) grantOrQueue(ticket *waiter) {
	if len(pool.idle) > 0 && len(pool.waiting) == 0 {
		pool.grant(ticket)
		return
	}
	pool.waiting = append(pool.waiting, ticket)
	pool.fill()
	if pool.total == 0 && pool.lastFailure != model.ConnFailureFull {
		pool.denyWaiting()
	}
}

func (pool *pool) grant(ticket *waiter) {
	last := len(pool.idle) - 1
	conn := pool.idle[last]
	pool.idle[last] = nil
	pool.idle = pool.idle[:last]
	conn.state = connBusy
	conn.hasSlot = true
	conn.since = pool.pools.context.Now()
	conn.user = ticket.user
	conn.request = ticket.request
	pool.setInTx(conn, ticket.request.Job != nil && ticket.request.Job.Tx() != nil)
	ticket.end()
	ticket.user.ConnGranted(conn.id)
}

func (pool *pool) addIdle(conn *conn) {
	conn.state = connIdle
	pool.setInTx(conn, false)
	conn.since = pool.pools.context.Now()
	pool.idle = append(pool.idle, conn)
}

func (pool *pool) removeWaiter(ticket *waiter) {
	if index := slices.Index(pool.waiting, ticket); index >= 0 {
		pool.waiting = slices.Delete(pool.waiting, index, index+1)
	}
}

func (pool *pool) remove(conn *conn) {
	pool.total--
	pool.setInTx(conn, false)
	if index := slices.Index(pool.idle, conn); index >= 0 {
		pool.idle = slices.Delete(pool.idle, index, index+1)
	}
}

// fill opens the connections that waiting tickets and the warm reserve need.
func (pool *pool) fill() {
	if pool.pools.context.Now() < pool.blockedUntil {
		return
	}
	for pool.opening < maxOpening && pool.total < pool.maxOpen() && pool.needsConn() {
		pool.open()
	}
}

func (pool *pool) needsConn() bool {
	return pool.opening < len(pool.waiting) || pool.total < pool.minOpen()
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
	pool.lastFailure = reason
	pool.backOff()
	if reason == model.ConnFailureLeaving {
		pool.pools.context.Publish(event.NewLeavingChanged(pool.instance.ID(), true))
	}
	if reason != model.ConnFailureFull && !pool.connected() {
		pool.denyWaiting()
	}
}

// log writes that the instance was lost or regained.
func (pool *pool) log(name, reason string) {
	pool.pools.context.Emit(event.NewLogDecision(model.Decision{Name: name, Instance: pool.instance.ID(), Reason: reason}))
}

func (pool *pool) backOff() {
	context := pool.pools.context
	backoff := min(maxBackoff, initialBackoff<<min(pool.failures, maxDoublings))
	backoff = backoff/2 + time.Duration(context.Random().Int64N(int64(backoff)))
	pool.failures++
	pool.blockedUntil = context.Now() + backoff
	context.Timers().Cancel(pool.retryTimer)
	pool.retryTimer = context.Timers().After(backoff, pool.fill)
}

// endBackOff ends the back-off of an instance that could not be endBackOff, because it
// answered a probe that was sent at sentAt.
func (pool *pool) endBackOff(sentAt time.Duration) {
	if pool.failures == 0 || sentAt <= pool.failedAt || pool.lastFailure == model.ConnFailureFull {
		return
	}
	pool.blockedUntil = 0
	pool.fill()
}

// denyLate denies the requests that have waited for a connection beyond their
// target: transactions hold all of them, and others could be served in time.
func (pool *pool) denyLate() {
	now := pool.pools.context.Now()
	var kept, late []*waiter
	for _, waiting := range pool.waiting {
		job := waiting.request.Job
		if job != nil && job.Kind().TargetLatency() > 0 && now-job.Arrived() >= max(minConnWait, job.Kind().TargetLatency()) {
			late = append(late, waiting)
			continue
		}
		kept = append(kept, waiting)
	}
	pool.waiting = kept
	for _, refused := range late {
		refused.end()
		pool.pools.admission.Release(refused.request, 0, true)
		refused.user.ConnDenied(codes.Overloaded, pool.pools.admission.RetryAfter(refused.request.Instance))
	}
}

// denyWaiting denies every request that waits for a connection.
func (pool *pool) denyWaiting() {
	waiting := pool.waiting
	pool.waiting = nil
	for _, ticket := range waiting {
		ticket.end()
		pool.pools.admission.Release(ticket.request, 0, true)
		ticket.user.ConnDenied(unreachable, 0)
	}
}

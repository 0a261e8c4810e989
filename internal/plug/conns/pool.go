package conns

import (
	"maps"
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/timer"
)

const (
	maxOpening     = 4
	minOpenDivisor = 2
	// maxOpenAhead limits the connections that are open regardless of demand, where an instance
	// lists a maximum. While many proxies start, each one knows few of the others at first and
	// takes its share for a large one.
	maxOpenAhead = 6
	// A proxy keeps connections to all instances open ahead of demand if they are no more than
	// maxInstancesAhead, and otherwise to those that it has used within aheadWindow.
	maxInstancesAhead = 32
	aheadWindow       = 5 * time.Second
	// borrowLimit is how many connections to an instance a proxy may open if its share is
	// smaller.
	borrowLimit = 4
	// Transactions may hold txShareNumerator/txShareDenominator of the connections.
	txShareNumerator   = 2
	txShareDenominator = 3
	maxDoublings       = 6
	maintainInterval   = 100 * time.Millisecond
	// idleMaintainInterval replaces maintainInterval while nothing waits for a connection and none
	// is to be closed.
	idleMaintainInterval = time.Second
	// minConnWait is the minimum time that a request waits for a connection before it is
	// denied for missing its target latency.
	minConnWait = 500 * time.Millisecond
	// excessIdleTimeout is how long a connection in excess of the share may be idle.
	excessIdleTimeout = 200 * time.Millisecond
	// surplusIdleTimeout is how long a connection within the share may be idle if the
	// instance lists a maximum. After a loss of power, an instance holds the old connections
	// of the proxies for seconds, so that only the rest is left for the new ones.
	surplusIdleTimeout = 500 * time.Millisecond
	// initialConnectTime is the estimate of the connect time until the first connection is
	// open.
	initialConnectTime = 15 * time.Millisecond
	// A new sample moves connectTime by 1/connectTimeSmoothing of the difference.
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

// conn is a backend connection. It has a user while it is busy.
type conn struct {
	id      model.ConnID
	pool    *pool
	team    model.TeamName // whose statements the connection runs
	state   connState
	user    route.ConnUser
	request route.SlotRequest
	exec    model.ExecID
	hasSlot bool
	inTx    bool          // granted to a transaction
	step    model.Step    // of the statement that runs
	overdue bool          // the statement that runs should have been answered by now
	since   time.Duration // start of the opening, idle period, grant or last execution
}

// pool contains the connections to one instance.
type pool struct {
	pools    *Pools
	instance model.Instance
	idle     []*conn
	waiting  []*waiter
	total    int
	opening  int
	// openingByTeam counts the connections that are being opened by their teams.
	openingByTeam map[model.TeamName]int
	txConns       int // connections granted to transactions
	failures      int
	usedAt        time.Duration // when a connection was last requested, or 0
	failedAt      time.Duration
	lastFailure   model.ConnFailure
	blockedUntil  time.Duration
	retryTimer    timer.ID
	// newestAnswered is the latest time at which a statement was sent that has been answered. An
	// empty transaction does not count, since it takes no slot of the instance.
	newestAnswered time.Duration
	roomMade       bool // makeRoom has closed a connection since the last attempt to open one
	// connectTime is the moving average of the time to open a connection.
	connectTime time.Duration
}

// share returns this proxy's share of the connections of the instance. It is 0 if there
// are more proxies than connections.
func (pool *pool) share() int {
	context := pool.pools.context
	conns := context.Settings().ConnsPerInstance()
	if listed := pool.instance.MaxConns(); listed > 0 {
		conns = listed
	}
	if pool.held() {
		conns -= conns / holderReserveDivisor
	}
	return conns / context.State().SharersOf(pool.instance.ID())
}

// maxOpen returns the maximum number of connections of the pool, including those being
// opened. If many proxies share few connections, each may temporarily exceed its share,
// since most proxies have none open; the instance refuses connections beyond its own
// limit.
func (pool *pool) maxOpen() int {
	switch {
	case pool.instance.MaxConns() == 0:
		return max(1, pool.share())
	case !pool.pools.context.State().ProxiesKnown():
		return borrowLimit
	default:
		return max(borrowLimit, pool.share())
	}
}

// maxTxConns returns the maximum number of connections that transactions may hold at
// once. A transaction holds its connection between statements, so some connections must
// remain for single statements. While the instance refuses further connections, what a proxy holds
// beyond its share is missing to the others.
func (pool *pool) maxTxConns() int {
	conns := pool.maxOpen()
	if pool.full() {
		conns = min(conns, pool.share())
	}
	return max(1, conns*txShareNumerator/txShareDenominator)
}

// full reports whether the instance refused the last connection because it has too many.
func (pool *pool) full() bool {
	return pool.failures > 0 && pool.lastFailure == model.ConnFailureFull
}

// setInTx records whether a transaction holds a connection.
func (pool *pool) setInTx(conn *conn, inTx bool) {
	switch {
	case inTx && !conn.inTx:
		pool.txConns++
	case !inTx && conn.inTx:
		pool.txConns--
	}
	conn.inTx = inTx
}

// unreachable reports whether no connection is open and the last one could not be opened.
func (pool *pool) unreachable() bool {
	return !pool.connected() && pool.failures > 0 && pool.lastFailure != model.ConnFailureFull
}

// connected reports whether any connection to the instance is open.
func (pool *pool) connected() bool { return pool.total > pool.opening }

// minOpen returns the number of connections that are kept open regardless of demand. A proxy
// that does not know how many others there are keeps one, since each of them may not know it
// either.
func (pool *pool) minOpen() int {
	if pool.pools.context.State().Teams() != nil {
		return 0 // a connection that belongs to no team serves nobody
	}
	if max(pool.pools.listedCount, len(pool.pools.pools)) > maxInstancesAhead && !pool.usedLately() {
		return 0
	}
	known := pool.pools.context.State().ProxiesKnown()
	if share := pool.share(); pool.instance.MaxConns() > 0 && (share < borrowLimit || !known) {
		return min(share, 1)
	}
	ahead := max(1, pool.share()/minOpenDivisor)
	if pool.instance.MaxConns() > 0 {
		return min(ahead, maxOpenAhead)
	}
	return ahead
}

// holdsNone reports whether connections are closed as soon as nothing waits for them. Where more
// proxies than connections share an instance and each connection runs the statements of one team
// only, the next statement that can use it hardly ever comes to the same proxy in time, and
// meanwhile the connection is missing elsewhere.
func (pool *pool) holdsNone() bool {
	return pool.pools.context.State().Teams() != nil && pool.instance.MaxConns() > 0 && pool.share() == 0
}

// usedLately reports whether a connection was requested within aheadWindow.
func (pool *pool) usedLately() bool {
	return pool.usedAt > 0 && pool.pools.context.Now()-pool.usedAt < aheadWindow
}

// grantWaiting grants idle connections to waiters in the order of their arrival, and opens
// connections for the teams that have none.
func (pool *pool) grantWaiting() {
	for waiter, conn := pool.nextGrant(); conn != nil; waiter, conn = pool.nextGrant() {
		pool.removeWaiter(waiter)
		pool.grant(waiter, conn)
	}
	if len(pool.waiting) > 0 {
		pool.fill()
	}
}

// nextGrant returns the first waiter for which a connection is idle, and the connection. It
// returns nil if there is none, or if an earlier waiter needs the place of an idle connection.
func (pool *pool) nextGrant() (*waiter, *conn) {
	if len(pool.idle) == 0 {
		return nil, nil
	}
	opening := maps.Clone(pool.openingByTeam)
	for _, waiter := range pool.waiting {
		if conn := pool.idleFor(waiter); conn != nil {
			return waiter, conn
		}
		if opening[waiter.team()] > 0 {
			opening[waiter.team()]--
			continue
		}
		if pool.total >= pool.maxOpen() && pool.mayOpen() {
			return nil, nil
		}
	}
	return nil, nil
}

// idleFor returns the idle connection for a waiter that was used last, or nil. A connection runs
// the statements of one team only. What the proxy sends itself may use any connection.
func (pool *pool) idleFor(waiter *waiter) *conn {
	for index := len(pool.idle) - 1; index >= 0; index-- {
		if conn := pool.idle[index]; waiter.request.Job == nil || conn.team == waiter.team() {
			return conn
		}
	}
	return nil
}

// grantOrQueue grants a connection to a waiter that has a slot, or queues the waiter. The
// waiter is denied if no connection is open or being opened, unless the last
// attempt to open one failed because the instance is full.
func (pool *pool) grantOrQueue(waiter *waiter) {
	if conn := pool.idleFor(waiter); conn != nil && !pool.isAwaited(conn) {
		pool.grant(waiter, conn)
		return
	}
	pool.waiting = append(pool.waiting, waiter)
	pool.pools.pace.Wake()
	pool.fill()
	if pool.total == 0 && pool.lastFailure != model.ConnFailureFull {
		pool.denyWaiting()
	}
}

// isAwaited reports whether a waiter in the queue can use an idle connection.
func (pool *pool) isAwaited(conn *conn) bool {
	return slices.ContainsFunc(pool.waiting, func(waiter *waiter) bool {
		return waiter.request.Job == nil || waiter.team() == conn.team
	})
}

func (pool *pool) grant(waiter *waiter, conn *conn) {
	index := slices.Index(pool.idle, conn)
	pool.idle = slices.Delete(pool.idle, index, index+1)
	conn.state = connBusy
	conn.hasSlot = true
	conn.since = pool.pools.context.Now()
	conn.user = waiter.user
	conn.request = waiter.request
	pool.setInTx(conn, waiter.request.Job != nil && waiter.request.Job.Tx() != nil)
	waiter.end()
	waiter.user.ConnGranted(conn.id)
}

func (pool *pool) addIdle(conn *conn) {
	conn.state = connIdle
	pool.setInTx(conn, false)
	conn.since = pool.pools.context.Now()
	pool.idle = append(pool.idle, conn)
	pool.pools.pace.Wake()
}

func (pool *pool) removeWaiter(waiter *waiter) {
	if index := slices.Index(pool.waiting, waiter); index >= 0 {
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

// denyLate denies the requests that have waited for a connection beyond their target
// latency, because transactions hold all connections and other requests could still be
// served in time.
func (pool *pool) denyLate() {
	now := pool.pools.context.Now()
	var kept, late []*waiter
	for _, waiter := range pool.waiting {
		job := waiter.request.Job
		if job != nil && job.Kind().TargetLatency() > 0 && now-job.Arrived() >= max(minConnWait, job.Kind().TargetLatency()) {
			late = append(late, waiter)
			continue
		}
		kept = append(kept, waiter)
	}
	pool.waiting = kept
	for _, waiter := range late {
		waiter.end()
		pool.pools.admission.Release(waiter.request, 0, route.SlotUnused)
		waiter.user.ConnDenied(pool.pools.overloaded(waiter.request, "no connection became free within the target latency"))
	}
}

// unreachable returns the denial because no connection to the instance can be opened.
func unreachable() route.Denial {
	return route.Denial{Code: codes.NoReplica, Reason: "instance cannot be reached"}
}

// denyWaiting denies all requests that wait for a connection, because the instance is
// unreachable.
func (pool *pool) denyWaiting() {
	waiting := pool.waiting
	pool.waiting = nil
	for _, waiter := range waiting {
		waiter.end()
		pool.pools.admission.Release(waiter.request, 0, route.SlotUnused)
		waiter.user.ConnDenied(unreachable())
	}
}

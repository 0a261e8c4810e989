// Package conns implements the pools of backend connections that the requests of a proxy
// share. It opens connections ahead of demand, grants them to requests, and resets and
// closes them.
package conns

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/timer"
)

func init() {
	kern.Register("conns", kern.RankConnections, New, kern.ProfileStandalone, kern.ProfileHosted)
}

// Pools contains the connection pools of all instances. It implements route.Conns.
type Pools struct {
	context   *kern.Context
	admission route.Admission
	pools     map[model.InstanceID]*pool
	conns     map[model.ConnID]*conn
	execs     map[model.ExecID]*conn
	waiters   map[route.WaitID]*waiter
	// listedCount is the number of listed instances at the last maintenance.
	listedCount int
	pace        *timer.Pace // of maintain
}

// New returns the plug-in, which provides route.Conns. It requires route.Admission.
func New(context *kern.Context) kern.Plugin {
	pools := &Pools{
		context: context,
		pools:   make(map[model.InstanceID]*pool),
		conns:   make(map[model.ConnID]*conn),
		execs:   make(map[model.ExecID]*conn),
		waiters: make(map[route.WaitID]*waiter),
	}
	pools.admission = context.Service(route.AdmissionService).(route.Admission)
	context.ProvideService(route.ConnsService, pools)
	pools.pace = context.Timers().Pace(maintainInterval, pools.maintain)
	return pools
}

// Handle implements kern.Plugin.
func (pools *Pools) Handle(received event.Event) {
	switch received := received.(type) {
	case event.ConnOpened:
		pools.handleConnOpened(received)
	case event.ConnFailed:
		pools.handleConnFailed(received)
	case event.ConnClosed:
		pools.handleConnClosed(received)
	case event.ResetDone:
		pools.handleResetDone(received)
	case event.ExecuteDone:
		pools.handleExecuteDone(received)
	case event.ExecuteFailed:
		pools.handleExecuteFailed(received)
	case event.GroupObserved:
		pools.handleGroupObserved(received.Group())
	case event.InstanceRestarted:
		pools.handleInstanceRestarted(received.Instance())
	case event.CatalogChanged, event.LeavingChanged, event.InstancesListed, event.InstanceListed, event.InstanceUnlisted:
		pools.pace.Wake()
	}
}

// Acquire implements route.Conns.
func (pools *Pools) Acquire(request route.SlotRequest, user route.ConnUser) route.WaitID {
	pool := pools.pool(request.Instance)
	if pool == nil {
		user.ConnDenied(unreachable())
		return 0
	}
	pool.usedAt = pools.context.Now()
	pools.pace.Wake()
	if request.Job != nil && request.Job.Tx() != nil && pool.txConns >= pool.maxTxConns() {
		user.ConnDenied(pools.overloaded(request, "transactions hold their share of the connections"))
		return 0
	}
	added := &waiter{id: route.WaitID(pools.context.NextID()), request: request, user: user, pool: pool}
	pools.admission.Acquire(added)
	if added.state == waiterEnded {
		return 0
	}
	pools.waiters[added.id] = added
	return added.id
}

// overloaded returns the denial of a request for which no connection is free.
func (pools *Pools) overloaded(request route.SlotRequest, reason string) route.Denial {
	return route.Denial{Code: codes.Overloaded, RetryAfter: pools.admission.RetryAfter(request.Instance), Reason: reason}
}

// CancelWait implements route.Conns.
func (pools *Pools) CancelWait(id route.WaitID) {
	waiter, ok := pools.waiters[id]
	if !ok {
		return
	}
	delete(pools.waiters, id)
	if waiter.state == waiterNeedsConn {
		waiter.pool.removeWaiter(waiter)
		pools.admission.Release(waiter.request, 0, route.SlotUnused)
	} else {
		pools.admission.CancelWait(waiter)
	}
	waiter.state = waiterEnded
}

// Execute implements route.Conns.
func (pools *Pools) Execute(id model.ConnID, work *model.Work) {
	conn := pools.conns[id]
	conn.exec = model.ExecID(pools.context.NextID())
	conn.since = pools.context.Now()
	conn.step, conn.overdue = work.Step(), false
	pools.execs[conn.exec] = conn
	pools.context.Emit(event.NewExecute(conn.exec, id, work))
}

// Cancel implements route.Conns.
func (pools *Pools) Cancel(id model.ConnID) {
	conn, ok := pools.conns[id]
	if ok && conn.exec != 0 {
		pools.context.Emit(event.NewCancelExecute(conn.exec, id))
	}
}

// Park implements route.Conns.
func (pools *Pools) Park(id model.ConnID) {
	if conn, ok := pools.conns[id]; ok {
		pools.releaseSlot(conn, route.SlotAnswered)
	}
}

// Resume implements route.Conns.
func (pools *Pools) Resume(id model.ConnID, user route.ConnUser) bool {
	conn, ok := pools.conns[id]
	if !ok {
		return false
	}
	conn.user = user
	if !conn.hasSlot {
		conn.hasSlot = true
		pools.admission.ForceAcquire(conn.request)
	}
	return true
}

// Unreachable implements route.Conns.
func (pools *Pools) Unreachable(instance model.InstanceID) bool {
	pool := pools.pool(instance)
	return pool != nil && pool.unreachable()
}

// ConnectDelay implements route.Conns.
func (pools *Pools) ConnectDelay(instance model.InstanceID) time.Duration {
	pool := pools.pool(instance)
	if pool == nil || pool.connected() {
		return 0
	}
	return pool.connectTime
}

// Release implements route.Conns.
func (pools *Pools) Release(id model.ConnID, dirty bool) {
	conn, ok := pools.conns[id]
	if !ok {
		return
	}
	conn.user = nil
	if dirty && conn.pool.holdsNone() && len(conn.pool.waiting) == 0 {
		pools.releaseSlot(conn, route.SlotAnswered)
		conn.pool.closeIdle(conn) // rolls back at the instance
		return
	}
	if dirty {
		conn.state = connResetting
		pools.releaseSlot(conn, route.SlotAnswered)
		pools.context.Emit(event.NewResetConn(id))
		return
	}
	slot, held := conn.hasSlot, pools.context.Now()-conn.since
	conn.hasSlot = false
	conn.pool.addIdle(conn)
	conn.pool.grantWaiting()
	if slot {
		pools.admission.Release(conn.request, held, route.SlotAnswered)
	}
	if conn.state == connIdle && conn.pool.holdsNone() {
		conn.pool.closeIdle(conn)
	}
}

// Discard implements route.Conns.
func (pools *Pools) Discard(id model.ConnID) {
	conn, ok := pools.conns[id]
	if !ok {
		return
	}
	pools.Cancel(id)
	pools.spoil(conn, "the answer was abandoned")
}

// spoil closes a connection that must not be reused, and logs the reason and the request whose
// statement ran on it.
func (pools *Pools) spoil(conn *conn, reason string) {
	decision := model.Decision{Name: "conn_spoiled", Instance: conn.pool.instance.ID(), Reason: reason}
	if user, ok := conn.user.(route.IdentifiedUser); ok {
		decision.RequestID = user.RequestID()
	}
	pools.context.Emit(event.NewLogDecision(decision))
	pools.context.Emit(event.NewCloseConn(conn.id))
	pools.removeConn(conn)
}

func (pools *Pools) pool(id model.InstanceID) *pool {
	if found, ok := pools.pools[id]; ok {
		return found
	}
	group := pools.context.State().GroupOf(id)
	if group == nil {
		return nil
	}
	added := &pool{pools: pools, instance: group.Member(id).Instance(), connectTime: initialConnectTime, openingByTeam: make(map[model.TeamName]int)}
	pools.pools[id] = added
	return added
}

// releaseSlot returns the slot of a connection, if it has one.
func (pools *Pools) releaseSlot(conn *conn, end route.SlotEnd) {
	if !conn.hasSlot {
		return
	}
	conn.hasSlot = false
	pools.admission.Release(conn.request, pools.context.Now()-conn.since, end)
}

// removeConn removes a closed connection from its pool, releases its slot and opens a
// replacement if one is needed.
func (pools *Pools) removeConn(conn *conn) {
	delete(pools.conns, conn.id)
	delete(pools.execs, conn.exec)
	conn.pool.remove(conn)
	conn.state = connClosed
	conn.user = nil
	pools.releaseSlot(conn, route.SlotUnanswered)
	conn.pool.fill()
}

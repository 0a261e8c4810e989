// Package conns shares the backend connections of a proxy among its requests:
// it opens them ahead of need, hands them out, resets them and closes them.
package conns

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

func init() {
	kern.Register("conns", kern.RankConnections, New, kern.ProfileStandalone, kern.ProfileHosted)
}

// Pools holds the connection pools of all instances.
type Pools struct {
	context   *kern.Context
	admission route.Admission
	pools     map[model.InstanceID]*pool
	conns     map[model.ConnID]*conn
	execs     map[model.ExecID]*conn
	waiters   map[route.WaitID]*waiter
}

// New returns the plug-in. It offers route.Conns.
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
	context.Timers().Every(maintainInterval, pools.maintain)
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
	}
}

// Acquire implements route.Conns.
func (pools *Pools) Acquire(ask route.SlotRequest, taker route.ConnUser) route.WaitID {
	pool := pools.pool(ask.Instance)
	if pool == nil {
		taker.ConnDenied(unreachable, 0)
		return 0
	}
	if ask.Job != nil && ask.Job.Tx() != nil && pool.txConns >= pool.maxTxConns() {
		taker.ConnDenied(codes.Overloaded, pools.admission.RetryAfter(ask.Instance))
		return 0
	}
	added := &waiter{id: route.WaitID(pools.context.NextID()), request: ask, user: taker, pool: pool}
	pools.admission.Acquire(added)
	if added.state == waiterEnded {
		return 0
	}
	pools.waiters[added.id] = added
	return added.id
}

// CancelWait implements route.Conns.
func (pools *Pools) CancelWait(id route.WaitID) {
	ticket, ok := pools.waiters[id]
	if !ok {
		return
	}
	delete(pools.waiters, id)
	if ticket.state == waiterNeedsConn {
		ticket.pool.removeWaiter(ticket)
		pools.admission.Release(ticket.request, 0, true)
	} else {
		pools.admission.CancelWait(ticket)
	}
	ticket.state = waiterEnded
}

// Execute implements route.Conns.
func (pools *Pools) Execute(id model.ConnID, work *model.Work) {
	conn := pools.conns[id]
	conn.exec = model.ExecID(pools.context.NextID())
	conn.since = pools.context.Now()
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
		pools.releaseSlot(conn, false)
	}
}

// Resume implements route.Conns.
func (pools *Pools) Resume(id model.ConnID, taker route.ConnUser) bool {
	conn, ok := pools.conns[id]
	if !ok {
		return false
	}
	conn.user = taker
	if !conn.hasSlot {
		conn.hasSlot = true
		pools.admission.ForceAcquire(conn.request)
	}
	return true
}

// Unreachable implements route.Conns.
func (pools *Pools) Unreachable(instance model.InstanceID) bool {
	pool := pools.pool(instance)
	return pool != nil && !pool.connected() && pool.failures > 0 && pool.lastFailure != model.ConnFailureFull
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
	if dirty {
		conn.state = connResetting
		pools.releaseSlot(conn, false)
		pools.context.Emit(event.NewResetConn(id))
		return
	}
	slot, held := conn.hasSlot, pools.context.Now()-conn.since
	conn.hasSlot = false
	conn.pool.addIdle(conn)
	conn.pool.grantWaiting()
	if slot {
		pools.admission.Release(conn.request, held, false)
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

// spoil closes a connection that must not be used again.
func (pools *Pools) spoil(conn *conn, reason string) {
	pools.context.Emit(event.NewLogDecision(model.Decision{
		Name:     "conn_spoiled",
		Instance: conn.pool.instance.ID(),
		Reason:   reason,
	}))
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
	added := &pool{pools: pools, instance: group.Member(id).Instance(), connectTime: initialConnectTime}
	pools.pools[id] = added
	return added
}

// releaseSlot gives the slot of a connection back.
func (pools *Pools) releaseSlot(conn *conn, busy bool) {
	if !conn.hasSlot {
		return
	}
	conn.hasSlot = false
	pools.admission.Release(conn.request, pools.context.Now()-conn.since, busy)
}

// removeConn forgets a connection that is closed.
func (pools *Pools) removeConn(conn *conn) {
	delete(pools.conns, conn.id)
	delete(pools.execs, conn.exec)
	conn.pool.remove(conn)
	conn.state = connClosed
	conn.user = nil
	pools.releaseSlot(conn, false)
	conn.pool.fill()
}

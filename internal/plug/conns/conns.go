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
	tickets   map[route.WaitID]*ticket
}

// New returns the plug-in. It offers route.Conns.
func New(context *kern.Context) kern.Plugin {
	pools := &Pools{
		context: context,
		pools:   make(map[model.InstanceID]*pool),
		conns:   make(map[model.ConnID]*conn),
		execs:   make(map[model.ExecID]*conn),
		tickets: make(map[route.WaitID]*ticket),
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
		pools.opened(received)
	case event.ConnFailed:
		pools.failed(received)
	case event.ConnClosed:
		pools.closed(received)
	case event.ResetDone:
		pools.resetDone(received)
	case event.ExecuteDone:
		pools.executeDone(received)
	case event.ExecuteFailed:
		pools.executeFailed(received)
	case event.GroupObserved:
		pools.observed(received.Group())
	}
}

// Acquire implements route.Conns.
func (pools *Pools) Acquire(ask route.SlotRequest, taker route.ConnUser) route.WaitID {
	pool := pools.pool(ask.Instance)
	if pool == nil {
		taker.ConnDenied(unreachable, 0)
		return 0
	}
	if ask.Job != nil && ask.Job.Tx() != nil && pool.inTx >= pool.txLimit() {
		taker.ConnDenied(codes.Overloaded, pools.admission.RetryAfter(ask.Instance))
		return 0
	}
	added := &ticket{id: route.WaitID(pools.context.NextID()), ask: ask, taker: taker, pool: pool}
	pools.admission.Acquire(added)
	if added.state == ticketEnded {
		return 0
	}
	pools.tickets[added.id] = added
	return added.id
}

// CancelWait implements route.Conns.
func (pools *Pools) CancelWait(id route.WaitID) {
	ticket, ok := pools.tickets[id]
	if !ok {
		return
	}
	delete(pools.tickets, id)
	if ticket.state == ticketAdmitted {
		ticket.pool.unqueue(ticket)
		pools.admission.Release(ticket.ask, 0, true)
	} else {
		pools.admission.CancelWait(ticket)
	}
	ticket.state = ticketEnded
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
		pools.leave(conn, false)
	}
}

// Resume implements route.Conns.
func (pools *Pools) Resume(id model.ConnID, taker route.ConnUser) bool {
	conn, ok := pools.conns[id]
	if !ok {
		return false
	}
	conn.taker = taker
	if !conn.slot {
		conn.slot = true
		pools.admission.ForceAcquire(conn.ask)
	}
	return true
}

// Unreachable implements route.Conns.
func (pools *Pools) Unreachable(instance model.InstanceID) bool {
	pool := pools.pool(instance)
	return pool != nil && !pool.connected() && pool.failures > 0 && pool.reason != model.ConnFailureFull
}

// ConnectDelay implements route.Conns.
func (pools *Pools) ConnectDelay(instance model.InstanceID) time.Duration {
	pool := pools.pool(instance)
	if pool == nil || pool.connected() {
		return 0
	}
	return pool.handshake
}

// Release implements route.Conns.
func (pools *Pools) Release(id model.ConnID, dirty bool) {
	conn, ok := pools.conns[id]
	if !ok {
		return
	}
	conn.taker = nil
	if dirty {
		conn.state = connResetting
		pools.leave(conn, false)
		pools.context.Emit(event.NewResetConn(id))
		return
	}
	slot, held := conn.slot, pools.context.Now()-conn.since
	conn.slot = false
	conn.pool.park(conn)
	conn.pool.serve()
	if slot {
		pools.admission.Release(conn.ask, held, false)
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
	pools.drop(conn)
}

func (pools *Pools) pool(id model.InstanceID) *pool {
	if found, ok := pools.pools[id]; ok {
		return found
	}
	group := pools.context.State().GroupOf(id)
	if group == nil {
		return nil
	}
	added := &pool{pools: pools, instance: group.Member(id).Instance(), handshake: firstHandshake}
	pools.pools[id] = added
	return added
}

// leave gives the slot of a connection back.
func (pools *Pools) leave(conn *conn, busy bool) {
	if !conn.slot {
		return
	}
	conn.slot = false
	pools.admission.Release(conn.ask, pools.context.Now()-conn.since, busy)
}

// drop forgets a connection that is closed.
func (pools *Pools) drop(conn *conn) {
	delete(pools.conns, conn.id)
	delete(pools.execs, conn.exec)
	conn.pool.remove(conn)
	conn.state = connClosed
	conn.taker = nil
	pools.leave(conn, false)
	conn.pool.fill()
}

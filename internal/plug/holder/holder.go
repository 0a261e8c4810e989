// Package holder is the plug-in that lets few proxies hold the connections of an instance for all
// others, where there are more proxies than connections and a connection runs the statements of one
// team only. A proxy that is no holder forwards statements, so that the holders order them by
// priority and team, and use a team's connection again.
//
// The plug-in wraps route.Conns. A lease takes the place of a connection for the relay: its
// statements go to a holder or, as a last resort, to a connection of this proxy.
package holder

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/count"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

func init() { kern.Register("holder", kern.RankConnections, New, kern.ProfileHosted) }

const (
	// maxLeases limits the statements and transactions that this proxy has forwarded.
	maxLeases = 4000
	// answerGrace is the time after the deadline of a statement after which the adapter gives up
	// waiting for its answer.
	answerGrace = 50 * time.Millisecond
	// minResendTime is the time before the deadline up to which a read whose answer was lost is
	// sent to another holder.
	minResendTime = 20 * time.Millisecond
)

// Holder is the plug-in. It implements route.Conns and route.Forwards.
type Holder struct {
	context   *kern.Context
	inner     route.Conns
	admission route.Admission
	enabled   bool
	process   uint64 // identifies this process to other proxies
	leases    map[model.ConnID]*lease
	calls     map[model.ForwardID]*call
	peers     map[model.ProxyID]*peer
	served    served
}

// New returns the plug-in. Unless the settings enable it, it forwards nothing and refuses what
// other proxies forward.
func New(context *kern.Context) kern.Plugin {
	holder := &Holder{
		context:   context,
		inner:     context.Service(route.ConnsService).(route.Conns),
		admission: context.Service(route.AdmissionService).(route.Admission),
		enabled:   context.Settings().ConnHolders(),
		leases:    make(map[model.ConnID]*lease),
		calls:     make(map[model.ForwardID]*call),
		peers:     make(map[model.ProxyID]*peer),
	}
	if !holder.enabled {
		return holder
	}
	holder.process = context.Random().Uint64()
	holder.served = newServed(holder)
	context.State().EnableHolders()
	context.ProvideService(route.ConnsService, holder)
	context.ProvideService(route.ForwardsService, holder)
	context.ProvideService(route.HoldersService, &holder.served)
	return holder
}

// Handle implements kern.Plugin.
func (holder *Holder) Handle(received event.Event) {
	switch received := received.(type) {
	case event.ForwardReceived:
		if !holder.enabled {
			holder.context.Emit(event.NewRefuseForward(received.ID(), codes.Unsupported))
			return
		}
		holder.served.receive(received)
	case event.EndForwardReceived:
		if holder.enabled {
			holder.served.end(received)
		}
	case event.CatalogChanged:
		if holder.enabled {
			holder.served.refuseWithdrawn()
		}
	case event.ForwardAnswered:
		if call := holder.finishCall(received.ID()); call != nil {
			call.peer.recordAnswer(holder.context.Now())
			call.lease.learnMark(received.Reply().Newest(), call.sentAt)
			call.lease.handleReply(received.Reply())
		}
	case event.ForwardFailed:
		if call := holder.finishCall(received.ID()); call != nil {
			if !received.Rejected() {
				holder.avoid(call.peer, received.Reason(), avoidTime)
			}
			call.lease.handleFailure(call.number, received.NotRun(), received.Reason())
		}
	}
}

// forwards reports whether a request goes to a holder. What the proxy sends itself does not, nor
// do statements of callers without a team, which run under the name of the proxy.
func (holder *Holder) forwards(request route.SlotRequest) bool {
	if request.Job == nil || request.BypassLimit || request.Job.Team() == nil || holder.context.State().Self().Address() == "" {
		return false
	}
	return holder.heldByOthers(request.Instance)
}

// heldByOthers reports whether an instance has holders, and this proxy is none of them.
func (holder *Holder) heldByOthers(instance model.InstanceID) bool {
	state := holder.context.State()
	return len(state.HoldersOf(instance)) > 0 && !state.Holds(instance)
}

// Acquire implements route.Conns. A request that goes to a holder is granted a lease at once. The
// holder decides about it when it has the statement.
func (holder *Holder) Acquire(request route.SlotRequest, user route.ConnUser) route.WaitID {
	if !holder.forwards(request) {
		return holder.inner.Acquire(request, user)
	}
	if len(holder.leases) >= maxLeases {
		user.ConnDenied(route.Denial{Code: codes.Overloaded, RetryAfter: holder.admission.RetryAfter(request.Instance), Reason: "too many statements are forwarded"})
		return 0
	}
	request.Forwarded = true
	added := &lease{holder: holder, id: model.ConnID(holder.context.NextID()), request: request, user: user}
	holder.leases[added.id] = added
	user.ConnGranted(added.id)
	return 0
}

// CancelWait implements route.Conns.
func (holder *Holder) CancelWait(id route.WaitID) { holder.inner.CancelWait(id) }

// Execute implements route.Conns.
func (holder *Holder) Execute(conn model.ConnID, work *model.Work) {
	if lease, ok := holder.leases[conn]; ok {
		lease.execute(work)
		return
	}
	holder.inner.Execute(conn, work)
}

// Cancel implements route.Conns. A statement that was forwarded goes on.
func (holder *Holder) Cancel(conn model.ConnID) {
	if _, ok := holder.leases[conn]; !ok {
		holder.inner.Cancel(conn)
	}
}

// Park implements route.Conns.
func (holder *Holder) Park(conn model.ConnID) {
	lease, ok := holder.leases[conn]
	switch {
	case !ok:
		holder.inner.Park(conn)
	case lease.direct != nil:
		lease.direct.park()
	}
}

// Resume implements route.Conns.
func (holder *Holder) Resume(conn model.ConnID, user route.ConnUser) bool {
	lease, ok := holder.leases[conn]
	if !ok {
		return holder.inner.Resume(conn, user)
	}
	lease.user = user
	return lease.direct == nil || lease.direct.resume()
}

// Unreachable implements route.Conns.
func (holder *Holder) Unreachable(instance model.InstanceID) bool {
	return holder.inner.Unreachable(instance)
}

// ConnectDelay implements route.Conns.
func (holder *Holder) ConnectDelay(instance model.InstanceID) time.Duration {
	if holder.heldByOthers(instance) {
		return 0
	}
	return holder.inner.ConnectDelay(instance)
}

// Release implements route.Conns.
func (holder *Holder) Release(conn model.ConnID, dirty bool) {
	if lease, ok := holder.leases[conn]; ok {
		lease.release(dirty)
		return
	}
	holder.inner.Release(conn, dirty)
}

// Discard implements route.Conns.
func (holder *Holder) Discard(conn model.ConnID) {
	if lease, ok := holder.leases[conn]; ok {
		lease.discard()
		return
	}
	holder.inner.Discard(conn)
}

// Forwards implements route.Forwards.
func (holder *Holder) Forwards(conn model.ConnID) bool {
	lease, ok := holder.leases[conn]
	return ok && lease.direct == nil
}

// finishCall removes a call and returns it, or nil if its statement was given up.
func (holder *Holder) finishCall(id model.ForwardID) *call {
	found, ok := holder.calls[id]
	if !ok {
		return nil
	}
	delete(holder.calls, id)
	found.peer.outstanding--
	found.lease.call = nil
	return found
}

func (holder *Holder) count(name count.Name) { holder.context.State().Counts().Add(name) }

// Package member tracks the members of the system: the groups and hosts that the
// platform lists, the other proxies, and the instances that are leaving. Its state is a
// cache of the platform's lists, of its tables and of heartbeats.
package member

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/table"
)

const (
	groupPollInterval = 10 * time.Second
	// firstPollInterval is the interval until the platform has listed its groups.
	firstPollInterval = 250 * time.Millisecond
)

// ServiceName is the name of the service that the plug-in provides.
const ServiceName = "member"

func init() {
	kern.Register("member", kern.RankMembership, func(context *kern.Context) kern.Plugin {
		return New(context)
	})
}

// Membership is the plug-in. Only its kernel and the plug-ins of that kernel may use it.
type Membership struct {
	context           *kern.Context
	client            *table.Client
	registry          *registry
	peers             *peers
	promoterAllocator *promoterAllocator
	leavingTracker    *leavingTracker
	drains            *drains
	remoteHolds       *remoteHolds
}

// New returns the plug-in. It starts on the first tick of the kernel's clock.
func New(context *kern.Context) *Membership {
	client := table.New(context)
	leavingTracker := newLeavingTracker(context)
	peers := newPeers(context, leavingTracker)
	membership := &Membership{
		context:           context,
		client:            client,
		registry:          newRegistry(context, client, peers),
		peers:             peers,
		promoterAllocator: newPromoterAllocator(context, client),
		leavingTracker:    leavingTracker,
		drains:            newDrains(context, client, leavingTracker, peers),
		remoteHolds:       newRemoteHolds(context),
	}
	context.ProvideService(ServiceName, membership)
	context.Timers().After(0, membership.start)
	return membership
}

// SendHeartbeats sends a heartbeat to every other proxy immediately, without waiting for the
// heartbeat interval.
func (membership *Membership) SendHeartbeats() { membership.peers.sendHeartbeats() }

// Handle implements kern.Plugin.
func (membership *Membership) Handle(received event.Event) {
	membership.client.Handle(received)
	switch received := received.(type) {
	case event.GroupsListed:
		membership.context.State().SetGroups(received.Groups())
		membership.drains.apply()
	case event.HostsListed:
		membership.leavingTracker.setHosts(received.Hosts())
	case event.GroupObserved:
		membership.leavingTracker.observeGroup(received.Group())
	case event.ProbeFailed:
		membership.leavingTracker.observeProbeFailure(received.Instance(), received.Reason())
	case event.LeavingChanged:
		membership.leavingTracker.observeRefusal(received)
	case event.PeerMessageReceived:
		membership.handlePeerMessage(received)
	case event.DrainStarted:
		membership.registry.deregister()
		membership.peers.sendHeartbeats()
	case event.CommandReceived:
		membership.handleCommand(received)
	}
}

func (membership *Membership) start() {
	membership.peers.update()
	membership.pollGroups()
	membership.pollHosts()
	membership.registry.start()
	membership.promoterAllocator.allocate()
	membership.drains.poll()
	membership.peers.start()
}

func (membership *Membership) pollGroups() {
	membership.context.Emit(event.NewListGroups())
	interval := groupPollInterval
	if len(membership.context.State().Groups()) == 0 {
		interval = firstPollInterval
	}
	membership.context.Timers().After(interval, membership.pollGroups)
}

func (membership *Membership) pollHosts() {
	membership.context.Emit(event.NewListHosts())
	membership.context.Timers().After(membership.context.Settings().HostPollInterval(), membership.pollHosts)
}

func (membership *Membership) handlePeerMessage(received event.PeerMessageReceived) {
	if heartbeat, ok := received.Message().(event.Heartbeat); ok {
		membership.peers.handleHeartbeat(heartbeat)
		membership.remoteHolds.handleHeartbeat(heartbeat)
	}
}

func (membership *Membership) handleCommand(received event.CommandReceived) {
	switch command := received.Command().(type) {
	case event.GetGroups:
		membership.answer(received, membership.groupViews())
	case event.GetProxies:
		membership.answer(received, event.NewProxies(membership.peers.views()))
	case event.DrainInstance:
		membership.drains.handleCommand(received.CallID(), command)
	}
}

func (membership *Membership) answer(received event.CommandReceived, result event.Result) {
	membership.context.Emit(event.NewAnswerOperator(received.CallID(), result))
}

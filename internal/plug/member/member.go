// Package member is the plug-in that knows who takes part: the groups and hosts
// that the platform lists, the other proxies, and which instances are leaving.
// All of it is a cache of the platform's lists, its tables and the heartbeats.
package member

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/table"
)

const (
	groupPollInterval = 10 * time.Second
	firstPollInterval = 250 * time.Millisecond
)

// ServiceName is the name under which the plug-in offers itself.
const ServiceName = "member"

func init() {
	kern.Register("member", kern.RankMembership, func(context *kern.Context) kern.Plugin {
		return New(context)
	})
}

// Membership is the plug-in.
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

// New returns the plug-in of the kernel that context belongs to. It starts with
// the kernel's clock.
func New(context *kern.Context) *Membership {
	client := table.New(context)
	leaving := newLeavingTracker(context)
	peers := newPeers(context, leaving)
	member := &Membership{
		context:           context,
		client:            client,
		registry:          newRegistry(context, client, peers),
		peers:             peers,
		promoterAllocator: newPromoterAllocator(context, client),
		leavingTracker:    leaving,
		drains:            newDrains(context, client, leaving, peers),
		remoteHolds:       newRemoteHolds(context),
	}
	context.ProvideService(ServiceName, member)
	context.Timers().After(0, member.start)
	return member
}

// Beat sends a heartbeat to every other proxy now.
func (member *Membership) Beat() { member.peers.sendHeartbeats() }

// Handle implements kern.Plugin.
func (member *Membership) Handle(received event.Event) {
	member.client.Handle(received)
	switch received := received.(type) {
	case event.GroupsListed:
		member.context.State().SetGroups(received.Groups())
		member.drains.apply()
	case event.HostsListed:
		member.leavingTracker.setHosts(received.Hosts())
	case event.GroupObserved:
		member.leavingTracker.observeGroup(received.Group())
	case event.ProbeFailed:
		member.leavingTracker.observeProbeFailure(received.Instance(), received.Reason())
	case event.LeavingChanged:
		member.leavingTracker.observeRefusal(received)
	case event.PeerMessageReceived:
		member.handlePeerMessage(received)
	case event.DrainStarted:
		member.registry.deregister()
		member.peers.sendHeartbeats()
	case event.CommandReceived:
		member.handleCommand(received)
	}
}

func (member *Membership) start() {
	member.peers.update()
	member.pollGroups()
	member.pollHosts()
	member.registry.start()
	member.promoterAllocator.allocate()
	member.drains.poll()
	member.peers.start()
}

func (member *Membership) pollGroups() {
	member.context.Emit(event.NewListGroups())
	interval := groupPollInterval
	if len(member.context.State().Groups()) == 0 {
		interval = firstPollInterval
	}
	member.context.Timers().After(interval, member.pollGroups)
}

func (member *Membership) pollHosts() {
	member.context.Emit(event.NewListHosts())
	member.context.Timers().After(member.context.Settings().HostPollInterval(), member.pollHosts)
}

func (member *Membership) handlePeerMessage(received event.PeerMessageReceived) {
	if heartbeat, ok := received.Message().(event.Heartbeat); ok {
		member.peers.handleHeartbeat(heartbeat)
		member.remoteHolds.handleHeartbeat(heartbeat)
	}
}

func (member *Membership) handleCommand(asked event.CommandReceived) {
	switch command := asked.Command().(type) {
	case event.GetGroups:
		member.answer(asked, member.groupViews())
	case event.GetProxies:
		member.answer(asked, event.NewProxies(member.peers.views()))
	case event.DrainInstance:
		member.drains.handleCommand(asked.CommandID(), command)
	}
}

func (member *Membership) answer(asked event.CommandReceived, result event.Result) {
	member.context.Emit(event.NewAnswerOperator(asked.CommandID(), result))
}

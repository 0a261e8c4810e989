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

// Member is the plug-in.
type Member struct {
	context  *kern.Context
	client   *table.Client
	registry *registry
	peers    *peers
	promoter *promoter
	leaving  *leaving
	drains   *drains
	holds    *holds
}

// New returns the plug-in of the kernel that context belongs to. It starts with
// the kernel's clock.
func New(context *kern.Context) *Member {
	client := table.New(context)
	leaving := newLeaving(context)
	peers := newPeers(context, leaving)
	member := &Member{
		context:  context,
		client:   client,
		registry: newRegistry(context, client, peers),
		peers:    peers,
		promoter: newPromoter(context, client),
		leaving:  leaving,
		drains:   newDrains(context, client, leaving, peers),
		holds:    newHolds(context),
	}
	context.ProvideService(ServiceName, member)
	context.Timers().After(0, member.start)
	return member
}

// Beat sends a heartbeat to every other proxy now.
func (member *Member) Beat() { member.peers.beat() }

// Handle implements kern.Plugin.
func (member *Member) Handle(received event.Event) {
	member.client.Handle(received)
	switch received := received.(type) {
	case event.GroupsListed:
		member.context.State().SetGroups(received.Groups())
		member.drains.apply()
	case event.HostsListed:
		member.leaving.listHosts(received.Hosts())
	case event.GroupObserved:
		member.leaving.observe(received.Group())
	case event.ProbeFailed:
		member.leaving.observeFailure(received.Instance(), received.Reason())
	case event.LeavingChanged:
		member.leaving.observeRefusal(received)
	case event.PeerMessageReceived:
		member.receive(received)
	case event.DrainStarted:
		member.registry.withdraw()
		member.peers.beat()
	case event.CommandReceived:
		member.command(received)
	}
}

func (member *Member) start() {
	member.peers.update()
	member.pollGroups()
	member.pollHosts()
	member.registry.start()
	member.promoter.draw()
	member.drains.poll()
	member.peers.start()
}

func (member *Member) pollGroups() {
	member.context.Emit(event.NewListGroups())
	interval := groupPollInterval
	if len(member.context.State().Groups()) == 0 {
		interval = firstPollInterval
	}
	member.context.Timers().After(interval, member.pollGroups)
}

func (member *Member) pollHosts() {
	member.context.Emit(event.NewListHosts())
	member.context.Timers().After(member.context.Settings().HostPollInterval(), member.pollHosts)
}

func (member *Member) receive(received event.PeerMessageReceived) {
	if heartbeat, ok := received.Message().(event.Heartbeat); ok {
		member.peers.hear(heartbeat)
		member.holds.hear(heartbeat)
	}
}

func (member *Member) command(asked event.CommandReceived) {
	switch command := asked.Command().(type) {
	case event.GetGroups:
		member.answer(asked, member.groupViews())
	case event.GetProxies:
		member.answer(asked, event.NewProxies(member.peers.views()))
	case event.DrainInstance:
		member.drains.command(asked.CommandID(), command)
	}
}

func (member *Member) answer(asked event.CommandReceived, result event.Result) {
	member.context.Emit(event.NewAnswerOperator(asked.CommandID(), result))
}

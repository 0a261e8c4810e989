package city

import (
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

const (
	// membersInterval is the interval at which the proxies learn who lives.
	membersInterval = 200 * time.Millisecond
	// membersDelay is the time after which a lost proxy no longer counts as live.
	membersDelay = 3 * time.Second
)

// members takes the place of the plug-in fleet in experiments with many proxies. The simulation
// tells it which proxies live, since most of the time of such an experiment would pass with polls
// otherwise. It implements route.Fleet.
type members struct {
	context    *kern.Context
	simulation *simulation
	live       []model.ProxyView
}

func newMembers(context *kern.Context, simulation *simulation) kern.Plugin {
	members := &members{context: context, simulation: simulation}
	context.ProvideService(route.FleetService, members)
	context.Timers().Every(membersInterval, members.update)
	return members
}

// Handle implements kern.Plugin.
func (members *members) Handle(event.Event) {}

func (members *members) update() {
	var live []model.ProxyView
	for _, proxy := range members.simulation.proxies {
		state := proxy.kernel.State()
		lost := proxy.down && members.simulation.now-proxy.downSince >= membersDelay
		if !lost && !state.Draining() && !members.simulation.unseen(members.context.State().Self().ID(), proxy) {
			live = append(live, state.Self())
		}
	}
	if !slices.Equal(live, members.live) {
		members.live = live
		members.context.State().SetProxies(live)
	}
}

// SetComplaint implements route.Fleet.
func (members *members) SetComplaint(instance model.InstanceID, unusable bool) {
	self := members.context.State().Self().ID()
	if members.simulation.complaints[instance] == nil {
		members.simulation.complaints[instance] = make(map[model.ProxyID]bool)
	}
	members.simulation.complaints[instance][self] = unusable
}

// HasComplaint implements route.Fleet.
func (members *members) HasComplaint(instance model.InstanceID) bool {
	return members.simulation.complaints[instance][members.context.State().Self().ID()]
}

// CountComplaints implements route.Fleet.
func (members *members) CountComplaints(instance model.InstanceID) (complaining, live int) {
	for _, unusable := range members.simulation.complaints[instance] {
		if unusable {
			complaining++
		}
	}
	return complaining, len(members.live)
}

// Refresh implements route.Fleet.
func (members *members) Refresh() {}

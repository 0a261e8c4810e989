package kern

import (
	"slices"

	"almondway.dev/almondway/internal/core/event"
)

// Plugin is a component of a kernel that reacts to events.
type Plugin interface {
	// Handle processes an event. It publishes events and emits actions through the
	// Context that was passed to the plug-in's Factory.
	Handle(received event.Event)
}

// Factory creates a Plugin for one kernel.
type Factory func(context *Context) Plugin

// Profile selects the plug-ins of a kernel.
type Profile int

const (
	// ProfileStandalone is a proxy that manages deployments, membership and terms itself.
	ProfileStandalone Profile = iota
	// ProfileHosted is a proxy on a platform that manages deployments and the list of
	// instances, and that carries out promotions.
	ProfileHosted
)

type registration struct {
	name     string
	rank     int
	factory  Factory
	profiles []Profile
}

// The ranks of the plug-ins. Plug-ins are created in the order of their ranks, so that a
// plug-in may use the services of those with a lower rank.
const (
	RankProbe = iota
	RankDeployments
	RankMembership
	RankLimits
	RankConnections
	RankSessions
	RankReads
	RankWrites
	RankFailover
	RankDrain
	RankTally
)

// registrations is complete before main runs, since only init functions call Register.
var registrations []registration

// Register adds a plug-in to the kernels of the given profiles that are created later, or
// to those of ProfileStandalone if no profile is given. It must only be called from init
// functions.
func Register(name string, rank int, factory Factory, profiles ...Profile) {
	if len(profiles) == 0 {
		profiles = []Profile{ProfileStandalone}
	}
	added := registration{name: name, rank: rank, factory: factory, profiles: profiles}
	registrations = append(registrations, added)
	slices.SortStableFunc(registrations, func(left, right registration) int {
		if left.rank != right.rank {
			return left.rank - right.rank
		}
		if left.name < right.name {
			return -1
		}
		return 1
	})
}

package kern

import (
	"slices"

	"almondway.dev/almondway/internal/core/event"
)

// Plugin takes part in the decisions of a kernel.
type Plugin interface {
	// Handle looks at an event and publishes events and emits actions through
	// the Context that the plug-in was made with.
	Handle(received event.Event)
}

// Factory makes a Plugin for one kernel.
type Factory func(context *Context) Plugin

// Profile selects the plug-ins of a kernel.
type Profile int

const (
	// ProfileStandalone is a proxy that keeps deployments, membership and terms itself.
	ProfileStandalone Profile = iota
	// ProfileHosted is a proxy on a platform that keeps deployments and the list
	// of instances, and that carries out promotions.
	ProfileHosted
)

type registration struct {
	name     string
	rank     int
	factory  Factory
	profiles []Profile
}

// The ranks of the plug-ins. A plug-in may use the services of those of a lower rank.
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

// registrations is complete before main runs: only init functions register.
var registrations []registration

// Register adds a plug-in to every kernel of the given profiles that is made
// later; without any, to those of ProfileStandalone. It is called from init
// functions only.
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

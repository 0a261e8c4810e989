package route

import "almondway.dev/almondway/internal/core/model"

// FleetTable is the table of the store that holds the state shared by the proxies.
const FleetTable = "almondway"

// FleetService is the name under which the Fleet is provided.
const FleetService = "fleet"

// Fleet shares state about live proxies and unusable instances between the proxies.
type Fleet interface {
	// SetComplaint publishes to the other proxies whether a primary is unusable from this one.
	SetComplaint(instance model.InstanceID, unusable bool)
	// HasComplaint reports whether an instance is unusable from this proxy.
	HasComplaint(instance model.InstanceID) bool
	// CountComplaints returns the number of live proxies from which an instance is
	// unusable and the number of live proxies. Both counts cover this proxy too.
	CountComplaints(instance model.InstanceID) (complaining, live int)
	// Refresh reads the state published by the other proxies, asynchronously.
	Refresh()
}

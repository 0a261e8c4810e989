package route

import "almondway.dev/almondway/internal/core/model"

// FleetTable is the table of the store in which the proxies keep what they share.
const FleetTable = "almondway"

// FleetService is the name of the Fleet.
const FleetService = "fleet"

// Fleet shares what the proxies know of each other and of the instances.
type Fleet interface {
	// SetComplaint tells the other proxies whether this one cannot work with an instance that leads.
	SetComplaint(instance model.InstanceID, unusable bool)
	// HasComplaint reports whether this proxy cannot work with an instance.
	HasComplaint(instance model.InstanceID) bool
	// CountComplaints returns how many live proxies cannot work with an instance, this
	// one included, and how many proxies are live.
	CountComplaints(instance model.InstanceID) (complaining, live int)
	// Refresh asks for what the other proxies say now.
	Refresh()
}

package state

import "time"

// LoadView is the load of a group as the load reports show it, for the metrics.
type LoadView struct {
	// At is when it was determined, or 0 if it never was.
	At time.Duration
	// Evenness is the use of the slots of the least busy instance divided by that of the busiest
	// one.
	Evenness float64
	// Age is the mean age of the reports.
	Age time.Duration
}

// LoadView returns the load of the group as the load reports show it.
func (group *Group) LoadView() LoadView { return group.loadView }

// SetLoadView records the load of the group as the load reports show it.
func (group *Group) SetLoadView(view LoadView) { group.loadView = view }

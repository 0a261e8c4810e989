package fleet

import (
	"slices"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// SetComplaint implements route.Fleet.
func (fleet *Fleet) SetComplaint(instance model.InstanceID, unusable bool) {
	index := slices.Index(fleet.unusablePrimaries, instance)
	switch {
	case unusable && index < 0:
		fleet.unusablePrimaries = append(fleet.unusablePrimaries, instance)
	case !unusable && index >= 0:
		fleet.unusablePrimaries = slices.Delete(fleet.unusablePrimaries, index, index+1)
	default:
		return
	}
	reason := "usable from this proxy again"
	if unusable {
		reason = "unusable from this proxy"
	}
	fleet.context.Emit(event.NewLogDecision(model.Decision{Name: "primary_complaint", Instance: instance, Reason: reason}))
	fleet.context.Publish(event.NewComplaintChanged(instance))
	fleet.complaintsUnwritten = true
	fleet.publishComplaints()
}

// HasComplaint implements route.Fleet.
func (fleet *Fleet) HasComplaint(instance model.InstanceID) bool {
	return slices.Contains(fleet.unusablePrimaries, instance)
}

// CountComplaints implements route.Fleet.
func (fleet *Fleet) CountComplaints(instance model.InstanceID) (int, int) {
	if fleet.usesRows() {
		fleet.updateMembers()
	}
	complaining, proxies := 0, fleet.context.State().Proxies()
	live := max(1, len(proxies)) // this proxy is one of them
	if fleet.HasComplaint(instance) {
		complaining++
	}
	if !fleet.anyComplaint {
		// The promoter asks for each group at each of its checks.
		return complaining, live
	}
	for _, proxy := range proxies {
		if proxy.ID() == fleet.self().ID() {
			continue
		}
		if row, ok := fleet.rows[proxy.ID()]; ok && slices.Contains(row.unusablePrimaries, instance) {
			complaining++
		}
	}
	return complaining, live
}

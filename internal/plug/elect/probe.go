package elect

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
)

const (
	// primaryProbeInterval is the time between two probes of a primary.
	primaryProbeInterval = 250 * time.Millisecond
	// maxPrimaryProbes is the number of probes of primaries in a second. With more than 32 groups
	// each primary that answers is probed less often, but at least every maxPrimaryProbeInterval,
	// which is less than maxPrimaryStatusAge. At primaryProbeInterval, 112 groups would need 448
	// probes a second of one proxy.
	maxPrimaryProbes        = 128
	maxPrimaryProbeInterval = 800 * time.Millisecond
	// attemptProbeInterval is the time between two probes of an instance during an attempt.
	attemptProbeInterval = 50 * time.Millisecond
	// replicaProbeInterval is the time between two probes of a replica.
	replicaProbeInterval = 4 * time.Second
	// unlistedProbeInterval is the time between two probes of an instance while a counted
	// one is no longer listed. Until that one is dropped, the loss of the primary could not be
	// repaired.
	unlistedProbeInterval = 100 * time.Millisecond
)

// probe sends the probes that are due.
func (monitor *monitor) probe(group *state.Group) {
	now := monitor.now()
	unsettled := !monitor.reportedPrimary.Only && !monitor.elect.lease.ordersLost()
	undecided := len(monitor.unlistedCounted(group)) > 0
	awaitsDecision := monitor.awaitsDecision(group)
	for _, id := range monitor.countedIDs() {
		listing, observation := monitor.counted[id], monitor.observation(id)
		if listing.ID() == "" || observation.probePending {
			continue
		}
		interval := monitor.probeInterval(group, id, undecided, awaitsDecision)
		if id == monitor.primary(group) && unsettled && observation.failures == 0 {
			interval = min(interval, attemptProbeInterval) // its report settles the group
		} else if id == monitor.primary(group) && monitor.attempt == nil && !undecided && !awaitsDecision && observation.reported {
			if age, ok := group.MarkAge(now); ok && age < primaryProbeInterval {
				interval = replicaProbeInterval // the answers to callers' statements show that it is the primary
			}
		}
		if observation.probedAt > 0 && now-observation.probedAt < interval && !observation.unprobed {
			continue
		}
		observation.probePending, observation.unprobed = true, false
		observation.probedAt = now
		probe := model.ProbeID(monitor.elect.context.NextID())
		monitor.elect.probes[probe] = monitor
		monitor.elect.context.Emit(event.NewProbe(probe, id, listing.Instance().Address(), probeTimeout).WithGroup(monitor.groupID))
	}
}

// probeInterval returns the time between two probes of an instance. undecided is set while a counted
// instance is no longer listed, and awaitsDecision while a listed one has never run.
func (monitor *monitor) probeInterval(group *state.Group, id model.InstanceID, undecided, awaitsDecision bool) time.Duration {
	primary, observation := monitor.primary(group), monitor.observation(id)
	switch {
	case monitor.attempt != nil:
		return attemptProbeInterval
	case undecided:
		return unlistedProbeInterval
	case id == primary && observation.failures == 0 && observation.reported:
		return monitor.elect.primaryProbeInterval()
	case id == primary || primary == "" || awaitsDecision:
		return primaryProbeInterval
	case observation.refusals > 0 && observation.runs():
		return primaryProbeInterval // it may have ended
	case observation.reported && observation.status.Fence() < monitor.reportedPrimary.Term:
		return monitor.elect.primaryProbeInterval() // it confirms no commits until it follows the primary
	default:
		return replicaProbeInterval
	}
}

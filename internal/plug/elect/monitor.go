package elect

import (
	"maps"
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
)

const (
	// probeTimeout is the time after which a probe counts as unanswered.
	probeTimeout = 600 * time.Millisecond
	// minFailures is the number of consecutive failed probes after which a primary may
	// count as down. If they were refused, its process is gone and it counts as down at
	// once.
	minFailures = 2
	// maxPrimarySilence is the time without an answer after which a primary counts as down.
	maxPrimarySilence = time.Second
	// maxTimeWithoutPrimary is the time without a known primary after which an attempt
	// starts.
	maxTimeWithoutPrimary = 700 * time.Millisecond
	// firstProbeTime is the time after this proxy took the lease in which a primary that
	// reaches it answers the first probe.
	firstProbeTime = 200 * time.Millisecond
	// maxPrimaryStatusAge is the maximum age of a primary's last report as primary for
	// which its later step-down proves that it was the primary until then.
	maxPrimaryStatusAge = time.Second
	// maxStrayPause is the time for which a replica may be paused without an attempt in
	// progress.
	maxStrayPause = time.Second
	// minUnlistedSilence is the time without an answer after which an unlisted instance
	// can be dropped from the counted ones.
	minUnlistedSilence = 2 * time.Second
	// retryDelay is the time between the end of an attempt and the start of the next one
	// for the same group.
	retryDelay = 500 * time.Millisecond
)

// monitor probes the instances of one group and starts promotion attempts.
type monitor struct {
	elect           *Elect
	groupID         model.GroupID
	observations    map[model.InstanceID]*observation
	noPrimarySince  time.Duration    // when the group was first without a known primary, or 0
	leaseHeldSince  time.Duration    // when this proxy took the lease, or 0 without it
	strayPauseSince time.Duration    // when a replica was first paused without an attempt, or 0
	lastPrimary     model.InstanceID // the last known primary
	reportedPrimary primaryRecord    // the primary of the highest reported term
	reportedTail    model.Mark       // the end of its log in that report, or the zero Mark if it is from the lease row
	silentDroppedAt time.Duration    // when an instance was last dropped that only was silent, or 0
	rowAdopted      bool             // whether Counted and Led of the lease row were adopted
	waitsForOrders  bool             // no attempt starts until lost orders can no longer be carried out
	waitsForLog     bool             // no attempt starts until a log that may be needed is known or not needed
	attempt         *attempt
	notBefore       time.Duration // no attempt starts before this time
	attemptEndedAt  time.Duration // when the last attempt ended
	// counted holds the listings of the instances that may hold acknowledged commits. An
	// instance that ended without having left stays until it is dropped by dropUnlisted.
	// The listing is empty for an instance that is known from the lease row only.
	counted map[model.InstanceID]model.Listing
	// dropped holds the instances that no longer count and when they were dropped, since an
	// older lease row may still list them.
	dropped map[model.InstanceID]time.Duration
}

func newMonitor(elect *Elect, id model.GroupID) *monitor {
	return &monitor{
		elect:        elect,
		groupID:      id,
		observations: make(map[model.InstanceID]*observation),
		counted:      make(map[model.InstanceID]model.Listing),
		dropped:      make(map[model.InstanceID]time.Duration),
	}
}

func (monitor *monitor) observation(instance model.InstanceID) *observation {
	found, ok := monitor.observations[instance]
	if !ok {
		found = &observation{}
		monitor.observations[instance] = found
	}
	return found
}

// countedIDs returns the IDs of the counted instances in ascending order, so that orders
// are sent in a deterministic order.
func (monitor *monitor) countedIDs() []model.InstanceID {
	return slices.Sorted(maps.Keys(monitor.counted))
}

func (monitor *monitor) now() time.Duration { return monitor.elect.context.Now() }

func (monitor *monitor) tick(group *state.Group) {
	monitor.updateCounted(group)
	monitor.updateNoPrimary(group)
	if !monitor.elect.lease.held() {
		monitor.leaseHeldSince = 0
		monitor.rowAdopted = false
		monitor.reportedPrimary.Only = false
		if monitor.attempt != nil {
			monitor.attempt.abandon("the lease was lost")
		}
		monitor.guard(group)
		if monitor.watchesEnded(group) {
			monitor.probe(group)
		}
		return
	}
	if monitor.leaseHeldSince == 0 {
		monitor.leaseHeldSince = monitor.now()
	}
	if !monitor.isRecorded() {
		monitor.elect.lease.recordSoon()
	}
	monitor.probe(group)
	if monitor.attempt != nil {
		monitor.attempt.tick()
		return
	}
	reason := monitor.promotionReason(group)
	if reason == "" || monitor.now() < monitor.notBefore || monitor.awaitLostOrders() || monitor.awaitLog(group) {
		return
	}
	monitor.attempt = newAttempt(monitor, reason)
	monitor.attempt.start()
}

// awaitLostOrders reports whether a promotion order that this proxy does not know may still be
// carried out. An attempt that began before it is could rely on reports of the time before it.
func (monitor *monitor) awaitLostOrders() bool {
	waits := monitor.elect.lease.ordersLost()
	if waits && !monitor.waitsForOrders {
		monitor.log("promotion_waits", monitor.lastPrimary, "the store was restored, and an order that it lacks may still be carried out")
	}
	monitor.waitsForOrders = waits
	return waits
}

// updateNoPrimary records since when the group has had no known primary, also while another
// proxy holds the lease.
func (monitor *monitor) updateNoPrimary(group *state.Group) {
	switch {
	case group.Primary() != nil:
		monitor.noPrimarySince = 0
	case monitor.noPrimarySince == 0:
		monitor.noPrimarySince = monitor.now()
	}
}

// primary returns the ID of the known primary, or the empty ID.
func (monitor *monitor) primary(group *state.Group) model.InstanceID {
	if primary := group.Primary(); primary != nil {
		return primary.ID()
	}
	return ""
}

// primaryOr returns observed, the last primary that this proxy has observed. If it has observed
// none, it returns the last reported primary, which may come from the lease row. The result is
// empty if that is unknown or if an instance reports a higher term.
func (monitor *monitor) primaryOr(observed model.InstanceID) model.InstanceID {
	recorded := monitor.reportedPrimary
	if monitor.neverRan(observed) {
		observed = ""
	}
	if observed != "" || recorded.Instance == "" {
		return observed
	}
	for _, id := range monitor.countedIDs() {
		status := monitor.observation(id).status
		if max(status.Fence(), status.Tail().Term()) > recorded.Term {
			return ""
		}
	}
	return recorded.Instance
}

func (monitor *monitor) statusReported(instance model.InstanceID, status model.Status) {
	observation := monitor.observation(instance)
	observation.probePending = false
	observation.failures, observation.refusals = 0, 0
	observation.answeredAt, observation.ran = monitor.now(), true
	monitor.recordStatus(instance, status, observation.probedAt)
	group := monitor.elect.context.State().Group(monitor.groupID)
	if group == nil {
		return
	}
	primary := group.Primary()
	disproved := primary != nil && !group.PrimaryAnswered() && monitor.observation(primary.ID()).failures > 0
	if status.Role() == model.RolePrimary && status.Fence() >= group.Term() && (primary == nil || disproved) {
		group.ConfirmPrimary(instance)
		monitor.elect.context.Publish(event.NewGroupObserved(monitor.groupID))
	}
	if monitor.attempt != nil {
		monitor.attempt.statusReported(instance)
	}
}

// recordStatus stores the status that answers a probe or an order sent at sentAt. It
// detects whether the instance lost its log in a restart.
func (monitor *monitor) recordStatus(instance model.InstanceID, status model.Status, sentAt time.Duration) {
	observation := monitor.observation(instance)
	if sentAt < observation.statusAt {
		return // a newer report arrived first
	}
	born := monitor.counted[instance].Born()
	restarted := observation.reported && observation.born != born
	if restarted && !status.Tail().Covers(observation.lastTail) {
		observation.logLost = true
		observation.logLostAt = monitor.now()
		monitor.log("log_lost", instance, "its log ends before "+observation.lastTail.String())
	}
	observation.status = status
	observation.statusAt = sentAt
	observation.reported = true
	observation.born = born
	observation.lastTail = status.Tail()
	if status.Role() == model.RolePrimary {
		monitor.recordPrimary(instance, status, sentAt)
	}
	if observation.logLost && monitor.logRegained(observation) {
		observation.logLost = false
		monitor.log("log_regained", instance, "its log covers that of the primary")
	}
}

// logRegained reports whether the log of an instance that lost its log covers again what
// the primary reported after the loss.
func (monitor *monitor) logRegained(observation *observation) bool {
	primary, ok := monitor.observations[monitor.lastPrimary]
	return ok && primary.reported && primary != observation && primary.status.Role() == model.RolePrimary &&
		primary.statusAt > observation.logLostAt && observation.status.Tail().Covers(primary.status.Tail())
}

func (monitor *monitor) probeFailed(instance model.InstanceID, reason model.ConnFailure) {
	observation := monitor.observation(instance)
	observation.probePending = false
	if reason == model.ConnFailureFull {
		// The instance is running but has no free slot or connection.
		observation.failures, observation.refusals = 0, 0
		observation.answeredAt, observation.ran = monitor.now(), true
		return
	}
	if observation.failures == 0 {
		observation.firstFailureAt = observation.probedAt
	}
	observation.failures++
	observation.failedAt = monitor.now()
	if reason == model.ConnFailureRefused {
		if observation.refusals == 0 || observation.refusedAt < observation.unlistedSince {
			observation.refusedAt = monitor.now()
		}
		observation.refusals++
	} else {
		observation.refusals = 0
	}
}

// promotionReason returns the reason why the group needs a new primary, or the empty
// string if it needs none.
func (monitor *monitor) promotionReason(group *state.Group) string {
	if len(group.Members()) == 0 {
		return ""
	}
	if monitor.orderPending(group) {
		return "an earlier promotion order may still be carried out"
	}
	primary := group.Primary()
	if primary == nil {
		if monitor.now()-monitor.noPrimarySince >= maxTimeWithoutPrimary && monitor.now()-monitor.leaseHeldSince >= firstProbeTime {
			return "the group has no primary"
		}
		return ""
	}
	if monitor.hasStrayPause() {
		return "a replica is paused without a promotion attempt"
	}
	if primary.Leaving() {
		return "the primary is leaving"
	}
	complaining, live := monitor.elect.fleet.CountComplaints(primary.ID())
	majority := 2*complaining > live
	observation := monitor.observation(primary.ID())
	down := observation.refusals >= minFailures || observation.failures >= minFailures && monitor.now()-observation.firstFailureAt >= maxPrimarySilence
	if down && !majority {
		monitor.elect.fleet.SetComplaint(primary.ID(), true)
	}
	if !majority && monitor.elect.fleet.HasComplaint(primary.ID()) {
		monitor.elect.fleet.Refresh()
	}
	switch {
	case down && primary.Unlisted():
		return "the primary does not answer this proxy and is no longer listed"
	case down && majority:
		return "the primary does not answer this proxy and is unusable from most proxies"
	case majority && (observation.failures > 0 || monitor.hasReplacement(group)):
		monitor.elect.fleet.Refresh()
		return "the primary is unusable from most proxies"
	}
	return ""
}

// orderPending reports whether an order to promote another instance than the primary may still be
// carried out, which an earlier attempt or holder of the lease has sent. Commits have to be stopped
// until then.
func (monitor *monitor) orderPending(group *state.Group) bool {
	lease := monitor.elect.lease
	ordered := lease.outstandingOrder(monitor.groupID)
	if ordered == "" || monitor.now()-monitor.leaseHeldSince < firstProbeTime {
		return false
	}
	if ordered == monitor.primary(group) {
		lease.promotionEnded(monitor.groupID)
		return false
	}
	return true
}

// hasReplacement reports whether an instance other than the primary answers and is not
// leaving. Without one, the primary would step down only to be promoted again.
func (monitor *monitor) hasReplacement(group *state.Group) bool {
	for _, member := range group.Members() {
		observation := monitor.observation(member.ID())
		if member.ID() != monitor.primary(group) && observation.reported && observation.failures == 0 && !member.Leaving() {
			return true
		}
	}
	return false
}

// hasStrayPause reports whether a replica has been paused for maxStrayPause without an
// attempt in progress. This happens when the lease holder stops during an attempt.
func (monitor *monitor) hasStrayPause() bool {
	paused := false
	for id := range monitor.counted {
		observation := monitor.observation(id)
		paused = paused || observation.reported && observation.statusAt > monitor.attemptEndedAt && observation.status.Role() == model.RoleReplica && observation.status.PausedTerm() > 0
	}
	switch {
	case !paused:
		monitor.strayPauseSince = 0
	case monitor.strayPauseSince == 0:
		monitor.strayPauseSince = monitor.now()
	default:
		return monitor.now()-monitor.strayPauseSince >= maxStrayPause
	}
	return false
}

func (monitor *monitor) endAttempt(delay time.Duration) {
	monitor.attempt = nil
	monitor.noPrimarySince = 0
	monitor.strayPauseSince = 0
	monitor.attemptEndedAt = monitor.now()
	monitor.notBefore = monitor.now() + delay
}

func (monitor *monitor) log(name string, instance model.InstanceID, reason string) {
	monitor.elect.context.Emit(event.NewLogDecision(model.Decision{
		Name:     name,
		Group:    monitor.groupID,
		Instance: instance,
		Took:     monitor.attemptAge(),
		Reason:   reason,
	}))
}

// attemptAge returns the time since the current attempt started, or 0 without one.
func (monitor *monitor) attemptAge() time.Duration {
	if monitor.attempt == nil {
		return 0
	}
	return monitor.now() - monitor.attempt.startedAt
}

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
	// primaryProbeInterval is the time between two probes of a primary.
	primaryProbeInterval = 250 * time.Millisecond
	// attemptProbeInterval is the time between two probes of an instance during an attempt.
	attemptProbeInterval = 50 * time.Millisecond
	// replicaProbeInterval is the time between two probes of a replica.
	replicaProbeInterval = 4 * time.Second
	// unlistedProbeInterval is the time between two probes of an instance while one that is not
	// listed any more counts, which ends once all others have caught up.
	unlistedProbeInterval = 500 * time.Millisecond
	// probeTimeout is the time after which a probe counts as unanswered.
	probeTimeout = 600 * time.Millisecond
	// minFailures is how many probes in a row a process that is gone refuses.
	minFailures = 2
	// maxPrimarySilence is how long a primary that does not answer is waited for.
	maxPrimarySilence = time.Second
	// maxTimeWithoutPrimary is how long a group may have no primary in the list.
	maxTimeWithoutPrimary = 700 * time.Millisecond
	// maxPrimaryStatusAge is how old the report of a primary may be for its stepping down to count
	// as the end of its lead.
	maxPrimaryStatusAge = time.Second
	// maxStrayPause is how long a replica may be paused without an attempt under way.
	maxStrayPause = time.Second
	// minUnlistedSilence is how long an instance that is not listed must not answer before
	// it can be left out.
	minUnlistedSilence = 2 * time.Second
	// retryDelay is the time between two attempts for a group.
	retryDelay = 500 * time.Millisecond
)

// observation is what the promoter saw of an instance.
type observation struct {
	status         model.Status
	reported       bool
	probedAt       time.Duration
	statusAt       time.Duration // when the probe behind the status was sent
	answeredAt     time.Duration
	failures       int
	refusals       int
	firstFailureAt time.Duration
	probePending   bool
	// lastTail is the highest mark that the instance reported; a lower one shows that it
	// lost its log.
	lastTail model.Mark
	// born is when its process started, by its listing.
	born int64
	// logLost is set when the instance lost its log, until it has caught up.
	logLost   bool
	logLostAt time.Duration
	// unlistedSince is when the instance was first missing in the list, or 0.
	unlistedSince time.Duration
}

// monitor looks after one group.
type monitor struct {
	elect           *Elect
	group           model.GroupID
	observations    map[model.InstanceID]*observation
	noPrimarySince  time.Duration    // since when no primary is known, or 0
	strayPauseSince time.Duration    // since when a replica is paused without an attempt, or 0
	lastPrimary     model.InstanceID // the last instance that led as far as is known
	reportedPrimary primaryRecord    // the newest lead that an instance reported
	rowAdopted      bool             // the instances that the lease counts were taken over
	attempt         *attempt
	notBefore       time.Duration
	attemptEndedAt  time.Duration // when the last attempt ended
	// counted are the instances that may hold commits; one that ended without
	// having left stays until it is listed again.
	counted map[model.InstanceID]model.Listing
}

func newMonitor(elect *Elect, group model.GroupID) *monitor {
	return &monitor{
		elect:        elect,
		group:        group,
		observations: make(map[model.InstanceID]*observation),
		counted:      make(map[model.InstanceID]model.Listing),
	}
}

func (watch *monitor) observation(instance model.InstanceID) *observation {
	found, ok := watch.observations[instance]
	if !ok {
		found = &observation{}
		watch.observations[instance] = found
	}
	return found
}

// countedIDs returns the instances that count, in ascending order, so that the same history
// gives the same orders.
func (watch *monitor) countedIDs() []model.InstanceID { return slices.Sorted(maps.Keys(watch.counted)) }

func (watch *monitor) now() time.Duration { return watch.elect.context.Now() }

func (watch *monitor) tick(view *state.Group) {
	watch.updateCounted(view)
	if !watch.elect.lease.held() {
		watch.noPrimarySince = 0
		if watch.attempt != nil {
			watch.attempt.abandon("the lease is lost")
		}
		return
	}
	watch.probe(view)
	if watch.attempt != nil {
		watch.attempt.tick()
		return
	}
	reason := watch.promotionReason(view)
	if reason == "" || watch.now() < watch.notBefore {
		return
	}
	watch.attempt = newAttempt(watch, reason)
	watch.attempt.start()
}

// probe asks the instances for their status.
func (watch *monitor) probe(view *state.Group) {
	primary, retiring := watch.primary(view), watch.countsUnlisted(view)
	for _, id := range watch.countedIDs() {
		listing := watch.counted[id]
		if listing.ID() == "" {
			continue
		}
		sight := watch.observation(id)
		interval := replicaProbeInterval
		switch {
		case watch.attempt != nil:
			interval = attemptProbeInterval
		case id == primary || primary == "":
			interval = primaryProbeInterval
		case retiring:
			interval = unlistedProbeInterval
		}
		if sight.probePending || watch.now()-sight.probedAt < interval && sight.probedAt > 0 {
			continue
		}
		if age, ok := view.MarkAge(watch.now()); id == primary && watch.attempt == nil && !retiring && sight.reported && ok && age < primaryProbeInterval && watch.now()-sight.probedAt < replicaProbeInterval {
			continue // the statements of callers show that it leads
		}
		sight.probePending = true
		sight.probedAt = watch.now()
		probe := model.ProbeID(watch.elect.context.NextID())
		watch.elect.probes[probe] = watch
		watch.elect.context.Emit(event.NewProbe(probe, id, listing.Instance().Address(), probeTimeout))
	}
}

// primary returns the instance that leads as far as is known, or the empty name.
func (watch *monitor) primary(view *state.Group) model.InstanceID {
	if primary := view.Primary(); primary != nil {
		return primary.ID()
	}
	return ""
}

func (watch *monitor) statusReported(instance model.InstanceID, status model.Status) {
	sight := watch.observation(instance)
	sight.probePending = false
	sight.failures, sight.refusals = 0, 0
	sight.answeredAt = watch.now()
	watch.recordStatus(instance, status, sight.probedAt)
	view := watch.elect.context.State().Group(watch.group)
	if view == nil {
		return
	}
	if status.Role() == model.RolePrimary && status.Fence() >= view.Term() && view.Primary() == nil {
		view.SetPrimary(instance)
		watch.elect.context.Publish(event.NewGroupObserved(watch.group))
	}
	if watch.attempt != nil {
		watch.attempt.statusReported(instance)
	}
}

// recordStatus keeps the status that answers what was sent at sentAt, and notices an instance that lost its log.
func (watch *monitor) recordStatus(instance model.InstanceID, status model.Status, sentAt time.Duration) {
	sight := watch.observation(instance)
	born := watch.counted[instance].Born()
	reborn := sight.reported && sight.born != born
	if reborn && !status.Tail().Covers(sight.lastTail) {
		sight.logLost = true
		sight.logLostAt = watch.now()
		watch.log("log_lost", instance, "its log ends before "+sight.lastTail.String())
	}
	sight.status = status
	sight.statusAt = sentAt
	sight.reported = true
	sight.born = born
	sight.lastTail = status.Tail()
	if status.Role() == model.RolePrimary && status.Fence() >= watch.reportedPrimary.Term {
		watch.reportedPrimary = primaryRecord{Instance: instance, Term: status.Fence()}
	}
	if sight.logLost && watch.logRegained(sight) {
		sight.logLost = false
		watch.log("log_regained", instance, "its log covers that of the primary")
	}
}

// logRegained reports whether an instance that lost its log has all again that the
// primary had after the loss.
func (watch *monitor) logRegained(sight *observation) bool {
	lead, ok := watch.observations[watch.lastPrimary]
	return ok && lead.reported && lead != sight && lead.status.Role() == model.RolePrimary &&
		lead.statusAt > sight.logLostAt && sight.status.Tail().Covers(lead.status.Tail())
}

func (watch *monitor) probeFailed(instance model.InstanceID, reason model.ConnFailure) {
	sight := watch.observation(instance)
	sight.probePending = false
	if reason == model.ConnFailureFull {
		// The instance is there but has no slot or connection left.
		sight.failures, sight.refusals = 0, 0
		sight.answeredAt = watch.now()
		return
	}
	if sight.failures == 0 {
		sight.firstFailureAt = sight.probedAt
	}
	sight.failures++
	if reason == model.ConnFailureRefused {
		sight.refusals++
	} else {
		sight.refusals = 0
	}
}

// promotionReason returns why the group needs another primary, or the empty text.
func (watch *monitor) promotionReason(view *state.Group) string {
	if len(view.Members()) == 0 {
		return ""
	}
	primary := view.Primary()
	if primary == nil {
		if watch.noPrimarySince == 0 {
			watch.noPrimarySince = watch.now()
		}
		if watch.now()-watch.noPrimarySince >= maxTimeWithoutPrimary {
			return "no instance leads"
		}
		return ""
	}
	watch.noPrimarySince = 0
	if watch.hasStrayPause() {
		return "a replica is paused"
	}
	if primary.Leaving() {
		return "the primary is leaving"
	}
	complaining, live := watch.elect.fleet.CountComplaints(primary.ID())
	majority := 2*complaining > live
	sight := watch.observation(primary.ID())
	down := sight.refusals >= minFailures || sight.failures >= minFailures && watch.now()-sight.firstFailureAt >= maxPrimarySilence
	if down && !majority {
		watch.elect.fleet.SetComplaint(primary.ID(), true)
		watch.elect.fleet.Refresh()
	}
	switch {
	case down && primary.Unlisted():
		return "the primary does not answer here and its entry is gone"
	case down && majority:
		return "the primary does not answer here and at most proxies"
	case majority && (sight.failures > 0 || watch.hasReplacement(view)):
		watch.elect.fleet.Refresh()
		return "most proxies cannot work with the primary"
	}
	return ""
}

// hasReplacement reports whether another instance than the primary answers. Without one, the
// primary would have to step down for itself.
func (watch *monitor) hasReplacement(view *state.Group) bool {
	for _, member := range view.Members() {
		sight := watch.observation(member.ID())
		if member.ID() != watch.primary(view) && sight.reported && sight.failures == 0 && !member.Leaving() {
			return true
		}
	}
	return false
}

// hasStrayPause reports whether a replica stays paused though no attempt is under way, as
// after a promoter that ended in the middle of one.
func (watch *monitor) hasStrayPause() bool {
	paused := false
	for id := range watch.counted {
		sight := watch.observation(id)
		paused = paused || sight.reported && sight.statusAt > watch.attemptEndedAt && sight.status.Role() == model.RoleReplica && sight.status.PausedTerm() > 0
	}
	switch {
	case !paused:
		watch.strayPauseSince = 0
	case watch.strayPauseSince == 0:
		watch.strayPauseSince = watch.now()
	default:
		return watch.now()-watch.strayPauseSince >= maxStrayPause
	}
	return false
}

func (watch *monitor) endAttempt(pause time.Duration) {
	watch.attempt = nil
	watch.noPrimarySince = 0
	watch.strayPauseSince = 0
	watch.attemptEndedAt = watch.now()
	watch.notBefore = watch.now() + pause
}

func (watch *monitor) log(name string, instance model.InstanceID, reason string) {
	watch.elect.context.Emit(event.NewLogDecision(model.Decision{
		Name:     name,
		Group:    watch.group,
		Instance: instance,
		Took:     watch.attemptAge(),
		Reason:   reason,
	}))
}

// attemptAge returns how long the present attempt has been running.
func (watch *monitor) attemptAge() time.Duration {
	if watch.attempt == nil {
		return 0
	}
	return watch.now() - watch.attempt.startedAt
}

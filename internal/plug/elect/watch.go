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
	// primaryProbe is the time between two probes of a primary.
	primaryProbe = 250 * time.Millisecond
	// attemptProbe is the time between two probes of an instance during an attempt.
	attemptProbe = 50 * time.Millisecond
	// replicaProbe is the time between two probes of a replica.
	replicaProbe = 4 * time.Second
	// retireProbe is the time between two probes of an instance while one that is not
	// listed any more counts, which ends once all others have caught up.
	retireProbe = 500 * time.Millisecond
	// probeTimeout is the time after which a probe counts as unanswered.
	probeTimeout = 600 * time.Millisecond
	// refusals is how many probes in a row a process that is gone refuses.
	refusals = 2
	// silence is how long a primary that does not answer is waited for.
	silence = time.Second
	// headless is how long a group may have no primary in the list.
	headless = 700 * time.Millisecond
	// leadAge is how old the report of a primary may be for its stepping down to count
	// as the end of its lead.
	leadAge = time.Second
	// strayPause is how long a replica may be paused without an attempt under way.
	strayPause = time.Second
	// retireAfter is how long an instance that is not listed must not answer before
	// it can be left out.
	retireAfter = 2 * time.Second
	// retryPause is the time between two attempts for a group.
	retryPause = 500 * time.Millisecond
)

// sight is what the promoter saw of an instance.
type sight struct {
	status     model.Status
	known      bool
	probedAt   time.Duration
	statusAt   time.Duration // when the probe behind the status was sent
	answeredAt time.Duration
	failures   int
	refused    int
	firstFail  time.Duration
	pending    bool
	// top is the highest mark that the instance reported; a lower one shows that it
	// lost its log.
	top model.Mark
	// born is when its process started, by its listing.
	born int64
	// emptied is set when the instance lost its log, until it has caught up.
	emptied   bool
	emptiedAt time.Duration
	// unlisted is when the instance was first missing in the list, or 0.
	unlisted time.Duration
}

// watch looks after one group.
type watch struct {
	elect     *Elect
	group     model.GroupID
	sights    map[model.InstanceID]*sight
	headless  time.Duration    // since when no primary is known, or 0
	strayed   time.Duration    // since when a replica is paused without an attempt, or 0
	former    model.InstanceID // the last instance that led as far as is known
	led       lead             // the newest lead that an instance reported
	adopted   bool             // the instances that the lease counts were taken over
	attempt   *attempt
	notBefore time.Duration
	endedAt   time.Duration // when the last attempt ended
	// counted are the instances that may hold commits; one that ended without
	// having left stays until it is listed again.
	counted map[model.InstanceID]model.Listing
}

func newWatch(elect *Elect, group model.GroupID) *watch {
	return &watch{
		elect:   elect,
		group:   group,
		sights:  make(map[model.InstanceID]*sight),
		counted: make(map[model.InstanceID]model.Listing),
	}
}

func (watch *watch) sight(instance model.InstanceID) *sight {
	found, ok := watch.sights[instance]
	if !ok {
		found = &sight{}
		watch.sights[instance] = found
	}
	return found
}

// ids returns the instances that count, in ascending order, so that the same history
// gives the same orders.
func (watch *watch) ids() []model.InstanceID { return slices.Sorted(maps.Keys(watch.counted)) }

func (watch *watch) now() time.Duration { return watch.elect.context.Now() }

func (watch *watch) tick(view *state.Group) {
	watch.count(view)
	if !watch.elect.lease.held() {
		watch.headless = 0
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
	reason := watch.reason(view)
	if reason == "" || watch.now() < watch.notBefore {
		return
	}
	watch.attempt = newAttempt(watch, reason)
	watch.attempt.start()
}

// probe asks the instances for their status.
func (watch *watch) probe(view *state.Group) {
	primary, retiring := watch.primary(view), watch.retiring(view)
	for _, id := range watch.ids() {
		listing := watch.counted[id]
		if listing.ID() == "" {
			continue
		}
		sight := watch.sight(id)
		interval := replicaProbe
		switch {
		case watch.attempt != nil:
			interval = attemptProbe
		case id == primary || primary == "":
			interval = primaryProbe
		case retiring:
			interval = retireProbe
		}
		if sight.pending || watch.now()-sight.probedAt < interval && sight.probedAt > 0 {
			continue
		}
		if age, ok := view.MarkAge(watch.now()); id == primary && watch.attempt == nil && !retiring && sight.known && ok && age < primaryProbe && watch.now()-sight.probedAt < replicaProbe {
			continue // the statements of callers show that it leads
		}
		sight.pending = true
		sight.probedAt = watch.now()
		probe := model.ProbeID(watch.elect.context.NextID())
		watch.elect.probes[probe] = watch
		watch.elect.context.Emit(event.NewProbe(probe, id, listing.Instance().Address(), probeTimeout))
	}
}

// primary returns the instance that leads as far as is known, or the empty name.
func (watch *watch) primary(view *state.Group) model.InstanceID {
	if primary := view.Primary(); primary != nil {
		return primary.ID()
	}
	return ""
}

func (watch *watch) reported(instance model.InstanceID, status model.Status) {
	sight := watch.sight(instance)
	sight.pending = false
	sight.failures, sight.refused = 0, 0
	sight.answeredAt = watch.now()
	watch.take(instance, status, sight.probedAt)
	view := watch.elect.context.State().Group(watch.group)
	if view == nil {
		return
	}
	if status.Role() == model.RolePrimary && status.Fence() >= view.Term() && view.Primary() == nil {
		view.SetPrimary(instance)
		watch.elect.context.Publish(event.NewGroupObserved(watch.group))
	}
	if watch.attempt != nil {
		watch.attempt.seen(instance)
	}
}

// take keeps the status that answers what was sent at sentAt, and notices an instance that lost its log.
func (watch *watch) take(instance model.InstanceID, status model.Status, sentAt time.Duration) {
	sight := watch.sight(instance)
	born := watch.counted[instance].Born()
	reborn := sight.known && sight.born != born
	if reborn && !status.Tail().Covers(sight.top) {
		sight.emptied = true
		sight.emptiedAt = watch.now()
		watch.log("log_lost", instance, "its log ends before "+sight.top.String())
	}
	sight.status = status
	sight.statusAt = sentAt
	sight.known = true
	sight.born = born
	sight.top = status.Tail()
	if status.Role() == model.RolePrimary && status.Fence() >= watch.led.Term {
		watch.led = lead{Instance: instance, Term: status.Fence()}
	}
	if sight.emptied && watch.recovered(sight) {
		sight.emptied = false
		watch.log("log_regained", instance, "its log covers that of the primary")
	}
}

// recovered reports whether an instance that lost its log has all again that the
// primary had after the loss.
func (watch *watch) recovered(sight *sight) bool {
	lead, ok := watch.sights[watch.former]
	return ok && lead.known && lead != sight && lead.status.Role() == model.RolePrimary &&
		lead.statusAt > sight.emptiedAt && sight.status.Tail().Covers(lead.status.Tail())
}

func (watch *watch) failed(instance model.InstanceID, reason model.ConnFailure) {
	sight := watch.sight(instance)
	sight.pending = false
	if reason == model.ConnFailureFull {
		// The instance is there but has no slot or connection left.
		sight.failures, sight.refused = 0, 0
		sight.answeredAt = watch.now()
		return
	}
	if sight.failures == 0 {
		sight.firstFail = sight.probedAt
	}
	sight.failures++
	if reason == model.ConnFailureRefused {
		sight.refused++
	} else {
		sight.refused = 0
	}
}

// reason returns why the group needs another primary, or the empty text.
func (watch *watch) reason(view *state.Group) string {
	if len(view.Members()) == 0 {
		return ""
	}
	primary := view.Primary()
	if primary == nil {
		if watch.headless == 0 {
			watch.headless = watch.now()
		}
		if watch.now()-watch.headless >= headless {
			return "no instance leads"
		}
		return ""
	}
	watch.headless = 0
	if watch.stray() {
		return "a replica is paused"
	}
	if primary.Leaving() {
		return "the primary is leaving"
	}
	complaining, live := watch.elect.fleet.CountComplaints(primary.ID())
	majority := 2*complaining > live
	sight := watch.sight(primary.ID())
	down := sight.refused >= refusals || sight.failures >= refusals && watch.now()-sight.firstFail >= silence
	if down && !majority {
		watch.elect.fleet.SetComplaint(primary.ID(), true)
		watch.elect.fleet.Refresh()
	}
	switch {
	case down && primary.Unlisted():
		return "the primary does not answer here and its entry is gone"
	case down && majority:
		return "the primary does not answer here and at most proxies"
	case majority && (sight.failures > 0 || watch.replaceable(view)):
		watch.elect.fleet.Refresh()
		return "most proxies cannot work with the primary"
	}
	return ""
}

// replaceable reports whether another instance than the primary answers. Without one, the
// primary would have to step down for itself.
func (watch *watch) replaceable(view *state.Group) bool {
	for _, member := range view.Members() {
		sight := watch.sight(member.ID())
		if member.ID() != watch.primary(view) && sight.known && sight.failures == 0 && !member.Leaving() {
			return true
		}
	}
	return false
}

// stray reports whether a replica stays paused though no attempt is under way, as
// after a promoter that ended in the middle of one.
func (watch *watch) stray() bool {
	paused := false
	for id := range watch.counted {
		sight := watch.sight(id)
		paused = paused || sight.known && sight.statusAt > watch.endedAt && sight.status.Role() == model.RoleReplica && sight.status.PausedTerm() > 0
	}
	switch {
	case !paused:
		watch.strayed = 0
	case watch.strayed == 0:
		watch.strayed = watch.now()
	default:
		return watch.now()-watch.strayed >= strayPause
	}
	return false
}

func (watch *watch) end(pause time.Duration) {
	watch.attempt = nil
	watch.headless = 0
	watch.strayed = 0
	watch.endedAt = watch.now()
	watch.notBefore = watch.now() + pause
}

func (watch *watch) log(name string, instance model.InstanceID, reason string) {
	watch.elect.context.Emit(event.NewLogDecision(model.Decision{
		Name:     name,
		Group:    watch.group,
		Instance: instance,
		Took:     watch.running(),
		Reason:   reason,
	}))
}

// running returns how long the present attempt has been running.
func (watch *watch) running() time.Duration {
	if watch.attempt == nil {
		return 0
	}
	return watch.now() - watch.attempt.began
}

package member

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
)

const (
	// refusalLifetime is how long an instance counts as leaving after it refused a
	// connection or a probe.
	refusalLifetime = 10 * time.Second
	// updateInterval is the interval at which expired refusals and announcements are
	// detected.
	updateInterval = time.Second
)

// leavingTracker determines which instances are leaving and take no new work. Its sources
// are the host list, the reports and refusals of the instances, drains by operators, and
// heartbeats of other proxies.
type leavingTracker struct {
	context       *kern.Context
	published     map[model.InstanceID]bool
	refusedAt     map[model.InstanceID]time.Duration
	announcedAt   map[model.InstanceID]time.Duration
	listedLeaving map[model.InstanceID]bool
}

func newLeavingTracker(context *kern.Context) *leavingTracker {
	leavingTracker := &leavingTracker{
		context:       context,
		published:     make(map[model.InstanceID]bool),
		refusedAt:     make(map[model.InstanceID]time.Duration),
		announcedAt:   make(map[model.InstanceID]time.Duration),
		listedLeaving: make(map[model.InstanceID]bool),
	}
	context.Timers().Every(updateInterval, leavingTracker.updateAll)
	return leavingTracker
}

// setHosts replaces the platform's host list. An instance whose host is not listed does not
// count as leaving.
func (leavingTracker *leavingTracker) setHosts(hosts []model.Host) {
	leavingTracker.listedLeaving = make(map[model.InstanceID]bool, len(hosts))
	for _, host := range hosts {
		leavingTracker.listedLeaving[host.Instance()] = host.Leaving()
	}
	leavingTracker.updateAll()
}

// observeGroup updates the instances of a group after a status report.
func (leavingTracker *leavingTracker) observeGroup(id model.GroupID) {
	if group := leavingTracker.context.State().Group(id); group != nil {
		leavingTracker.updateGroup(group)
	}
}

// observeProbeFailure records that the instance refused a probe because it is leaving.
func (leavingTracker *leavingTracker) observeProbeFailure(instance model.InstanceID, reason model.ConnFailure) {
	if reason == model.ConnFailureLeaving {
		leavingTracker.recordRefusal(instance)
	}
}

// observeRefusal records a refusal that another plug-in observed and published. It ignores
// the events that this plug-in publishes itself.
func (leavingTracker *leavingTracker) observeRefusal(changed event.LeavingChanged) {
	if changed.Leaving() && !leavingTracker.published[changed.Instance()] {
		leavingTracker.recordRefusal(changed.Instance())
	}
}

// observeAnnouncement records the instances that another proxy announces as leaving.
func (leavingTracker *leavingTracker) observeAnnouncement(_ model.ProxyID, instances []model.InstanceID) {
	for _, instance := range instances {
		leavingTracker.announcedAt[instance] = leavingTracker.context.Now()
		leavingTracker.updateInstance(instance)
	}
}

// detectedLocally returns the leaving instances, without those that only other proxies
// announce. Otherwise proxies would renew each other's announcements forever.
func (leavingTracker *leavingTracker) detectedLocally() []model.InstanceID {
	var list []model.InstanceID
	for _, group := range leavingTracker.context.State().Groups() {
		for _, member := range group.Members() {
			if leavingTracker.isDetectedLocally(member) {
				list = append(list, member.ID())
			}
		}
	}
	return list
}

func (leavingTracker *leavingTracker) isDetectedLocally(member *state.Member) bool {
	return member.Status().Leaving() || member.Drained() || leavingTracker.listedLeaving[member.ID()] || leavingTracker.refusedRecently(member.ID())
}

func (leavingTracker *leavingTracker) recordRefusal(instance model.InstanceID) {
	leavingTracker.refusedAt[instance] = leavingTracker.context.Now()
	leavingTracker.updateInstance(instance)
}

func (leavingTracker *leavingTracker) refusedRecently(instance model.InstanceID) bool {
	at, ok := leavingTracker.refusedAt[instance]
	return ok && leavingTracker.context.Now()-at <= refusalLifetime
}

func (leavingTracker *leavingTracker) announcedRecently(instance model.InstanceID) bool {
	at, ok := leavingTracker.announcedAt[instance]
	return ok && leavingTracker.context.Now()-at <= leavingTracker.context.Settings().PeerLimit()
}

func (leavingTracker *leavingTracker) updateAll() {
	for _, group := range leavingTracker.context.State().Groups() {
		leavingTracker.updateGroup(group)
	}
}

func (leavingTracker *leavingTracker) updateInstance(instance model.InstanceID) {
	if group := leavingTracker.context.State().GroupOf(instance); group != nil {
		leavingTracker.updateGroup(group)
	}
}

func (leavingTracker *leavingTracker) updateGroup(group *state.Group) {
	for _, member := range group.Members() {
		id := member.ID()
		member.SetListedLeaving(leavingTracker.listedLeaving[id])
		member.SetAnnouncedLeaving(leavingTracker.refusedRecently(id) || leavingTracker.announcedRecently(id))
		leavingTracker.publish(group.ID(), member)
	}
}

func (leavingTracker *leavingTracker) publish(group model.GroupID, member *state.Member) {
	id := member.ID()
	if leavingTracker.published[id] == member.Leaving() {
		return
	}
	leavingTracker.published[id] = member.Leaving()
	leavingTracker.context.Publish(event.NewLeavingChanged(id, member.Leaving()))
	leavingTracker.context.Emit(event.NewLogDecision(model.Decision{
		Name:     decisionName(member.Leaving()),
		Group:    group,
		Instance: id,
		Reason:   leavingTracker.reason(member),
	}))
}

func (leavingTracker *leavingTracker) reason(member *state.Member) string {
	switch {
	case member.Status().Leaving():
		return "reported by the instance"
	case member.Drained():
		return "drained by an operator"
	case leavingTracker.listedLeaving[member.ID()]:
		return "host list"
	case leavingTracker.refusedRecently(member.ID()):
		return "refuses connections"
	case leavingTracker.announcedRecently(member.ID()):
		return "announced by another proxy"
	default:
		return "no source reports it as leaving"
	}
}

func decisionName(isLeaving bool) string {
	if isLeaving {
		return "instance_leaving"
	}
	return "instance_back"
}

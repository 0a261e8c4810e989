package member

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
)

const (
	// refusalLifetime is how long a refusal of connections counts as leaving.
	refusalLifetime = 10 * time.Second
	// updateInterval is the time between searches for announcements that ended.
	updateInterval = time.Second
)

// leavingTracker decides which instances take no new work, from the host list, their
// own reports and refusals, operators' drains and the other proxies' heartbeats.
type leavingTracker struct {
	context       *kern.Context
	published     map[model.InstanceID]bool
	refusedAt     map[model.InstanceID]time.Duration
	announcedAt   map[model.InstanceID]time.Duration
	listedLeaving map[model.InstanceID]bool
}

func newLeavingTracker(context *kern.Context) *leavingTracker {
	leaving := &leavingTracker{
		context:       context,
		published:     make(map[model.InstanceID]bool),
		refusedAt:     make(map[model.InstanceID]time.Duration),
		announcedAt:   make(map[model.InstanceID]time.Duration),
		listedLeaving: make(map[model.InstanceID]bool),
	}
	context.Timers().Every(updateInterval, leaving.updateAll)
	return leaving
}

// setHosts takes the platform's host list. A host that the list leaves out is
// not known to leave.
func (leaving *leavingTracker) setHosts(hosts []model.Host) {
	leaving.listedLeaving = make(map[model.InstanceID]bool, len(hosts))
	for _, host := range hosts {
		leaving.listedLeaving[host.Instance()] = host.Leaving()
	}
	leaving.updateAll()
}

// observeGroup takes a new report of the instances of a group.
func (leaving *leavingTracker) observeGroup(id model.GroupID) {
	if group := leaving.context.State().Group(id); group != nil {
		leaving.updateGroup(group)
	}
}

// observeProbeFailure takes a refusal of a probe.
func (leaving *leavingTracker) observeProbeFailure(instance model.InstanceID, reason model.ConnFailure) {
	if reason == model.ConnFailureLeaving {
		leaving.recordRefusal(instance)
	}
}

// observeRefusal takes a refusal that another plug-in met and published. The
// events that this plug-in publishes are known already.
func (leaving *leavingTracker) observeRefusal(changed event.LeavingChanged) {
	if changed.Leaving() && !leaving.published[changed.Instance()] {
		leaving.recordRefusal(changed.Instance())
	}
}

// observeAnnouncement takes the instances that another proxy knows to be leaving.
func (leaving *leavingTracker) observeAnnouncement(_ model.ProxyID, instances []model.InstanceID) {
	for _, instance := range instances {
		leaving.announcedAt[instance] = leaving.context.Now()
		leaving.updateInstance(instance)
	}
}

// detectedLocally returns the instances that leave by what this proxy knows itself.
// What it knows from other proxies alone is left out, so that an announcement ends.
func (leaving *leavingTracker) detectedLocally() []model.InstanceID {
	var list []model.InstanceID
	for _, group := range leaving.context.State().Groups() {
		for _, member := range group.Members() {
			if leaving.isDetectedLocally(member) {
				list = append(list, member.ID())
			}
		}
	}
	return list
}

func (leaving *leavingTracker) isDetectedLocally(member *state.Member) bool {
	return member.Status().Leaving() || member.Drained() || leaving.listedLeaving[member.ID()] || leaving.refusedRecently(member.ID())
}

func (leaving *leavingTracker) recordRefusal(instance model.InstanceID) {
	leaving.refusedAt[instance] = leaving.context.Now()
	leaving.updateInstance(instance)
}

func (leaving *leavingTracker) refusedRecently(instance model.InstanceID) bool {
	at, ok := leaving.refusedAt[instance]
	return ok && leaving.context.Now()-at <= refusalLifetime
}

func (leaving *leavingTracker) announcedRecently(instance model.InstanceID) bool {
	at, ok := leaving.announcedAt[instance]
	return ok && leaving.context.Now()-at <= leaving.context.Settings().PeerLimit()
}

func (leaving *leavingTracker) updateAll() {
	for _, group := range leaving.context.State().Groups() {
		leaving.updateGroup(group)
	}
}

func (leaving *leavingTracker) updateInstance(instance model.InstanceID) {
	if group := leaving.context.State().GroupOf(instance); group != nil {
		leaving.updateGroup(group)
	}
}

func (leaving *leavingTracker) updateGroup(group *state.Group) {
	for _, member := range group.Members() {
		id := member.ID()
		member.SetListedLeaving(leaving.listedLeaving[id])
		member.SetAnnouncedLeaving(leaving.refusedRecently(id) || leaving.announcedRecently(id))
		leaving.publish(group.ID(), member)
	}
}

func (leaving *leavingTracker) publish(group model.GroupID, member *state.Member) {
	id := member.ID()
	if leaving.published[id] == member.Leaving() {
		return
	}
	leaving.published[id] = member.Leaving()
	leaving.context.Publish(event.NewLeavingChanged(id, member.Leaving()))
	leaving.context.Emit(event.NewLogDecision(model.Decision{
		Name:     decisionName(member.Leaving()),
		Group:    group,
		Instance: id,
		Reason:   leaving.reason(member),
	}))
}

func (leaving *leavingTracker) reason(member *state.Member) string {
	switch {
	case member.Status().Leaving():
		return "reported by the instance"
	case member.Drained():
		return "drained by an operator"
	case leaving.listedLeaving[member.ID()]:
		return "host list"
	case leaving.refusedRecently(member.ID()):
		return "refuses connections"
	case leaving.announcedRecently(member.ID()):
		return "announced by another proxy"
	default:
		return "no source says that it leaves"
	}
}

func decisionName(isLeaving bool) string {
	if isLeaving {
		return "instance_leaving"
	}
	return "instance_back"
}

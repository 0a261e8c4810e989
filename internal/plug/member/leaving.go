package member

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
)

const (
	// refusalLimit is how long a refusal of connections counts as leaving.
	refusalLimit = 10 * time.Second
	// sweepInterval is the time between searches for announcements that ended.
	sweepInterval = time.Second
)

// leaving decides which instances take no new work, from the host list, their
// own reports and refusals, operators' drains and the other proxies' heartbeats.
type leaving struct {
	context     *kern.Context
	published   map[model.InstanceID]bool
	refusedAt   map[model.InstanceID]time.Duration
	announcedAt map[model.InstanceID]time.Duration
	listed      map[model.InstanceID]bool
}

func newLeaving(context *kern.Context) *leaving {
	leaving := &leaving{
		context:     context,
		published:   make(map[model.InstanceID]bool),
		refusedAt:   make(map[model.InstanceID]time.Duration),
		announcedAt: make(map[model.InstanceID]time.Duration),
		listed:      make(map[model.InstanceID]bool),
	}
	context.Timers().Every(sweepInterval, leaving.sweep)
	return leaving
}

// listHosts takes the platform's host list. A host that the list leaves out is
// not known to leave.
func (leaving *leaving) listHosts(hosts []model.Host) {
	leaving.listed = make(map[model.InstanceID]bool, len(hosts))
	for _, host := range hosts {
		leaving.listed[host.Instance()] = host.Leaving()
	}
	leaving.sweep()
}

// observe takes a new report of the instances of a group.
func (leaving *leaving) observe(id model.GroupID) {
	if group := leaving.context.State().Group(id); group != nil {
		leaving.updateGroup(group)
	}
}

// observeFailure takes a refusal of a probe.
func (leaving *leaving) observeFailure(instance model.InstanceID, reason model.ConnFailure) {
	if reason == model.ConnFailureLeaving {
		leaving.refuse(instance)
	}
}

// observeRefusal takes a refusal that another plug-in met and published. The
// events that this plug-in publishes are known already.
func (leaving *leaving) observeRefusal(changed event.LeavingChanged) {
	if changed.Leaving() && !leaving.published[changed.Instance()] {
		leaving.refuse(changed.Instance())
	}
}

// announce takes the instances that another proxy knows to be leaving.
func (leaving *leaving) announce(_ model.ProxyID, instances []model.InstanceID) {
	for _, instance := range instances {
		leaving.announcedAt[instance] = leaving.context.Now()
		leaving.updateInstance(instance)
	}
}

// firstHand returns the instances that leave by what this proxy knows itself.
// What it knows from other proxies alone is left out, so that an announcement ends.
func (leaving *leaving) firstHand() []model.InstanceID {
	var list []model.InstanceID
	for _, group := range leaving.context.State().Groups() {
		for _, member := range group.Members() {
			if leaving.isFirstHand(member) {
				list = append(list, member.ID())
			}
		}
	}
	return list
}

func (leaving *leaving) isFirstHand(member *state.Member) bool {
	return member.Status().Leaving() || member.Drained() || leaving.listed[member.ID()] || leaving.refused(member.ID())
}

func (leaving *leaving) refuse(instance model.InstanceID) {
	leaving.refusedAt[instance] = leaving.context.Now()
	leaving.updateInstance(instance)
}

func (leaving *leaving) refused(instance model.InstanceID) bool {
	at, ok := leaving.refusedAt[instance]
	return ok && leaving.context.Now()-at <= refusalLimit
}

func (leaving *leaving) announced(instance model.InstanceID) bool {
	at, ok := leaving.announcedAt[instance]
	return ok && leaving.context.Now()-at <= leaving.context.Settings().PeerLimit()
}

func (leaving *leaving) sweep() {
	for _, group := range leaving.context.State().Groups() {
		leaving.updateGroup(group)
	}
}

func (leaving *leaving) updateInstance(instance model.InstanceID) {
	if group := leaving.context.State().GroupOf(instance); group != nil {
		leaving.updateGroup(group)
	}
}

func (leaving *leaving) updateGroup(group *state.Group) {
	for _, member := range group.Members() {
		id := member.ID()
		member.SetListedLeaving(leaving.listed[id])
		member.SetAnnouncedLeaving(leaving.refused(id) || leaving.announced(id))
		leaving.publish(group.ID(), member)
	}
}

func (leaving *leaving) publish(group model.GroupID, member *state.Member) {
	id := member.ID()
	if leaving.published[id] == member.Leaving() {
		return
	}
	leaving.published[id] = member.Leaving()
	leaving.context.Publish(event.NewLeavingChanged(id, member.Leaving()))
	leaving.context.Emit(event.NewLogDecision(model.Decision{
		Name:     leavingName(member.Leaving()),
		Group:    group,
		Instance: id,
		Reason:   leaving.reason(member),
	}))
}

func (leaving *leaving) reason(member *state.Member) string {
	switch {
	case member.Status().Leaving():
		return "reported by the instance"
	case member.Drained():
		return "drained by an operator"
	case leaving.listed[member.ID()]:
		return "host list"
	case leaving.refused(member.ID()):
		return "refuses connections"
	case leaving.announced(member.ID()):
		return "announced by another proxy"
	default:
		return "no source says that it leaves"
	}
}

func leavingName(isLeaving bool) string {
	if isLeaving {
		return "instance_leaving"
	}
	return "instance_back"
}

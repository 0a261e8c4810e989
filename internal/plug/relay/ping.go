package relay

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/state"
)

const (
	// missesForComplaint is the number of consecutive unanswered pings after which the
	// primary is reported to the other proxies as unusable.
	missesForComplaint = 2
	// stallsForComplaint is the corresponding number of consecutive writes that the primary
	// did not answer in time.
	stallsForComplaint = 2
	// refreshInterval is the interval at which the age of the marks is checked.
	refreshInterval = 100 * time.Millisecond
	// idleRefreshInterval replaces refreshInterval while nothing runs and no marks are refreshed.
	idleRefreshInterval = time.Second
	// markRefreshAge is the age of a group's newest mark above which a new one is
	// requested: three quarters of the shortest staleness that operators set.
	markRefreshAge = 1100 * time.Millisecond
	// maxSilence is the time without any answer, while statements are outstanding, after
	// which the primary is pinged.
	maxSilence = 300 * time.Millisecond
	// maxForwardedSilence replaces maxSilence for a statement that was forwarded, which may still
	// wait for a connection. A ping opens one.
	maxForwardedSilence = 600 * time.Millisecond
	// pingTimeout limits a ping, from the request for a connection to the answer.
	pingTimeout = 500 * time.Millisecond
	// maxGroupsAhead is the number of groups up to which a proxy that starts asks for marks ahead
	// of the first read.
	maxGroupsAhead = 10
	// markRefreshWindow is how long after its last read, or after the start, the marks of a group
	// are refreshed.
	markRefreshWindow = 5 * time.Second
)

// monitor requests marks from the primary of a group and detects whether the primary is
// unusable. A ping is an empty transaction whose answer contains a mark. monitor implements
// route.ConnUser.
type monitor struct {
	relay      *Relay
	groupID    model.GroupID
	pinging    bool
	waitID     route.WaitID
	conn       model.ConnID
	instance   model.InstanceID
	sentAt     time.Duration
	lastReadAt time.Duration
	expiresAt  time.Duration
	// suspect is set from a failure of the primary until it answers a ping.
	suspect bool
	misses  int
	// stalls is the number of consecutive writes that the primary did not answer in time.
	// A primary that reaches no replica answers pings but not writes.
	stalls int
	// complaint is the primary that is reported to the other proxies as unusable, or the
	// empty ID.
	complaint model.InstanceID
}

func (relay *Relay) monitor(id model.GroupID) *monitor {
	found, ok := relay.monitors[id]
	if !ok {
		found = &monitor{relay: relay, groupID: id}
		relay.monitors[id] = found
	}
	return found
}

// refreshMarks pings the primary of each group that has recent reads and an old mark, and
// each suspect or silent primary. It also ends the pings that have timed out. It returns the time
// until the next refresh.
func (relay *Relay) refreshMarks() time.Duration {
	busy := len(relay.runningBySeq) > 0
	now := relay.context.Now()
	groups := relay.context.State().Groups()
	few := len(groups) <= maxGroupsAhead
	for _, group := range groups {
		monitor := relay.monitor(group.ID())
		monitor.expirePing(now)
		age, known := group.MarkAge(now)
		monitor.suspect = monitor.suspect || relay.primaryIsSilent(group, now)
		refresh := now-monitor.lastReadAt < markRefreshWindow && !relay.connsAreScarce(group) && (monitor.lastReadAt > 0 || few)
		unconfirmed := group.Primary() == nil && relay.listedPrimary(group) != ""
		if monitor.suspect || unconfirmed || refresh && (!known || age > markRefreshAge) {
			monitor.startPing(group)
		}
		busy = busy || refresh || monitor.suspect || unconfirmed || monitor.pinging
	}
	if busy {
		return refreshInterval
	}
	return idleRefreshInterval
}

// connsAreScarce reports whether there are more proxies than connections to the primary. Each
// ping then opens a connection, so marks are requested only when a read needs one.
func (relay *Relay) connsAreScarce(group *state.Group) bool {
	primary := group.Primary()
	if primary == nil || primary.Instance().MaxConns() == 0 {
		return false
	}
	return relay.context.State().ProxyCount() > primary.Instance().MaxConns()
}

// primaryIsSilent reports whether the primary has answered nothing for maxSilence although
// a statement has been outstanding for that time.
func (relay *Relay) primaryIsSilent(group *state.Group, now time.Duration) bool {
	primary := group.Primary()
	if primary == nil || now-relay.answeredAt[primary.ID()] < maxSilence {
		return false
	}
	for _, item := range relay.runningByGroup.InGroup(group.ID()) {
		running := item.(*task)
		executing := running.state == taskExecuting || running.state == taskConfirmingPrimary
		limit := maxSilence
		if running.forwarded {
			limit = maxForwardedSilence
		}
		if executing && running.instance == primary.ID() && now-running.sentAt >= limit {
			return true
		}
	}
	return false
}

// startPing pings the likely primary unless a ping is still running.
func (monitor *monitor) startPing(group *state.Group) {
	if monitor.pinging {
		return
	}
	instance := monitor.relay.likelyPrimary(group)
	if instance == "" {
		return
	}
	monitor.pinging = true
	monitor.instance = instance
	monitor.expiresAt = monitor.relay.context.Now() + pingTimeout
	waitID := monitor.relay.conns.Acquire(route.SlotRequest{Instance: instance, BypassLimit: true}, monitor)
	if monitor.pinging && monitor.conn == 0 {
		monitor.waitID = waitID
	}
}

// expirePing ends a ping that was not answered within pingTimeout.
func (monitor *monitor) expirePing(now time.Duration) {
	if !monitor.pinging || now < monitor.expiresAt {
		return
	}
	switch {
	case monitor.conn != 0:
		monitor.recordMiss()
		monitor.relay.conns.Discard(monitor.conn)
	case monitor.relay.conns.Unreachable(monitor.instance):
		monitor.recordMiss()
		fallthrough
	default:
		// An instance that accepts no more connections is reachable, so this is no miss.
		monitor.relay.conns.CancelWait(monitor.waitID)
	}
	monitor.endPing()
}

// recordMiss counts a ping that the instance did not answer.
func (monitor *monitor) recordMiss() {
	group := monitor.relay.context.State().Group(monitor.groupID)
	monitor.relay.recordFailure(monitor.instance)
	monitor.misses++
	if monitor.misses >= missesForComplaint && group != nil && group.Primary() != nil && group.Primary().ID() == monitor.instance {
		monitor.setComplaint(monitor.instance)
	}
}

func (monitor *monitor) setComplaint(instance model.InstanceID) {
	if monitor.complaint != instance {
		monitor.clearComplaint()
		monitor.complaint = instance
		monitor.relay.fleet.SetComplaint(instance, true)
	}
}

// recordStall counts a write that the primary did not answer in time. A shutdown ends statements
// before their time, so that it counts none.
func (monitor *monitor) recordStall(instance model.InstanceID) {
	if monitor.relay.context.State().Draining() {
		return
	}
	group := monitor.relay.context.State().Group(monitor.groupID)
	if group == nil || group.Primary() == nil || group.Primary().ID() != instance {
		return
	}
	monitor.stalls++
	if monitor.stalls >= stallsForComplaint {
		monitor.setComplaint(instance)
	}
}

// recordWrite records that the primary answered a committed write.
func (monitor *monitor) recordWrite(instance model.InstanceID) {
	monitor.stalls = 0
	if monitor.complaint == instance {
		monitor.clearComplaint()
	}
}

// recordAnswer records that the instance answered a ping. A complaint because of stalled
// writes remains.
func (monitor *monitor) recordAnswer() {
	monitor.misses = 0
	monitor.suspect = false
	if monitor.complaint == monitor.instance && monitor.stalls < stallsForComplaint {
		monitor.clearComplaint()
	}
}

// clearComplaint withdraws the complaint from the other proxies.
func (monitor *monitor) clearComplaint() {
	if monitor.complaint != "" {
		monitor.relay.fleet.SetComplaint(monitor.complaint, false)
		monitor.complaint = ""
	}
}

// clearReplaced clears the complaint and the counts if the primary was replaced.
func (monitor *monitor) clearReplaced() {
	group := monitor.relay.context.State().Group(monitor.groupID)
	if monitor.complaint != "" && group.Primary() != nil && group.Primary().ID() != monitor.complaint {
		monitor.clearComplaint()
		monitor.misses, monitor.stalls = 0, 0
	}
}

func (monitor *monitor) endPing() {
	monitor.pinging = false
	monitor.conn = 0
	monitor.waitID = 0
}

// ConnGranted implements route.ConnUser.
func (monitor *monitor) ConnGranted(conn model.ConnID) {
	monitor.waitID = 0
	monitor.conn = conn
	monitor.sentAt = monitor.relay.context.Now()
	monitor.relay.conns.Execute(conn, model.NewWork(model.WorkSpec{Step: model.StepConfirmPrimary, Timeout: pingTimeout}))
}

// ConnDenied implements route.ConnUser.
func (monitor *monitor) ConnDenied(route.Denial) {
	monitor.recordMiss()
	monitor.endPing()
}

// ExecuteDone implements route.ConnUser.
func (monitor *monitor) ExecuteDone(done event.ExecuteDone) {
	relay := monitor.relay
	relay.conns.Release(done.Conn(), false)
	relay.clearFailure(monitor.instance)
	monitor.recordAnswer()
	monitor.endPing()
	group := relay.context.State().Group(monitor.groupID)
	if group == nil {
		return
	}
	relay.observePrimary(group, monitor.instance, done.Mark(), monitor.sentAt)
	relay.context.Publish(event.NewGroupObserved(monitor.groupID))
}

// ExecuteFailed implements route.ConnUser.
func (monitor *monitor) ExecuteFailed(failed event.ExecuteFailed) {
	relay := monitor.relay
	if failed.Usable() {
		relay.conns.Release(failed.Conn(), true)
	}
	monitor.endPing()
	group := relay.context.State().Group(monitor.groupID)
	if group == nil {
		return
	}
	if failed.Class() == model.FailureFenced {
		monitor.recordAnswer()
		relay.refutePrimary(group, monitor.instance)
		relay.context.Publish(event.NewGroupObserved(monitor.groupID))
		return
	}
	monitor.recordMiss()
}

// ConnLost implements route.ConnUser.
func (monitor *monitor) ConnLost(model.ConnID) { monitor.endPing() }

package relay

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/state"
)

const (
	// missesForComplaint is how many questions in a row a primary leaves unanswered
	// before the other proxies are told.
	missesForComplaint = 2
	// stallsForComplaint is the same for writes that it did not answer in time.
	stallsForComplaint = 2
	// refreshInterval is the time between two looks at the age of the marks.
	refreshInterval = 100 * time.Millisecond
	// markRefreshAge is the age of the newest mark of a group from which a new one is
	// asked for: three quarters of the shortest staleness that operators set.
	markRefreshAge = 1100 * time.Millisecond
	// pingTimeout bounds an empty transaction.
	pingTimeout = 500 * time.Millisecond
	// markRefreshWindow is how long after its last read a group's marks are kept fresh.
	markRefreshWindow = 5 * time.Second
)

// monitor asks the primary of a group for a mark, by an empty transaction. It
// implements route.Taker.
type monitor struct {
	relay      *Relay
	group      model.GroupID
	pinging    bool
	waitID     route.WaitID
	conn       model.ConnID
	instance   model.InstanceID
	sentAt     time.Duration
	lastReadAt time.Duration
	expiresAt  time.Duration
	// suspect is set when the primary failed to answer, until it answers again.
	suspect bool
	misses  int
	// stalls counts the writes in a row that the primary did not answer in time. It
	// may lead and yet reach no replica.
	stalls int
	// complaint is the primary that the other proxies were told of, or the empty name.
	complaint model.InstanceID
}

func (relay *Relay) monitor(group model.GroupID) *monitor {
	found, ok := relay.monitors[group]
	if !ok {
		found = &monitor{relay: relay, group: group}
		relay.monitors[group] = found
	}
	return found
}

// refreshMarks asks for a new mark of each group whose marks grow old.
func (relay *Relay) refreshMarks() {
	now := relay.context.Now()
	for _, view := range relay.context.State().Groups() {
		ping := relay.monitor(view.ID())
		ping.expirePing(now)
		age, known := view.MarkAge(now)
		if ping.suspect || now-ping.lastReadAt < markRefreshWindow && (!known || age > markRefreshAge) {
			ping.startPing(view)
		}
	}
}

// startPing asks the primary unless an earlier question is still open.
func (ping *monitor) startPing(view *state.Group) {
	if ping.pinging {
		return
	}
	instance := ping.relay.likelyPrimary(view)
	if instance == "" {
		return
	}
	ping.pinging = true
	ping.instance = instance
	ping.expiresAt = ping.relay.context.Now() + pingTimeout
	ticket := ping.relay.conns.Acquire(route.SlotRequest{Instance: instance, BypassLimit: true}, ping)
	if ping.pinging && ping.conn == 0 {
		ping.waitID = ticket
	}
}

// expirePing gives a question up that nobody answered.
func (ping *monitor) expirePing(now time.Duration) {
	if !ping.pinging || now < ping.expiresAt {
		return
	}
	switch {
	case ping.conn != 0:
		ping.recordMiss()
		ping.relay.conns.Discard(ping.conn)
	case ping.relay.conns.Unreachable(ping.instance):
		ping.recordMiss()
		fallthrough
	default:
		// An instance that has no connection left is there.
		ping.relay.conns.CancelWait(ping.waitID)
	}
	ping.endPing()
}

// recordMiss counts a question that the instance did not answer.
func (ping *monitor) recordMiss() {
	view := ping.relay.context.State().Group(ping.group)
	ping.relay.recordFailure(ping.instance)
	ping.misses++
	if ping.misses >= missesForComplaint && view != nil && view.Primary() != nil && view.Primary().ID() == ping.instance {
		ping.setComplaint(ping.instance)
	}
}

func (ping *monitor) setComplaint(instance model.InstanceID) {
	if ping.complaint != instance {
		ping.clearComplaint()
		ping.complaint = instance
		ping.relay.fleet.SetComplaint(instance, true)
	}
}

// recordStall counts a write that the primary did not answer in time.
func (ping *monitor) recordStall(instance model.InstanceID) {
	view := ping.relay.context.State().Group(ping.group)
	if view == nil || view.Primary() == nil || view.Primary().ID() != instance {
		return
	}
	ping.stalls++
	if ping.stalls >= stallsForComplaint {
		ping.setComplaint(instance)
	}
}

// recordWrite records that the primary answered a write.
func (ping *monitor) recordWrite(instance model.InstanceID) {
	ping.stalls = 0
	if ping.complaint == instance {
		ping.clearComplaint()
	}
}

// recordAnswer records that the instance answered.
func (ping *monitor) recordAnswer() {
	ping.misses = 0
	ping.suspect = false
	if ping.complaint == ping.instance && ping.stalls < stallsForComplaint {
		ping.clearComplaint()
	}
}

// clearComplaint takes a complaint back.
func (ping *monitor) clearComplaint() {
	if ping.complaint != "" {
		ping.relay.fleet.SetComplaint(ping.complaint, false)
		ping.complaint = ""
	}
}

// clearReplaced ends what was held against a primary that was replaced.
func (ping *monitor) clearReplaced() {
	view := ping.relay.context.State().Group(ping.group)
	if ping.complaint != "" && view.Primary() != nil && view.Primary().ID() != ping.complaint {
		ping.clearComplaint()
		ping.misses, ping.stalls = 0, 0
	}
}

func (ping *monitor) endPing() {
	ping.pinging = false
	ping.conn = 0
	ping.waitID = 0
}

// ConnGranted implements route.Taker.
func (ping *monitor) ConnGranted(conn model.ConnID) {
	ping.waitID = 0
	ping.conn = conn
	ping.sentAt = ping.relay.context.Now()
	ping.relay.conns.Execute(conn, model.NewWork(model.WorkSpec{Step: model.StepConfirmPrimary, Timeout: pingTimeout}))
}

// ConnDenied implements route.Taker.
func (ping *monitor) ConnDenied(codes.Code, time.Duration) {
	ping.recordMiss()
	ping.endPing()
}

// ExecuteDone implements route.Taker.
func (ping *monitor) ExecuteDone(done event.ExecuteDone) {
	relay := ping.relay
	relay.conns.Release(done.Conn(), false)
	relay.clearFailure(ping.instance)
	ping.recordAnswer()
	ping.endPing()
	view := relay.context.State().Group(ping.group)
	if view == nil {
		return
	}
	relay.observePrimary(view, ping.instance, done.Mark(), ping.sentAt)
	relay.context.Publish(event.NewGroupObserved(ping.group))
}

// ExecuteFailed implements route.Taker.
func (ping *monitor) ExecuteFailed(failed event.ExecuteFailed) {
	relay := ping.relay
	if failed.Usable() {
		relay.conns.Release(failed.Conn(), true)
	}
	ping.endPing()
	view := relay.context.State().Group(ping.group)
	if view == nil {
		return
	}
	if failed.Class() == model.FailureFenced {
		ping.recordAnswer()
		relay.refutePrimary(view, ping.instance)
		relay.context.Publish(event.NewGroupObserved(ping.group))
		return
	}
	ping.recordMiss()
}

// ConnLost implements route.Taker.
func (ping *monitor) ConnLost(model.ConnID) { ping.endPing() }

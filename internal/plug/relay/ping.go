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
	// missesToComplain is how many questions in a row a primary leaves unanswered
	// before the other proxies are told.
	missesToComplain = 2
	// stallsToComplain is the same for writes that it did not answer in time.
	stallsToComplain = 2
	// refreshInterval is the time between two looks at the age of the marks.
	refreshInterval = 100 * time.Millisecond
	// refreshAge is the age of the newest mark of a group from which a new one is
	// asked for: three quarters of the shortest staleness that operators set.
	refreshAge = 1100 * time.Millisecond
	// pingTimeout bounds an empty transaction.
	pingTimeout = 500 * time.Millisecond
	// usedFor is how long after its last read a group's marks are kept fresh.
	usedFor = 5 * time.Second
)

// ping asks the primary of a group for a mark, by an empty transaction. It
// implements route.Taker.
type ping struct {
	relay    *Relay
	group    model.GroupID
	running  bool
	ticket   route.WaitID
	conn     model.ConnID
	instance model.InstanceID
	sentAt   time.Duration
	usedAt   time.Duration
	endsAt   time.Duration
	// suspect is set when the primary failed to answer, until it answers again.
	suspect bool
	misses  int
	// stalls counts the writes in a row that the primary did not answer in time. It
	// may lead and yet reach no replica.
	stalls int
	// complained is the primary that the other proxies were told of, or the empty name.
	complained model.InstanceID
}

func (relay *Relay) ping(group model.GroupID) *ping {
	found, ok := relay.pings[group]
	if !ok {
		found = &ping{relay: relay, group: group}
		relay.pings[group] = found
	}
	return found
}

// refresh asks for a new mark of each group whose marks grow old.
func (relay *Relay) refresh() {
	now := relay.context.Now()
	for _, view := range relay.context.State().Groups() {
		ping := relay.ping(view.ID())
		ping.expire(now)
		age, known := view.MarkAge(now)
		if ping.suspect || now-ping.usedAt < usedFor && (!known || age > refreshAge) {
			ping.start(view)
		}
	}
}

// start asks the primary unless an earlier question is still open.
func (ping *ping) start(view *state.Group) {
	if ping.running {
		return
	}
	instance := ping.relay.primary(view)
	if instance == "" {
		return
	}
	ping.running = true
	ping.instance = instance
	ping.endsAt = ping.relay.context.Now() + pingTimeout
	ticket := ping.relay.conns.Acquire(route.SlotRequest{Instance: instance, BypassLimit: true}, ping)
	if ping.running && ping.conn == 0 {
		ping.ticket = ticket
	}
}

// expire gives a question up that nobody answered.
func (ping *ping) expire(now time.Duration) {
	if !ping.running || now < ping.endsAt {
		return
	}
	switch {
	case ping.conn != 0:
		ping.missed()
		ping.relay.conns.Discard(ping.conn)
	case ping.relay.conns.Unreachable(ping.instance):
		ping.missed()
		fallthrough
	default:
		// An instance that has no connection left is there.
		ping.relay.conns.CancelWait(ping.ticket)
	}
	ping.done()
}

// missed counts a question that the instance did not answer.
func (ping *ping) missed() {
	view := ping.relay.context.State().Group(ping.group)
	ping.relay.fail(ping.instance)
	ping.misses++
	if ping.misses >= missesToComplain && view != nil && view.Primary() != nil && view.Primary().ID() == ping.instance {
		ping.complain(ping.instance)
	}
}

func (ping *ping) complain(instance model.InstanceID) {
	if ping.complained != instance {
		ping.withdraw()
		ping.complained = instance
		ping.relay.fleet.SetComplaint(instance, true)
	}
}

// stalled counts a write that the primary did not answer in time.
func (ping *ping) stalled(instance model.InstanceID) {
	view := ping.relay.context.State().Group(ping.group)
	if view == nil || view.Primary() == nil || view.Primary().ID() != instance {
		return
	}
	ping.stalls++
	if ping.stalls >= stallsToComplain {
		ping.complain(instance)
	}
}

// wrote records that the primary answered a write.
func (ping *ping) wrote(instance model.InstanceID) {
	ping.stalls = 0
	if ping.complained == instance {
		ping.withdraw()
	}
}

// hit records that the instance answered.
func (ping *ping) hit() {
	ping.misses = 0
	ping.suspect = false
	if ping.complained == ping.instance && ping.stalls < stallsToComplain {
		ping.withdraw()
	}
}

// withdraw takes a complaint back.
func (ping *ping) withdraw() {
	if ping.complained != "" {
		ping.relay.fleet.SetComplaint(ping.complained, false)
		ping.complained = ""
	}
}

// settle ends what was held against a primary that was replaced.
func (ping *ping) settle() {
	view := ping.relay.context.State().Group(ping.group)
	if ping.complained != "" && view.Primary() != nil && view.Primary().ID() != ping.complained {
		ping.withdraw()
		ping.misses, ping.stalls = 0, 0
	}
}

func (ping *ping) done() {
	ping.running = false
	ping.conn = 0
	ping.ticket = 0
}

// ConnGranted implements route.Taker.
func (ping *ping) ConnGranted(conn model.ConnID) {
	ping.ticket = 0
	ping.conn = conn
	ping.sentAt = ping.relay.context.Now()
	ping.relay.conns.Execute(conn, model.NewWork(model.WorkSpec{Step: model.StepConfirmPrimary, Timeout: pingTimeout}))
}

// ConnDenied implements route.Taker.
func (ping *ping) ConnDenied(codes.Code, time.Duration) {
	ping.missed()
	ping.done()
}

// ExecuteDone implements route.Taker.
func (ping *ping) ExecuteDone(done event.ExecuteDone) {
	relay := ping.relay
	relay.conns.Release(done.Conn(), false)
	relay.answered(ping.instance)
	ping.hit()
	ping.done()
	view := relay.context.State().Group(ping.group)
	if view == nil {
		return
	}
	relay.observeLead(view, ping.instance, done.Mark(), ping.sentAt)
	relay.context.Publish(event.NewGroupObserved(ping.group))
}

// ExecuteFailed implements route.Taker.
func (ping *ping) ExecuteFailed(failed event.ExecuteFailed) {
	relay := ping.relay
	if failed.Usable() {
		relay.conns.Release(failed.Conn(), true)
	}
	ping.done()
	view := relay.context.State().Group(ping.group)
	if view == nil {
		return
	}
	if failed.Class() == model.FailureFenced {
		ping.hit()
		relay.refute(view, ping.instance)
		relay.context.Publish(event.NewGroupObserved(ping.group))
		return
	}
	ping.missed()
}

// ConnLost implements route.Taker.
func (ping *ping) ConnLost(model.ConnID) { ping.done() }

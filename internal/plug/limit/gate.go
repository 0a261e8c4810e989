package limit

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

const (
	firstHeld     = 5 * time.Millisecond
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// heldSmoothing and baseSmoothing are the shares of a new sample in a mean, as divisors.
	heldSmoothing = 8
	baseSmoothing = 32
	// heldHalfLife is the time without samples in which what the mean has above
	// the base halves.
	heldHalfLife = 500 * time.Millisecond
	maxHalvings  = 16
	// burstTolerance is how long requests may wait without a break before the queue
	// counts as standing.
	burstTolerance = 500 * time.Millisecond
	// queuePerSlot is how many statements all proxies together send to an instance
	// at once, for each of its slots: one that runs and two that follow.
	queuePerSlot = 3
	// minCeiling lets a proxy use a slot while its next statement is on its way.
	minCeiling = 2
	// congestion is the multiple of the base at which an instance counts as congested.
	congestion = 2
	// decrease is the share of the limit that congestion takes away, as a divisor.
	decrease = 4
)

// gate bounds the statements that run at once on one instance. The bound grows
// by one a round while requests wait, and shrinks when a slot is held much longer
// than with little load. It stays between this proxy's shares of the slots and
// of the connections of the instance: a slot is free while a statement is on its
// way, and most proxies use less than their share.
type gate struct {
	limit   int
	running int
	waiting *queue
	held    time.Duration // mean time that a slot is held
	base    time.Duration // the same with little load
	samples int
	pressed bool
	learned time.Duration // when the last sample came
	queued  time.Duration // since when requests wait without a break
}

// learn takes a new sample of the time that a slot is held.
func (gate *gate) learn(held time.Duration, floor, ceiling int) {
	gate.held += (held - gate.held) / heldSmoothing
	if gate.running <= floor {
		gate.base += (held - gate.base) / baseSmoothing
	}
	gate.pressed = gate.pressed || gate.waiting.size > 0
	gate.samples++
	if gate.samples >= gate.limit {
		gate.adjust()
	}
	gate.limit = min(max(gate.limit, floor), ceiling)
}

// adjust ends a round.
func (gate *gate) adjust() {
	switch {
	case gate.held > congestion*gate.base:
		gate.limit -= 1 + gate.limit/decrease
	case gate.pressed:
		gate.limit++
	}
	gate.samples = 0
	gate.pressed = false
}

// delay returns how long the last in the queue is expected to wait.
func (gate *gate) delay() time.Duration {
	return gate.held * time.Duration(gate.waiting.size+1) / time.Duration(gate.limit)
}

func (limits *Limits) gate(instance model.InstanceID) *gate {
	found, ok := limits.gates[instance]
	if !ok {
		found = &gate{limit: limits.floor(instance), waiting: newQueue(hop{}), held: firstHeld, base: firstHeld}
		limits.gates[instance] = found
	}
	return found
}

// refusal tells whether a request that would have to wait is refused at once.
func (limits *Limits) refusal(ask route.SlotRequest, gate *gate) (codes.Code, time.Duration) {
	if ask.Job == nil {
		return codes.OK, 0
	}
	deployment := ask.Job.Deployment()
	limit := deployment.MaxWaiting()
	if limit == 0 {
		limit = limits.context.Settings().MaxWaiting()
	}
	granted := limits.context.Now() + gate.delay()
	hopeless := granted > ask.Job.Deadline() || limits.overdue(ask.Job, gate, granted+gate.held)
	if limits.waiting[deployment.Name()] >= limit || hopeless {
		return codes.Overloaded, limits.RetryAfter(ask.Instance)
	}
	return codes.OK, 0
}

// overdue reports whether a request that is answered at the given time comes so
// late that its slot is better given to another. A short burst is queued, since
// a late answer is better than none. Where the queue stands, every request would
// be late, so those that cannot meet their target make room for those that can.
func (limits *Limits) overdue(job *route.Job, gate *gate, answered time.Duration) bool {
	target := job.Kind().TargetLatency()
	standing := gate.waiting.size > 0 && limits.context.Now()-gate.queued >= burstTolerance
	return target > 0 && standing && answered > job.Arrived()+target
}

// ExpectedDelay implements route.Admission. The mean of an instance that gets no work
// falls back to that with little load, so that it is tried again.
func (limits *Limits) ExpectedDelay(instance model.InstanceID) time.Duration {
	gate := limits.gate(instance)
	held := gate.held
	if idle := limits.context.Now() - gate.learned; idle > 0 && held > gate.base {
		held = gate.base + (held-gate.base)>>min(uint(idle/heldHalfLife), maxHalvings)
	}
	return held + held*time.Duration(gate.running+gate.waiting.size)/time.Duration(gate.limit)
}

// RetryAfter implements route.Admission. The time is that in which the queue of
// the instance is served, with jitter, so that callers do not come back together.
func (limits *Limits) RetryAfter(instance model.InstanceID) time.Duration {
	delay := limits.gate(instance).delay()
	delay = min(max(delay, minRetryAfter), maxRetryAfter)
	return delay/2 + time.Duration(limits.context.Random().Int64N(int64(delay)))
}

// floor returns this proxy's share of the slots of an instance. Where they do
// not divide, each proxy has the part more.
func (limits *Limits) floor(instance model.InstanceID) int {
	slots := limits.context.Settings().SlotsPerInstance()
	if listed := limits.listed(instance); listed.Slots() > 0 {
		slots = listed.Slots()
	}
	proxies := limits.proxies()
	return max(1, (slots+proxies-1)/proxies)
}

// ceiling returns this proxy's share of the connections of an instance. Where the
// slots are known, all proxies together queue no more than queuePerSlot statements
// there: the queue of the instance knows no priorities and no deadlines.
func (limits *Limits) ceiling(instance model.InstanceID) int {
	listed := limits.listed(instance)
	if listed.Slots() == 0 {
		return max(limits.floor(instance), limits.context.Settings().ConnsPerInstance()/limits.proxies())
	}
	conns := max(1, listed.MaxConns()/limits.proxies())
	share := (listed.Slots()*queuePerSlot + limits.proxies() - 1) / limits.proxies()
	return max(limits.floor(instance), min(conns, max(minCeiling, share)))
}

// listed returns an instance with its capacity, or the zero Instance.
func (limits *Limits) listed(instance model.InstanceID) model.Instance {
	group := limits.context.State().GroupOf(instance)
	if group == nil {
		return model.Instance{}
	}
	return group.Member(instance).Instance()
}

func (limits *Limits) proxies() int { return max(1, len(limits.context.State().Proxies())) }

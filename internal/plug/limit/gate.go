package limit

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

const (
	initialHeld   = 5 * time.Millisecond
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
	// statementsPerSlot is how many statements all proxies together send to an instance
	// at once, for each of its slots: one that runs and two that follow.
	statementsPerSlot = 3
	// minUpperBound lets a proxy use a slot while its next statement is on its way.
	minUpperBound = 2
	// congestionRatio is the multiple of the base at which an instance counts as congested.
	congestionRatio = 2
	// decreaseDivisor is the share of the limit that congestion takes away, as a divisor.
	decreaseDivisor = 4
)

// instanceLimit bounds the statements that run at once on one instance. The bound grows
// by one a round while requests wait, and shrinks when a slot is held much longer
// than with little load. It stays between this proxy's shares of the slots and
// of the connections of the instance: a slot is free while a statement is on its
// way, and most proxies use less than their share.
type instanceLimit struct {
	limit       int
	running     int
	queue       *queue
	meanHeld    time.Duration // mean time that a slot is held
	baseHeld    time.Duration // the same with little load
	samples     int
	hadWaiters  bool
	lastSample  time.Duration // when the last sample came
	queuedSince time.Duration // since when requests wait without a break
}

// addSample takes a new sample of the time that a slot is held.
func (gate *instanceLimit) addSample(held time.Duration, floor, ceiling int) {
	gate.meanHeld += (held - gate.meanHeld) / heldSmoothing
	if gate.running <= floor {
		gate.baseHeld += (held - gate.baseHeld) / baseSmoothing
	}
	gate.hadWaiters = gate.hadWaiters || gate.queue.size > 0
	gate.samples++
	if gate.samples >= gate.limit {
		gate.adjust()
	}
	gate.limit = min(max(gate.limit, floor), ceiling)
}

// adjust ends a round.
func (gate *instanceLimit) adjust() {
	switch {
	case gate.meanHeld > congestionRatio*gate.baseHeld:
		gate.limit -= 1 + gate.limit/decreaseDivisor
	case gate.hadWaiters:
		gate.limit++
	}
	gate.samples = 0
	gate.hadWaiters = false
}

// queueDelay returns how long the last in the queue is expected to wait.
func (gate *instanceLimit) queueDelay() time.Duration {
	return gate.meanHeld * time.Duration(gate.queue.size+1) / time.Duration(gate.limit)
}

func (limits *Limits) instanceLimit(instance model.InstanceID) *instanceLimit {
	found, ok := limits.instanceLimits[instance]
	if !ok {
		found = &instanceLimit{limit: limits.lowerBound(instance), queue: newQueue(pathStep{}), meanHeld: initialHeld, baseHeld: initialHeld}
		limits.instanceLimits[instance] = found
	}
	return found
}

// checkWait tells whether a request that would have to wait is refused at once.
func (limits *Limits) checkWait(ask route.SlotRequest, gate *instanceLimit) (codes.Code, time.Duration) {
	if ask.Job == nil {
		return codes.OK, 0
	}
	deployment := ask.Job.Deployment()
	limit := deployment.MaxWaiting()
	if limit == 0 {
		limit = limits.context.Settings().MaxWaiting()
	}
	granted := limits.context.Now() + gate.queueDelay()
	hopeless := granted > ask.Job.Deadline() || limits.missesTarget(ask.Job, gate, granted+gate.meanHeld)
	if limits.waitingByDeployment[deployment.Name()] >= limit || hopeless {
		return codes.Overloaded, limits.RetryAfter(ask.Instance)
	}
	return codes.OK, 0
}

// missesTarget reports whether a request that is answered at the given time comes so
// late that its slot is better given to another. A short burst is queued, since
// a late answer is better than none. Where the queue stands, every request would
// be late, so those that cannot meet their target make room for those that can.
func (limits *Limits) missesTarget(job *route.Job, gate *instanceLimit, answered time.Duration) bool {
	target := job.Kind().TargetLatency()
	standing := gate.queue.size > 0 && limits.context.Now()-gate.queuedSince >= burstTolerance
	return target > 0 && standing && answered > job.Arrived()+target
}

// ExpectedDelay implements route.Admission. The mean of an instance that gets no work
// falls back to that with little load, so that it is tried again.
func (limits *Limits) ExpectedDelay(instance model.InstanceID) time.Duration {
	gate := limits.instanceLimit(instance)
	held := gate.meanHeld
	if idle := limits.context.Now() - gate.lastSample; idle > 0 && held > gate.baseHeld {
		held = gate.baseHeld + (held-gate.baseHeld)>>min(uint(idle/heldHalfLife), maxHalvings)
	}
	return held + held*time.Duration(gate.running+gate.queue.size)/time.Duration(gate.limit)
}

// RetryAfter implements route.Admission. The time is that in which the queue of
// the instance is served, with jitter, so that callers do not come back together.
func (limits *Limits) RetryAfter(instance model.InstanceID) time.Duration {
	delay := limits.instanceLimit(instance).queueDelay()
	delay = min(max(delay, minRetryAfter), maxRetryAfter)
	return delay/2 + time.Duration(limits.context.Random().Int64N(int64(delay)))
}

// lowerBound returns this proxy's share of the slots of an instance. Where they do
// not divide, each proxy has the part more.
func (limits *Limits) lowerBound(instance model.InstanceID) int {
	slots := limits.context.Settings().SlotsPerInstance()
	if listed := limits.listedInstance(instance); listed.Slots() > 0 {
		slots = listed.Slots()
	}
	proxies := limits.proxyCount()
	return max(1, (slots+proxies-1)/proxies)
}

// upperBound returns this proxy's share of the connections of an instance. Where the
// slots are known, all proxies together queue no more than queuePerSlot statements
// there: the queue of the instance knows no priorities and no deadlines.
func (limits *Limits) upperBound(instance model.InstanceID) int {
	listed := limits.listedInstance(instance)
	if listed.Slots() == 0 {
		return max(limits.lowerBound(instance), limits.context.Settings().ConnsPerInstance()/limits.proxyCount())
	}
	conns := max(1, listed.MaxConns()/limits.proxyCount())
	share := (listed.Slots()*statementsPerSlot + limits.proxyCount() - 1) / limits.proxyCount()
	return max(limits.lowerBound(instance), min(conns, max(minUpperBound, share)))
}

// listedInstance returns an instance with its capacity, or the zero Instance.
func (limits *Limits) listedInstance(instance model.InstanceID) model.Instance {
	group := limits.context.State().GroupOf(instance)
	if group == nil {
		return model.Instance{}
	}
	return group.Member(instance).Instance()
}

func (limits *Limits) proxyCount() int { return max(1, len(limits.context.State().Proxies())) }

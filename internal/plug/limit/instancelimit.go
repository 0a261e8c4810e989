package limit

import (
	"math"
	"time"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

const (
	initialHeld   = 5 * time.Millisecond
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// Each new sample moves meanHeld by at least 1/heldSmoothing of the difference, and
	// baseHeld, if it falls, by 1/baseFallSmoothing.
	heldSmoothing     = 8
	baseFallSmoothing = 32
	// freshTime is the age of the last sample up to which meanHeld counts in full. It is longer
	// than the pauses between samples under load, where decay makes the estimate noisy.
	freshTime = 250 * time.Millisecond
	// heldHalfLife is the time in which the weight of meanHeld, and its excess over baseHeld,
	// halve after freshTime. A group has to be back at its previous service 2 s after a fault,
	// which leaves a tenth of the excess.
	heldHalfLife = 500 * time.Millisecond
	// stallRatio is the ratio of the time without a free slot to the expected time that a slot is
	// held above which the statements that run count as stalled. A statement with several times
	// the mean work is no stall.
	stallRatio = 4
	// An instance whose slots are held for more than slowRatio times as long as under low load is
	// slow to all statements.
	slowRatio = 2
	// A mean below 1/baseRefuted of baseHeld refutes it: baseHeld was learned while the instance
	// was slow, and falls as fast as the mean.
	baseRefuted = 2
	// Congestion reduces the limit by 1/decreaseDivisor.
	decreaseDivisor = 4
)

// instanceLimit is an adaptive concurrency limit for the statements that this proxy
// runs on one instance. A round consists of as many samples as the limit. The limit
// grows by one per round in which requests waited, and shrinks when slots are held much
// longer than under low load. It stays between this proxy's share of the slots and its
// share of the connections of the instance. It may exceed the share of the slots because
// a slot is free while a statement is in transit and because most proxies use less than
// their share.
type instanceLimit struct {
	limit       int
	running     int
	forwarded   int // statements that another proxy runs there for callers of this one
	queue       *lanes
	meanHeld    time.Duration // moving average of how long a slot is held
	baseHeld    time.Duration // the same under low load
	baseSamples int
	samples     int
	hadWaiters  bool
	lastSample  time.Duration // time of the last answer
	dutyCycle   dutyCycle
	progressAt  time.Duration // when a slot was last granted or returned
	queuedSince time.Duration // start of the current period with a non-empty queue
}

// addSample records how long a slot was held and adjusts the limit at the end of a round.
func (instanceLimit *instanceLimit) addSample(now, held time.Duration, policy Policy) {
	weight := 1.0 / heldSmoothing
	if instanceLimit.lastSample > 0 {
		weight = max(weight, 1-faded(now-instanceLimit.lastSample))
	}
	instanceLimit.lastSample = now
	instanceLimit.meanHeld += time.Duration(weight * float64(held-instanceLimit.meanHeld))
	instanceLimit.updateBase(policy)
	instanceLimit.hadWaiters = instanceLimit.hadWaiters || instanceLimit.queue.size > 0
	instanceLimit.samples++
	if instanceLimit.samples >= instanceLimit.limit {
		instanceLimit.adjust(policy)
	}
}

// faded returns the share of its weight that a mean still has when its last sample is that old.
func faded(age time.Duration) float64 {
	return math.Exp2(-float64(max(0, age-freshTime)) / float64(heldHalfLife))
}

// held returns how long a slot is expected to be held. Without samples, the estimate decays to
// the value under low load, so that it refuses nothing for longer than it takes to send a
// statement that can refute it.
func (instanceLimit *instanceLimit) held(now time.Duration) time.Duration {
	held := instanceLimit.meanHeld
	if excess := held - instanceLimit.baseHeld; excess > 0 {
		held = instanceLimit.baseHeld + time.Duration(faded(now-instanceLimit.lastSample)*float64(excess))
	}
	return held
}

// turnover returns how long each slot is expected to be held by the statements that run now. If
// no slot was granted or returned for much longer than that, it is the time since then.
func (instanceLimit *instanceLimit) turnover(now time.Duration) time.Duration {
	held := time.Duration(float64(instanceLimit.held(now)) / instanceLimit.dutyCycle.share)
	stalled := now - instanceLimit.progressAt
	if instanceLimit.running >= instanceLimit.limit && stalled > stallRatio*held {
		return stalled
	}
	return held
}

// updateBase moves baseHeld towards meanHeld: soon if it falls, slowly if it rises. The
// first samples count in full.
func (instanceLimit *instanceLimit) updateBase(policy Policy) {
	smoothing := baseFallSmoothing
	if instanceLimit.meanHeld > instanceLimit.baseHeld {
		smoothing = policy.BaseRiseSmoothing
	}
	if instanceLimit.meanHeld < instanceLimit.baseHeld/baseRefuted {
		smoothing = heldSmoothing
	}
	if instanceLimit.baseSamples < baseFallSmoothing {
		instanceLimit.baseSamples++
		smoothing = min(smoothing, instanceLimit.baseSamples)
	}
	instanceLimit.baseHeld += (instanceLimit.meanHeld - instanceLimit.baseHeld) / time.Duration(smoothing)
}

// adjust changes the limit at the end of a round.
func (instanceLimit *instanceLimit) adjust(policy Policy) {
	switch {
	case float64(instanceLimit.meanHeld) > policy.CongestionRatio*float64(instanceLimit.baseHeld):
		instanceLimit.limit -= 1 + instanceLimit.limit/decreaseDivisor
	case instanceLimit.hadWaiters:
		instanceLimit.limit++
	}
	instanceLimit.samples = 0
	instanceLimit.hadWaiters = false
}

// queueDelay returns the time in which the queue drains.
func (instanceLimit *instanceLimit) queueDelay(now time.Duration) time.Duration {
	return instanceLimit.turnover(now) * time.Duration(instanceLimit.queue.size+1) / time.Duration(instanceLimit.limit)
}

// wait returns the expected wait of a request that joins the queue now.
func (instanceLimit *instanceLimit) wait(ranked lane, now time.Duration) time.Duration {
	return time.Duration(float64(instanceLimit.turnover(now)) * instanceLimit.queue.place(ranked) / float64(instanceLimit.limit))
}

func (limits *Limits) instanceLimit(instance model.InstanceID) *instanceLimit {
	found, ok := limits.instanceLimits[instance]
	if !ok {
		found = &instanceLimit{limit: limits.lowerBound(instance), queue: &lanes{turnInterval: limits.policy.TurnInterval}, dutyCycle: dutyCycle{share: 1}, meanHeld: initialHeld, baseHeld: initialHeld}
		limits.instanceLimits[instance] = found
	}
	return found
}

// The reasons of denials, for the decision log.
const (
	deploymentQueueFull = "the queue of the deployment is full"
	afterDeadline       = "a slot would be free after the deadline only"
	afterTarget         = "the answer would miss the target latency"
	waitedTooLong       = "the answer would miss the target latency after the wait for a slot"
)

// checkWait returns an empty string if a request may wait for a slot, and else the reason
// why it is denied one.
func (limits *Limits) checkWait(request route.SlotRequest, instanceLimit *instanceLimit) string {
	if request.Job == nil {
		return ""
	}
	deployment := request.Job.Deployment()
	limit := deployment.MaxWaiting()
	if limit == 0 {
		limit = limits.context.Settings().MaxWaiting()
	}
	now := limits.context.Now()
	granted := now + instanceLimit.wait(limits.rankedLane(request), now)
	switch {
	case limits.waitingByDeployment[deployment.Name()] >= limit:
		return deploymentQueueFull
	case granted > request.Job.Deadline():
		return afterDeadline
	case limits.missesTarget(request, instanceLimit, granted):
		return afterTarget
	}
	return ""
}

// missesTarget reports whether a request that is granted a slot at the given time misses
// its target latency and should be denied the slot. During a short burst no request is
// denied, since a late answer is better than none. With a standing queue every request
// would be late, so the requests that cannot meet their target are denied in favor of
// those that can. A transaction has to run all its statements within the target.
func (limits *Limits) missesTarget(request route.SlotRequest, instanceLimit *instanceLimit, granted time.Duration) bool {
	target := request.Job.Kind().TargetLatency()
	standing := instanceLimit.queue.size > 0 && limits.context.Now()-instanceLimit.queuedSince >= limits.policy.BurstTolerance
	if target == 0 || !standing {
		return false
	}
	statements := limits.workEstimate(laneOf(request)).statements()
	run := min(statements*float64(instanceLimit.held(limits.context.Now())), limits.policy.MaxRunShare*float64(target))
	answered := granted + time.Duration(run)
	return answered > request.Job.Arrived()+time.Duration(limits.policy.TargetShare*float64(target))
}

// ExpectedDelay implements route.Admission.
func (limits *Limits) ExpectedDelay(instance model.InstanceID) time.Duration {
	instanceLimit := limits.instanceLimit(instance)
	now := limits.context.Now()
	return instanceLimit.held(now) + instanceLimit.turnover(now)*time.Duration(instanceLimit.running+instanceLimit.forwarded+instanceLimit.queue.size)/time.Duration(instanceLimit.limit)
}

// Stalled implements route.Admission. No statement is stalled on an instance that is slow to all:
// to ask elsewhere as well would add to the load of a group that has lost capacity.
func (limits *Limits) Stalled(request route.SlotRequest, ran time.Duration) bool {
	instanceLimit := limits.instanceLimit(request.Instance)
	held := instanceLimit.held(limits.context.Now())
	usual := max(held, limits.workEstimate(laneOf(request)).held.value)
	return ran > stallRatio*usual && held <= slowRatio*instanceLimit.baseHeld
}

// RetryAfter implements route.Admission. It returns the time in which the queue of the
// instance drains, with jitter so that callers do not retry simultaneously.
func (limits *Limits) RetryAfter(instance model.InstanceID) time.Duration {
	delay := limits.instanceLimit(instance).queueDelay(limits.context.Now())
	delay = min(max(delay, minRetryAfter), maxRetryAfter)
	return delay/2 + time.Duration(limits.context.Random().Int64N(int64(delay)))
}

// lowerBound returns this proxy's share of the slots of an instance, rounded up.
func (limits *Limits) lowerBound(instance model.InstanceID) int {
	slots := limits.context.Settings().SlotsPerInstance()
	if listed := limits.listedInstance(instance); listed.Slots() > 0 {
		slots = listed.Slots()
	}
	proxies := limits.sharers(instance)
	return max(1, (slots+proxies-1)/proxies)
}

// upperBound returns this proxy's share of the connections of an instance. If the number
// of slots is known, all proxies together have at most StatementsPerSlot statements per
// slot outstanding there, because the queue of the instance observes neither priorities
// nor deadlines.
func (limits *Limits) upperBound(instance model.InstanceID) int {
	listed := limits.listedInstance(instance)
	proxies := limits.sharers(instance)
	if listed.Slots() == 0 {
		return max(limits.lowerBound(instance), limits.context.Settings().ConnsPerInstance()/proxies)
	}
	conns := max(1, listed.MaxConns()/proxies)
	share := (listed.Slots()*limits.policy.StatementsPerSlot + proxies - 1) / proxies
	return max(limits.lowerBound(instance), min(conns, max(limits.policy.MinUpperBound, share)))
}

// listedInstance returns the listed instance with its capacity, or the zero Instance if
// it is not listed.
func (limits *Limits) listedInstance(instance model.InstanceID) model.Instance {
	group := limits.context.State().GroupOf(instance)
	if group == nil {
		return model.Instance{}
	}
	return group.Member(instance).Instance()
}

// sharers returns the number of proxies among which this one shares the capacity of an instance.
func (limits *Limits) sharers(instance model.InstanceID) int {
	return limits.context.State().SharersOf(instance)
}

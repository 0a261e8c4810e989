package city

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

const (
	// thinkTime is the pause of a caller between two statements of a transaction.
	thinkTime = 20 * time.Millisecond
	// maxTxStatements is the maximum number of statements of a transaction before its commit.
	maxTxStatements = 5
	// workSpread is the standard deviation of the logarithm of a statement's work.
	workSpread = 0.7
	// commitWork is how long a commit holds a slot.
	commitWork = 4 * time.Millisecond
	// minBackoff and maxBackoff bound the time until a caller retries a refused operation.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 150 * time.Millisecond
	// maxStartTime is the maximum time that a proxy takes to start.
	maxStartTime = 150 * time.Millisecond
	// reconnectInterval is the time between two tries to connect while the proxies are down.
	reconnectInterval = 100 * time.Millisecond
)

// LoadKind describes the operations of one kind: single statements and transactions.
type LoadKind struct {
	Name          string
	Share         float64 // of all operations
	Writes        float64 // share of the operations that write
	Transactions  float64 // share of the operations that are transactions
	Work          time.Duration
	Priority      int // 0 is the highest
	Target        time.Duration
	Deadline      time.Duration
	Timeout       time.Duration // of a statement
	Staleness     time.Duration
	SeesOwnWrites bool
	Retries       int
}

// load sends operations to the proxies at a fixed mean rate, whether or not earlier ones
// were answered.
type load struct {
	simulation *simulation
	spec       Load
	// random draws the operations, apart from what the proxies draw, so that the same
	// operations arrive whatever the proxies decide.
	random     *rand.Rand
	until      time.Duration
	results    []*KindResult
	operations []*operation
	lastCaller model.CallerID
	teamShares []float64 // cumulated
}

// operation is one operation of a caller, which may take several attempts.
type operation struct {
	load       *load
	kind       *LoadKind
	result     *KindResult
	zone       int
	team       int  // from 1, or 0 if there are no teams
	uncounted  bool // in the results
	group      int
	statements []statementSpec
	inTx       bool
	arrived    time.Duration
	paused     time.Duration // pauses of the caller, which do not count
	attempts   int
	proxy      *proxy // of the current attempt
	caller     model.CallerID
	next       int           // index of the next statement of the current attempt
	active     bool          // an attempt is in progress
	unsafe     bool          // the last statement sent may have had an effect
	work       time.Duration // of all statements and the commit
}

type statementSpec struct {
	writes bool
	work   time.Duration
}

// scheduleArrival schedules the next operation.
func (load *load) scheduleArrival() {
	delay := time.Duration(load.random.ExpFloat64() / (load.rate() * (1 + load.spec.Swing)) * float64(time.Second))
	load.simulation.runAfter(delay, func() {
		if load.simulation.now >= load.until {
			return
		}
		zone := load.drawZone()
		if load.arrives(zone) {
			load.newOperation(zone).attempt()
		}
		load.scheduleArrival()
	})
}

// arrives reports whether an operation arrives in a zone, where the rate varies over time. Without
// a swing, every operation does.
func (load *load) arrives(zone int) bool {
	swing := load.spec.Swing
	if swing == 0 {
		return true
	}
	turns := float64(load.simulation.now)/float64(load.spec.SwingPeriod) + float64(zone)/float64(len(load.spec.ProxiesByZone))
	return load.random.Float64()*(1+swing) < 1+swing*math.Sin(2*math.Pi*turns)
}

// rate returns the current number of operations a second.
func (load *load) rate() float64 {
	began := load.until - load.spec.Span
	if len(load.spec.ZoneRates) > 0 {
		return load.spec.totalRate(load.simulation.now - began)
	}
	if passed := load.simulation.now - began; passed >= load.spec.BurstFrom && passed < load.spec.BurstUntil {
		return load.spec.BurstRate
	}
	return load.spec.Rate
}

func (load *load) newOperation(zone int) *operation {
	random := load.random
	index := 0
	for draw := random.Float64(); index < len(load.spec.Kinds)-1 && draw >= load.spec.Kinds[index].Share; index++ {
		draw -= load.spec.Kinds[index].Share
	}
	kind := &load.spec.Kinds[index]
	added := &operation{
		load:    load,
		kind:    kind,
		result:  load.results[index],
		zone:    zone,
		arrived: load.simulation.now,
		inTx:    random.Float64() < kind.Transactions,
	}
	if load.spec.Teams > 0 {
		added.team = load.drawTeam()
	}
	if load.spec.Groups > 1 {
		added.group = random.IntN(load.spec.Groups)
	}
	count, writes := 1, random.Float64() < kind.Writes
	if added.inTx {
		count += random.IntN(maxTxStatements)
	}
	var total time.Duration
	for range count {
		work := load.drawWork(kind.Work)
		added.statements = append(added.statements, statementSpec{writes: writes, work: work})
		total += work
	}
	if added.inTx && writes {
		total += commitWork
	}
	load.operations = append(load.operations, added)
	added.work = total
	if added.counts() {
		added.result.Asked++
	}
	return added
}

// counts reports whether the operation counts in the results.
func (operation *operation) counts() bool {
	spec := &operation.load.spec
	after := operation.arrived - (operation.load.until - spec.Span)
	if operation.uncounted {
		return false
	}
	return spec.CountUntil == 0 || after >= spec.CountFrom && after < spec.CountUntil
}

// drawWork returns a random work with the given mean, log-normally distributed.
func (load *load) drawWork(mean time.Duration) time.Duration {
	factor := math.Exp(workSpread*load.random.NormFloat64() - workSpread*workSpread/2)
	return max(time.Millisecond, time.Duration(float64(mean)*factor))
}

// attempt runs the operation from its first statement on a proxy of the caller's zone,
// another one than before if there are several.
func (operation *operation) attempt() {
	load := operation.load
	candidates := load.runningProxies(operation.zone)
	if len(candidates) == 0 {
		operation.awaitProxies()
		return
	}
	operation.attempts++
	operation.active, operation.unsafe = true, false
	chosen := candidates[load.simulation.random.IntN(len(candidates))]
	for len(candidates) > 1 && chosen == operation.proxy {
		chosen = candidates[load.simulation.random.IntN(len(candidates))]
	}
	operation.proxy = chosen
	load.lastCaller++
	operation.caller = load.lastCaller
	operation.next = 0
	chosen.post(networkDelay, event.NewCallerOpened(operation.caller, load.spec.deploymentName(operation.kind, operation.group), "").WithKey(teamKey(operation.team)))
	if operation.inTx {
		operation.send(model.RequestSpec{Op: model.OpBegin, ReadOnly: !operation.statements[0].writes}, func(*model.Reply) { operation.sendNext() })
		return
	}
	operation.sendNext()
}

// bound returns the share of the operations that slots could serve in a time if the work of
// each operation were known in advance: those with the least work.
func (load *load) bound(slots int, span time.Duration) float64 {
	works := make([]time.Duration, 0, len(load.operations))
	for _, operation := range load.operations {
		works = append(works, operation.work)
	}
	slices.Sort(works)
	left := time.Duration(slots) * span
	for served, work := range works {
		if left -= work; left < 0 {
			return float64(served) / float64(len(works))
		}
	}
	return 1
}

// awaitProxies starts the attempt once a proxy accepts connections again.
func (operation *operation) awaitProxies() {
	load := operation.load
	if load.simulation.now >= operation.arrived+operation.kind.Deadline {
		operation.record(false)
		return
	}
	load.simulation.runAfter(reconnectInterval, operation.attempt)
}

// killProxies kills all proxies, which breaks the attempts in progress, and starts them
// again later.
func (load *load) killProxies() {
	for _, proxy := range load.simulation.proxies {
		proxy.losePower(load.spec.LingerSpan)
	}
	for _, operation := range load.operations {
		if !operation.active {
			continue
		}
		operation.active = false
		if operation.unsafe || operation.attempts > operation.kind.Retries {
			operation.record(false)
			continue
		}
		operation.awaitProxies()
	}
	for _, proxy := range load.simulation.proxies {
		proxy.down = true
		startTime := time.Duration(load.random.Int64N(int64(maxStartTime)))
		load.simulation.runAfter(load.spec.RestartSpan+startTime, func() {
			proxy.down = false
			proxy.start()
		})
	}
}

// runningProxies returns the running proxies of a zone or, if there is none, those of all
// zones.
func (load *load) runningProxies(zone int) []*proxy {
	first := 0
	for _, count := range load.spec.ProxiesByZone[:zone] {
		first += count
	}
	var inZone, all []*proxy
	for index, proxy := range load.simulation.proxies {
		if proxy.down {
			continue
		}
		all = append(all, proxy)
		if index >= first && index < first+load.spec.ProxiesByZone[zone] {
			inZone = append(inZone, proxy)
		}
	}
	if len(inZone) > 0 {
		return inZone
	}
	return all
}

func (operation *operation) send(spec model.RequestSpec, done func(reply *model.Reply)) {
	proxy := operation.proxy
	proxy.lastSeq++
	spec.Seq = proxy.lastSeq
	spec.Caller = operation.caller
	proxy.pendingReplies[spec.Seq] = func(reply *model.Reply) {
		operation.runAfter(networkDelay, func() { done(reply) })
	}
	proxy.post(networkDelay, event.NewRequestReceived(model.NewRequest(spec)))
}

// sendNext sends the next statement, or the commit after the last one.
func (operation *operation) sendNext() {
	if operation.next == len(operation.statements) {
		if !operation.inTx {
			operation.end(true)
			return
		}
		operation.unsafe = operation.statements[0].writes
		operation.send(model.RequestSpec{Op: model.OpCommit, Statement: &payload{work: commitWork, team: teamName(operation.team)}}, func(reply *model.Reply) {
			if reply.Code() != codes.OK {
				operation.failed(reply)
				return
			}
			operation.end(true)
		})
		return
	}
	statement := operation.statements[operation.next]
	operation.next++
	operation.unsafe = statement.writes && !operation.inTx
	body := &payload{work: statement.work, check: &readCheck{oracle: operation.load.simulation.oracle}, team: teamName(operation.team)}
	if statement.writes {
		oracle := operation.load.simulation.oracle
		oracle.lastWrite++
		body.write = oracle.lastWrite
	}
	operation.send(model.RequestSpec{Op: model.OpStatement, Writes: statement.writes, Statement: body}, func(reply *model.Reply) {
		switch {
		case reply.Code() != codes.OK:
			operation.failed(reply)
		case operation.inTx:
			operation.pause()
		default:
			operation.sendNext()
		}
	})
}

// pause sends the next statement after the caller's pause.
func (operation *operation) pause() {
	operation.paused += thinkTime
	operation.runAfter(thinkTime, operation.sendNext)
}

// runAfter schedules a step of the current attempt.
func (operation *operation) runAfter(delay time.Duration, step func()) {
	attempt := operation.attempts
	operation.load.simulation.runAfter(delay, func() {
		if operation.active && operation.attempts == attempt {
			step()
		}
	})
}

// failed retries the operation if its attempt has had no effect, or ends it.
func (operation *operation) failed(reply *model.Reply) {
	load := operation.load
	operation.active = false
	operation.proxy.post(networkDelay, event.NewCallerClosed(operation.caller))
	if operation.counts() {
		operation.result.Refusals[reply.Code().String()]++
	}
	backoff := minBackoff + time.Duration(load.simulation.random.Int64N(int64(maxBackoff-minBackoff)))
	inTime := load.simulation.now+backoff < operation.arrived+operation.kind.Deadline
	if reply.Outcome() != model.OutcomeNotRun || operation.attempts > operation.kind.Retries || !inTime {
		operation.record(false)
		return
	}
	load.simulation.runAfter(backoff, operation.attempt)
}

func (operation *operation) end(served bool) {
	operation.active = false
	operation.proxy.post(networkDelay, event.NewCallerClosed(operation.caller))
	operation.record(served)
}

func (operation *operation) record(served bool) {
	if !operation.counts() {
		return
	}
	latency := operation.load.simulation.now - operation.arrived - operation.paused
	switch {
	case !served:
		operation.result.Unserved++
	case latency <= operation.kind.Target:
		operation.result.InTarget++
	default:
		operation.result.Late++
	}
	if served {
		_ = operation.result.Latency.RecordValue(latency.Microseconds())
	}
}

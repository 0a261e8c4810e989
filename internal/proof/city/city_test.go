package city

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/model"
)

// startTraffic opens a session of each kind on every proxy and sends requests through them
// for the given time. A session reconnects after its proxy was killed.
func startTraffic(environment *simulation, span time.Duration) {
	var sessions []*session
	for _, proxy := range environment.proxies {
		for _, kind := range []string{"primary", "bounded", "own"} {
			sessions = append(sessions, environment.openSession(proxy, kind))
		}
	}
	until := environment.now + span
	var sendNext func(index int)
	sendNext = func(index int) {
		if environment.now >= until {
			return
		}
		session := sessions[index]
		if session.proxyKilled() {
			sessions[index] = environment.openSession(session.proxy, session.kind)
			session = sessions[index]
		}
		if !session.busy && !session.inTx {
			switch choice := environment.random.IntN(10); {
			case choice < 2:
				session.write()
			case choice < 3:
				session.runTransaction()
			default:
				session.read()
			}
		}
		environment.runAfter(5*time.Millisecond+time.Duration(environment.random.Int64N(int64(20*time.Millisecond))), func() { sendNext(index) })
	}
	for index := range sessions {
		environment.runAfter(networkDelay, func() { sendNext(index) })
	}
}

// fault is a failure that a test injects.
type fault struct {
	name   string
	inject func(environment *simulation)
}

var faults = []fault{
	{"primary crashes and restarts", func(environment *simulation) {
		if crashed := environment.primary; crashed != nil {
			crashed.crash(4 * time.Second)
		}
	}},
	{"replica crashes and restarts", func(environment *simulation) {
		for _, instance := range environment.instances {
			if !instance.isPrimary() && instance.up {
				instance.crash(2 * time.Second)
				return
			}
		}
	}},
	{"a replica receives nothing", func(environment *simulation) {
		replica := environment.instances[environment.random.IntN(len(environment.instances))]
		replica.replicationBlocked = true
		environment.runAfter(2*time.Second, func() { replica.replicationBlocked = false })
	}},
	{"the replicas apply nothing", func(environment *simulation) {
		for _, instance := range environment.instances {
			instance.applyBlocked = true
			environment.runAfter(time.Second, func() { instance.applyBlocked = false })
		}
	}},
	{"the primary is partitioned from its replicas", func(environment *simulation) {
		if primary := environment.primary; primary != nil {
			primary.partitioned = true
			environment.runAfter(3*time.Second, func() { primary.partitioned = false })
		}
	}},
	{"the primary is unreachable from most proxies", func(environment *simulation) {
		if primary := environment.primary; primary != nil {
			for _, proxy := range environment.proxies[1:] {
				primary.unreachableFrom[proxy] = true
				environment.runAfter(4*time.Second, func() { delete(primary.unreachableFrom, proxy) })
			}
		}
	}},
	{"a proxy is killed", func(environment *simulation) {
		proxy := environment.proxies[environment.random.IntN(len(environment.proxies))]
		proxy.kill()
		proxy.start()
	}},
	{"a proxy is frozen", func(environment *simulation) {
		environment.proxies[environment.random.IntN(len(environment.proxies))].freeze(2 * time.Second)
	}},
	{"the store is unavailable", func(environment *simulation) {
		environment.storeDown = true
		environment.runAfter(3*time.Second, func() { environment.storeDown = false })
	}},
	{"promotion calls are delayed", func(environment *simulation) {
		environment.latePromotionShare = 0.5
		environment.runAfter(5*time.Second, func() { environment.latePromotionShare = 0 })
	}},
}

// crash stops the instance, rolls back its open transactions and restarts it after the given
// time. The log is kept except for entries that a new primary lacks.
func (instance *instance) crash(span time.Duration) {
	instance.up = false
	instance.pausedTerm = 0
	environment := instance.simulation
	for _, proxy := range environment.proxies {
		for _, conn := range proxy.conns {
			if conn.instance == instance {
				conn.rollBack()
			}
		}
	}
	environment.publishListings()
	environment.runAfter(span, func() {
		instance.up = true
		if environment.primary != nil && environment.primary != instance {
			instance.truncate(environment.primary)
		}
		environment.publishListings()
	})
}

// newBusySimulation returns an environment with traffic for the given time. If the test
// fails, the state of the environment is logged.
func newBusySimulation(t *testing.T, seed uint64, span time.Duration) *simulation {
	t.Helper()
	environment := newSimulation(seed)
	t.Cleanup(func() { logFailure(t, environment) })
	environment.run(2 * time.Second)
	startTraffic(environment, span)
	return environment
}

// Each pair of faults, including a fault repeated: the second one is injected 400 ms after
// the first one. No guarantee is violated, and the group serves requests again afterwards.
func TestFaults(t *testing.T) {
	for first := range faults {
		for second := first; second < len(faults); second++ {
			t.Run(faults[first].name+", "+faults[second].name, func(t *testing.T) {
				is := is.New(t)
				environment := newBusySimulation(t, uint64(1000*first+second), 14*time.Second)
				environment.run(time.Second)
				faults[first].inject(environment)
				environment.run(400 * time.Millisecond)
				faults[second].inject(environment)
				environment.run(14 * time.Second)
				is.Equal(environment.oracle.violations, nil)
				served, requested := environment.oracle.served, environment.oracle.requested
				startTraffic(environment, 2*time.Second)
				environment.run(4 * time.Second)
				// After recovery at least 95 % of the requests succeed.
				is.True(100*(environment.oracle.served-served) >= 95*(environment.oracle.requested-requested))
				is.Equal(environment.oracle.violations, nil)
			})
		}
	}
}

// The primary is lost while the promoter and one more proxy cannot reach the store, so only
// one proxy can publish that the primary is unusable. The primary is replaced once its
// entry has disappeared, a few seconds later.
func TestPromoterWithoutStore(t *testing.T) {
	is := is.New(t)
	environment := newBusySimulation(t, 7, 12*time.Second)
	environment.run(time.Second)
	former := environment.primary
	for _, proxy := range environment.proxies[:2] {
		proxy.storeUnreachable = true
	}
	former.up = false
	environment.runAfter(3600*time.Millisecond, environment.publishListings)
	environment.run(5600 * time.Millisecond)
	is.True(environment.primary != former)
	is.Equal(environment.oracle.violations, nil)
}

// A leaving primary is replaced exactly once, by an instance that is not leaving, at any
// offset from the promoter's last probe of it.
func TestPrimaryLeaves(t *testing.T) {
	for index := range 8 {
		t.Run(strconv.Itoa(index), func(t *testing.T) {
			is := is.New(t)
			environment := newBusySimulation(t, uint64(index), 14*time.Second)
			environment.run(4*time.Second + time.Duration(index)*500*time.Millisecond)
			former := environment.primary
			former.leaving = true
			environment.publishListings()
			environment.run(2 * time.Second)
			is.True(environment.primary != nil && environment.primary != former)
			is.Equal(environment.term, model.Term(2))
			is.Equal(environment.oracle.violations, nil)
		})
	}
}

// A primary restarts after all proxies have restarted, so the promoter has not observed it.
// Its replicas are paused, so its commits wait for replication and occupy every slot, and
// probes are refused. Another instance must be promoted.
func TestReturningPrimaryWithoutFreeSlots(t *testing.T) {
	is := is.New(t)
	environment := newBusySimulation(t, 133, 20*time.Second)
	environment.run(time.Second)
	former := environment.primary
	former.crash(3 * time.Second)
	former.probesRefused = true
	for _, proxy := range environment.proxies {
		proxy.kill()
		proxy.start()
	}
	environment.run(10 * time.Second)
	is.True(environment.primary != nil && environment.primary != former)
	is.Equal(environment.oracle.violations, nil)
}

// A replica is lost permanently, and the primary soon afterwards. The remaining instance
// has every acknowledged commit. It can be promoted because the lost replica is no longer
// counted among the instances that may hold acknowledged commits.
func TestReplicaThenPrimaryLost(t *testing.T) {
	for index := range 8 {
		t.Run(strconv.Itoa(index), func(t *testing.T) {
			is := is.New(t)
			environment := newBusySimulation(t, uint64(index), 20*time.Second)
			environment.run(time.Second + time.Duration(index)*500*time.Millisecond)
			environment.instances[2].up = false
			environment.publishListings()
			// The instance is unlisted after 2.5 s and no longer counted after 2 s without an answer.
			environment.run(5500 * time.Millisecond)
			environment.instances[0].up = false
			environment.publishListings()
			environment.run(8 * time.Second)
			is.True(environment.primary == environment.instances[1])
			is.Equal(environment.oracle.violations, nil)
		})
	}
}

// The primary is lost while the store is unavailable. The proxies publish that it is
// unusable as soon as the store is available again, not only with their next heartbeat.
func TestPrimaryLostDuringStoreOutage(t *testing.T) {
	for index := range 6 {
		t.Run(strconv.Itoa(index), func(t *testing.T) {
			is := is.New(t)
			environment := newBusySimulation(t, uint64(index), 20*time.Second)
			environment.run(time.Duration(index) * time.Second)
			environment.storeDown = true
			environment.run(time.Second)
			former := environment.primary
			former.up = false
			environment.run(7 * time.Second)
			is.True(environment.primary == former) // no proxy can renew the lease, so none orders a promotion
			environment.storeDown = false
			environment.run(2 * time.Second)
			is.True(environment.primary != former)
			is.Equal(environment.oracle.violations, nil)
		})
	}
}

// The primary is lost permanently, and all proxies are killed before one of them orders a
// promotion. The restarted proxies have not observed the primary and learn of it from the
// lease row.
func TestPrimaryAndAllProxiesLost(t *testing.T) {
	is := is.New(t)
	environment := newBusySimulation(t, 2006, 20*time.Second)
	environment.run(6 * time.Second)
	former := environment.primary
	former.up = false
	environment.publishListings()
	environment.run(300 * time.Millisecond)
	for _, proxy := range environment.proxies {
		proxy.kill()
		proxy.start()
	}
	environment.run(8 * time.Second)
	is.True(environment.primary != former)
	is.Equal(environment.oracle.violations, nil)
}

// Requests that find no free slot are refused at once and do not wait.
func TestNoFreeSlotIsRefused(t *testing.T) {
	is := is.New(t)
	environment := newBusySimulation(t, 9, time.Second)
	for _, instance := range environment.instances {
		instance.busyUntil = environment.now + 10*time.Second
	}
	environment.run(2 * time.Second)
	is.True(environment.oracle.requested > 10)
	is.Equal(environment.oracle.served, 0)
	for _, proxy := range environment.proxies {
		is.Equal(len(proxy.pendingReplies), 0)
	}
}

// Random faults at random times, some of them overlapping. Seeds that have violated a
// guarantee stay in the list.
func TestRandomHistories(t *testing.T) {
	for _, seed := range historySeeds(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			is := is.New(t)
			environment := newBusySimulation(t, seed, 20*time.Second)
			for range 8 {
				environment.run(time.Duration(environment.random.Int64N(int64(2500 * time.Millisecond))))
				chosen := faults[environment.random.IntN(len(faults))]
				environment.logLines = append(environment.logLines, environment.now.String()+" FAULT "+chosen.name)
				chosen.inject(environment)
			}
			environment.run(20 * time.Second)
			is.Equal(environment.oracle.violations, nil)
			served, requested := environment.oracle.served, environment.oracle.requested
			startTraffic(environment, 2*time.Second)
			environment.run(4 * time.Second)
			is.True(100*(environment.oracle.served-served) >= 95*(environment.oracle.requested-requested))
			is.Equal(environment.oracle.violations, nil)
		})
	}
}

// logFailure logs the decisions of the proxies and the state of the instances if the test failed.
func logFailure(t *testing.T, environment *simulation) {
	if !t.Failed() {
		return
	}
	for _, line := range environment.logLines {
		t.Log(line)
	}
	for _, instance := range environment.instances {
		t.Logf("%s: up %v, primary %v, paused in term %d, log length %d", instance.id, instance.up, instance.isPrimary(), instance.pausedTerm, len(instance.log))
	}
}

// historySeeds returns the fixed seeds and as many fresh ones as CITY_HISTORIES sets. If
// CITY_SEED is set, it returns only that seed.
func historySeeds(t *testing.T) []uint64 {
	if fixed, err := strconv.ParseUint(os.Getenv("CITY_SEED"), 10, 64); err == nil {
		return []uint64{fixed}
	}
	seeds := []uint64{1796338088815364219, 1796338088815364326, 20261203, 20261204, 20261205, 20261206, 20261207, 20261208, 20261209, 20261210}
	count, _ := strconv.Atoi(os.Getenv("CITY_HISTORIES"))
	fresh := uint64(time.Now().UnixNano())
	for index := range count {
		seeds = append(seeds, fresh+uint64(index))
	}
	t.Logf("fresh seeds start at %d", fresh)
	return seeds
}

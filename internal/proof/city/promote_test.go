package city

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/model"
)

// runUntilReplaced runs until another instance is the primary, for 10 s at most, and
// returns the time that this took.
func (simulation *simulation) runUntilReplaced(former *instance) time.Duration {
	began := simulation.now
	for simulation.primary == former && simulation.now < began+10*time.Second {
		simulation.run(50 * time.Millisecond)
	}
	return simulation.now - began
}

// losePromoter ends the proxy that took the lease first for good.
func (simulation *simulation) losePromoter() {
	simulation.proxies[0].kill()
	simulation.proxies[0].down = true
}

// goSilent makes the instance unreachable from all proxies.
func (instance *instance) goSilent() {
	for _, proxy := range instance.simulation.proxies {
		instance.unreachableFrom[proxy] = true
	}
}

// The primary is lost while the promoter, which is the proxy that orders promotions, and one
// more proxy cannot reach the store. Only one proxy can publish that the primary is unusable.
// The primary is replaced once its entry has disappeared, a few seconds later.
func TestPromoterWithoutStore(t *testing.T) {
	is := is.New(t)
	simulation := newBusySimulation(t, 7, 12*time.Second)
	simulation.run(time.Second)
	former := simulation.primary
	for _, proxy := range simulation.proxies[:2] {
		proxy.storeUnreachable = true
	}
	former.up = false
	simulation.runAfter(3600*time.Millisecond, simulation.publishListings)
	simulation.run(5600 * time.Millisecond)
	is.True(simulation.primary != former)
	is.Equal(simulation.oracle.violations, nil)
}

// The primary and the promoter are lost at the same time. The next promoter replaces the
// primary right after the lease of the lost one has ended.
func TestPrimaryAndPromoterLost(t *testing.T) {
	for index := range 4 {
		t.Run(strconv.Itoa(index), func(t *testing.T) {
			is := is.New(t)
			simulation := newBusySimulation(t, uint64(index), 12*time.Second)
			simulation.run(time.Second + time.Duration(index)*250*time.Millisecond)
			former := simulation.primary
			former.up = false
			simulation.losePromoter()
			simulation.publishListings()
			replacedAfter := simulation.runUntilReplaced(former)
			// 3 s of lease, 0.4 s until it is read again, 0.2 s of probes, 0.3 s of the promotion and
			// 0.1 s of calls.
			is.True(replacedAfter <= 4*time.Second)
			is.Equal(simulation.oracle.violations, nil)
		})
	}
}

// The primary goes silent under traffic. It is pinged once it has answered nothing for 0.3 s,
// not only when the mark or a statement gets too old.
func TestSilentPrimary(t *testing.T) {
	for index := range 4 {
		t.Run(strconv.Itoa(index), func(t *testing.T) {
			is := is.New(t)
			simulation := newBusySimulation(t, uint64(index), 14*time.Second)
			simulation.run(time.Second + time.Duration(index)*250*time.Millisecond)
			former := simulation.primary
			former.goSilent()
			replacedAfter := simulation.runUntilReplaced(former)
			// 0.4 s until the first ping, 1 s of two pings, 0.3 s until the complaints are read and
			// 0.3 s of the promotion.
			is.True(replacedAfter <= 2*time.Second)
			is.Equal(simulation.oracle.violations, nil)
		})
	}
}

// The promoter is lost, and some seconds later the primary goes silent. The next promoter
// takes the word of most proxies, its own included, and does not wait until its own probes
// have shown the loss once more.
func TestSilentPrimaryAfterPromoterLost(t *testing.T) {
	for index := range 4 {
		t.Run(strconv.Itoa(index), func(t *testing.T) {
			is := is.New(t)
			simulation := newBusySimulation(t, uint64(index), 14*time.Second)
			simulation.run(time.Second + time.Duration(index)*250*time.Millisecond)
			simulation.losePromoter()
			simulation.run(2800 * time.Millisecond)
			former := simulation.primary
			former.goSilent()
			replacedAfter := simulation.runUntilReplaced(former)
			// 2 s until most proxies complain, 0.4 s until the complaints are read, 0.3 s for the
			// step-down that is not answered and 0.3 s of the promotion.
			is.True(replacedAfter <= 3*time.Second)
			is.Equal(simulation.oracle.violations, nil)
		})
	}
}

// A leaving primary is replaced exactly once, by an instance that is not leaving, at any
// offset from the promoter's last probe of it.
func TestPrimaryLeaves(t *testing.T) {
	for index := range 8 {
		t.Run(strconv.Itoa(index), func(t *testing.T) {
			is := is.New(t)
			simulation := newBusySimulation(t, uint64(index), 14*time.Second)
			simulation.run(4*time.Second + time.Duration(index)*500*time.Millisecond)
			former := simulation.primary
			former.leaving = true
			simulation.publishListings()
			simulation.run(2 * time.Second)
			is.True(simulation.primary != nil && simulation.primary != former)
			is.Equal(simulation.term, model.Term(2))
			is.Equal(simulation.oracle.violations, nil)
		})
	}
}

// A primary restarts after all proxies have restarted, so the promoter has not observed it.
// Its replicas are paused, so its commits wait for replication and occupy every slot, and
// probes are refused. Another instance must be promoted.
func TestReturningPrimaryWithoutFreeSlots(t *testing.T) {
	is := is.New(t)
	simulation := newBusySimulation(t, 133, 20*time.Second)
	simulation.run(time.Second)
	former := simulation.primary
	former.crash(3 * time.Second)
	former.probesRefused = true
	for _, proxy := range simulation.proxies {
		proxy.kill()
		proxy.start()
	}
	simulation.run(10 * time.Second)
	is.True(simulation.primary != nil && simulation.primary != former)
	is.Equal(simulation.oracle.violations, nil)
}

// A replica is lost permanently, and the primary soon afterwards. The remaining instance
// has every acknowledged commit. It can be promoted because the lost replica is no longer
// counted among the instances that may hold acknowledged commits.
func TestReplicaThenPrimaryLost(t *testing.T) {
	for index := range 8 {
		t.Run(strconv.Itoa(index), func(t *testing.T) {
			is := is.New(t)
			simulation := newBusySimulation(t, uint64(index), 20*time.Second)
			simulation.run(time.Second + time.Duration(index)*500*time.Millisecond)
			simulation.instances[2].up = false
			simulation.publishListings()
			// The instance is unlisted after 2.5 s and no longer counted after 2 s without an answer.
			simulation.run(5500 * time.Millisecond)
			simulation.instances[0].up = false
			simulation.publishListings()
			simulation.run(8 * time.Second)
			is.True(simulation.primary == simulation.instances[1])
			is.Equal(simulation.oracle.violations, nil)
		})
	}
}

// The primary is lost while the store is unavailable. The proxies publish that it is
// unusable as soon as the store is available again, not only with their next heartbeat.
func TestPrimaryLostDuringStoreOutage(t *testing.T) {
	for index := range 6 {
		t.Run(strconv.Itoa(index), func(t *testing.T) {
			is := is.New(t)
			simulation := newBusySimulation(t, uint64(index), 20*time.Second)
			simulation.run(time.Duration(index) * time.Second)
			simulation.store.down = true
			simulation.run(time.Second)
			former := simulation.primary
			former.up = false
			simulation.run(7 * time.Second)
			is.True(simulation.primary == former) // no proxy can renew the lease, so none orders a promotion
			simulation.store.down = false
			simulation.run(2 * time.Second)
			is.True(simulation.primary != former)
			is.Equal(simulation.oracle.violations, nil)
		})
	}
}

// The primary is lost permanently, and all proxies are killed before one of them orders a
// promotion. The restarted proxies have not observed the primary and learn of it from the
// lease row.
func TestPrimaryAndAllProxiesLost(t *testing.T) {
	is := is.New(t)
	simulation := newBusySimulation(t, 2006, 20*time.Second)
	simulation.run(6 * time.Second)
	former := simulation.primary
	former.up = false
	simulation.publishListings()
	simulation.run(300 * time.Millisecond)
	for _, proxy := range simulation.proxies {
		proxy.kill()
		proxy.start()
	}
	simulation.run(8 * time.Second)
	is.True(simulation.primary != former)
	is.Equal(simulation.oracle.violations, nil)
}

// A primary is leaving when all proxies restart. They get the configuration last, when one
// of them already holds the lease. It starts the promotion before it has observed a term, so
// its first orders have a term that is too low. An instance answers such an order with an
// error or with its unchanged status.
func TestPromoterKnowsNoTerm(t *testing.T) {
	for _, answered := range []bool{false, true} {
		t.Run(strconv.FormatBool(answered), func(t *testing.T) {
			is := is.New(t)
			simulation := newBusySimulation(t, 7, 12*time.Second)
			simulation.staleOrdersAnswered = answered
			simulation.run(time.Second)
			former := simulation.primary
			former.leaving = true
			for _, proxy := range simulation.proxies {
				proxy.kill()
				proxy.tick()
			}
			simulation.publishListings()
			simulation.run(4 * time.Second)
			for _, proxy := range simulation.proxies {
				proxy.start()
			}
			simulation.run(2 * time.Second)
			is.True(simulation.primary != nil && simulation.primary != former)
			is.Equal(simulation.oracle.violations, nil)
		})
	}
}

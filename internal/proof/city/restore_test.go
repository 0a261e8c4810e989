package city

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	maxCopyAge    = 10 * time.Second
	restoreOutage = 400 * time.Millisecond // for which the store is away before it comes back
)

// restoreStore makes the store unavailable for a moment and then brings it back from a copy of
// the given age.
func (simulation *simulation) restoreStore(age time.Duration) {
	simulation.store.down = true
	simulation.runAfter(restoreOutage, func() {
		simulation.store.down = false
		simulation.store.restore(restoreOutage + age)
	})
}

func (simulation *simulation) randomCopyAge() time.Duration {
	return 100*time.Millisecond + time.Duration(simulation.random.Int64N(int64(maxCopyAge)))
}

// restoreFaults are restores of the store in combination with other faults.
var restoreFaults = []fault{
	{"the store is restored", func(simulation *simulation) { simulation.restoreStore(simulation.randomCopyAge()) }},
	{"the store is restored twice", func(simulation *simulation) {
		age := simulation.randomCopyAge()
		simulation.restoreStore(age)
		simulation.runAfter(time.Duration(simulation.random.Int64N(int64(4*time.Second))), func() { simulation.restoreStore(age / 4) })
	}},
	{"the store is restored while a proxy cannot reach it", func(simulation *simulation) {
		proxy := simulation.proxies[simulation.random.IntN(len(simulation.proxies))]
		proxy.storeUnreachable = true
		simulation.runAfter(4*time.Second, func() { proxy.storeUnreachable = false })
		simulation.runAfter(time.Second, func() { simulation.restoreStore(simulation.randomCopyAge()) })
	}},
	{"the store is restored with writes under way", func(simulation *simulation) {
		simulation.store.writesLate = true
		simulation.runAfter(time.Second, func() {
			simulation.store.writesLate = false
			simulation.restoreStore(simulation.randomCopyAge())
		})
	}},
	{"the store is restored and a proxy is killed", func(simulation *simulation) {
		proxy := simulation.proxies[simulation.random.IntN(len(simulation.proxies))]
		proxy.kill()
		proxy.start()
		simulation.restoreStore(simulation.randomCopyAge())
	}},
	{"the store is restored and promotion calls are delayed", func(simulation *simulation) {
		simulation.latePromotionShare = 1
		simulation.runAfter(2*time.Second, func() {
			simulation.latePromotionShare = 0
			simulation.restoreStore(simulation.randomCopyAge())
		})
	}},
}

// The store is restored while a proxy holds the lease. The proxy takes the lease again at once
// and replaces a primary that is lost then as fast as at other times.
func TestPromoterOutlastsRestore(t *testing.T) {
	for index := range 4 {
		t.Run(strconv.Itoa(index), func(t *testing.T) {
			is := is.New(t)
			simulation := newBusySimulation(t, uint64(index), 14*time.Second)
			simulation.run(time.Duration(index) * 700 * time.Millisecond)
			simulation.restoreStore(time.Duration(index) * time.Second)
			// The lease is renewed every second.
			simulation.run(restoreOutage + 1200*time.Millisecond)
			former := simulation.primary
			former.up = false
			simulation.publishListings()
			is.True(simulation.runUntilReplaced(former) <= 2*time.Second)
			is.Equal(simulation.oracle.violations, nil)
		})
	}
}

// A promoter is lost right after it has ordered a promotion, whose call is carried out seconds
// later, and the store is restored from a copy that lacks the order, or the lease too. The next
// promoter waits until the order can no longer be carried out, and uses other tokens.
func TestOrderForgottenByRestore(t *testing.T) {
	for index := range 12 {
		t.Run(strconv.Itoa(index), func(t *testing.T) {
			is := is.New(t)
			simulation := newBusySimulation(t, uint64(index), 40*time.Second)
			simulation.run(5 * time.Second)
			simulation.latePromotionShare = 1
			former := simulation.primary
			former.crash(1500 * time.Millisecond)
			for len(simulation.oracle.tokens) == 0 {
				simulation.run(10 * time.Millisecond)
			}
			for _, proxy := range simulation.proxies {
				proxy.kill()
				proxy.start()
			}
			simulation.restoreStore(time.Duration(2+index) * time.Second)
			simulation.run(2 * time.Second)
			simulation.latePromotionShare = 0
			simulation.run(30 * time.Second)
			checkRecovery(is, simulation)
		})
	}
}

// Each other fault 400 ms before and after a restore.
func TestFaultsAroundRestore(t *testing.T) {
	for _, restore := range restoreFaults {
		for index, other := range faults {
			for _, order := range [][]fault{{restore, other}, {other, restore}} {
				t.Run(order[0].name+", "+order[1].name, func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					simulation := newBusySimulation(t, uint64(index), 14*time.Second)
					simulation.run(5 * time.Second)
					order[0].inject(simulation)
					simulation.run(400 * time.Millisecond)
					order[1].inject(simulation)
					simulation.run(30 * time.Second)
					checkRecovery(is, simulation)
				})
			}
		}
	}
}

func TestRandomHistoriesWithRestores(t *testing.T) {
	runRandomHistories(t, append(append([]fault(nil), faults...), restoreFaults...))
}

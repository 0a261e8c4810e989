package city

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/count"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// joinUnlisted adds a replica like join, which is listed only after a time.
func (simulation *simulation) joinUnlisted(id model.InstanceID, listedAfter time.Duration) {
	joined := simulation.addReplica(id)
	joined.unlisted = true
	simulation.runAfter(listedAfter, func() {
		joined.unlisted = false
		simulation.publishListings()
	})
}

// countLogged returns how often the proxies have logged a decision.
func (simulation *simulation) countLogged(name string) int {
	logged := 0
	for _, line := range simulation.logLines {
		if strings.Contains(line, " "+name+" ") {
			logged++
		}
	}
	return logged
}

// counted returns the sum of a counter over the proxies.
func (simulation *simulation) counted(name count.Name) uint64 {
	sum := uint64(0)
	for _, proxy := range simulation.proxies {
		sum += proxy.kernel.State().Counts().Value(name)
	}
	return sum
}

// isolatePrimary makes the primary reachable from the last proxy only, which the other proxies cannot
// reach.
func (simulation *simulation) isolatePrimary() {
	last := simulation.proxies[proxyCount-1]
	for _, proxy := range simulation.proxies[:proxyCount-1] {
		simulation.primary.unreachableFrom[proxy] = true
		last.cutFrom[proxy] = true
	}
}

// Guards against commits that a replica acknowledges before the promoter knows it, and that a promotion undoes.
func TestReplicaJoinsUnknownDuringPromotion(t *testing.T) {
	for index := range 8 {
		t.Run(strconv.Itoa(index), func(t *testing.T) {
			is := is.New(t)
			simulation := newBusySimulation(t, uint64(51+index), 16*time.Second)
			simulation.promotionDelay = time.Second
			simulation.run(time.Second + time.Duration(index)*70*time.Millisecond)
			simulation.isolatePrimary()
			simulation.runUntilLogged("promotion_chosen")
			simulation.run(time.Duration(index) * 100 * time.Millisecond)
			simulation.joinUnlisted("i-d", time.Second)
			simulation.joinUnlisted("i-e", 30*time.Millisecond)
			simulation.run(5 * time.Second)
			clear(simulation.proxies[proxyCount-1].cutFrom)
			simulation.run(9 * time.Second)
			checkRecovery(is, simulation)
		})
	}
}

// Guards against commits that the late order of a lost promoter undoes.
func TestLateOrderOfLostPromoter(t *testing.T) {
	for index := range 8 {
		t.Run(strconv.Itoa(index), func(t *testing.T) {
			is := is.New(t)
			simulation := newBusySimulation(t, uint64(51+index), 20*time.Second)
			simulation.promotionDelay = 2500 * time.Millisecond
			simulation.run(time.Second + time.Duration(index)*70*time.Millisecond)
			simulation.isolatePrimary()
			simulation.runUntilLogged("promotion_ordered")
			simulation.run(10 * time.Millisecond)
			simulation.losePromoter()
			restarted := simulation.instances[2]
			simulation.runAfter(1500*time.Millisecond, func() { restarted.crash(50 * time.Millisecond) })
			simulation.run(6 * time.Second)
			clear(simulation.proxies[proxyCount-1].cutFrom)
			simulation.run(14 * time.Second)
			checkRecovery(is, simulation)
		})
	}
}

// While commits cannot be confirmed, callers get no promise and no answer after their deadline.
func TestUnconfirmedCommits(t *testing.T) {
	is := is.New(t)
	simulation := newBusySimulation(t, 51, 16*time.Second)
	simulation.promotionDelay = 3 * time.Second
	simulation.run(time.Second)
	simulation.isolatePrimary()
	simulation.runUntilLogged("promotion_ordered")
	simulation.joinUnlisted("i-d", 2500*time.Millisecond)
	simulation.runAfter(500*time.Millisecond, func() { simulation.openSession(simulation.proxies[proxyCount-1], "primary").write() })
	simulation.run(2 * time.Second)
	is.True(simulation.countLogged("commit_withheld") > 0)
	is.True(simulation.counted(count.CommitsInDoubt) > 0)
	is.True(simulation.refusals["commits of the group cannot be confirmed"] > 0)
	simulation.run(10 * time.Second)
	is.True(len(simulation.oracle.undone) > 0) // an instance had acknowledged them
	checkRecovery(is, simulation)
}

// A proxy that shuts down answers the callers of commits that are not confirmed.
func TestShutdownWithUnconfirmedCommits(t *testing.T) {
	is := is.New(t)
	simulation := newBusySimulation(t, 51, 16*time.Second)
	simulation.promotionDelay = 3 * time.Second
	simulation.run(time.Second)
	simulation.isolatePrimary()
	simulation.runUntilLogged("promotion_ordered")
	simulation.joinUnlisted("i-d", 2500*time.Millisecond)
	simulation.run(200 * time.Millisecond)
	last := simulation.proxies[proxyCount-1]
	is.True(len(last.pendingReplies) > 0)
	last.post(0, event.NewShutdownRequested(200*time.Millisecond))
	simulation.run(250 * time.Millisecond)
	is.Equal(len(last.pendingReplies), 0)
	simulation.run(3 * time.Second)
	is.Equal(simulation.oracle.violations, nil)
}

// Commits go on while nobody orders promotions: replicas that were known before confirm them.
func TestCommitsWithoutPromoter(t *testing.T) {
	tests := []struct {
		name string
		lose func(simulation *simulation)
	}{
		{"the promoter is lost", func(simulation *simulation) { simulation.losePromoter() }},
		{"the promoter is frozen", func(simulation *simulation) { simulation.proxies[0].freeze(2900 * time.Millisecond) }},
		{"the promoter is cut off", func(simulation *simulation) {
			for _, proxy := range simulation.proxies[1:] {
				simulation.proxies[0].cutFrom[proxy] = true
			}
		}},
		{"the store is away", func(simulation *simulation) { simulation.store.down = true }},
		{"the store is away and the promoter is lost", func(simulation *simulation) {
			simulation.store.down = true
			simulation.losePromoter()
		}},
	}
	for _, test := range tests {
		for index := range 3 {
			t.Run(test.name+"/"+strconv.Itoa(index), func(t *testing.T) {
				is := is.New(t)
				simulation := newBusySimulation(t, uint64(51+index), 16*time.Second)
				simulation.run(2 * time.Second)
				test.lose(simulation)
				confirmed := simulation.counted(count.CommitsConfirmedByReplica)
				served, requested := servedBy(simulation.proxies[1:]), simulation.counted(count.Requests)
				simulation.run(2900 * time.Millisecond)
				is.True(simulation.counted(count.Requests) > requested)
				is.True(servedBy(simulation.proxies[1:]) > served)
				is.Equal(simulation.counted(count.CommitsInDoubt), uint64(0))
				is.Equal(simulation.refusals["commits of the group cannot be confirmed"], 0)
				if test.name != "the store is away" {
					is.True(simulation.counted(count.CommitsConfirmedByReplica) > confirmed)
				}
				simulation.store.down = false
				clear(simulation.proxies[0].cutFrom)
				simulation.run(14 * time.Second)
				is.Equal(simulation.oracle.violations, nil)
			})
		}
	}
}

// servedBy returns the number of commits that proxies have confirmed.
func servedBy(proxies []*proxy) uint64 {
	sum := uint64(0)
	for _, proxy := range proxies {
		counts := proxy.kernel.State().Counts()
		sum += counts.Value(count.CommitsConfirmed) + counts.Value(count.CommitsConfirmedByReplica)
	}
	return sum
}

// Commits are passed on while a proxy of a version that confirms none orders promotions.
func TestCommitsBesideOldPromoter(t *testing.T) {
	is := is.New(t)
	simulation := newBusySimulation(t, 51, 6*time.Second)
	simulation.proxies[0].oldBuild = true
	simulation.run(4 * time.Second)
	is.True(simulation.counted(count.CommitsUnconfirmed) > 0)
	is.Equal(simulation.counted(count.CommitsInDoubt), uint64(0))
	is.Equal(simulation.countLogged("commit_confirmation_unavailable"), proxyCount-1)
	simulation.proxies[0].oldBuild = false
	unconfirmed := simulation.counted(count.CommitsUnconfirmed)
	simulation.run(2 * time.Second)
	is.Equal(simulation.counted(count.CommitsUnconfirmed), unconfirmed)
	checkRecovery(is, simulation)
}

// faultsAroundJoins are faults of the proxies and the primary during which replicas start that are listed
// late.
var faultsAroundJoins = []fault{
	{"a replica joins and is listed late", func(simulation *simulation) {
		simulation.joinUnlisted(model.InstanceID("i-"+strconv.Itoa(len(simulation.instances))), time.Duration(simulation.random.Int64N(int64(80*time.Millisecond))))
	}},
	{"one proxy alone reaches the primary", func(simulation *simulation) {
		primary, alone := simulation.primary, simulation.proxies[simulation.random.IntN(proxyCount)]
		for _, proxy := range simulation.proxies {
			if primary == nil || proxy == alone {
				continue
			}
			primary.unreachableFrom[proxy], alone.cutFrom[proxy] = true, true
			simulation.runAfter(3*time.Second, func() {
				delete(primary.unreachableFrom, proxy)
				delete(alone.cutFrom, proxy)
			})
		}
	}},
	{"a proxy is away for a second", func(simulation *simulation) {
		proxy := simulation.proxies[simulation.random.IntN(proxyCount)]
		proxy.kill()
		proxy.down = true
		simulation.runAfter(time.Second, func() {
			proxy.reset()
			proxy.down = false
			proxy.start()
		})
	}},
	{"proxies do not reach each other", func(simulation *simulation) {
		first, second := simulation.proxies[simulation.random.IntN(proxyCount)], simulation.proxies[simulation.random.IntN(proxyCount)]
		first.cutFrom[second] = true
		simulation.runAfter(2*time.Second, func() { delete(first.cutFrom, second) })
	}},
	{"the store is away for a proxy", func(simulation *simulation) {
		proxy := simulation.proxies[simulation.random.IntN(proxyCount)]
		proxy.storeUnreachable = true
		simulation.runAfter(3*time.Second, func() { proxy.storeUnreachable = false })
	}},
	{"a replica restarts", func(simulation *simulation) {
		for _, instance := range simulation.instances {
			if !instance.isPrimary() && instance.up {
				instance.crash(50 * time.Millisecond)
				return
			}
		}
	}},
}

// Random faults with replicas that join at any time. Seeds that have lost a commit stay in the list.
func TestRandomHistoriesWithJoins(t *testing.T) {
	runRandomHistories(t, slices.Concat(faults, faultsAroundJoins, faultsAroundJoins))
}

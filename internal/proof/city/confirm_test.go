package city

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

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

// isolatePrimary makes the primary reachable from the last proxy only, which the other proxies cannot
// reach.
func (simulation *simulation) isolatePrimary() {
	last := simulation.proxies[proxyCount-1]
	for _, proxy := range simulation.proxies[:proxyCount-1] {
		simulation.primary.unreachableFrom[proxy] = true
		last.cutFrom[proxy] = true
	}
}

// Guards against the loss of commits that replicas acknowledge before the promoter knows them, through a
// proxy that the promoter cannot reach.
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

// Guards against the loss of commits that are acknowledged between a promotion order and the time when it
// takes effect, after its promoter was lost and a paused replica has restarted.
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


package city

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/model"
)

// join adds a replica that has just started, with the log of the primary.
func (simulation *simulation) join(id model.InstanceID) {
	simulation.addReplica(id)
	simulation.publishListings()
}

// addReplica starts a replica with the log of the primary.
func (simulation *simulation) addReplica(id model.InstanceID) *instance {
	joined := &instance{simulation: simulation, id: id, group: groupID, dataCenter: "trnje-hall", up: true, unreachableFrom: make(map[*proxy]bool)}
	if primary := simulation.primary; primary != nil && primary.up {
		joined.log = append(joined.log, primary.log...)
		joined.receivedAt = append(joined.receivedAt, primary.receivedAt...)
	}
	simulation.instances = append(simulation.instances, joined)
	return joined
}

// runUntilLogged runs until a proxy has logged a decision, for 10 s at most.
func (simulation *simulation) runUntilLogged(name string) {
	for until := simulation.now + 10*time.Second; simulation.now < until; {
		simulation.run(5 * time.Millisecond)
		if slices.ContainsFunc(simulation.logLines, func(line string) bool { return strings.Contains(line, " "+name+" ") }) {
			return
		}
	}
	panic("no proxy has logged " + name)
}

// Guards against the loss of commits that are acknowledged while a promotion order is on its way:
// a replica starts then, or a paused one restarts, and the primary is back.
func TestPrimaryReturnsDuringPromotion(t *testing.T) {
	replicaStarts := func(simulation *simulation) { simulation.join("i-d") }
	replicaRestarts := func(simulation *simulation) { simulation.instances[2].crash(20 * time.Millisecond) }
	tests := []struct {
		name           string
		promotionDelay time.Duration
		lostAnswers    bool // the platform carries the orders out seconds later
		// joinAfter and returnAfter are the times from the order to that of a replica and of the primary.
		joinAfter, returnAfter time.Duration
		join                   func(simulation *simulation)
	}{
		{"a replica starts before the primary is back", time.Second, false, 100 * time.Millisecond, 400 * time.Millisecond, replicaStarts},
		{"a replica starts after the primary is back", time.Second, false, 500 * time.Millisecond, 300 * time.Millisecond, replicaStarts},
		{"a paused replica restarts before the primary is back", time.Second, false, 100 * time.Millisecond, 400 * time.Millisecond, replicaRestarts},
		{"a paused replica restarts after the primary is back", time.Second, false, 500 * time.Millisecond, 300 * time.Millisecond, replicaRestarts},
		{"the order is carried out late", 3 * time.Second, false, 700 * time.Millisecond, time.Second, replicaStarts},
		{"the answer to the order is lost", time.Second, true, 1200 * time.Millisecond, 1500 * time.Millisecond, replicaStarts},
		{"the answer to the order is lost, later", time.Second, true, 2200 * time.Millisecond, 2500 * time.Millisecond, replicaStarts},
	}
	for _, test := range tests {
		for index := range 4 {
			t.Run(test.name+"/"+strconv.Itoa(index), func(t *testing.T) {
				is := is.New(t)
				simulation := newBusySimulation(t, uint64(45+index), 16*time.Second)
				simulation.promotionDelay = test.promotionDelay
				if test.lostAnswers {
					simulation.latePromotionShare = 1
					simulation.runAfter(6*time.Second, func() { simulation.latePromotionShare = 0 })
				}
				simulation.run(time.Second + time.Duration(index)*130*time.Millisecond)
				former := simulation.primary
				former.crash(time.Minute)
				simulation.runUntilLogged("promotion_ordered")
				simulation.runAfter(test.joinAfter, func() { test.join(simulation) })
				simulation.runAfter(test.returnAfter, former.restart)
				simulation.run(14 * time.Second)
				checkRecovery(is, simulation)
			})
		}
	}
}

// The promoter is lost right after its order, and the primary is back before the order is carried
// out. Before another proxy has the lease, a replica that starts is paused by a standby proxy. A
// promoter that knows the order from the lease row completes it.
func TestPromoterLostAfterOrder(t *testing.T) {
	tests := []struct {
		name                                   string
		promotionDelay, joinAfter, returnAfter time.Duration
	}{
		{"carried out before the lease has ended", 2500 * time.Millisecond, 1200 * time.Millisecond, 1500 * time.Millisecond},
		{"carried out under the next promoter", 6 * time.Second, 4500 * time.Millisecond, 1200 * time.Millisecond},
	}
	for _, test := range tests {
		for index := range 8 {
			t.Run(test.name+"/"+strconv.Itoa(index), func(t *testing.T) {
				is := is.New(t)
				simulation := newBusySimulation(t, uint64(45+index), 20*time.Second)
				simulation.promotionDelay = test.promotionDelay
				simulation.run(time.Second + time.Duration(index)*130*time.Millisecond)
				former := simulation.primary
				former.crash(time.Minute)
				simulation.runUntilLogged("promotion_ordered")
				simulation.run(10 * time.Millisecond)
				simulation.losePromoter()
				simulation.runAfter(test.joinAfter, func() { simulation.join("i-d") })
				simulation.runAfter(test.returnAfter, former.restart)
				simulation.run(18 * time.Second)
				checkRecovery(is, simulation)
			})
		}
	}
}

// Most proxies cannot reach the primary, and one still can. A replica starts while the promotion is
// on its way: what it acknowledges before it is paused is lost.
func TestPrimaryServesDuringPromotion(t *testing.T) {
	is := is.New(t)
	simulation := newBusySimulation(t, 45, 16*time.Second)
	simulation.promotionDelay = time.Second
	simulation.run(time.Second)
	for _, proxy := range simulation.proxies[:2] {
		simulation.primary.unreachableFrom[proxy] = true
	}
	simulation.runUntilLogged("promotion_ordered")
	simulation.run(300 * time.Millisecond)
	simulation.join("i-d")
	simulation.run(14 * time.Second)
	checkRecovery(is, simulation)
}

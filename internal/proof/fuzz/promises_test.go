package fuzz

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	scenarioSeed = 20261203
	scenarioKey  = "course"
	recoveryTime = 15 * time.Second
)

// scenario is a sequence of requests and faults against one promise. The naive
// proxy must break that promise, which shows that the scenario can detect a
// violation, and the product must keep every promise.
type scenario struct {
	name    string
	promise string
	attack  func(simulation *simulation)
}

var scenarios = []scenario{
	{"P1 write at one proxy, read at another while replicas lag", "P1", attackProxySwitch},
	{"P1 session token lost and replica frozen", "P1", attackLostToken},
	{"P1 read of a write that no replica has yet", "P1", attackDirtyRead},
	{"P2 primary cut off together with a proxy", "P2", attackPartitionedPrimary},
	{"P3 interleaved transactions", "P3", attackInterleaved},
	{"P4 late answer after a timeout", "P4", attackLateAnswer},
	{"P5 statement delayed beyond the timeout", "P5", attackLateStatement},
	{"P5 answer lost with the primary", "P5", attackLostAnswer},
	{"P5 primary killed at every moment of a write", "P5", attackKilledMidWrite},
	{"P5 tail of an older term after two promotions", "P5", attackOlderTail},
	{"P6 retry through another proxy", "P6", attackRetry},
	{"P7 stale host list", "P7", attackStaleHostList},
	{"P8 shutdown with requests and a transaction in flight", "P8", attackShutdown},
	{"P9 two operators race", "P9", attackConcurrentChanges},
	{"P10 primary killed after an acknowledgement", "P10", attackKilledPrimary},
	{"P10 only a lagging replica within reach", "P10", attackLaggingCandidate},
	{"P2 replica replaced by an empty one beside a cut-off primary", "P2", attackEmptyReplica},
	{"P11 replica cut off and idle", "P11", attackStaleReplica},
}

func TestPromises(t *testing.T) {
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Run("naive", func(t *testing.T) {
				is := is.New(t)
				simulation := runScenario(scenario, newNaiveProxy)
				is.True(simulation.oracle.violated(scenario.promise)) // the naive proxy must break the promise
			})
			t.Run("product", func(t *testing.T) {
				is := is.New(t)
				simulation := runScenario(scenario, newProductKernel)
				for _, violation := range simulation.oracle.violations {
					t.Error(violation)
				}
				is.Equal(len(simulation.oracle.violations), 0) // the product must keep every promise
				is.True(simulation.oracle.acknowledgedWrites() > 0 || scenario.promise == "P9")
			})
		})
	}
}

func runScenario(scenario scenario, newLogic logicFactory) *simulation {
	simulation := newSimulation(scenarioSeed, 1, 3, newLogic)
	scenario.attack(simulation)
	simulation.oracle.check()
	simulation.heal()
	simulation.run(recoveryTime)
	simulation.oracle.checkEnd()
	return simulation
}

// heal ends every fault.
func (simulation *simulation) heal() {
	simulation.platform.down = false
	simulation.platform.loseAnswers = false
	for _, proxy := range simulation.proxies {
		proxy.storePartitioned = false
		proxy.peersPartitioned = false
		clear(proxy.partitionedFrom)
		clear(proxy.dropsAnswersFrom)
		if proxy.frozen {
			proxy.thaw()
		}
	}
	for _, instance := range simulation.instances {
		instance.boot()
		instance.groupPartitioned = false
		instance.lag = 0
		instance.leaving = false
		simulation.platform.leavingHosts[instance.id] = false
		if instance.frozen {
			instance.thaw()
		}
	}
}

func (oracle *oracle) acknowledgedWrites() int {
	count := 0
	for _, request := range oracle.requests {
		if request.acknowledged() && request.statement != nil && request.statement.write {
			count++
		}
	}
	return count
}

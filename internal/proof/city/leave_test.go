package city

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// end ends the process of the instance for good. Its log is gone with it.
func (instance *instance) end() {
	instance.up = false
	instance.simulation.publishListings()
}

// leaveAlone lets a leaving replica, the third instance, acknowledge commits for a second while the
// other replica receives nothing, and then ends it.
func (simulation *simulation) leaveAlone() {
	staying, leaving := simulation.instances[1], simulation.instances[2]
	leaving.leaving = true
	simulation.publishListings()
	simulation.run(2 * time.Second)
	staying.replicationBlocked = true
	simulation.run(time.Second)
	leaving.end()
}

// Guards against the loss of commits that only a leaving replica had acknowledged beside the
// primary: once it has ended, no replica with a shorter log may be promoted.
func TestLeavingReplicaEnds(t *testing.T) {
	tests := []struct {
		name   string
		course func(simulation *simulation)
	}{
		{"primary cut off from its replica", func(simulation *simulation) {
			simulation.leaveAlone()
		}},
		{"primary lost for some seconds", func(simulation *simulation) {
			simulation.leaveAlone()
			simulation.primary.crash(3 * time.Second)
		}},
		{"primary lost later", func(simulation *simulation) {
			simulation.leaveAlone()
			simulation.run(3 * time.Second)
			simulation.primary.crash(2 * time.Second)
		}},
		{"promoter replaced", func(simulation *simulation) {
			simulation.leaveAlone()
			simulation.losePromoter()
		}},
		{"promoter and primary lost", func(simulation *simulation) {
			simulation.leaveAlone()
			simulation.losePromoter()
			simulation.primary.crash(5 * time.Second)
		}},
		{"entry lost while the instance still runs", func(simulation *simulation) {
			leaving := simulation.instances[2]
			simulation.runAfter(2500*time.Millisecond, func() {
				leaving.unlisted = true
				simulation.publishListings()
			})
			simulation.leaveAlone()
		}},
		{"store unavailable while the instance ends", func(simulation *simulation) {
			simulation.runAfter(2500*time.Millisecond, func() { simulation.store.down = true })
			simulation.leaveAlone()
			simulation.runAfter(time.Second, func() { simulation.store.down = false })
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			simulation := newBusySimulation(t, 45, 16*time.Second)
			simulation.run(time.Second)
			test.course(simulation)
			simulation.run(6 * time.Second)
			simulation.instances[1].replicationBlocked = false
			simulation.run(6 * time.Second)
			checkRecovery(is, simulation)
		})
	}
}

// A leaving replica ends while the other one has its log, and the primary is lost right after
// that. The other one is promoted without waiting for the log that is gone.
func TestPrimaryLostAfterReplicaLeft(t *testing.T) {
	is := is.New(t)
	simulation := newBusySimulation(t, 45, 16*time.Second)
	simulation.run(time.Second)
	simulation.instances[2].leaving = true
	simulation.publishListings()
	simulation.run(2 * time.Second)
	simulation.instances[2].end()
	simulation.run(300 * time.Millisecond)
	former := simulation.primary
	former.up = false
	simulation.publishListings()
	// 2.5 s until the entry of the primary counts as gone, and 1 s as for any lost primary.
	is.True(simulation.runUntilReplaced(former) <= 3500*time.Millisecond)
	is.Equal(simulation.oracle.violations, nil)
}

// A replica is lost for good, and the primary leaves while it is not certain yet that the replica has
// ended. The other replica has the log of the primary, so the promotion does not wait for that.
func TestPrimaryLeavesAfterReplicaLost(t *testing.T) {
	for index := range 4 {
		t.Run(strconv.Itoa(index), func(t *testing.T) {
			is := is.New(t)
			simulation := newBusySimulation(t, uint64(45+index), 16*time.Second)
			simulation.run(time.Second)
			simulation.instances[2].end()
			simulation.run(2600*time.Millisecond + time.Duration(index)*200*time.Millisecond)
			former := simulation.primary
			former.leaving = true
			simulation.publishListings()
			// 0.3 s for the step-down, and 0.3 s of the promotion.
			is.True(simulation.runUntilReplaced(former) <= time.Second)
			is.Equal(simulation.oracle.violations, nil)
		})
	}
}

// A replica is lost for good, and the primary is silent for a while soon after that. It is back when
// an attempt already tries to make it step down. Its log is then known to be complete, so that the
// group does not wait for the lost one.
func TestPrimaryReturnsBesideLostReplica(t *testing.T) {
	for index := range 8 {
		t.Run(strconv.Itoa(index), func(t *testing.T) {
			is := is.New(t)
			simulation := newBusySimulation(t, uint64(45+index), 16*time.Second)
			simulation.run(time.Second)
			simulation.instances[2].end()
			simulation.run(time.Second)
			silent := simulation.primary
			silent.goSilent()
			simulation.run(2*time.Second + time.Duration(index)*70*time.Millisecond)
			clear(silent.unreachableFrom)
			simulation.run(12 * time.Second)
			checkRecovery(is, simulation)
		})
	}
}

// A leaving replica ends when no proxy holds the lease, and the primary is lost for good before the
// next one does. A standby proxy has found out that the other replica has the log, so that the group
// does not wait for the one that is gone.
func TestReplicaLeavesWithoutPromoter(t *testing.T) {
	for index := range 4 {
		t.Run(strconv.Itoa(index), func(t *testing.T) {
			is := is.New(t)
			simulation := newBusySimulation(t, uint64(45+index), 16*time.Second)
			simulation.run(time.Second)
			simulation.instances[2].leaving = true
			simulation.publishListings()
			simulation.run(2*time.Second + time.Duration(index)*130*time.Millisecond)
			simulation.losePromoter()
			simulation.run(300 * time.Millisecond)
			simulation.instances[2].end()
			simulation.run(700 * time.Millisecond)
			former := simulation.primary
			former.up = false
			simulation.publishListings()
			is.True(simulation.runUntilReplaced(former) <= 6*time.Second)
			is.Equal(simulation.oracle.violations, nil)
		})
	}
}

package city

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a group without a primary for good: its last one is back, beside a replica that is lost.
func TestFormerPrimaryRestartsBesideLostReplica(t *testing.T) {
	tests := []struct {
		name string
		// after is the decision after which the former primary crashes, and delay the time between.
		after string
		delay time.Duration
	}{
		{"after its step-down", "primary_stepped_down", 100 * time.Millisecond},
		{"while the order to promote it again is on its way", "promotion_ordered", 50 * time.Millisecond},
	}
	for _, test := range tests {
		for index := range 4 {
			t.Run(test.name+"/"+strconv.Itoa(index), func(t *testing.T) {
				is := is.New(t)
				simulation := newBusySimulation(t, uint64(7013+index), 26*time.Second)
				simulation.run(time.Second + time.Duration(index)*100*time.Millisecond)
				lagging, former := simulation.instances[1], simulation.primary
				lagging.replicationBlocked = true
				simulation.run(300 * time.Millisecond)
				simulation.instances[2].end()
				simulation.runUntilLogged(test.after)
				simulation.run(test.delay)
				former.crash(400 * time.Millisecond)
				lagging.replicationBlocked = false
				simulation.run(18 * time.Second)
				checkRecovery(is, simulation)
			})
		}
	}
}

package city

import (
	"strconv"
	"testing"
	"time"
)

// Guards against writes that stop because the promoter alone cannot reach the primary.
func TestWritesGoOnWhenHolderCannotReachPrimary(t *testing.T) {
	tests := []struct {
		name string
		cut  func(simulation *simulation)
	}{
		{"the instance that it has promoted", func(simulation *simulation) {
			former := simulation.primary
			former.up = false
			simulation.publishListings()
			simulation.runUntilLogged("promotion_ordered")
			for _, instance := range simulation.instances {
				instance.unreachableFrom[simulation.proxies[0]] = instance.id == "i-b"
			}
		}},
		{"the primary of the holder before, and the other proxy starts again", func(simulation *simulation) {
			simulation.primary.unreachableFrom[simulation.proxies[1]] = true
			simulation.proxies[0].kill()
			simulation.proxies[0].down = true
			simulation.run(4 * time.Second)
			restarted := simulation.proxies[2]
			restarted.kill()
			restarted.reset()
			restarted.start()
		}},
	}
	for _, test := range tests {
		for index := range 3 {
			t.Run(test.name+"/"+strconv.Itoa(index), func(t *testing.T) {
				simulation := newBusySimulation(t, uint64(51+index), 60*time.Second)
				simulation.run(2 * time.Second)
				test.cut(simulation)
				simulation.run(2 * time.Second)
				simulation.oracle.told = make(map[int]bool)
				simulation.openSession(simulation.proxies[2], "primary").write()
				simulation.run(10 * time.Second)
				t.Logf("%d writes told in 10 s, primary %s, holder logs %d promotions", len(simulation.oracle.told), simulation.primary.id, simulation.countLogged("promotion_done"))
				if len(simulation.oracle.told) == 0 {
					t.Error("no write is done in 10 s")
				}
			})
		}
	}
}

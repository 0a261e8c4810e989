package city

import (
	"strconv"
	"testing"
	"time"
)

// Guards against commits that wait for the next promoter, since their proxy has had none in the group before.
func TestFirstCommitWithoutPromoter(t *testing.T) {
	tests := []struct {
		name string
		lose func(simulation *simulation)
	}{
		{"the holder is lost", func(simulation *simulation) {
			simulation.losePromoter()
			simulation.run(200 * time.Millisecond)
		}},
		{"the store is away", func(simulation *simulation) {
			simulation.store.down = true
			simulation.run(3 * time.Second)
		}},
	}
	for _, test := range tests {
		for index := range 3 {
			t.Run(test.name+"/"+strconv.Itoa(index), func(t *testing.T) {
				simulation := newSimulation(uint64(51 + index))
				simulation.run(5 * time.Second)
				test.lose(simulation)
				since := simulation.now
				for simulation.oracle.served == 0 && simulation.now < since+10*time.Second {
					simulation.openSession(simulation.proxies[2], "primary").write()
					simulation.run(100 * time.Millisecond)
				}
				if waited := simulation.now - since; waited > 300*time.Millisecond {
					t.Errorf("the first write is done after %v, %d served", waited, simulation.oracle.served)
				}
			})
		}
	}
}

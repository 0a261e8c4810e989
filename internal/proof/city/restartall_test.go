package city

import (
	"strconv"
	"testing"
	"time"
)

// Guards against writes that stop until the next promoter has the lease, since all proxies have started again.
func TestWritesAfterAllProxiesRestart(t *testing.T) {
	for index := range 4 {
		t.Run(strconv.Itoa(index), func(t *testing.T) {
			simulation := newSimulation(uint64(51 + index))
			simulation.run(5 * time.Second)
			for _, proxy := range simulation.proxies {
				proxy.kill()
				proxy.start()
			}
			// The one that held the lease is lost.
			simulation.losePromoter()
			simulation.run(600 * time.Millisecond)
			since := simulation.now
			for simulation.oracle.served == 0 && simulation.now < since+10*time.Second {
				simulation.openSession(simulation.proxies[2], "primary").write()
				simulation.run(100 * time.Millisecond)
			}
			if waited := simulation.now - since; waited > time.Second {
				t.Errorf("the first write is done after %v", waited)
			}
			if len(simulation.oracle.violations) > 0 {
				t.Error(simulation.oracle.violations)
			}
		})
	}
}

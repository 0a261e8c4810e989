package city

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxIdleWakeUps is how often a proxy that nobody uses may wake up in a second: for its poll and
// the answer, and for the checks of its plug-ins, which run together.
const maxIdleWakeUps = 8

// Proxies without callers hardly wake up. Each wake-up costs system calls of the process beside
// the work itself, and 300 idle hosts made some 50 a second each.
func TestIdleProxiesHardlyWakeUp(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const span = 20 * time.Second
	mesh := newMeshSimulation(t, 21, 34, 33, 33)
	before := make(map[*proxy]int)
	for _, proxy := range mesh.proxies {
		before[proxy] = proxy.traffic.wakeUps
	}
	mesh.run(span)
	var wakeUps []int
	for _, proxy := range mesh.proxies {
		wakeUps = append(wakeUps, proxy.traffic.wakeUps-before[proxy])
	}
	slices.Sort(wakeUps)
	median := wakeUps[len(wakeUps)/2]
	t.Logf("in %v: median %d, most %d", span, median, wakeUps[len(wakeUps)-1])
	is.True(median <= maxIdleWakeUps*int(span/time.Second))
	is.Equal(mesh.violations, nil)
}

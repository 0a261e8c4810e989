package city

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// controlBytes is what a proxy may send and receive for control in a second, and weakLinkBytes
	// what the link of the weakest host carries.
	controlBytes, weakLinkBytes = 25_000, 1_250_000
	// memberBytes is the size of a member in an answer to a poll.
	memberBytes = 60
	// storeReads is what the store of the smallest site answers in a second.
	storeReads = 2000
	startSpan  = 20 * time.Second // for which newMeshSimulation runs
)

// All proxies of a large system start at the same time. Each one hears of the others, and neither
// the polls between them nor the reads of the store go beyond what a host and the store may carry.
func TestStartOfManyProxies(t *testing.T) {
	is := is.New(t)
	mesh := newMeshSimulation(t, 1, 100, 100, 100)
	count := len(mesh.proxies)
	var sum, most traffic
	for _, proxy := range mesh.proxies {
		is.Equal(len(proxy.kernel.State().Proxies()), count)
		sum.add(proxy.traffic)
		most.busiest(proxy.traffic)
	}
	t.Logf("%d proxies: in all %+v, the most of one %+v", count, sum, most)
	seconds := int(startSpan / time.Second)
	is.True(sum.members/count*memberBytes <= controlBytes*seconds)
	is.True(most.members*memberBytes <= weakLinkBytes*seconds)
	is.True(sum.reads <= storeReads*seconds)
	is.Equal(mesh.violations, nil)
}

package city

import (
	"slices"
	"strconv"
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

// maxMembersPerOther is how often a proxy may be sent each other one while all proxies start. Each
// is new to it once, and some readers change before all are known.
const maxMembersPerOther = 3

// disruptions are what all proxies of a large system meet, and for how long it is watched. Each
// bound is for one proxy: the mean number of messages in a second, the mean number of members as a
// multiple of the number of proxies, and the wake-ups of the median proxy in a second.
var disruptions = []struct {
	name     string
	inject   func(mesh *meshSimulation)
	span     time.Duration
	messages int
	members  float64
	wakeUps  int
}{
	{"nothing", func(*meshSimulation) {}, 10 * time.Second, 3, 0.1, 8},
	{"a third is lost", func(mesh *meshSimulation) {
		for index, proxy := range mesh.proxies {
			if index%3 == 1 {
				mesh.lose(proxy)
			}
		}
	}, 15 * time.Second, 3, maxMembersPerOther, 12},
	{"power returns", func(mesh *meshSimulation) {
		for _, proxy := range mesh.proxies {
			mesh.restart(proxy, time.Second+time.Duration(mesh.random.Int64N(int64(300*time.Millisecond))))
		}
	}, 15 * time.Second, 3, maxMembersPerOther, 12},
}

// The control traffic and the wake-ups of a proxy do not grow with the number of proxies, but for
// the members that it has to learn, each of which is sent about once.
func TestTrafficOfManyProxies(t *testing.T) {
	for _, size := range []int{300, 1000} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			mesh := newMeshSimulation(t, 2, size/3, size/3, size-2*(size/3))
			mesh.checkTraffic(is, "start", startSpan, 5, maxMembersPerOther, 12)
			for _, disruption := range disruptions {
				for _, proxy := range mesh.proxies {
					proxy.traffic = traffic{}
				}
				disruption.inject(mesh)
				mesh.run(disruption.span)
				mesh.checkTraffic(is, disruption.name, disruption.span, disruption.messages, disruption.members, disruption.wakeUps)
			}
			is.Equal(mesh.counts(), []int{size})
			is.Equal(mesh.violations, nil)
		})
	}
}

// checkTraffic checks what the running proxies have sent in a span against the bounds of
// disruptions.
func (mesh *meshSimulation) checkTraffic(is *is.I, name string, span time.Duration, messages int, members float64, wakeUps int) {
	is.Helper()
	var sum, most traffic
	var each []int
	for _, proxy := range mesh.proxies {
		if !proxy.down {
			sum.add(proxy.traffic)
			most.busiest(proxy.traffic)
			each = append(each, proxy.traffic.wakeUps)
		}
	}
	slices.Sort(each)
	count, seconds := len(each), int(span/time.Second)
	mesh.t.Logf("%s, %d proxies, %d s: in all %+v, the most of one %+v, median wake-ups %d", name, count, seconds, sum, most, each[count/2])
	is.True(sum.polls <= messages*count*seconds)
	is.True(float64(sum.members) <= members*float64(count)*float64(len(mesh.proxies)))
	is.True(most.members*memberBytes <= weakLinkBytes*seconds)
	is.True(each[count/2] <= wakeUps*seconds)
}

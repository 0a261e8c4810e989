package city

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// setApart cuts the last proxy off from the other ones and from the store, so that it learns of no change
// of the list of instances.
func (simulation *simulation) setApart() *proxy {
	apart := simulation.proxies[proxyCount-1]
	apart.storeUnreachable = true
	for _, proxy := range simulation.proxies[:proxyCount-1] {
		apart.cutFrom[proxy] = true
	}
	return apart
}

// publishBeside sends the list of some instances to the proxies but the last one.
func (simulation *simulation) publishBeside(listed ...*instance) {
	var listings []model.Listing
	for _, instance := range listed {
		listings = append(listings, instance.listing())
	}
	for _, proxy := range simulation.proxies[:proxyCount-1] {
		proxy.post(networkDelay, event.NewInstancesListed(listings))
	}
}

// Guards against commits that only a replica has which the promoter no longer counts.
func TestReplicaThatWasDroppedConfirmsNothing(t *testing.T) {
	tests := []struct {
		name string
		lose func(simulation *simulation)
	}{
		{"the primary is cut off from the others", func(simulation *simulation) {
			for _, proxy := range simulation.proxies[:proxyCount-1] {
				simulation.primary.unreachableFrom[proxy] = true
			}
		}},
		{"the primary is lost", func(simulation *simulation) { simulation.primary.up = false }},
	}
	for _, test := range tests {
		for index := range 4 {
			t.Run(test.name+"/"+strconv.Itoa(index), func(t *testing.T) {
				is := is.New(t)
				simulation := newBusySimulation(t, uint64(51+index), 30*time.Second)
				simulation.run(2 * time.Second)
				apart, near, other := simulation.setApart(), simulation.instances[1], simulation.instances[2]
				for _, proxy := range simulation.proxies[:proxyCount-1] {
					near.unreachableFrom[proxy] = true
				}
				other.unreachableFrom[apart] = true
				near.unlisted = true // it does not reach the store either
				simulation.publishBeside(simulation.primary, other)
				simulation.runUntilLogged("instance_left_out")
				other.replicationBlocked = true
				simulation.run(50 * time.Millisecond)
				test.lose(simulation)
				simulation.run(8 * time.Second)
				is.Equal(simulation.oracle.violations, nil)
			})
		}
	}
}

// Guards against confirmation by a paused replica whose restart the proxy cannot see.
func TestReplicaThatRestartedUnseenConfirmsNothing(t *testing.T) {
	for index := range 4 {
		t.Run(strconv.Itoa(index), func(t *testing.T) {
			is := is.New(t)
			simulation := newBusySimulation(t, uint64(51+index), 30*time.Second)
			simulation.promotionDelay = time.Second
			simulation.run(2 * time.Second)
			simulation.setApart()
			for _, proxy := range simulation.proxies[:proxyCount-1] {
				simulation.primary.unreachableFrom[proxy] = true
			}
			simulation.runUntilLogged("promotion_ordered")
			simulation.run(20 * time.Millisecond)
			simulation.instances[2].pausedTerm = 0 // a restart lifts the pause
			simulation.run(8 * time.Second)
			is.Equal(len(simulation.oracle.violations), 0)
		})
	}
}

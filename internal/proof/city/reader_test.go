package city

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/tune"
)

// cutStore cuts some proxies from the store for a time.
func (mesh *meshSimulation) cutStore(proxies []*proxy, span time.Duration) {
	for _, proxy := range proxies {
		proxy.storeUnreachable = true
	}
	mesh.store.failFeeds()
	mesh.runAfter(span, func() {
		for _, proxy := range proxies {
			proxy.storeUnreachable = false
		}
	})
}

// allReaders returns the readers of all data centres.
func (mesh *meshSimulation) allReaders() []*proxy {
	var readers []*proxy
	for dataCenter := range 3 {
		readers = append(readers, mesh.readersIn(dataCenter)...)
	}
	return readers
}

// What happens to the one reader that follows the lists in the store must not delay changes for the
// other proxies, nor make all of them ask the store. The fault lasts for 12 s of 20 s. maxCalls is the
// bound of the calls for lists in that time, of which the reader makes 20 without a fault.
func TestFaultsOfStoreReader(t *testing.T) {
	faults := []struct {
		name     string
		inject   func(mesh *meshSimulation, reader *proxy)
		maxCalls int
	}{
		{"none", func(*meshSimulation, *proxy) {}, 30},
		{"lost", func(mesh *meshSimulation, reader *proxy) { mesh.lose(reader) }, 45},
		{"frozen", func(mesh *meshSimulation, reader *proxy) {
			mesh.disturb(reader, 12*time.Second)
			reader.freeze(12 * time.Second)
		}, 70},
		{"cut from the store", func(mesh *meshSimulation, reader *proxy) {
			mesh.cutStore([]*proxy{reader}, 12*time.Second)
		}, 70},
		{"cut from the store, calls get no answer", func(mesh *meshSimulation, reader *proxy) {
			mesh.store.failsAtOnce = false
			mesh.cutStore([]*proxy{reader}, 12*time.Second)
		}, 80},
		{"cut from all other proxies", func(mesh *meshSimulation, reader *proxy) {
			for _, other := range mesh.proxies {
				mesh.cut(reader, other, 12*time.Second)
			}
		}, 130},
		{"cut from its followers", func(mesh *meshSimulation, reader *proxy) {
			readers := mesh.allReaders()
			for _, other := range mesh.proxies {
				if other.dataCenter == reader.dataCenter && other != readers[0] && other != readers[1] {
					mesh.cut(reader, other, 12*time.Second)
				}
			}
		}, 80},
		{"drains", func(mesh *meshSimulation, reader *proxy) {
			mesh.disturb(reader, time.Hour)
			reader.post(networkDelay, event.NewShutdownRequested(tune.Default().DrainLimit))
		}, 65},
		{"a third of the proxies cut from the store", func(mesh *meshSimulation, reader *proxy) {
			cut := []*proxy{reader}
			for index, proxy := range mesh.proxies {
				if index%3 == 0 && proxy != reader {
					cut = append(cut, proxy)
				}
			}
			mesh.cutStore(cut, 12*time.Second)
		}, 90},
		{"all readers cut from the store", func(mesh *meshSimulation, _ *proxy) {
			mesh.cutStore(mesh.allReaders(), 12*time.Second)
		}, 130},
	}
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			mesh := newMeshSimulation(t, 19, 25, 21, 23)
			mesh.store.failsAtOnce = true
			is.Equal(len(mesh.allReaders()), 6)
			reader := mesh.storeReader()
			is.True(reader != nil)
			mesh.store.listCalls = 0
			fault.inject(mesh, reader)
			for range 5 {
				mesh.run(4 * time.Second)
				mesh.writeRevision()
			}
			t.Logf("%d calls for lists", mesh.store.listCalls)
			is.True(mesh.store.listCalls <= fault.maxCalls)
			mesh.run(15 * time.Second)
			is.Equal(mesh.violations, nil)
			for _, proxy := range mesh.proxies {
				if revision, _ := proxy.kernel.State().Revision(); !proxy.down && !proxy.kernel.State().Draining() {
					is.Equal(revision, uint64(len(mesh.writtenAt)))
				}
			}
		})
	}
}

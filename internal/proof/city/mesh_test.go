package city

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/tune"
)

const (
	// applyLimit is the time in which a change of the configuration has to be in force.
	applyLimit = 6 * time.Second
	// quietTime is the time without a fault after which a proxy has to meet applyLimit.
	quietTime  = 6 * time.Second
	watchEvery = 50 * time.Millisecond
)

// watchedProxy is what the watcher of a meshSimulation has seen of a proxy.
type watchedProxy struct {
	kernel      any
	revision    uint64        // the highest one in force
	disturbedAt time.Duration // the last time of a fault of this proxy
}

// meshSimulation is a simulation of proxies in several data centres that follow the lists in
// the store or get their changes from others. It watches the revisions in force.
type meshSimulation struct {
	*simulation
	t          *testing.T
	watched    map[*proxy]*watchedProxy
	writtenAt  []time.Duration // of each revision, from 1
	violations []string
}

// newMeshSimulation starts proxies in data centres of the given sizes. One in ten has four times
// the cores of the others.
func newMeshSimulation(t *testing.T, seed uint64, sizes ...int) *meshSimulation {
	settings := listSettings{wait: 10 * time.Second, sharedWait: 2 * time.Second, maxAge: 3600 * time.Millisecond}
	mesh := newStartingMesh(t, seed, newSessionCatalog(), settings, sizes...)
	mesh.run(20 * time.Second) // until those that read for others at first no longer do
	return mesh
}

// newStartingMesh returns a simulation of proxies that start within 300 ms.
func newStartingMesh(t *testing.T, seed uint64, catalog event.CatalogListed, settings listSettings, sizes ...int) *meshSimulation {
	mesh := &meshSimulation{simulation: newEmptySimulation(seed, catalog, kern.Factories(kern.ProfileHosted, nil)), t: t, watched: make(map[*proxy]*watchedProxy)}
	mesh.meshed = true
	mesh.listSettings = &settings
	for dataCenter, size := range sizes {
		for index := range size {
			mesh.add(dataCenter, index)
		}
	}
	mesh.writeRevision()
	for index, instance := range mesh.instances {
		mesh.store.putInstance(string(instance.id), listedInstance{Primary: index == 0, Sequence: 1})
	}
	for _, proxy := range mesh.proxies {
		mesh.runAfter(time.Duration(mesh.random.Int64N(int64(300*time.Millisecond))), proxy.start)
	}
	mesh.runAfter(watchEvery, mesh.watch)
	return mesh
}

// add adds a proxy, which is started by its caller.
func (mesh *meshSimulation) add(dataCenter, index int) *proxy {
	mesh.addProxy(fmt.Sprintf("proxy-%d-%02d", dataCenter, index), model.DataCenter(fmt.Sprintf("dc-%d", dataCenter)))
	added := mesh.proxies[len(mesh.proxies)-1]
	added.cores = 0.2
	if index%10 == 0 {
		added.cores = 0.8
	}
	added.reset()
	mesh.watched[added] = &watchedProxy{disturbedAt: mesh.now}
	return added
}

func (mesh *meshSimulation) writeRevision() {
	mesh.writtenAt = append(mesh.writtenAt, mesh.now)
	mesh.store.putRevision(uint64(len(mesh.writtenAt)))
}

// disturb records a fault of a proxy that lasts for some time.
func (mesh *meshSimulation) disturb(proxy *proxy, span time.Duration) {
	mesh.watched[proxy].disturbedAt = mesh.now + span
}

// watch checks that no process goes back to an older revision, and that each undisturbed proxy
// puts revisions in force in time.
func (mesh *meshSimulation) watch() {
	for _, proxy := range mesh.proxies {
		watched := mesh.watched[proxy]
		if watched.kernel != proxy.kernel {
			watched.kernel, watched.revision = proxy.kernel, 0
		}
		if proxy.down || proxy.frozen {
			continue
		}
		revision, _ := proxy.kernel.State().Revision()
		if revision < watched.revision {
			mesh.violations = append(mesh.violations, fmt.Sprintf("%v: %s goes back from revision %d to %d", mesh.now, proxy.name, watched.revision, revision))
		}
		watched.revision = revision
		due := mesh.dueRevision()
		if revision < due && mesh.now-watched.disturbedAt > quietTime {
			mesh.violations = append(mesh.violations, fmt.Sprintf("%v: %s has revision %d in force, %d is due", mesh.now, proxy.name, revision, due))
		}
	}
	mesh.runAfter(watchEvery, mesh.watch)
}

// dueRevision returns the newest revision that was written before applyLimit.
func (mesh *meshSimulation) dueRevision() uint64 {
	due := uint64(0)
	for index, writtenAt := range mesh.writtenAt {
		if mesh.now-writtenAt > applyLimit {
			due = uint64(index + 1)
		}
	}
	return due
}

// readersIn returns the proxies of a data centre that follow the lists for others.
func (mesh *meshSimulation) readersIn(dataCenter int) []*proxy {
	var readers []*proxy
	for _, proxy := range mesh.proxies {
		reads := proxy.listRole == route.ListReader.String() || proxy.listRole == route.ListRelay.String()
		if proxy.dataCenter == model.DataCenter(fmt.Sprintf("dc-%d", dataCenter)) && reads && !proxy.down {
			readers = append(readers, proxy)
		}
	}
	return readers
}

// storeReader returns the proxy that waits for changes at the store on behalf of all others.
func (mesh *meshSimulation) storeReader() *proxy {
	for _, feed := range mesh.store.feeds {
		if !feed.ended && feed.action.Wait() == mesh.listSettings.sharedWait {
			return feed.proxy
		}
	}
	return nil
}

// lose ends the process of a proxy for good.
func (mesh *meshSimulation) lose(proxy *proxy) {
	mesh.disturb(proxy, time.Hour)
	proxy.kill()
	proxy.down = true
}

// restart ends the process of a proxy and starts the next one after a pause.
func (mesh *meshSimulation) restart(proxy *proxy, pause time.Duration) {
	mesh.disturb(proxy, pause)
	proxy.kill()
	proxy.down = true
	mesh.runAfter(pause, func() {
		proxy.down = false
		proxy.started = mesh.now
		proxy.start()
	})
}

// cut separates two proxies from each other for some time.
func (mesh *meshSimulation) cut(first, second *proxy, span time.Duration) {
	first.cutFrom[second] = true
	mesh.runAfter(span, func() { delete(first.cutFrom, second) })
}

// counts returns how many proxies the running ones count, in ascending order without
// repetitions.
func (mesh *meshSimulation) counts() []int {
	var counts []int
	for _, proxy := range mesh.proxies {
		if !proxy.down && !proxy.frozen {
			counts = append(counts, proxy.kernel.State().ProxyCount())
		}
	}
	slices.Sort(counts)
	return slices.Compact(counts)
}

// What happens to the readers of a data centre must not delay changes for the other proxies, nor
// take one back.
func TestChangesDespiteFaultsOfReaders(t *testing.T) {
	faults := []struct {
		name   string
		inject func(mesh *meshSimulation, readers []*proxy)
	}{
		{"none", func(*meshSimulation, []*proxy) {}},
		{"a reader is lost", func(mesh *meshSimulation, readers []*proxy) { mesh.lose(readers[0]) }},
		{"all readers are lost at once", func(mesh *meshSimulation, readers []*proxy) {
			for _, reader := range readers {
				mesh.lose(reader)
			}
		}},
		{"a reader restarts", func(mesh *meshSimulation, readers []*proxy) { mesh.restart(readers[0], 500*time.Millisecond) }},
		{"a reader freezes", func(mesh *meshSimulation, readers []*proxy) {
			mesh.disturb(readers[0], 9*time.Second)
			readers[0].freeze(9 * time.Second)
		}},
		{"all readers freeze", func(mesh *meshSimulation, readers []*proxy) {
			for _, reader := range readers {
				mesh.disturb(reader, 9*time.Second)
				reader.freeze(9 * time.Second)
			}
		}},
		{"a reader is cut from the store", func(mesh *meshSimulation, readers []*proxy) {
			mesh.disturb(readers[0], 12*time.Second)
			readers[0].storeUnreachable = true
			mesh.runAfter(12*time.Second, func() { readers[0].storeUnreachable = false })
		}},
		{"all readers are cut from the store", func(mesh *meshSimulation, readers []*proxy) {
			for _, reader := range readers {
				mesh.disturb(reader, 12*time.Second)
				reader.storeUnreachable = true
				mesh.runAfter(12*time.Second, func() { reader.storeUnreachable = false })
			}
		}},
		{"a reader is cut from the store, then the other one is lost", func(mesh *meshSimulation, readers []*proxy) {
			mesh.disturb(readers[0], 12*time.Second)
			readers[0].storeUnreachable = true
			mesh.runAfter(12*time.Second, func() { readers[0].storeUnreachable = false })
			mesh.runAfter(3*time.Second, func() { mesh.lose(readers[1]) })
		}},
		{"a reader is cut from half of the proxies", func(mesh *meshSimulation, readers []*proxy) {
			for index, proxy := range mesh.proxies {
				if index%2 == 0 && proxy != readers[0] {
					mesh.cut(readers[0], proxy, 12*time.Second)
				}
			}
		}},
		{"a data centre is cut from the others", func(mesh *meshSimulation, readers []*proxy) {
			for _, proxy := range mesh.proxies {
				for _, other := range mesh.proxies {
					if proxy.dataCenter == readers[0].dataCenter && other.dataCenter != proxy.dataCenter {
						mesh.cut(proxy, other, 12*time.Second)
					}
				}
			}
		}},
		{"a reader drains", func(mesh *meshSimulation, readers []*proxy) {
			mesh.disturb(readers[0], time.Hour)
			readers[0].post(networkDelay, event.NewShutdownRequested(tune.Default().DrainLimit))
		}},
		{"a rolling restart", func(mesh *meshSimulation, _ []*proxy) {
			for index, proxy := range mesh.proxies {
				mesh.runAfter(time.Duration(index)*300*time.Millisecond, func() { mesh.restart(proxy, 700*time.Millisecond) })
			}
		}},
		{"all restart at once", func(mesh *meshSimulation, _ []*proxy) {
			for _, proxy := range mesh.proxies {
				mesh.restart(proxy, time.Second)
			}
		}},
		{"the history is lost", func(mesh *meshSimulation, _ []*proxy) { mesh.store.historyStart = mesh.store.version + 2 }},
	}
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			mesh := newMeshSimulation(t, 7, 24, 20, 3)
			is.Equal(mesh.counts(), []int{47})
			readers := mesh.readersIn(0)
			is.Equal(len(readers), 2) // the others of the data centre follow them
			for range 4 {
				mesh.writeRevision()
				mesh.run(800 * time.Millisecond)
			}
			fault.inject(mesh, readers)
			for range 20 {
				mesh.run(900 * time.Millisecond)
				mesh.writeRevision()
			}
			mesh.run(25 * time.Second)
			is.Equal(mesh.violations, nil)
			running := 0
			for _, proxy := range mesh.proxies {
				if !proxy.down && !proxy.kernel.State().Draining() {
					running++
				}
			}
			for _, proxy := range mesh.proxies {
				if !proxy.down && !proxy.kernel.State().Draining() {
					is.Equal(proxy.kernel.State().ProxyCount(), running)
				}
			}
		})
	}
}

// Most changes are in force everywhere long before they have to be, though few proxies wait for
// them at the store.
func TestChangesSpread(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	mesh := newMeshSimulation(t, 3, 40, 39, 38)
	mesh.run(10 * time.Second)
	mesh.store.listCalls = 0
	for range 10 {
		mesh.run(3 * time.Second)
		mesh.writeRevision()
		mesh.run(100 * time.Millisecond)
		for _, proxy := range mesh.proxies {
			revision, _ := proxy.kernel.State().Revision()
			is.Equal(revision, uint64(len(mesh.writtenAt)))
		}
	}
	// One reader asks for two lists, every 2 s and after each of the ten changes.
	is.True(mesh.store.listCalls <= 2*(31/2+1)+10)
	is.Equal(mesh.violations, nil)
}

// A proxy is no longer counted some seconds after it was lost, and a new one soon after its
// start.
func TestMembersAreNoticed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	mesh := newMeshSimulation(t, 5, 24, 20, 8)
	follower := mesh.proxies[5]
	is.True(!slices.Contains(mesh.readersIn(0), follower))
	mesh.lose(follower)
	mesh.run(7 * time.Second)
	is.Equal(mesh.counts(), []int{51})
	added := mesh.add(1, 30)
	added.start()
	mesh.run(7 * time.Second) // a new reader assumes for 6 s that proxies with rows live
	is.Equal(mesh.counts(), []int{52})
	mesh.lose(mesh.readersIn(0)[0])
	mesh.run(16 * time.Second)
	is.Equal(mesh.counts(), []int{51})
	is.Equal(mesh.violations, nil)
}

// A proxy that cannot be polled, like one of an earlier version, is counted by its row, and the
// others write theirs so that it counts them.
func TestUnpollableProxyBesideOthers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	mesh := newMeshSimulation(t, 9, 12, 8)
	mesh.meshed = false
	old := mesh.add(0, 40)
	mesh.meshed = true
	old.start()
	for range 40 {
		mesh.run(time.Second)
		mesh.writeRevision()
	}
	mesh.run(30 * time.Second)
	is.Equal(mesh.counts(), []int{21})
	mesh.lose(old)
	mesh.run(40 * time.Second)
	is.Equal(mesh.counts(), []int{20})
	is.Equal(mesh.violations, nil)
}

// The store is away, then back: whoever reads for others reads again, and the others do not all
// ask the store.
func TestStoreAwayForAll(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	mesh := newMeshSimulation(t, 11, 30, 30, 30)
	mesh.store.down = true
	for _, proxy := range mesh.proxies {
		mesh.disturb(proxy, 8*time.Second)
	}
	mesh.run(8 * time.Second)
	mesh.store.down = false
	mesh.writeRevision()
	mesh.run(10 * time.Second)
	mesh.store.listCalls = 0
	mesh.run(20 * time.Second)
	is.True(mesh.store.listCalls <= 2*11)
	is.Equal(mesh.violations, nil)
}

// The store is restored from an older copy while changes are made. No proxy goes back, and all
// have the newest revision once the operator has written it again.
func TestChangesAcrossRestore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	mesh := newMeshSimulation(t, 13, 24, 20)
	for range 6 {
		mesh.writeRevision()
		mesh.run(700 * time.Millisecond)
	}
	for _, proxy := range mesh.proxies {
		mesh.disturb(proxy, 2*time.Second)
	}
	mesh.store.restore(3 * time.Second)
	mesh.run(time.Second)
	mesh.store.putRevision(uint64(len(mesh.writtenAt)))
	for range 6 {
		mesh.run(700 * time.Millisecond)
		mesh.writeRevision()
	}
	mesh.run(8 * time.Second)
	is.Equal(mesh.violations, nil)
	for _, proxy := range mesh.proxies {
		revision, _ := proxy.kernel.State().Revision()
		is.Equal(revision, uint64(len(mesh.writtenAt)))
		is.Equal(proxy.kernel.State().StoreEra(), model.StoreEra(1))
	}
}

// Proxies that cannot call each other, though each reaches the store, follow the lists for
// themselves and still count each other: one that took the others for lost would take all
// connections of the instances.
func TestProxiesCannotCallEachOther(t *testing.T) {
	for _, fromStart := range []bool{true, false} {
		t.Run(fmt.Sprintf("from the start %v", fromStart), func(t *testing.T) {
			is := is.New(t)
			mesh := newMeshSimulation(t, 17, 9, 8)
			for _, proxy := range mesh.proxies {
				for _, other := range mesh.proxies {
					mesh.cut(proxy, other, time.Hour)
				}
			}
			if fromStart {
				for _, proxy := range mesh.proxies {
					mesh.restart(proxy, time.Second)
				}
			}
			for range 60 {
				mesh.run(time.Second)
				mesh.writeRevision()
			}
			is.Equal(mesh.counts(), []int{17})
			is.Equal(mesh.violations, nil)
		})
	}
}

package city

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/model"
)

const (
	daySpan = 48 * time.Second
	// maxKeyAge is the age of the configuration up to which a proxy may accept a key.
	maxKeyAge = 4800 * time.Millisecond
)

// contendedLists are the settings of a site where a change has to be in force after 5 s and a key
// is unusable 5 s after its withdrawal.
func contendedLists() listSettings {
	return listSettings{wait: 1600 * time.Millisecond, sharedWait: 1600 * time.Millisecond, maxAge: 2880 * time.Millisecond}
}

// callsDay is a day of 69 proxies in three data centres that follow three lists.
type callsDay struct {
	*meshSimulation
	unusable   int // samples of running proxies whose configuration is older than maxKeyAge
	lastUnable time.Duration
}

func newCallsDay(t *testing.T, seed uint64) *callsDay {
	teams, err := model.NewTeams([]*model.Team{model.NewTeam(model.TeamSpec{Name: "faculty", Rate: 100, Burst: 10})})
	if err != nil {
		t.Fatal(err)
	}
	day := &callsDay{meshSimulation: newStartingMesh(t, seed, newSessionCatalog().WithTeams(teams), contendedLists(), 25, 21, 23)}
	day.store.failsAtOnce = true
	for at := 5 * time.Second; at < daySpan; at += 6 * time.Second {
		day.runAfter(at, day.writeRevision)
		day.runAfter(at+3*time.Second, func() {
			day.store.putInstance("i-b", listedInstance{Sequence: uint64(day.now / time.Millisecond)})
		})
	}
	day.sample()
	return day
}

// sample counts the proxies that could accept no key.
func (day *callsDay) sample() {
	for _, proxy := range day.proxies {
		if !proxy.down && !proxy.usesKeys() {
			day.unusable++
			day.lastUnable = day.now
		}
	}
	day.runAfter(watchEvery, day.sample)
}

// usesKeys reports whether a proxy knows its configuration to be young enough to accept a key, and
// has the lists that a caller's first statement needs.
func (proxy *proxy) usesKeys() bool {
	for _, list := range model.ListNames() {
		at, ok := proxy.kernel.State().ListCheckedAt(list)
		if !ok || list == model.ListConfiguration && proxy.simulation.now-proxy.started-at > maxKeyAge {
			return false
		}
	}
	return true
}

// storeAway makes the store unavailable to some proxies for a time.
func (day *callsDay) storeAway(from, span time.Duration, share int) {
	reach := func(unreachable bool) {
		for index, proxy := range day.proxies {
			if index%share == 0 {
				proxy.storeUnreachable = unreachable
				day.disturb(proxy, 0)
			}
		}
		day.store.failFeeds()
	}
	day.runAfter(from, func() { reach(true) })
	day.runAfter(from+span, func() { reach(false) })
}

// restartAll restarts all proxies within two seconds.
func (day *callsDay) restartAll(at time.Duration) {
	day.runAfter(at, func() {
		for _, proxy := range day.proxies {
			day.restart(proxy, 500*time.Millisecond+time.Duration(day.random.Int64N(int64(1500*time.Millisecond))))
		}
	})
}

func (day *callsDay) total() int {
	total := 0
	for _, calls := range day.store.calls {
		total += calls
	}
	return total
}

// faultyDays are the days whose calls to the store are counted. returned is the end of the fault.
var faultyDays = []struct {
	name     string
	inject   func(day *callsDay)
	returned time.Duration
	maxCalls int           // half of those that 69 proxies made when each asked for itself
	maxLate  time.Duration // after the end of the fault, until every proxy can accept keys
}{
	{"calm", func(*callsDay) {}, 0, 892, 0},
	{"store away for 4.5 s", func(day *callsDay) { day.storeAway(20*time.Second, 4500*time.Millisecond, 1) }, 24500 * time.Millisecond, 1455, time.Second},
	{"store away for 9 s", func(day *callsDay) { day.storeAway(20*time.Second, 9*time.Second, 1) }, 29 * time.Second, 1832, time.Second},
	{"a third rejected for 9 s", func(day *callsDay) { day.storeAway(20*time.Second, 9*time.Second, 3) }, 29 * time.Second, 1049, 0},
	{"all restart", func(day *callsDay) { day.restartAll(40 * time.Second) }, 40 * time.Second, 1214, 2050 * time.Millisecond},
}

// The calls of 69 proxies to the store by purpose, over a day of 48 s with one fault. Guards
// against calls that grow with the number of proxies.
func TestStoreCallsOfADay(t *testing.T) {
	for _, test := range faultyDays {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			day := newCallsDay(t, 21)
			test.inject(day)
			day.run(8 * time.Second)
			start := fmt.Sprintf("start, 8 s %d, served after %v", day.total(), day.lastUnable)
			day.unusable, day.lastUnable = 0, 0
			day.run(daySpan - 8*time.Second)
			lines := []string{test.name, start}
			for _, purpose := range slices.Sorted(maps.Keys(day.store.calls)) {
				lines = append(lines, fmt.Sprintf("%s %d", purpose, day.store.calls[purpose]))
			}
			lines = append(lines, fmt.Sprintf("all %d, failed %d", day.total(), day.store.failedCalls))
			if day.unusable > 0 {
				lines = append(lines, fmt.Sprintf("no keys for %v of proxy time, the last %v after the fault", time.Duration(day.unusable)*watchEvery, day.lastUnable-test.returned))
			}
			t.Log(strings.Join(lines, "; "))
			is.Equal(day.violations, nil)
			is.True(day.total() <= test.maxCalls)
			is.True(day.lastUnable == 0 || day.lastUnable-test.returned <= test.maxLate)
		})
	}
}

// The store is away for 9 s from a system of 300 proxies. All of them together make a bounded number
// of calls for lists, and each puts a change in force within 2 s after the return.
func TestListCallsOfManyProxiesWithoutStore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	mesh := newMeshSimulation(t, 29, 100, 100, 100)
	mesh.store.failsAtOnce = true
	mesh.store.listCalls = 0
	mesh.cutStore(mesh.proxies, 9*time.Second)
	for _, proxy := range mesh.proxies {
		mesh.disturb(proxy, 9*time.Second)
	}
	mesh.run(9 * time.Second)
	t.Logf("%d calls for lists", mesh.store.listCalls)
	is.True(mesh.store.listCalls <= 9*15)
	mesh.writeRevision()
	mesh.run(2 * time.Second)
	for _, proxy := range mesh.proxies {
		revision, _ := proxy.kernel.State().Revision()
		is.Equal(revision, uint64(len(mesh.writtenAt)))
	}
	is.Equal(mesh.violations, nil)
}

// The store is restored from an older copy during a day with three lists. No proxy goes back, and few
// of them read the lists again: the others get them from a reader.
func TestListCallsAcrossRestore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	day := newCallsDay(t, 31)
	day.run(20 * time.Second)
	before := day.store.listCalls
	for _, proxy := range day.proxies {
		day.disturb(proxy, 2*time.Second)
	}
	day.store.restore(3 * time.Second)
	day.run(500 * time.Millisecond)
	day.store.putRevision(uint64(len(day.writtenAt)))
	day.run(2500 * time.Millisecond)
	t.Logf("%d calls for lists in 3 s", day.store.listCalls-before)
	is.True(day.store.listCalls-before <= 40)
	day.run(10 * time.Second)
	is.Equal(day.violations, nil)
	for _, proxy := range day.proxies {
		is.Equal(proxy.kernel.State().StoreEra(), model.StoreEra(1))
		is.True(proxy.usesKeys())
	}
}

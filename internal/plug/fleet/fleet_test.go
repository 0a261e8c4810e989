package fleet_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/tune"
	"almondway.dev/almondway/internal/plug/eras"
	"almondway.dev/almondway/internal/plug/fleet"
)

// fixture is a kernel with the plug-in and the rows of the other proxies in the store.
type fixture struct {
	kernel  *kern.Kernel
	fleet   route.Fleet
	context *kern.Context
	now     time.Duration
	era     model.StoreEra
	rows    []model.Row
	// storeAway is set while calls to the store fail.
	storeAway bool
	// reads and writes count the calls, and conflicts the writes that fail from now on.
	reads, writes, conflicts int
	expected                 uint64 // the version that the last write expects of its row
}

func newFixture() *fixture { return newFixtureAt("") }

// newFixtureAt returns a fixture of a proxy that can be polled at an address.
func newFixtureAt(address string) *fixture {
	fixture := &fixture{}
	self := model.NewProxyView("self", address, "trnje-hall", 0, false, 0)
	fixture.kernel = kern.NewWithFactories(self, tune.New(tune.Default()), time.Unix(0, 0), 1, eras.New, func(context *kern.Context) kern.Plugin {
		plugin := fleet.New(context)
		fixture.context = context
		fixture.fleet = context.Service(route.FleetService).(route.Fleet)
		return plugin
	})
	return fixture
}

// run advances the time. The store answers all calls at once.
func (fixture *fixture) run(span time.Duration) {
	for until := fixture.now + span; fixture.now < until; fixture.now += 50 * time.Millisecond {
		fixture.answer(fixture.kernel.Tick(fixture.now))
	}
}

func (fixture *fixture) answer(actions []event.Action) {
	for _, action := range append([]event.Action(nil), actions...) {
		if read, ok := action.(event.ReadStore); ok && fixture.storeAway {
			fixture.answer(fixture.kernel.Handle(fixture.now, event.NewStoreFailed(read.CallID())))
			continue
		}
		switch action := action.(type) {
		case event.ReadStore:
			fixture.reads++
			fixture.answer(fixture.kernel.Handle(fixture.now, event.NewStoreRead(action.CallID(), fixture.rows).WithEra(fixture.era)))
		case event.WriteStore:
			fixture.writes++
			fixture.expected = action.Writes()[0].ExpectedVersion()
			if fixture.conflicts > 0 {
				fixture.conflicts--
				fixture.answer(fixture.kernel.Handle(fixture.now, event.NewStoreConflict(action.CallID())))
				continue
			}
			fixture.answer(fixture.kernel.Handle(fixture.now, event.NewStoreWritten(action.CallID()).WithEra(fixture.era)))
		}
	}
}

func peerRow(version, process, beat, era uint64, unusable string) model.Row {
	value := fmt.Sprintf(`{"process":%d,"beat":%d,"era":%d,"data_center":"trnje-hall","unusable_primaries":[%q]}`, process, beat, era, unusable)
	return model.NewRow("proxy/other", version, []byte(value))
}

// A row of a restored store that is older than the last known one is no sign of life, and its
// complaints no longer count.
func TestRowsOfRestoredStore(t *testing.T) {
	tests := []struct {
		name           string
		restored       model.Row
		live           bool
		wantComplaints int
	}{
		{name: "older update", restored: peerRow(4, 1, 6, 1, "i-1")},
		{name: "same update", restored: peerRow(4, 1, 7, 1, "i-1")},
		{name: "update after the restore", restored: peerRow(4, 1, 8, 2, "i-1"), live: true, wantComplaints: 1},
		{name: "new process", restored: peerRow(4, 2, 1, 2, "i-1"), live: true, wantComplaints: 1},
		{name: "complaint of the era before", restored: peerRow(4, 1, 8, 1, "i-1"), live: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture()
			fixture.era = 1
			fixture.kernel.Handle(0, event.NewStoreEraSeen(1))
			fixture.rows = []model.Row{peerRow(9, 1, 7, 1, "i-2")}
			fixture.run(3 * time.Second)
			is.Equal(fixture.kernel.State().ProxyCount(), 2)
			// The other proxy is silent for almost as long as one may be.
			fixture.run(9 * time.Second)
			fixture.era = 2
			fixture.rows = []model.Row{test.restored}
			fixture.answer(fixture.kernel.Handle(fixture.now, event.NewStoreEraSeen(2)))
			fixture.run(time.Second)
			complaining, _ := fixture.fleet.CountComplaints("i-1")
			is.Equal(complaining, test.wantComplaints)
			fixture.run(6 * time.Second)
			is.Equal(fixture.kernel.State().ProxyCount() == 2, test.live)
		})
	}
}

// A proxy that starts while it cannot reach the store reads the rows soon after it can.
func TestStoreAwayAtStart(t *testing.T) {
	is := is.New(t)
	fixture := newFixture()
	fixture.storeAway = true
	fixture.run(8 * time.Second)
	is.True(!fixture.kernel.State().ProxiesKnown())
	fixture.storeAway = false
	fixture.rows = []model.Row{peerRow(9, 1, 7, 0, "i-2")}
	fixture.run(2 * time.Second)
	is.Equal(fixture.kernel.State().ProxyCount(), 2)
}

// A complaint is written without a read of all rows before it if the version of the own row is
// known, and after a read if the row has changed since.
func TestCallsForComplaint(t *testing.T) {
	tests := []struct {
		name       string
		conflicts  int
		wantReads  int
		wantWrites int
	}{
		{name: "version known", wantWrites: 1},
		{name: "row changed meanwhile", conflicts: 1, wantReads: 1, wantWrites: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixtureAt("10.0.0.1:1")
			fixture.rows = []model.Row{model.NewRow("proxy/self", 9, []byte(`{"process":1,"beat":1,"data_center":"trnje-hall","address":"10.0.0.1:1"}`))}
			fixture.run(4 * time.Second)
			fixture.reads, fixture.writes, fixture.conflicts = 0, 0, test.conflicts
			fixture.complain("i-1", true)
			fixture.run(2 * time.Second)
			is.Equal(fixture.reads, test.wantReads)
			is.Equal(fixture.writes, test.wantWrites)
			// The version is unknown after a write. The end of the complaint is written, too.
			fixture.rows = []model.Row{model.NewRow("proxy/self", 12, []byte(`{"process":1,"beat":2,"data_center":"trnje-hall","address":"10.0.0.1:1","unusable_primaries":["i-1"]}`))}
			fixture.reads, fixture.writes, fixture.conflicts = 0, 0, 1
			fixture.complain("i-1", false)
			fixture.run(2 * time.Second)
			is.Equal(fixture.reads, 2)
			is.Equal(fixture.writes, 2)
		})
	}
}

// complain publishes whether a primary is unusable.
func (fixture *fixture) complain(instance model.InstanceID, unusable bool) {
	fixture.context.Timers().After(0, func() { fixture.fleet.SetComplaint(instance, unusable) })
	fixture.answer(fixture.kernel.Tick(fixture.now))
}

// Guards against an odd row of another writer that counts as a proxy, or that a proxy never replaces.
func TestOddRows(t *testing.T) {
	const plain = `{"process":7,"beat":3,"data_center":"trnje-hall","address":"10.0.0.1:1","cores":1}`
	tests := []struct {
		name  string
		key   string
		value string
		live  int
	}{
		{"plain", "proxy/other", plain, 2},
		{"nested 20,000 deep", "proxy/other", strings.Repeat("[", 20000) + strings.Repeat("]", 20000), 1},
		{"beat of 400 digits", "proxy/other", strings.Replace(plain, `"beat":3`, `"beat":`+strings.Repeat("9", 400), 1), 1},
		{"largest beat", "proxy/other", strings.Replace(plain, `"beat":3`, `"beat":18446744073709551615`, 1), 2},
		{"cores of 1e300", "proxy/other", strings.Replace(plain, `"cores":1`, `"cores":1e300`, 1), 1},
		{"negative cores", "proxy/other", strings.Replace(plain, `"cores":1`, `"cores":-1`, 1), 1},
		{"port 65536", "proxy/other", strings.Replace(plain, `10.0.0.1:1`, `10.0.0.1:65536`, 1), 2},
		{"address with a line end", "proxy/other", strings.Replace(plain, `10.0.0.1:1`, `10.0.0.1:1\r\n`, 1), 1},
		{"empty name", "proxy/", plain, 1},
		{"name of two words", "proxy/no name", plain, 1},
		{"own row", "proxy/self", "\xff{", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixtureAt("10.0.0.9:9")
			fixture.rows = []model.Row{model.NewRow(test.key, 41, []byte(test.value))}
			fixture.run(time.Second)
			is.Equal(len(fixture.kernel.State().Proxies()), test.live)
			expected := uint64(0)
			if test.key == "proxy/self" {
				expected = 41
			}
			is.True(fixture.writes > 0)
			is.Equal(fixture.expected, expected) // a write that expects another version never succeeds
		})
	}
}

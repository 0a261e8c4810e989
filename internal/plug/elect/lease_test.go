package elect_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/tune"
	"almondway.dev/almondway/internal/plug/catlog"
	"almondway.dev/almondway/internal/plug/elect"
	"almondway.dev/almondway/internal/plug/eras"
	"almondway.dev/almondway/internal/plug/fleet"
)

const group = model.GroupID("katalog")

// storedLease is the lease row as the proxies write it.
type storedLease struct {
	Holder     string                      `json:"holder"`
	Token      uint64                      `json:"token"`
	Beat       uint64                      `json:"beat"`
	Counted    map[model.GroupID][]string  `json:"counted,omitempty"`
	Ordered    map[model.GroupID]string    `json:"ordered,omitempty"`
	Led        map[model.GroupID]primaryOf `json:"led,omitempty"`
	OrdersLost bool                        `json:"orders_lost,omitempty"`
}

type primaryOf struct {
	Instance string `json:"instance"`
	Term     uint64 `json:"term"`
	Only     bool   `json:"only,omitempty"`
}

// fixture is a kernel whose calls to the store are answered at once. An instance answers if statuses
// has its status, and no process listens at its address if refuses has it.
type fixture struct {
	kernel  *kern.Kernel
	now     time.Duration
	era     model.StoreEra
	version uint64
	rows    map[string]model.Row
	reads   int      // of the lease row
	others  int      // live proxies besides this one
	tokens  []uint64 // of the promotion orders

	statuses map[model.InstanceID]model.Status
	refuses  map[model.InstanceID]bool
	promoted model.InstanceID // the instance of the last promotion order

	writesFail bool // the store refuses writes
}

func newFixture(firstStart bool) *fixture { return newFixtureWith(firstStart) }

// newFixtureWith returns a fixture with further plug-ins.
func newFixtureWith(firstStart bool, added ...kern.Factory) *fixture {
	fixture := &fixture{rows: make(map[string]model.Row), statuses: make(map[model.InstanceID]model.Status), refuses: make(map[model.InstanceID]bool)}
	self := model.NewProxyView("self", "", "trnje-hall", 0, false, 0)
	settings := tune.Default()
	settings.FirstStart = firstStart
	factories := append([]kern.Factory{eras.New, fleet.New, catlog.New}, added...)
	fixture.kernel = kern.NewWithFactories(self, tune.New(settings), time.Unix(0, 0), 1, append(factories, elect.New)...)
	listed := model.NewGroup(group, nil).WithReplication(model.NewPrimaryAcknowledged(1))
	fixture.kernel.Handle(0, event.NewCatalogListed(1, nil, []model.Group{listed}))
	var listings []model.Listing
	for _, id := range []model.InstanceID{"i-1", "i-2", "i-3"} {
		listings = append(listings, listingOf(id))
	}
	fixture.kernel.Handle(0, event.NewInstancesListed(listings))
	return fixture
}

// listingOf returns the entry of an instance. i-1 is the primary.
func listingOf(id model.InstanceID) model.Listing {
	spec := model.ListingSpec{Group: group, Instance: model.NewInstance(id, "10.0.0.1:1", "trnje-hall")}
	if id == "i-1" {
		spec.Role = model.RolePrimary
	}
	return model.NewListing(spec)
}

// startEra lets the store come back in another era.
func (fixture *fixture) startEra(era model.StoreEra) {
	fixture.era = era
	fixture.answer(fixture.kernel.Handle(fixture.now, event.NewStoreEraSeen(era)))
}

func (fixture *fixture) put(key string, lease storedLease) {
	value, err := json.Marshal(lease)
	if err != nil {
		panic(err)
	}
	fixture.version++
	fixture.rows[key] = model.NewRow(key, fixture.version, value)
}

func (fixture *fixture) lease(key string) storedLease {
	var lease storedLease
	if err := json.Unmarshal(fixture.rows[key].Value(), &lease); err != nil {
		return storedLease{}
	}
	return lease
}

func (fixture *fixture) run(span time.Duration) {
	for until := fixture.now + span; fixture.now < until; fixture.now += 50 * time.Millisecond {
		fixture.answer(fixture.kernel.Tick(fixture.now))
	}
}

func (fixture *fixture) answer(actions []event.Action) {
	for _, action := range slices.Clone(actions) {
		switch action := action.(type) {
		case event.ReadStore:
			var rows []model.Row
			for key, row := range fixture.rows {
				if strings.HasPrefix(key, action.Prefix()) {
					rows = append(rows, row)
				}
			}
			if strings.HasPrefix(action.Prefix(), "promoter") {
				fixture.reads++
			} else {
				rows = append(rows, fixture.otherProxies()...)
			}
			fixture.answer(fixture.kernel.Handle(fixture.now, event.NewStoreRead(action.CallID(), rows).WithEra(fixture.era)))
		case event.WriteStore:
			fixture.answer(fixture.kernel.Handle(fixture.now, fixture.write(action)))
		case event.PromoteInstance:
			fixture.tokens = append(fixture.tokens, action.Token())
			fixture.promoted = action.Instance()
		case event.Probe:
			if fixture.refuses[action.Instance()] {
				fixture.answer(fixture.kernel.Handle(fixture.now, event.NewProbeFailed(action.Probe(), action.Instance(), model.ConnFailureRefused)))
			} else if status, ok := fixture.statuses[action.Instance()]; ok {
				fixture.answer(fixture.kernel.Handle(fixture.now, event.NewStatusReported(action.Probe(), action.Instance(), status)))
			}
		case event.SendOrder:
			fixture.answerOrder(action)
		}
	}
}

// answerOrder lets an instance carry out an order, if it answers.
func (fixture *fixture) answerOrder(order event.SendOrder) {
	status, ok := fixture.statuses[order.Instance()]
	if fixture.refuses[order.Instance()] {
		fixture.answer(fixture.kernel.Handle(fixture.now, event.NewOrderFailed(order.Order(), order.Instance(), model.ConnFailureRefused)))
		return
	}
	if !ok {
		return
	}
	if pause, ok := order.Body().(event.Pause); ok {
		status = status.WithPausedTerm(pause.Term())
		fixture.statuses[order.Instance()] = status
	}
	fixture.answer(fixture.kernel.Handle(fixture.now, event.NewOrderAnswered(order.Order(), order.Instance(), true, status)))
}

// otherProxies returns the rows of the other proxies, each with a new sign of life.
func (fixture *fixture) otherProxies() []model.Row {
	var rows []model.Row
	for index := range fixture.others {
		fixture.version++
		value := fmt.Sprintf(`{"process":1,"beat":%d,"data_center":"trnje-hall"}`, fixture.version)
		rows = append(rows, model.NewRow(fmt.Sprintf("proxy/other-%d", index), fixture.version, []byte(value)))
	}
	return rows
}

func (fixture *fixture) write(action event.WriteStore) event.Event {
	if fixture.writesFail {
		return event.NewStoreFailed(action.CallID())
	}
	for _, write := range action.Writes() {
		if fixture.rows[write.Key()].Version() != write.ExpectedVersion() {
			return event.NewStoreConflict(action.CallID())
		}
	}
	for _, write := range action.Writes() {
		fixture.version++
		if write.Value() == nil {
			delete(fixture.rows, write.Key())
			continue
		}
		fixture.rows[write.Key()] = model.NewRow(write.Key(), fixture.version, write.Value())
	}
	return event.NewStoreWritten(action.CallID()).WithEra(fixture.era)
}

// A holder adopts the instances that the holder before it counted, also if it held the lease
// itself before that.
func TestHolderAdoptsRowAgain(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(true)
	fixture.run(2 * time.Second)
	is.Equal(fixture.lease("promoter").Holder, "self")
	between := fixture.lease("promoter")
	between.Holder = "other"
	between.Counted[group] = append(between.Counted[group], "i-9")
	fixture.put("promoter", between)
	fixture.run(8 * time.Second)
	is.Equal(fixture.lease("promoter").Holder, "self")
	is.Equal(fixture.lease("promoter").Counted[group], []string{"i-1", "i-2", "i-3", "i-9"})
}

// Who may take the lease in a new era of the store, and when.
func TestLeaseInNewEra(t *testing.T) {
	const key = "promoter/5"
	tests := []struct {
		name       string
		firstStart bool
		held       bool   // by this proxy in the era before
		copied     string // the holder according to the copy, or empty if it has no lease
		current    string // the holder in the new era, or empty if there is none
		wantAfter  time.Duration
		wantLost   bool // orders of the era before may be lost
	}{
		{name: "held before", held: true, copied: "self", wantAfter: 200 * time.Millisecond},
		{name: "held before, the copy names another one", held: true, copied: "other", wantAfter: 200 * time.Millisecond},
		{name: "not held before, though the copy says so", copied: "self", wantAfter: 5 * time.Second, wantLost: true},
		{name: "held by another one", copied: "other", wantAfter: 5 * time.Second, wantLost: true},
		{name: "no lease in the copy", wantAfter: 5 * time.Second, wantLost: true},
		{name: "first start", firstStart: true, wantAfter: time.Second},
		{name: "resigned in the new era", copied: "other", current: " ", wantAfter: time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture(test.firstStart)
			if test.held {
				fixture.startEra(4)
				fixture.run(30 * time.Second) // until no order of an earlier era can be lost
				is.Equal(fixture.lease("promoter/4").Holder, "self")
			}
			delete(fixture.rows, "promoter/4")
			if test.copied != "" {
				fixture.put("promoter/4", storedLease{Holder: test.copied, Token: 4<<32 + 32, Beat: 3})
			}
			if test.current != "" {
				fixture.put(key, storedLease{Holder: strings.TrimSpace(test.current), Token: 5<<32 + 32, Beat: 1})
			}
			fixture.startEra(5)
			fixture.run(test.wantAfter)
			is.Equal(fixture.lease(key).Holder, "self")
			is.Equal(fixture.lease(key).OrdersLost, test.wantLost)
			is.True(fixture.lease(key).Token > 5<<32)
			_, exists := fixture.rows["promoter/4"]
			is.True(!exists)
			fixture.run(20 * time.Second)
			is.True(!fixture.lease(key).OrdersLost)
		})
	}
}

// A proxy that did not hold the lease does not take it before the lease of an unknown holder of
// the era before has ended.
func TestLeaseNotTakenEarly(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(false)
	fixture.startEra(5)
	fixture.run(2900 * time.Millisecond)
	is.Equal(fixture.lease("promoter/5").Holder, "")
}

// All proxies together read the lease row a few times a second, however many they are, also
// while a group needs a promoter. Among few proxies each of them reads it often enough to take
// the lease right after it has ended. Among many, those after the standby proxies read it only while
// a group needs a promoter; TestLeaseTakenBehindStandbys shows that this is enough.
func TestReadsOfLeaseRow(t *testing.T) {
	tests := []struct {
		name        string
		others      int
		withoutLead bool
		wantAtMost  int // reads in a minute by a proxy that is not among the first standbys
		wantAtLeast int
	}{
		{name: "many proxies", others: 194, wantAtMost: 1},
		{name: "many proxies, a group without a primary", others: 194, withoutLead: true, wantAtMost: 8, wantAtLeast: 4},
		{name: "few proxies", others: 7, wantAtMost: 31, wantAtLeast: 6},
		{name: "few proxies, a group without a primary", others: 7, withoutLead: true, wantAtMost: 160, wantAtLeast: 120},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture(true)
			fixture.others = test.others
			fixture.put("promoter", storedLease{Holder: "other-0", Token: 32, Beat: 1})
			beat := uint64(1)
			run := func(span time.Duration) {
				for range span / time.Second {
					beat++
					fixture.put("promoter", storedLease{Holder: "other-0", Token: 32, Beat: beat})
					fixture.run(time.Second)
				}
			}
			run(40 * time.Second)
			if test.withoutLead {
				fixture.kernel.State().Group(group).RefutePrimary("i-1", fixture.now)
			}
			fixture.reads = 0
			run(time.Minute)
			is.True(fixture.reads <= test.wantAtMost)
			is.True(fixture.reads >= test.wantAtLeast)
		})
	}
}

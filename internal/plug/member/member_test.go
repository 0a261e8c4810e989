package member_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/tune"
)

// register writes a row for another proxy to the table.
func register(fixture *fixture, id model.ProxyID) { registerAt(fixture, id, string(id)+":8000") }

func registerAt(fixture *fixture, id model.ProxyID, address string) {
	value := []byte(`{"address":"` + address + `","data_center":"trnje-hall"}`)
	row := model.NewRowWrite("proxies", string(id), fixture.shelf.Row("proxies", string(id)).Version(), value)
	fixture.shelf.Write(event.NewWriteStore(0, []model.RowWrite{row}))
}

func ids(views []model.ProxyView) []model.ProxyID {
	var list []model.ProxyID
	for _, view := range views {
		list = append(list, view.ID())
	}
	return list
}

func TestLiveAndRegisteredProxies(t *testing.T) {
	tests := []struct {
		name       string
		trigger    func(fixture *fixture)
		live       []model.ProxyID
		registered []model.ProxyID
	}{
		{
			name:       "alone",
			trigger:    func(*fixture) {},
			live:       []model.ProxyID{"proxy-1"},
			registered: []model.ProxyID{"proxy-1"},
		},
		{
			name:       "heartbeat without a row",
			trigger:    func(fixture *fixture) { fixture.receiveHeartbeat("proxy-2", false) },
			live:       []model.ProxyID{"proxy-1", "proxy-2"},
			registered: []model.ProxyID{"proxy-1", "proxy-2"},
		},
		{
			name:       "row without a heartbeat",
			trigger:    func(fixture *fixture) { register(fixture, "proxy-2"); fixture.run(3 * time.Second) },
			live:       []model.ProxyID{"proxy-1"},
			registered: []model.ProxyID{"proxy-1", "proxy-2"},
		},
		{
			name: "silent for longer than the peer limit while the store is down",
			trigger: func(fixture *fixture) {
				register(fixture, "proxy-2")
				fixture.run(3 * time.Second)
				fixture.receiveHeartbeat("proxy-2", false)
				fixture.shelf.SetDown(true)
				fixture.run(4 * time.Second)
			},
			live:       []model.ProxyID{"proxy-1"},
			registered: []model.ProxyID{"proxy-1", "proxy-2"},
		},
		{
			name:       "draining",
			trigger:    func(fixture *fixture) { fixture.receiveHeartbeat("proxy-2", true) },
			live:       []model.ProxyID{"proxy-1", "proxy-2"},
			registered: []model.ProxyID{"proxy-1"},
		},
		{
			name: "introduced while the store is down",
			trigger: func(fixture *fixture) {
				fixture.shelf.SetDown(true)
				known := []model.ProxyView{model.NewProxyView("proxy-3", "proxy-3:8000", "trnje-hall", 0, false, 0)}
				heartbeat := event.NewHeartbeat("proxy-2", "proxy-2:8000", 0, true, false, nil, nil).WithKnownProxies(known)
				fixture.handle(event.NewPeerMessageReceived("proxy-2", heartbeat))
			},
			live:       []model.ProxyID{"proxy-1", "proxy-2"},
			registered: []model.ProxyID{"proxy-1", "proxy-2", "proxy-3"},
		},
		{
			name: "an earlier process at the same address",
			trigger: func(fixture *fixture) {
				registerAt(fixture, "proxy-0", "127.0.0.1:8001")
				fixture.run(5 * time.Second)
			},
			live:       []model.ProxyID{"proxy-1"},
			registered: []model.ProxyID{"proxy-1"},
		},
		{
			name: "stale row is removed",
			trigger: func(fixture *fixture) {
				register(fixture, "proxy-2")
				fixture.run(16 * time.Minute)
			},
			live:       []model.ProxyID{"proxy-1"},
			registered: []model.ProxyID{"proxy-1"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture().start()
			test.trigger(fixture)
			is.Equal(ids(fixture.kernel.State().Proxies()), test.live)
			is.Equal(fixture.kernel.State().Registered(), test.registered)
		})
	}
}

func TestRegisteredUnknownBeforeFirstProxyList(t *testing.T) {
	is := is.New(t)
	fixture := newFixture()
	fixture.shelf.SetDown(true)
	fixture.start()
	fixture.receiveHeartbeat("proxy-2", false)
	is.Equal(len(fixture.kernel.State().Proxies()), 2)
	is.Equal(len(fixture.kernel.State().Registered()), 0)
}

func TestOwnRowMaintained(t *testing.T) {
	is := is.New(t)
	fixture := newFixture()
	fixture.shelf.LoseAnswers(1)
	fixture.start()
	fixture.run(30 * time.Second)
	row := fixture.shelf.Row("proxies", "proxy-1")
	is.True(row.Version() >= 3) // refreshed although the first answer was lost
	deletion := model.NewRowWrite("proxies", "proxy-1", row.Version(), nil)
	fixture.shelf.Write(event.NewWriteStore(0, []model.RowWrite{deletion}))
	fixture.run(15 * time.Second)
	is.True(fixture.shelf.Row("proxies", "proxy-1").Version() > 0) // written again
	fixture.handle(event.NewDrainStarted(tune.Default().DrainLimit))
	fixture.run(time.Second)
	is.Equal(fixture.shelf.Row("proxies", "proxy-1").Version(), uint64(0)) // deregistered
	fixture.run(30 * time.Second)
	is.Equal(fixture.shelf.Row("proxies", "proxy-1").Version(), uint64(0))
}

func TestWriteRateIsBounded(t *testing.T) {
	is := is.New(t)
	fixture := newFixture().start()
	const (
		proxies = 400
		rate    = 20 // writes per second of all proxies
	)
	for number := range proxies {
		register(fixture, model.ProxyID(fmt.Sprintf("proxy-%d", number+2)))
	}
	fixture.run(10 * time.Second)
	fixture.writes = nil
	fixture.run(5 * time.Minute)
	is.True(len(fixture.writes) > 0)
	is.True(len(fixture.writes) <= 5*60*rate/proxies)
}

func TestStaleRowsAreRemovedOneByOne(t *testing.T) {
	is := is.New(t)
	fixture := newFixture().start()
	const stale = 20
	for number := range stale {
		register(fixture, model.ProxyID(fmt.Sprintf("proxy-%d", number+2)))
	}
	fixture.run(15*time.Minute + 10*time.Second)
	left := len(fixture.kernel.State().Registered())
	is.True(left > 1 && left < stale+1)
	fixture.run(2 * time.Minute)
	is.Equal(len(fixture.kernel.State().Registered()), 1)
}

func TestPromoterNumber(t *testing.T) {
	tests := []struct {
		name  string
		setUp func(fixture *fixture)
		want  uint32
	}{
		{name: "first", setUp: func(*fixture) {}, want: 1},
		{
			name: "after the numbers of other proxies",
			setUp: func(fixture *fixture) {
				row := model.NewRowWrite("promoters", "next", 0, []byte(`{"next":41}`))
				fixture.shelf.Write(event.NewWriteStore(0, []model.RowWrite{row}))
			},
			want: 41,
		},
		{
			name:  "a lost answer costs a number",
			setUp: func(fixture *fixture) { fixture.shelf.LoseAnswers(2) }, // to the writes of the proxy's row and of the counter
			want:  2,
		},
		{name: "the store is down", setUp: func(fixture *fixture) { fixture.shelf.SetDown(true) }, want: 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture()
			test.setUp(fixture)
			fixture.start()
			fixture.run(3 * time.Second)
			is.Equal(fixture.kernel.State().Promoter(), test.want)
		})
	}
}

func TestHeartbeats(t *testing.T) {
	is := is.New(t)
	fixture := newFixture().start()
	fixture.sent = nil
	fixture.receiveHeartbeat("proxy-2", false)
	is.Equal(len(fixture.sent), 1) // an immediate answer with the known proxies
	first, ok := fixture.sent[0].Message().(event.Heartbeat)
	is.True(ok)
	is.Equal(ids(first.KnownProxies()), []model.ProxyID{"proxy-1", "proxy-2"})
	unconfirmed := event.NewHeartbeat("proxy-2", "proxy-2:8000", 0, false, false, nil, nil)
	fixture.handle(event.NewPeerMessageReceived("proxy-2", unconfirmed)) // the answer may be lost
	is.Equal(len(fixture.heartbeats()["proxy-2:8000"].KnownProxies()), 2)
	term := model.NewTerm(2, 7)
	terms := []model.TermView{model.NewTermView("katalog-1", term, "katalog-1-b")}
	fixture.handle(event.NewPeerMessageReceived("proxy-2", event.NewHeartbeat("proxy-2", "proxy-2:8000", 0, true, false, nil, terms)))
	is.Equal(fixture.kernel.State().Group("katalog-1").Term(), term)
	fixture.run(time.Second)
	last := fixture.heartbeats()["proxy-2:8000"]
	is.Equal(last.Terms(), terms)
	is.Equal(len(last.KnownProxies()), 0)
	is.True(!last.Draining())
	fixture.kernel.State().SetDraining()
	fixture.sent = nil
	fixture.handle(event.NewDrainStarted(tune.Default().DrainLimit))
	is.True(slices.ContainsFunc(fixture.sent, func(sent event.SendPeerMessage) bool {
		heartbeat, ok := sent.Message().(event.Heartbeat)
		return ok && heartbeat.Draining()
	}))
}

func TestRemoteHolds(t *testing.T) {
	is := is.New(t)
	fixture := newFixture().start()
	group := fixture.kernel.State().Group("katalog-1")
	holding := event.NewHeartbeat("proxy-2", "proxy-2:8000", 0, true, false, nil, nil).WithHolding([]model.GroupID{"katalog-1"})
	fixture.handle(event.NewPeerMessageReceived("proxy-2", holding))
	is.True(group.WritesHeld(fixture.now))
	fixture.receiveHeartbeat("proxy-3", false) // a heartbeat of another proxy does not end the hold
	is.True(group.WritesHeld(fixture.now))
	fixture.receiveHeartbeat("proxy-2", false)
	is.True(!group.WritesHeld(fixture.now))
	fixture.handle(event.NewPeerMessageReceived("proxy-2", holding))
	fixture.run(time.Second)
	is.True(!group.WritesHeld(fixture.now)) // the hold ends after the timeout
}

func TestViews(t *testing.T) {
	is := is.New(t)
	fixture := newFixture().start()
	fixture.status[instance] = statusWithLeaving(false)
	fixture.run(time.Second)
	fixture.handle(event.NewCommandReceived(1, event.NewGetGroups()))
	groups, ok := fixture.results[1].(event.Groups)
	is.True(ok)
	is.Equal(groups.Groups()[0].Primary(), instance)
	fixture.receiveHeartbeat("proxy-2", true)
	fixture.handle(event.NewCommandReceived(2, event.NewGetProxies()))
	proxies, ok := fixture.results[2].(event.Proxies)
	is.True(ok)
	is.Equal(ids(proxies.Proxies()), []model.ProxyID{"proxy-1", "proxy-2"})
	is.True(proxies.Proxies()[1].Draining())
}

package member_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// register writes the row of another proxy.
func register(desk *fixture, id model.ProxyID) { registerAt(desk, id, string(id)+":8000") }

func registerAt(desk *fixture, id model.ProxyID, address string) {
	value := []byte(`{"address":"` + address + `","data_center":"trnje-hall"}`)
	row := model.NewRowWrite("proxies", string(id), desk.shelf.Row("proxies", string(id)).Version(), value)
	desk.shelf.Write(event.NewWriteStore(0, []model.RowWrite{row}))
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
		happen     func(desk *fixture)
		live       []model.ProxyID
		registered []model.ProxyID
	}{
		{
			name:       "alone",
			happen:     func(*fixture) {},
			live:       []model.ProxyID{"proxy-1"},
			registered: []model.ProxyID{"proxy-1"},
		},
		{
			name:       "heard and without a row",
			happen:     func(desk *fixture) { desk.receiveHeartbeat("proxy-2", false) },
			live:       []model.ProxyID{"proxy-1", "proxy-2"},
			registered: []model.ProxyID{"proxy-1", "proxy-2"},
		},
		{
			name:       "with a row and never heard",
			happen:     func(desk *fixture) { register(desk, "proxy-2"); desk.run(3 * time.Second) },
			live:       []model.ProxyID{"proxy-1"},
			registered: []model.ProxyID{"proxy-1", "proxy-2"},
		},
		{
			name: "silent for longer than the limit, while the store is down",
			happen: func(desk *fixture) {
				register(desk, "proxy-2")
				desk.run(3 * time.Second)
				desk.receiveHeartbeat("proxy-2", false)
				desk.shelf.SetDown(true)
				desk.run(4 * time.Second)
			},
			live:       []model.ProxyID{"proxy-1"},
			registered: []model.ProxyID{"proxy-1", "proxy-2"},
		},
		{
			name:       "draining",
			happen:     func(desk *fixture) { desk.receiveHeartbeat("proxy-2", true) },
			live:       []model.ProxyID{"proxy-1", "proxy-2"},
			registered: []model.ProxyID{"proxy-1"},
		},
		{
			name: "introduced while the store is down",
			happen: func(desk *fixture) {
				desk.shelf.SetDown(true)
				known := []model.ProxyView{model.NewProxyView("proxy-3", "proxy-3:8000", "trnje-hall", 0, false, 0)}
				heartbeat := event.NewHeartbeat("proxy-2", "proxy-2:8000", 0, true, false, nil, nil).WithKnownProxies(known)
				desk.handle(event.NewPeerMessageReceived("proxy-2", heartbeat))
			},
			live:       []model.ProxyID{"proxy-1", "proxy-2"},
			registered: []model.ProxyID{"proxy-1", "proxy-2", "proxy-3"},
		},
		{
			name: "an earlier process at the same address",
			happen: func(desk *fixture) {
				registerAt(desk, "proxy-0", "127.0.0.1:8001")
				desk.run(5 * time.Second)
			},
			live:       []model.ProxyID{"proxy-1"},
			registered: []model.ProxyID{"proxy-1"},
		},
		{
			name: "dead for so long that its row is removed",
			happen: func(desk *fixture) {
				register(desk, "proxy-2")
				desk.run(16 * time.Minute)
			},
			live:       []model.ProxyID{"proxy-1"},
			registered: []model.ProxyID{"proxy-1"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			desk := newFixture().start()
			test.happen(desk)
			is.Equal(ids(desk.kernel.State().Proxies()), test.live)
			is.Equal(desk.kernel.State().Registered(), test.registered)
		})
	}
}

func TestRegisteredUnknownBeforeFirstProxyList(t *testing.T) {
	is := is.New(t)
	desk := newFixture()
	desk.shelf.SetDown(true)
	desk.start()
	desk.receiveHeartbeat("proxy-2", false)
	is.Equal(len(desk.kernel.State().Proxies()), 2)
	is.Equal(len(desk.kernel.State().Registered()), 0)
}

func TestOwnRowMaintained(t *testing.T) {
	is := is.New(t)
	desk := newFixture()
	desk.shelf.LoseAnswers(1)
	desk.start()
	desk.run(30 * time.Second)
	row := desk.shelf.Row("proxies", "proxy-1")
	is.True(row.Version() >= 3) // refreshed, although the first answer was lost
	gone := model.NewRowWrite("proxies", "proxy-1", row.Version(), nil)
	desk.shelf.Write(event.NewWriteStore(0, []model.RowWrite{gone}))
	desk.run(15 * time.Second)
	is.True(desk.shelf.Row("proxies", "proxy-1").Version() > 0) // written again
	desk.handle(event.NewDrainStarted())
	desk.run(time.Second)
	is.Equal(desk.shelf.Row("proxies", "proxy-1").Version(), uint64(0)) // withdrawn
	desk.run(30 * time.Second)
	is.Equal(desk.shelf.Row("proxies", "proxy-1").Version(), uint64(0))
}

func TestWriteRateIsBounded(t *testing.T) {
	is := is.New(t)
	desk := newFixture().start()
	const (
		proxies = 400
		rate    = 20 // writes per second of all proxies
	)
	for number := range proxies {
		register(desk, model.ProxyID(fmt.Sprintf("proxy-%d", number+2)))
	}
	desk.run(10 * time.Second)
	desk.writes = nil
	desk.run(5 * time.Minute)
	is.True(len(desk.writes) > 0)
	is.True(len(desk.writes) <= 5*60*rate/proxies)
}

func TestStaleRowsAreRemovedOneByOne(t *testing.T) {
	is := is.New(t)
	desk := newFixture().start()
	const dead = 20
	for number := range dead {
		register(desk, model.ProxyID(fmt.Sprintf("proxy-%d", number+2)))
	}
	desk.run(15*time.Minute + 10*time.Second)
	left := len(desk.kernel.State().Registered())
	is.True(left > 1 && left < dead+1)
	desk.run(2 * time.Minute)
	is.Equal(len(desk.kernel.State().Registered()), 1)
}

func TestPromoterNumber(t *testing.T) {
	tests := []struct {
		name string
		harm func(desk *fixture)
		want uint32
	}{
		{name: "first", harm: func(*fixture) {}, want: 1},
		{
			name: "after others",
			harm: func(desk *fixture) {
				row := model.NewRowWrite("promoters", "next", 0, []byte(`{"next":41}`))
				desk.shelf.Write(event.NewWriteStore(0, []model.RowWrite{row}))
			},
			want: 41,
		},
		{
			name: "a lost answer costs a number",
			harm: func(desk *fixture) { desk.shelf.LoseAnswers(2) }, // of the proxy's row and of the draw
			want: 2,
		},
		{name: "the store is down", harm: func(desk *fixture) { desk.shelf.SetDown(true) }, want: 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			desk := newFixture()
			test.harm(desk)
			desk.start()
			desk.run(3 * time.Second)
			is.Equal(desk.kernel.State().Promoter(), test.want)
		})
	}
}

func TestHeartbeats(t *testing.T) {
	is := is.New(t)
	desk := newFixture().start()
	desk.sent = nil
	desk.receiveHeartbeat("proxy-2", false)
	is.Equal(len(desk.sent), 1) // an answer at once, with the proxies that are known
	first, ok := desk.sent[0].Message().(event.Heartbeat)
	is.True(ok)
	is.Equal(ids(first.KnownProxies()), []model.ProxyID{"proxy-1", "proxy-2"})
	unconfirmed := event.NewHeartbeat("proxy-2", "proxy-2:8000", 0, false, false, nil, nil)
	desk.handle(event.NewPeerMessageReceived("proxy-2", unconfirmed)) // the answer may have got lost
	is.Equal(len(desk.heartbeats()["proxy-2:8000"].KnownProxies()), 2)
	term := model.NewTerm(2, 7)
	terms := []model.TermView{model.NewTermView("katalog-1", term, "katalog-1-b")}
	desk.handle(event.NewPeerMessageReceived("proxy-2", event.NewHeartbeat("proxy-2", "proxy-2:8000", 0, true, false, nil, terms)))
	is.Equal(desk.kernel.State().Group("katalog-1").Term(), term)
	desk.run(time.Second)
	last := desk.heartbeats()["proxy-2:8000"]
	is.Equal(last.Terms(), terms)
	is.Equal(len(last.KnownProxies()), 0)
	is.True(!last.Draining())
	desk.kernel.State().SetDraining()
	desk.sent = nil
	desk.handle(event.NewDrainStarted())
	is.True(slices.ContainsFunc(desk.sent, func(sent event.SendPeerMessage) bool {
		heartbeat, ok := sent.Message().(event.Heartbeat)
		return ok && heartbeat.Draining()
	}))
}

func TestRemoteHolds(t *testing.T) {
	is := is.New(t)
	desk := newFixture().start()
	group := desk.kernel.State().Group("katalog-1")
	holding := event.NewHeartbeat("proxy-2", "proxy-2:8000", 0, true, false, nil, nil).WithHolding([]model.GroupID{"katalog-1"})
	desk.handle(event.NewPeerMessageReceived("proxy-2", holding))
	is.True(group.WritesHeld(desk.now))
	desk.receiveHeartbeat("proxy-3", false) // another proxy's heartbeat does not end the hold
	is.True(group.WritesHeld(desk.now))
	desk.receiveHeartbeat("proxy-2", false)
	is.True(!group.WritesHeld(desk.now))
	desk.handle(event.NewPeerMessageReceived("proxy-2", holding))
	desk.run(time.Second)
	is.True(!group.WritesHeld(desk.now)) // a hold that is not renewed ends
}

func TestViews(t *testing.T) {
	is := is.New(t)
	desk := newFixture().start()
	desk.status[instance] = statusWithLeaving(false)
	desk.run(time.Second)
	desk.handle(event.NewCommandReceived(1, event.NewGetGroups()))
	groups, ok := desk.results[1].(event.Groups)
	is.True(ok)
	is.Equal(groups.Groups()[0].Primary(), instance)
	desk.receiveHeartbeat("proxy-2", true)
	desk.handle(event.NewCommandReceived(2, event.NewGetProxies()))
	proxies, ok := desk.results[2].(event.Proxies)
	is.True(ok)
	is.Equal(ids(proxies.Proxies()), []model.ProxyID{"proxy-1", "proxy-2"})
	is.True(proxies.Proxies()[1].Draining())
}

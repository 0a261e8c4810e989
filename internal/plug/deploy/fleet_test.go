package deploy_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/tune"
	_ "almondway.dev/almondway/internal/plug/deploy"
	_ "almondway.dev/almondway/internal/plug/member"
)

const step = 5 * time.Millisecond

var started = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// fleet is a few kernels with a table service between them. A message takes one step.
type fleet struct {
	now     time.Duration
	proxies []*proxy
	rows    map[string]model.Row
	down    bool
	lose    int // the next writes whose answers are lost
	dropped int // the next writes that fail without effect
	noPush  bool
	queue   []func()
}

type proxy struct {
	fleet   *fleet
	id      model.ProxyID
	kernel  *kern.Kernel
	started time.Duration
	paused  bool
	cut     bool // from the store and the other proxies
	waiting []event.Event
	results map[model.AskID]event.Result

	highest  uint64
	reverted bool
}

func newFleet(proxies int) *fleet {
	fleet := &fleet{rows: make(map[string]model.Row)}
	for range proxies {
		fleet.start()
	}
	fleet.run(3 * time.Second)
	return fleet
}

func (fleet *fleet) start(seeds ...string) *proxy {
	id := model.ProxyID(fmt.Sprintf("proxy-%d", len(fleet.proxies)+1))
	spec := tune.Default()
	spec.PeerSeeds = seeds
	self := model.NewProxyView(id, string(id), "trnje-hall", 0, false, 0)
	added := &proxy{
		fleet:   fleet,
		id:      id,
		kernel:  kern.New(self, tune.New(spec), started, uint64(len(fleet.proxies)+1)),
		started: fleet.now,
		results: make(map[model.AskID]event.Result),
	}
	fleet.proxies = append(fleet.proxies, added)
	return added
}

func (fleet *fleet) run(duration time.Duration) {
	for end := fleet.now + duration; fleet.now < end; fleet.now += step {
		queue := fleet.queue
		fleet.queue = nil
		for _, deliver := range queue {
			deliver()
		}
		for _, proxy := range fleet.proxies {
			if !proxy.paused {
				proxy.carryOut(proxy.kernel.Tick(fleet.now - proxy.started))
			}
		}
	}
}

func (proxy *proxy) post(received event.Event) {
	proxy.fleet.queue = append(proxy.fleet.queue, func() {
		if proxy.paused {
			proxy.waiting = append(proxy.waiting, received)
			return
		}
		proxy.carryOut(proxy.kernel.Handle(proxy.fleet.now-proxy.started, received))
	})
}

func (proxy *proxy) wake() {
	proxy.paused = false
	for _, received := range proxy.waiting {
		proxy.carryOut(proxy.kernel.Handle(proxy.fleet.now-proxy.started, received))
	}
	proxy.waiting = nil
}

func (proxy *proxy) ask(ask model.AskID, command event.Command) {
	proxy.carryOut(proxy.kernel.Handle(proxy.fleet.now-proxy.started, event.NewOperatorAsked(ask, command)))
}

func (proxy *proxy) carryOut(actions []event.Action) {
	proxy.reverted = proxy.reverted || proxy.revision() < proxy.highest
	proxy.highest = max(proxy.highest, proxy.revision())
	for _, action := range slices.Clone(actions) {
		proxy.dispatch(action)
	}
}

func (proxy *proxy) dispatch(action event.Action) {
	switch action := action.(type) {
	case event.ReadStore:
		proxy.read(action)
	case event.WriteStore:
		proxy.write(action)
	case event.ListGroups:
		instance := model.NewInstance("katalog-1-a", "127.0.0.1:7001", "trnje-hall")
		proxy.post(event.NewGroupsListed([]model.Group{model.NewGroup("katalog-1", []model.Instance{instance})}))
	case event.SendPeer:
		proxy.send(action)
	case event.AnswerOperator:
		proxy.results[action.Ask()] = action.Result()
	}
}

func (proxy *proxy) send(action event.SendPeer) {
	if _, ok := action.Message().(event.CatalogPush); ok && proxy.fleet.noPush {
		return
	}
	for _, other := range proxy.fleet.proxies {
		if string(other.id) == action.Address() && !proxy.cut && !other.cut {
			other.post(event.NewPeerReceived(proxy.id, action.Message()))
		}
	}
}

func (proxy *proxy) read(action event.ReadStore) {
	if proxy.fleet.down || proxy.cut {
		proxy.post(event.NewStoreFailed(action.Query()))
		return
	}
	prefix := action.Table() + "|" + action.Prefix()
	var rows []model.Row
	for key, row := range proxy.fleet.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(left, right model.Row) int { return strings.Compare(left.Key(), right.Key()) })
	proxy.post(event.NewStoreRead(action.Query(), rows))
}

func (proxy *proxy) write(action event.WriteStore) {
	fleet := proxy.fleet
	catalog := action.Writes()[0].Table() == "catalog"
	if fleet.down || proxy.cut || (catalog && fleet.dropped > 0) {
		fleet.dropped = max(0, fleet.dropped-1)
		proxy.post(event.NewStoreFailed(action.Query()))
		return
	}
	for _, write := range action.Writes() {
		if fleet.rows[write.Table()+"|"+write.Key()].Version() != write.Expected() {
			proxy.post(event.NewStoreConflict(action.Query()))
			return
		}
	}
	for _, write := range action.Writes() {
		key := write.Table() + "|" + write.Key()
		if write.Value() == nil {
			delete(fleet.rows, key)
			continue
		}
		fleet.rows[key] = model.NewRow(write.Key(), write.Expected()+1, write.Value())
	}
	if catalog && fleet.lose > 0 {
		fleet.lose--
		proxy.post(event.NewStoreFailed(action.Query()))
		return
	}
	proxy.post(event.NewStoreWritten(action.Query()))
}

func (proxy *proxy) revision() uint64 {
	revision, _ := proxy.kernel.State().Revision()
	return revision
}

func catalogue(weight int) *model.Deployment {
	return model.NewDeployment(model.DeploymentSpec{
		Name:    "katalog-db",
		Groups:  []model.GroupID{"katalog-1"},
		Kinds:   []model.Kind{model.NewKind(model.KindSpec{Name: "browse", Access: model.AccessRead})},
		Classes: []model.Class{model.NewClass(model.ClassSpec{Name: "student"})},
		Weight:  weight,
	})
}

func apply(weight int, expected uint64, changeID, operator string) event.Command {
	return event.NewApplyDeployment(catalogue(weight), expected, changeID, operator)
}

package deploy_test

import (
	"fmt"
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/tune"
	"almondway.dev/almondway/internal/plug/deploy"
	_ "almondway.dev/almondway/internal/plug/member"
	"almondway.dev/almondway/internal/stand/shelf"
)

const step = 5 * time.Millisecond

// contexts holds the context of the kernel that was made last.
var contexts = make(chan *kern.Context, 1)

func init() {
	kern.Register("spy", kern.RankDrain, func(context *kern.Context) kern.Plugin {
		contexts <- context
		return spy{}
	})
}

// spy is a plug-in that does nothing.
type spy struct{}

func (spy) Handle(event.Event) {}

var started = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// fleet is a few kernels with a table service between them. A message takes one step.
type fleet struct {
	now     time.Duration
	proxies []*proxy
	shelf   *shelf.Shelf
	noPush  bool
	queue   []func()
}

type proxy struct {
	fleet   *fleet
	id      model.ProxyID
	kernel  *kern.Kernel
	context *kern.Context
	started time.Duration
	paused  bool
	cut     bool // from the store and the other proxies
	waiting []event.Event
	results map[model.AdminCallID]event.Result

	highest  uint64
	reverted bool
}

func newFleet(proxies int) *fleet {
	fleet := &fleet{shelf: shelf.New()}
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
		results: make(map[model.AdminCallID]event.Result),
	}
	added.context = <-contexts
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
	proxy.carryOut(proxy.kernel.Tick(proxy.fleet.now - proxy.started))
	for _, received := range proxy.waiting {
		proxy.carryOut(proxy.kernel.Handle(proxy.fleet.now-proxy.started, received))
	}
	proxy.waiting = nil
}

func (proxy *proxy) ask(ask model.AdminCallID, command event.Command) {
	proxy.carryOut(proxy.kernel.Handle(proxy.fleet.now-proxy.started, event.NewCommandReceived(ask, command)))
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
		proxy.store(action.Query(), func() event.Event { return proxy.fleet.shelf.Read(action) })
	case event.WriteStore:
		proxy.store(action.Query(), func() event.Event { return proxy.fleet.shelf.Write(action) })
	case event.ListGroups:
		instance := model.NewInstance("katalog-1-a", "127.0.0.1:7001", "trnje-hall")
		proxy.post(event.NewGroupsListed([]model.Group{model.NewGroup("katalog-1", []model.Instance{instance})}))
	case event.SendPeerMessage:
		proxy.send(action)
	case event.AnswerOperator:
		proxy.results[action.CommandID()] = action.Result()
	}
}

func (proxy *proxy) send(action event.SendPeerMessage) {
	if _, ok := action.Message().(event.CatalogPush); ok && proxy.fleet.noPush {
		return
	}
	for _, other := range proxy.fleet.proxies {
		if string(other.id) == action.Address() && !proxy.cut && !other.cut {
			other.post(event.NewPeerMessageReceived(proxy.id, action.Message()))
		}
	}
}

// store has the shelf carry out an action, unless the proxy is cut off.
func (proxy *proxy) store(query model.PlatformCallID, run func() event.Event) {
	if proxy.cut {
		proxy.post(event.NewStoreFailed(query))
		return
	}
	proxy.post(run())
}

func (proxy *proxy) revision() uint64 {
	revision, _ := proxy.kernel.State().Revision()
	return revision
}

// inFlight returns how many changes are not answered, as the plug-in tells others.
func (proxy *proxy) inFlight() int {
	return proxy.context.Service(deploy.ServiceName).(*deploy.Deploy).InFlight()
}

func catalogue(weight int) *model.Deployment {
	return model.NewDeployment(model.DeploymentSpec{
		Name:    "katalog-db",
		Groups:  []model.GroupID{"katalog-1"},
		Kinds:   []model.Kind{model.NewKind(model.KindSpec{Name: "browse", Access: model.AccessRead})},
		Classes: []model.CallerClass{model.NewCallerClass(model.CallerClassSpec{Name: "student"})},
		Weight:  weight,
	})
}

func apply(weight int, expected uint64, changeID, operator string) event.Command {
	return event.NewApplyDeployment(catalogue(weight), expected, changeID, operator)
}

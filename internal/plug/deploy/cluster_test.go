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

// contexts holds the context of the kernel that was created last.
var contexts = make(chan *kern.Context, 1)

func init() {
	kern.Register("spy", kern.RankDrain, func(context *kern.Context) kern.Plugin {
		contexts <- context
		return spy{}
	})
}

// spy is a plug-in that exposes the context of its kernel and ignores all events.
type spy struct{}

func (spy) Handle(event.Event) {}

var wallStart = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// cluster simulates several kernels that share a table service. A message takes one step.
type cluster struct {
	now        time.Duration
	proxies    []*proxy
	shelf      *shelf.Store
	dropPushes bool
	deliveries []func()
}

type proxy struct {
	cluster      *cluster
	id           model.ProxyID
	kernel       *kern.Kernel
	context      *kern.Context
	started      time.Duration
	paused       bool
	partitioned  bool // from the store and the other proxies
	pausedEvents []event.Event
	results      map[model.AdminCallID]event.Result

	highest  uint64
	reverted bool
}

func newCluster(proxies int) *cluster {
	cluster := &cluster{shelf: shelf.New()}
	for range proxies {
		cluster.startProxy()
	}
	cluster.run(3 * time.Second)
	return cluster
}

func (cluster *cluster) startProxy(seeds ...string) *proxy {
	id := model.ProxyID(fmt.Sprintf("proxy-%d", len(cluster.proxies)+1))
	spec := tune.Default()
	spec.PeerSeeds = seeds
	self := model.NewProxyView(id, string(id), "trnje-hall", 0, false, 0)
	added := &proxy{
		cluster: cluster,
		id:      id,
		kernel:  kern.New(self, tune.New(spec), wallStart, uint64(len(cluster.proxies)+1)),
		started: cluster.now,
		results: make(map[model.AdminCallID]event.Result),
	}
	added.context = <-contexts
	cluster.proxies = append(cluster.proxies, added)
	return added
}

func (cluster *cluster) run(duration time.Duration) {
	for end := cluster.now + duration; cluster.now < end; cluster.now += step {
		queue := cluster.deliveries
		cluster.deliveries = nil
		for _, deliver := range queue {
			deliver()
		}
		for _, proxy := range cluster.proxies {
			if !proxy.paused {
				proxy.dispatchAll(proxy.kernel.Tick(cluster.now - proxy.started))
			}
		}
	}
}

func (proxy *proxy) enqueue(received event.Event) {
	proxy.cluster.deliveries = append(proxy.cluster.deliveries, func() {
		if proxy.paused {
			proxy.pausedEvents = append(proxy.pausedEvents, received)
			return
		}
		proxy.dispatchAll(proxy.kernel.Handle(proxy.cluster.now-proxy.started, received))
	})
}

func (proxy *proxy) resume() {
	proxy.paused = false
	proxy.dispatchAll(proxy.kernel.Tick(proxy.cluster.now - proxy.started))
	for _, received := range proxy.pausedEvents {
		proxy.dispatchAll(proxy.kernel.Handle(proxy.cluster.now-proxy.started, received))
	}
	proxy.pausedEvents = nil
}

func (proxy *proxy) call(commandID model.AdminCallID, command event.Command) {
	proxy.dispatchAll(proxy.kernel.Handle(proxy.cluster.now-proxy.started, event.NewCommandReceived(commandID, command)))
}

func (proxy *proxy) dispatchAll(actions []event.Action) {
	proxy.reverted = proxy.reverted || proxy.revision() < proxy.highest
	proxy.highest = max(proxy.highest, proxy.revision())
	for _, action := range slices.Clone(actions) {
		proxy.dispatch(action)
	}
}

func (proxy *proxy) dispatch(action event.Action) {
	switch action := action.(type) {
	case event.ReadStore:
		proxy.callStore(action.CallID(), func() event.Event { return proxy.cluster.shelf.Read(action) })
	case event.WriteStore:
		proxy.callStore(action.CallID(), func() event.Event { return proxy.cluster.shelf.Write(action) })
	case event.ListGroups:
		instance := model.NewInstance("katalog-1-a", "127.0.0.1:7001", "trnje-hall")
		proxy.enqueue(event.NewGroupsListed([]model.Group{model.NewGroup("katalog-1", []model.Instance{instance})}))
	case event.SendPeerMessage:
		proxy.send(action)
	case event.AnswerOperator:
		proxy.results[action.CallID()] = action.Result()
	}
}

func (proxy *proxy) send(action event.SendPeerMessage) {
	if _, ok := action.Message().(event.CatalogPush); ok && proxy.cluster.dropPushes {
		return
	}
	for _, other := range proxy.cluster.proxies {
		if string(other.id) == action.Address() && !proxy.partitioned && !other.partitioned {
			other.enqueue(event.NewPeerMessageReceived(proxy.id, action.Message()))
		}
	}
}

// callStore runs an action on the fake table service. It fails if the proxy is partitioned.
func (proxy *proxy) callStore(query model.PlatformCallID, run func() event.Event) {
	if proxy.partitioned {
		proxy.enqueue(event.NewStoreFailed(query))
		return
	}
	proxy.enqueue(run())
}

func (proxy *proxy) revision() uint64 {
	revision, _ := proxy.kernel.State().Revision()
	return revision
}

// inFlight returns the number of unanswered changes, as the plug-in reports it to other
// plug-ins.
func (proxy *proxy) inFlight() int {
	return proxy.context.Service(deploy.ServiceName).(*deploy.Deployments).InFlight()
}

func testDeployment(weight int) *model.Deployment {
	return model.NewDeployment(model.DeploymentSpec{
		Name:    "katalog-db",
		Groups:  []model.GroupID{"katalog-1"},
		Kinds:   []model.Kind{model.NewKind(model.KindSpec{Name: "browse", Access: model.AccessRead})},
		Classes: []model.CallerClass{model.NewCallerClass(model.CallerClassSpec{Name: "student"})},
		Weight:  weight,
	})
}

func applyCommand(weight int, expected uint64, changeID, operator string) event.Command {
	return event.NewApplyDeployment(testDeployment(weight), expected, changeID, operator)
}

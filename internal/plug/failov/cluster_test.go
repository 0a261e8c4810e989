package failov_test

import (
	"fmt"
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/tune"
	_ "almondway.dev/almondway/internal/plug/failov"
	_ "almondway.dev/almondway/internal/plug/probe"
)

const (
	step      = 2 * time.Millisecond
	group     = model.GroupID("ledger-1")
	firstTerm = model.Term(1 << 24)
)

// cluster simulates a group of three instances and several proxies. The delivery of a message
// takes one step.
type cluster struct {
	now             time.Duration
	members         []model.Instance
	instances       []*instance
	proxies         []*proxy
	primariesByTerm map[model.Term][]model.InstanceID
	partitioned     map[[2]string]bool
	deliveries      []func()
	callTimeouts    []callTimeout
}

// callTimeout reports the failure of a call that is not answered in time.
type callTimeout struct {
	at   time.Duration
	fail func()
}

type proxy struct {
	cluster      *cluster
	id           model.ProxyID
	kernel       *kern.Kernel
	paused       bool
	pausedEvents []event.Event
	orders       []event.SendOrder
	beforeOrder  func(order event.SendOrder) // may kill or pause a node before the order is sent
	dead         bool
	results      map[model.AdminCallID]event.Result
}

func newCluster(proxies int) *cluster {
	cluster := &cluster{primariesByTerm: make(map[model.Term][]model.InstanceID), partitioned: make(map[[2]string]bool)}
	for _, name := range []string{"a", "b", "c"} {
		self := model.NewInstance(model.InstanceID(name), name+":1", model.DataCenter("lakeshore-"+name))
		cluster.members = append(cluster.members, self)
		added := &instance{cluster: cluster, self: self, fence: firstTerm, upstream: "a", log: []model.Term{firstTerm}}
		cluster.instances = append(cluster.instances, added)
	}
	cluster.instances[0].primary = true
	for range proxies {
		cluster.startProxy()
	}
	cluster.run(500 * time.Millisecond)
	return cluster
}

// startProxy adds a proxy that is known to all others.
func (cluster *cluster) startProxy() {
	number := len(cluster.proxies) + 1
	id := model.ProxyID(fmt.Sprintf("proxy-%d", number))
	self := model.NewProxyView(id, string(id), "lakeshore-a", 0, false, 0)
	kernel := kern.New(self, tune.New(tune.Default()), time.Time{}, uint64(number))
	kernel.State().SetGroups([]model.Group{model.NewGroup(group, cluster.members)})
	kernel.State().SetPromoter(uint32(number))
	cluster.proxies = append(cluster.proxies, &proxy{cluster: cluster, id: id, kernel: kernel, results: make(map[model.AdminCallID]event.Result)})
	var views []model.ProxyView
	for _, proxy := range cluster.proxies {
		views = append(views, proxy.kernel.State().Self())
	}
	for _, proxy := range cluster.proxies {
		proxy.kernel.State().SetProxies(views)
	}
}

// replaceProxies kills all proxies and starts one.
func (cluster *cluster) replaceProxies() {
	for _, proxy := range cluster.proxies {
		proxy.dead = true
	}
	cluster.startProxy()
}

func (cluster *cluster) instance(id model.InstanceID) *instance {
	for _, found := range cluster.instances {
		if found.self.ID() == id {
			return found
		}
	}
	return nil
}

// setPartitioned disconnects two nodes from each other, or connects them again.
func (cluster *cluster) setPartitioned(left, right string, partitioned bool) {
	cluster.partitioned[[2]string{left, right}] = partitioned
	cluster.partitioned[[2]string{right, left}] = partitioned
}

// setIsolated disconnects the first primary from all other instances and all proxies, or
// connects it again.
func (cluster *cluster) setIsolated(partitioned bool) {
	for _, other := range cluster.instances[1:] {
		cluster.setPartitioned("a", string(other.self.ID()), partitioned)
	}
	for _, proxy := range cluster.proxies {
		cluster.setPartitioned("a", string(proxy.id), partitioned)
	}
}

func (cluster *cluster) connected(left, right *instance) bool {
	usable := !left.dead && !right.dead && !left.frozen && !right.frozen
	return usable && !cluster.partitioned[[2]string{string(left.self.ID()), string(right.self.ID())}]
}

func (cluster *cluster) run(duration time.Duration) {
	cluster.runUntil(duration, func() bool { return false })
}

// runUntil runs the simulation until done returns true or the limit has passed.
func (cluster *cluster) runUntil(limit time.Duration, done func() bool) {
	startedAt := cluster.now
	for cluster.now < startedAt+limit && !done() {
		cluster.now += step
		queue := cluster.deliveries
		cluster.deliveries = nil
		for _, deliver := range queue {
			deliver()
		}
		cluster.expireCalls()
		for _, instance := range cluster.instances {
			instance.replicate()
		}
		for _, proxy := range cluster.proxies {
			if !proxy.paused && !proxy.dead {
				proxy.dispatchAll(proxy.kernel.Tick(cluster.now))
			}
		}
	}
}

// expireCalls reports the calls whose time limit has passed as failed. The kernels ignore the
// failure of a call that was answered.
func (cluster *cluster) expireCalls() {
	pending := cluster.callTimeouts
	cluster.callTimeouts = nil
	for _, timeout := range pending {
		if timeout.at > cluster.now {
			cluster.callTimeouts = append(cluster.callTimeouts, timeout)
			continue
		}
		timeout.fail()
	}
}

// primary returns the primary whose term is the fence of a majority of running instances, or
// nil.
func (cluster *cluster) primary() *instance {
	for _, candidate := range cluster.instances {
		fenced := 0
		for _, other := range cluster.instances {
			if !other.dead && other.fence == candidate.fence {
				fenced++
			}
		}
		if candidate.primary && !candidate.dead && fenced >= 2 {
			return candidate
		}
	}
	return nil
}

// primaryIsOneOf returns a condition for runUntil: the primary is one of the instances.
func (cluster *cluster) primaryIsOneOf(ids ...model.InstanceID) func() bool {
	return func() bool {
		primary := cluster.primary()
		return primary != nil && slices.Contains(ids, primary.self.ID())
	}
}

func (proxy *proxy) resume() {
	proxy.paused = false
	for _, received := range proxy.pausedEvents {
		proxy.post(received)
	}
	proxy.pausedEvents = nil
}

func (proxy *proxy) post(received event.Event) {
	switch {
	case proxy.dead:
	case proxy.paused:
		proxy.pausedEvents = append(proxy.pausedEvents, received)
	default:
		proxy.dispatchAll(proxy.kernel.Handle(proxy.cluster.now, received))
	}
}

func (proxy *proxy) enqueue(received event.Event) {
	proxy.cluster.deliveries = append(proxy.cluster.deliveries, func() { proxy.post(received) })
}

func (proxy *proxy) dispatchAll(actions []event.Action) {
	for _, action := range slices.Clone(actions) {
		proxy.dispatch(action)
	}
}

func (proxy *proxy) dispatch(action event.Action) {
	switch action := action.(type) {
	case event.Probe:
		proxy.call(action.Instance(), func(instance *instance) event.Event {
			return event.NewStatusReported(action.Probe(), action.Instance(), instance.status())
		}, func(reason model.ConnFailure) event.Event {
			return event.NewProbeFailed(action.Probe(), action.Instance(), reason)
		}, action.Timeout())
	case event.SendOrder:
		if proxy.beforeOrder != nil {
			proxy.beforeOrder(action)
		}
		if proxy.dead {
			return
		}
		proxy.orders = append(proxy.orders, action)
		proxy.call(action.Instance(), func(instance *instance) event.Event {
			accepted := instance.execute(action.Body())
			return event.NewOrderAnswered(action.Order(), action.Instance(), accepted, instance.status())
		}, func(reason model.ConnFailure) event.Event {
			return event.NewOrderFailed(action.Order(), action.Instance(), reason)
		}, action.Timeout())
	case event.AnswerOperator:
		proxy.results[action.CallID()] = action.Result()
	}
}

// call runs a function at an instance one step later and posts its answer another step later.
// It posts a failure if the instance does not answer within the limit.
func (proxy *proxy) call(id model.InstanceID, run func(instance *instance) event.Event, fail func(reason model.ConnFailure) event.Event, limit time.Duration) {
	target := proxy.cluster.instance(id)
	expiry := callTimeout{at: proxy.cluster.now + limit, fail: func() { proxy.post(fail(model.ConnFailureTimeout)) }}
	respond := func() { proxy.enqueue(run(target)) }
	proxy.cluster.deliveries = append(proxy.cluster.deliveries, func() {
		switch {
		case proxy.cluster.partitioned[[2]string{string(proxy.id), string(id)}]:
			proxy.cluster.callTimeouts = append(proxy.cluster.callTimeouts, expiry)
		case target.dead:
			proxy.enqueue(fail(model.ConnFailureRefused))
		case target.frozen:
			target.deferred = append(target.deferred, respond)
			proxy.cluster.callTimeouts = append(proxy.cluster.callTimeouts, expiry)
		default:
			respond()
		}
	})
}

// countOrders returns how many orders to promote and to fence the proxies have sent.
func (cluster *cluster) countOrders() (promotes, fences int) {
	for _, proxy := range cluster.proxies {
		for _, order := range proxy.orders {
			switch order.Body().(type) {
			case event.Promote:
				promotes++
			case event.Fence:
				fences++
			}
		}
	}
	return promotes, fences
}

// countPromoters returns how many of the running proxies have sent an order to fence.
func (cluster *cluster) countPromoters() int {
	count := 0
	for _, proxy := range cluster.proxies {
		isFencing := func(order event.SendOrder) bool { return isFence(order.Body()) }
		if !proxy.dead && slices.ContainsFunc(proxy.orders, isFencing) {
			count++
		}
	}
	return count
}

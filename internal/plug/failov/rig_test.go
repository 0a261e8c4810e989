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

// cluster is a group of three instances and a few kernels. A message takes one step.
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

// callTimeout is the failure of a call that is not answered.
type callTimeout struct {
	at   time.Duration
	fail func()
}

type proxy struct {
	cluster     *cluster
	id          model.ProxyID
	kernel      *kern.Kernel
	paused      bool
	deferred    []event.Event
	orders      []event.SendOrder
	beforeOrder func(order event.SendOrder) // may kill or pause before the order is sent
	dead        bool
	results     map[model.AdminCallID]event.Result
}

func newCluster(proxies int) *cluster {
	rig := &cluster{primariesByTerm: make(map[model.Term][]model.InstanceID), partitioned: make(map[[2]string]bool)}
	for _, name := range []string{"a", "b", "c"} {
		self := model.NewInstance(model.InstanceID(name), name+":1", model.DataCenter("lakeshore-"+name))
		rig.members = append(rig.members, self)
		added := &instance{cluster: rig, self: self, fence: firstTerm, upstream: "a", log: []model.Term{firstTerm}}
		rig.instances = append(rig.instances, added)
	}
	rig.instances[0].primary = true
	for range proxies {
		rig.startProxy()
	}
	rig.run(500 * time.Millisecond)
	return rig
}

// startProxy adds a proxy, which all others know.
func (rig *cluster) startProxy() {
	number := len(rig.proxies) + 1
	id := model.ProxyID(fmt.Sprintf("proxy-%d", number))
	self := model.NewProxyView(id, string(id), "lakeshore-a", 0, false, 0)
	kernel := kern.New(self, tune.New(tune.Default()), time.Time{}, uint64(number))
	kernel.State().SetGroups([]model.Group{model.NewGroup(group, rig.members)})
	kernel.State().SetPromoter(uint32(number))
	rig.proxies = append(rig.proxies, &proxy{cluster: rig, id: id, kernel: kernel, results: make(map[model.AdminCallID]event.Result)})
	var views []model.ProxyView
	for _, proxy := range rig.proxies {
		views = append(views, proxy.kernel.State().Self())
	}
	for _, proxy := range rig.proxies {
		proxy.kernel.State().SetProxies(views)
	}
}

// replaceProxies kills all proxies and starts one.
func (rig *cluster) replaceProxies() {
	for _, proxy := range rig.proxies {
		proxy.dead = true
	}
	rig.startProxy()
}

func (rig *cluster) instance(id model.InstanceID) *instance {
	for _, found := range rig.instances {
		if found.self.ID() == id {
			return found
		}
	}
	return nil
}

// setPartitioned separates two nodes, or joins them again.
func (rig *cluster) setPartitioned(left, right string, apart bool) {
	rig.partitioned[[2]string{left, right}] = apart
	rig.partitioned[[2]string{right, left}] = apart
}

// setIsolated separates the first primary from all instances and proxies, or ends that.
func (rig *cluster) setIsolated(apart bool) {
	for _, other := range rig.instances[1:] {
		rig.setPartitioned("a", string(other.self.ID()), apart)
	}
	for _, proxy := range rig.proxies {
		rig.setPartitioned("a", string(proxy.id), apart)
	}
}

func (rig *cluster) connected(left, right *instance) bool {
	usable := !left.dead && !right.dead && !left.frozen && !right.frozen
	return usable && !rig.partitioned[[2]string{string(left.self.ID()), string(right.self.ID())}]
}

func (rig *cluster) run(duration time.Duration) {
	rig.runUntil(duration, func() bool { return false })
}

// runUntil runs until done, or until the limit has passed.
func (rig *cluster) runUntil(limit time.Duration, done func() bool) {
	began := rig.now
	for rig.now < began+limit && !done() {
		rig.now += step
		queue := rig.deliveries
		rig.deliveries = nil
		for _, deliver := range queue {
			deliver()
		}
		rig.expireCalls()
		for _, instance := range rig.instances {
			instance.replicate()
		}
		for _, proxy := range rig.proxies {
			if !proxy.paused && !proxy.dead {
				proxy.runActions(proxy.kernel.Tick(rig.now))
			}
		}
	}
}

// expireCalls reports the calls whose limit has passed; the kernels ignore those that
// were answered.
func (rig *cluster) expireCalls() {
	waiting := rig.callTimeouts
	rig.callTimeouts = nil
	for _, timeout := range waiting {
		if timeout.at > rig.now {
			rig.callTimeouts = append(rig.callTimeouts, timeout)
			continue
		}
		timeout.fail()
	}
}

// primary returns the instance that leads the highest fence of a majority, or nil.
func (rig *cluster) primary() *instance {
	for _, candidate := range rig.instances {
		followers := 0
		for _, other := range rig.instances {
			if !other.dead && other.fence == candidate.fence {
				followers++
			}
		}
		if candidate.primary && !candidate.dead && followers >= 2 {
			return candidate
		}
	}
	return nil
}

// primaryIsOneOf returns a condition for runUntil.
func (rig *cluster) primaryIsOneOf(other ...model.InstanceID) func() bool {
	return func() bool {
		leader := rig.primary()
		return leader != nil && slices.Contains(other, leader.self.ID())
	}
}

func (proxy *proxy) resume() {
	proxy.paused = false
	for _, received := range proxy.deferred {
		proxy.post(received)
	}
	proxy.deferred = nil
}

func (proxy *proxy) post(received event.Event) {
	switch {
	case proxy.dead:
	case proxy.paused:
		proxy.deferred = append(proxy.deferred, received)
	default:
		proxy.runActions(proxy.kernel.Handle(proxy.cluster.now, received))
	}
}

func (proxy *proxy) postLater(received event.Event) {
	proxy.cluster.deliveries = append(proxy.cluster.deliveries, func() { proxy.post(received) })
}

func (proxy *proxy) runActions(actions []event.Action) {
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
		proxy.results[action.CommandID()] = action.Result()
	}
}

// call runs something at an instance a step later and posts the answer another
// step later, and a failure when the limit has passed.
func (proxy *proxy) call(id model.InstanceID, run func(instance *instance) event.Event, fail func(reason model.ConnFailure) event.Event, limit time.Duration) {
	target := proxy.cluster.instance(id)
	expiry := callTimeout{at: proxy.cluster.now + limit, fail: func() { proxy.post(fail(model.ConnFailureTimeout)) }}
	visit := func() { proxy.postLater(run(target)) }
	proxy.cluster.deliveries = append(proxy.cluster.deliveries, func() {
		switch {
		case proxy.cluster.partitioned[[2]string{string(proxy.id), string(id)}]:
			proxy.cluster.callTimeouts = append(proxy.cluster.callTimeouts, expiry)
		case target.dead:
			proxy.postLater(fail(model.ConnFailureRefused))
		case target.frozen:
			target.deferred = append(target.deferred, visit)
			proxy.cluster.callTimeouts = append(proxy.cluster.callTimeouts, expiry)
		default:
			visit()
		}
	})
}

// countOrders returns how many orders to promote and to fence the proxies countOrders.
func (rig *cluster) countOrders() (promotes, fences int) {
	for _, proxy := range rig.proxies {
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

// countPromoters returns how many of the living proxies fenced an instance.
func (rig *cluster) countPromoters() int {
	count := 0
	for _, proxy := range rig.proxies {
		isFencing := func(order event.SendOrder) bool { return isFence(order.Body()) }
		if !proxy.dead && slices.ContainsFunc(proxy.orders, isFencing) {
			count++
		}
	}
	return count
}

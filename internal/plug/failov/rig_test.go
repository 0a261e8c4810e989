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

// rig is a group of three instances and a few kernels. A message takes one step.
type rig struct {
	now       time.Duration
	members   []model.Instance
	instances []*instance
	proxies   []*proxy
	led       map[model.Term][]model.InstanceID
	apart     map[[2]string]bool
	queue     []func()
	timeouts  []timeout
}

// timeout is the failure of a call that is not answered.
type timeout struct {
	at   time.Duration
	fail func()
}

type proxy struct {
	rig     *rig
	id      model.ProxyID
	kernel  *kern.Kernel
	paused  bool
	waiting []event.Event
	orders  []event.SendOrder
	onOrder func(order event.SendOrder) // may kill or pause before the order is sent
	dead    bool
	results map[model.AdminCallID]event.Result
}

func newRig(proxies int) *rig {
	rig := &rig{led: make(map[model.Term][]model.InstanceID), apart: make(map[[2]string]bool)}
	for _, name := range []string{"a", "b", "c"} {
		self := model.NewInstance(model.InstanceID(name), name+":1", model.DataCenter("lakeshore-"+name))
		rig.members = append(rig.members, self)
		added := &instance{rig: rig, self: self, fence: firstTerm, upstream: "a", log: []model.Term{firstTerm}}
		rig.instances = append(rig.instances, added)
	}
	rig.instances[0].primary = true
	for range proxies {
		rig.start()
	}
	rig.run(500 * time.Millisecond)
	return rig
}

// start adds a proxy, which all others know.
func (rig *rig) start() {
	number := len(rig.proxies) + 1
	id := model.ProxyID(fmt.Sprintf("proxy-%d", number))
	self := model.NewProxyView(id, string(id), "lakeshore-a", 0, false, 0)
	kernel := kern.New(self, tune.New(tune.Default()), time.Time{}, uint64(number))
	kernel.State().SetGroups([]model.Group{model.NewGroup(group, rig.members)})
	kernel.State().SetPromoter(uint32(number))
	rig.proxies = append(rig.proxies, &proxy{rig: rig, id: id, kernel: kernel, results: make(map[model.AdminCallID]event.Result)})
	var views []model.ProxyView
	for _, proxy := range rig.proxies {
		views = append(views, proxy.kernel.State().Self())
	}
	for _, proxy := range rig.proxies {
		proxy.kernel.State().SetProxies(views)
	}
}

// replaceProxies kills all proxies and starts one.
func (rig *rig) replaceProxies() {
	for _, proxy := range rig.proxies {
		proxy.dead = true
	}
	rig.start()
}

func (rig *rig) instance(id model.InstanceID) *instance {
	for _, found := range rig.instances {
		if found.self.ID() == id {
			return found
		}
	}
	return nil
}

// cut separates two nodes, or joins them again.
func (rig *rig) cut(left, right string, apart bool) {
	rig.apart[[2]string{left, right}] = apart
	rig.apart[[2]string{right, left}] = apart
}

// isolate separates the first primary from all instances and proxies, or ends that.
func (rig *rig) isolate(apart bool) {
	for _, other := range rig.instances[1:] {
		rig.cut("a", string(other.self.ID()), apart)
	}
	for _, proxy := range rig.proxies {
		rig.cut("a", string(proxy.id), apart)
	}
}

func (rig *rig) connected(left, right *instance) bool {
	usable := !left.dead && !right.dead && !left.frozen && !right.frozen
	return usable && !rig.apart[[2]string{string(left.self.ID()), string(right.self.ID())}]
}

func (rig *rig) run(duration time.Duration) {
	rig.runUntil(duration, func() bool { return false })
}

// runUntil runs until done, or until the limit has passed.
func (rig *rig) runUntil(limit time.Duration, done func() bool) {
	began := rig.now
	for rig.now < began+limit && !done() {
		rig.now += step
		queue := rig.queue
		rig.queue = nil
		for _, deliver := range queue {
			deliver()
		}
		rig.expire()
		for _, instance := range rig.instances {
			instance.sync()
		}
		for _, proxy := range rig.proxies {
			if !proxy.paused && !proxy.dead {
				proxy.carryOut(proxy.kernel.Tick(rig.now))
			}
		}
	}
}

// expire reports the calls whose limit has passed; the kernels ignore those that
// were answered.
func (rig *rig) expire() {
	waiting := rig.timeouts
	rig.timeouts = nil
	for _, timeout := range waiting {
		if timeout.at > rig.now {
			rig.timeouts = append(rig.timeouts, timeout)
			continue
		}
		timeout.fail()
	}
}

// leader returns the instance that leads the highest fence of a majority, or nil.
func (rig *rig) leader() *instance {
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

// leads returns a condition for runUntil.
func (rig *rig) leads(other ...model.InstanceID) func() bool {
	return func() bool {
		leader := rig.leader()
		return leader != nil && slices.Contains(other, leader.self.ID())
	}
}

func (proxy *proxy) wake() {
	proxy.paused = false
	for _, received := range proxy.waiting {
		proxy.post(received)
	}
	proxy.waiting = nil
}

func (proxy *proxy) post(received event.Event) {
	switch {
	case proxy.dead:
	case proxy.paused:
		proxy.waiting = append(proxy.waiting, received)
	default:
		proxy.carryOut(proxy.kernel.Handle(proxy.rig.now, received))
	}
}

func (proxy *proxy) later(received event.Event) {
	proxy.rig.queue = append(proxy.rig.queue, func() { proxy.post(received) })
}

func (proxy *proxy) carryOut(actions []event.Action) {
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
		if proxy.onOrder != nil {
			proxy.onOrder(action)
		}
		if proxy.dead {
			return
		}
		proxy.orders = append(proxy.orders, action)
		proxy.call(action.Instance(), func(instance *instance) event.Event {
			accepted := instance.obey(action.Body())
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
	target := proxy.rig.instance(id)
	expiry := timeout{at: proxy.rig.now + limit, fail: func() { proxy.post(fail(model.ConnFailureTimeout)) }}
	visit := func() { proxy.later(run(target)) }
	proxy.rig.queue = append(proxy.rig.queue, func() {
		switch {
		case proxy.rig.apart[[2]string{string(proxy.id), string(id)}]:
			proxy.rig.timeouts = append(proxy.rig.timeouts, expiry)
		case target.dead:
			proxy.later(fail(model.ConnFailureRefused))
		case target.frozen:
			target.waiting = append(target.waiting, visit)
			proxy.rig.timeouts = append(proxy.rig.timeouts, expiry)
		default:
			visit()
		}
	})
}

// sent returns how many orders to promote and to fence the proxies sent.
func (rig *rig) sent() (promotes, fences int) {
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

// promoters returns how many of the living proxies fenced an instance.
func (rig *rig) promoters() int {
	count := 0
	for _, proxy := range rig.proxies {
		isFencing := func(order event.SendOrder) bool { return isFence(order.Body()) }
		if !proxy.dead && slices.ContainsFunc(proxy.orders, isFencing) {
			count++
		}
	}
	return count
}

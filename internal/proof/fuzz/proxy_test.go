package fuzz

import (
	"fmt"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/tune"
)

const (
	// One in duplicateOneIn messages between proxies is delivered a second time,
	// up to maxDuplicateDelay later.
	duplicateOneIn    = 8
	maxDuplicateDelay = 4 * time.Second
)

// proxy is a process that runs the decision code of a proxy with fake I/O.
type proxy struct {
	simulation       *simulation
	logic            proxyLogic
	id               model.ProxyID
	address          string
	startedAt        time.Duration
	draining         bool
	drainedAt        time.Duration
	alive            bool
	stopped          bool
	frozen           bool
	storePartitioned bool
	peersPartitioned bool
	partitionedFrom  map[model.InstanceID]bool
	dropsAnswersFrom map[model.InstanceID]bool
	conns            map[model.ConnID]backendConn
	callers          map[model.CallerID]*caller
	lastCallerID     model.CallerID
	queuedEvents     []event.Event
}

func (simulation *simulation) startProxy() {
	number := len(simulation.proxies) + 1
	started := &proxy{
		simulation:       simulation,
		id:               model.ProxyID(fmt.Sprintf("proxy-%d", number)),
		address:          fmt.Sprintf("proxy-%d:7000", number),
		startedAt:        simulation.now,
		alive:            true,
		partitionedFrom:  make(map[model.InstanceID]bool),
		dropsAnswersFrom: make(map[model.InstanceID]bool),
		conns:            make(map[model.ConnID]backendConn),
		callers:          make(map[model.CallerID]*caller),
	}
	self := model.NewProxyView(started.id, started.address, "gradska-dvorana", 0, false, 0)
	started.logic = simulation.newLogic(self, tune.New(simulation.settings), wallStart.Add(simulation.now), simulation.random.Uint64())
	simulation.proxies = append(simulation.proxies, started)
}

// drain requests the shutdown of the proxy.
func (proxy *proxy) drain() {
	if !proxy.draining {
		proxy.draining = true
		proxy.drainedAt = proxy.simulation.now
	}
	proxy.post(shutdownRequested())
}

func (proxy *proxy) uptime() time.Duration { return proxy.simulation.now - proxy.startedAt }

func (proxy *proxy) nextDue() (time.Duration, bool) {
	if !proxy.alive || proxy.frozen {
		return 0, false
	}
	at, ok := proxy.logic.Next()
	return at + proxy.startedAt, ok
}

func (proxy *proxy) tick() { proxy.dispatchAll(proxy.logic.Tick(proxy.uptime())) }

// post delivers an event to the decision code, or queues it until thaw if the
// process is frozen.
func (proxy *proxy) post(received event.Event) {
	if !proxy.alive {
		return
	}
	if proxy.frozen {
		proxy.queuedEvents = append(proxy.queuedEvents, received)
		return
	}
	proxy.dispatchAll(proxy.logic.Handle(proxy.uptime(), received))
}

func (proxy *proxy) thaw() {
	proxy.frozen = false
	queued := proxy.queuedEvents
	proxy.queuedEvents = nil
	for _, received := range queued {
		proxy.post(received)
	}
}

// kill ends the process, which breaks its connections and disconnects its callers.
func (proxy *proxy) kill() {
	proxy.alive = false
	for conn, opened := range proxy.conns {
		delete(opened.instance.openTxs, connKey{proxy: proxy, conn: conn})
	}
	for _, caller := range proxy.callers {
		caller.markDisconnected()
	}
	clear(proxy.callers)
}

func (proxy *proxy) dispatchAll(actions []event.Action) {
	for _, action := range append([]event.Action(nil), actions...) {
		proxy.dispatch(action)
	}
}

func (proxy *proxy) dispatch(action event.Action) {
	switch action := action.(type) {
	case event.AcceptCaller:
		proxy.withCaller(action.Caller(), (*caller).handleAccepted)
	case event.RefuseCaller:
		proxy.withCaller(action.Caller(), (*caller).handleClosed)
	case event.CloseCaller:
		proxy.withCaller(action.Caller(), (*caller).handleClosed)
	case event.AnswerCaller:
		proxy.withCaller(action.Reply().Caller(), func(caller *caller) { caller.handleReply(action.Reply()) })
	case event.OpenConn:
		proxy.openConn(action)
	case event.CloseConn:
		proxy.closeConn(action.Conn())
	case event.ResetConn:
		proxy.resetConn(action)
	case event.Execute:
		proxy.execute(action)
	case event.Probe:
		proxy.probe(action)
	case event.SendOrder:
		proxy.sendOrder(action)
	case event.ReadStore:
		proxy.simulation.platform.read(proxy, action)
	case event.WriteStore:
		proxy.simulation.platform.write(proxy, action)
	case event.ListGroups:
		proxy.simulation.platform.listGroups(proxy)
	case event.ListHosts:
		proxy.simulation.platform.listHosts(proxy)
	case event.SendPeerMessage:
		proxy.sendPeerMessage(action)
	case event.AnswerOperator:
		proxy.simulation.oracle.commandAnswered(proxy, action)
	case event.StopProxy:
		proxy.stopped = true
		proxy.simulation.oracle.checkStop(proxy)
		proxy.kill()
	}
}

func (proxy *proxy) withCaller(id model.CallerID, callback func(*caller)) {
	if found := proxy.callers[id]; found != nil {
		callback(found)
	}
}

func (proxy *proxy) sendPeerMessage(action event.SendPeerMessage) {
	for _, other := range proxy.simulation.proxies {
		if other.address != action.Address() || proxy.peersPartitioned || other.peersPartitioned {
			continue
		}
		received := event.NewPeerMessageReceived(proxy.id, action.Message())
		proxy.simulation.runAfter(proxy.simulation.delay(), func() { other.post(received) })
		if proxy.simulation.random.IntN(duplicateOneIn) == 0 {
			duplicateDelay := time.Duration(proxy.simulation.random.Int64N(int64(maxDuplicateDelay)))
			proxy.simulation.runAfter(duplicateDelay, func() { other.post(received) })
		}
	}
}

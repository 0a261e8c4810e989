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

// proxy is a proxy process: the decision code of a proxy with fake I/O.
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
func (node *proxy) drain() {
	if !node.draining {
		node.draining = true
		node.drainedAt = node.simulation.now
	}
	node.post(shutdownRequested())
}

func (node *proxy) uptime() time.Duration { return node.simulation.now - node.startedAt }

func (node *proxy) nextDue() (time.Duration, bool) {
	if !node.alive || node.frozen {
		return 0, false
	}
	at, ok := node.logic.Next()
	return at + node.startedAt, ok
}

func (node *proxy) tick() { node.dispatchAll(node.logic.Tick(node.uptime())) }

// post delivers an event to the decision code, or queues it until resume if the
// process is paused.
func (node *proxy) post(received event.Event) {
	if !node.alive {
		return
	}
	if node.frozen {
		node.queuedEvents = append(node.queuedEvents, received)
		return
	}
	node.dispatchAll(node.logic.Handle(node.uptime(), received))
}

func (node *proxy) thaw() {
	node.frozen = false
	waiting := node.queuedEvents
	node.queuedEvents = nil
	for _, received := range waiting {
		node.post(received)
	}
}

// kill ends the process, which breaks its connections and disconnects its callers.
func (node *proxy) kill() {
	node.alive = false
	for conn, opened := range node.conns {
		delete(opened.instance.openTxs, connKey{proxy: node, conn: conn})
	}
	for _, caller := range node.callers {
		caller.markDisconnected()
	}
	clear(node.callers)
}

func (node *proxy) dispatchAll(actions []event.Action) {
	for _, action := range append([]event.Action(nil), actions...) {
		node.dispatch(action)
	}
}

func (node *proxy) dispatch(action event.Action) {
	switch action := action.(type) {
	case event.AcceptCaller:
		node.withCaller(action.Caller(), (*caller).handleAccepted)
	case event.RefuseCaller:
		node.withCaller(action.Caller(), (*caller).handleClosed)
	case event.CloseCaller:
		node.withCaller(action.Caller(), (*caller).handleClosed)
	case event.AnswerCaller:
		node.withCaller(action.Reply().Caller(), func(caller *caller) { caller.handleReply(action.Reply()) })
	case event.OpenConn:
		node.openConn(action)
	case event.CloseConn:
		node.closeConn(action.Conn())
	case event.ResetConn:
		node.resetConn(action)
	case event.Execute:
		node.execute(action)
	case event.Probe:
		node.probe(action)
	case event.SendOrder:
		node.sendOrder(action)
	case event.ReadStore:
		node.simulation.platform.read(node, action)
	case event.WriteStore:
		node.simulation.platform.write(node, action)
	case event.ListGroups:
		node.simulation.platform.listGroups(node)
	case event.ListHosts:
		node.simulation.platform.listHosts(node)
	case event.SendPeerMessage:
		node.sendPeerMessage(action)
	case event.AnswerOperator:
		node.simulation.oracle.commandAnswered(node, action)
	case event.StopProxy:
		node.stopped = true
		node.simulation.oracle.checkStop(node)
		node.kill()
	}
}

func (node *proxy) withCaller(id model.CallerID, callback func(*caller)) {
	if found := node.callers[id]; found != nil {
		callback(found)
	}
}

func (node *proxy) sendPeerMessage(action event.SendPeerMessage) {
	for _, other := range node.simulation.proxies {
		if other.address != action.Address() || node.peersPartitioned || other.peersPartitioned {
			continue
		}
		received := event.NewPeerMessageReceived(node.id, action.Message())
		node.simulation.runAfter(node.simulation.delay(), func() { other.post(received) })
		if node.simulation.random.IntN(duplicateOneIn) == 0 {
			duplicateDelay := time.Duration(node.simulation.random.Int64N(int64(maxDuplicateDelay)))
			node.simulation.runAfter(duplicateDelay, func() { other.post(received) })
		}
	}
}

package fuzz

import (
	"fmt"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/tune"
)

const (
	// repeatOneIn is how many messages between proxies there are for each that
	// comes a second time, up to maxLate later.
	repeatOneIn = 8
	maxLate     = 4 * time.Second
)

// node is a proxy process: a brain with the fakes around it.
type node struct {
	world     *world
	brain     brain
	id        model.ProxyID
	address   string
	started   time.Duration
	draining  bool
	drainedAt time.Duration
	alive     bool
	stopped   bool
	paused    bool
	cutStore  bool
	cutPeers  bool
	cutFrom   map[model.InstanceID]bool
	deafTo    map[model.InstanceID]bool
	conns     map[model.ConnID]backendConn
	callers   map[model.CallerID]*caller
	lastID    model.CallerID
	waiting   []event.Event
}

func (world *world) startNode() {
	number := len(world.nodes) + 1
	started := &node{
		world:   world,
		id:      model.ProxyID(fmt.Sprintf("proxy-%d", number)),
		address: fmt.Sprintf("proxy-%d:7000", number),
		started: world.now,
		alive:   true,
		cutFrom: make(map[model.InstanceID]bool),
		deafTo:  make(map[model.InstanceID]bool),
		conns:   make(map[model.ConnID]backendConn),
		callers: make(map[model.CallerID]*caller),
	}
	self := model.NewProxyView(started.id, started.address, "gradska-dvorana", 0, false, 0)
	started.brain = world.brains(self, tune.New(world.settings), wallStart.Add(world.now), world.random.Uint64())
	world.nodes = append(world.nodes, started)
}

// drain asks the proxy to shut down.
func (node *node) drain() {
	if !node.draining {
		node.draining = true
		node.drainedAt = node.world.now
	}
	node.post(shutdownAsked())
}

func (node *node) clock() time.Duration { return node.world.now - node.started }

func (node *node) next() (time.Duration, bool) {
	if !node.alive || node.paused {
		return 0, false
	}
	at, ok := node.brain.Next()
	return at + node.started, ok
}

func (node *node) tick() { node.carryOut(node.brain.Tick(node.clock())) }

// post hands an event to the brain, later if the process is paused.
func (node *node) post(received event.Event) {
	if !node.alive {
		return
	}
	if node.paused {
		node.waiting = append(node.waiting, received)
		return
	}
	node.carryOut(node.brain.Handle(node.clock(), received))
}

func (node *node) resume() {
	node.paused = false
	waiting := node.waiting
	node.waiting = nil
	for _, received := range waiting {
		node.post(received)
	}
}

// kill ends the process: its connections break and its callers are cut off.
func (node *node) kill() {
	node.alive = false
	for conn, opened := range node.conns {
		delete(opened.instance.open, connKey{node: node, conn: conn})
	}
	for _, caller := range node.callers {
		caller.lose()
	}
	clear(node.callers)
}

func (node *node) carryOut(actions []event.Action) {
	for _, action := range append([]event.Action(nil), actions...) {
		node.dispatch(action)
	}
}

func (node *node) dispatch(action event.Action) {
	switch action := action.(type) {
	case event.AcceptCaller:
		node.withCaller(action.Caller(), (*caller).accepted)
	case event.RefuseCaller:
		node.withCaller(action.Caller(), (*caller).refused)
	case event.CloseCaller:
		node.withCaller(action.Caller(), (*caller).refused)
	case event.AnswerCaller:
		node.withCaller(action.Reply().Caller(), func(caller *caller) { caller.answered(action.Reply()) })
	case event.OpenConn:
		node.open(action)
	case event.CloseConn:
		node.close(action.Conn())
	case event.ResetConn:
		node.clean(action)
	case event.Execute:
		node.execute(action)
	case event.Probe:
		node.probe(action)
	case event.SendOrder:
		node.order(action)
	case event.ReadStore:
		node.world.platform.read(node, action)
	case event.WriteStore:
		node.world.platform.write(node, action)
	case event.ListGroups:
		node.world.platform.listGroups(node)
	case event.ListHosts:
		node.world.platform.listHosts(node)
	case event.SendPeerMessage:
		node.sendPeer(action)
	case event.AnswerOperator:
		node.world.oracle.operatorAnswered(node, action)
	case event.StopProxy:
		node.stopped = true
		node.world.oracle.stopped(node)
		node.kill()
	}
}

func (node *node) withCaller(id model.CallerID, callback func(*caller)) {
	if found := node.callers[id]; found != nil {
		callback(found)
	}
}

func (node *node) sendPeer(action event.SendPeerMessage) {
	for _, other := range node.world.nodes {
		if other.address != action.Address() || node.cutPeers || other.cutPeers {
			continue
		}
		received := event.NewPeerMessageReceived(node.id, action.Message())
		node.world.after(node.world.delay(), func() { other.post(received) })
		if node.world.random.IntN(repeatOneIn) == 0 {
			late := time.Duration(node.world.random.Int64N(int64(maxLate)))
			node.world.after(late, func() { other.post(received) })
		}
	}
}

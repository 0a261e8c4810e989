package city

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/tune"

	_ "almondway.dev/almondway/internal/plug/bundle"
)

const (
	groupID      = model.GroupID("katalog")
	networkDelay = time.Millisecond
	storeLatency = 4 * time.Millisecond
	// promotionDelay is how long the platform takes to make an instance lead.
	promotionDelay = 300 * time.Millisecond
	maxStaleness   = 500 * time.Millisecond
	requestTimeout = time.Second
	proxyCount     = 3
)

// scheduledStep is something that happens at a time.
type scheduledStep struct {
	at  time.Duration
	seq int
	run func()
}

type stepQueue []scheduledStep

func (steps stepQueue) Len() int { return len(steps) }
func (steps stepQueue) Less(left, right int) bool {
	if steps[left].at != steps[right].at {
		return steps[left].at < steps[right].at
	}
	return steps[left].seq < steps[right].seq
}

func (steps stepQueue) Swap(left, right int) { steps[left], steps[right] = steps[right], steps[left] }
func (steps *stepQueue) Push(added any)      { *steps = append(*steps, added.(scheduledStep)) }
func (steps *stepQueue) Pop() any {
	last := (*steps)[len(*steps)-1]
	*steps = (*steps)[:len(*steps)-1]
	return last
}

// storedRow is a row of the store.
type storedRow struct {
	value   []byte
	version uint64
}

// environment is a group, its proxies and its platform.
type environment struct {
	now       time.Duration
	seq       int
	steps     stepQueue
	random    *rand.Rand
	proxies   []*proxy
	instances []*instance
	primary   *instance
	term      model.Term
	rows      map[string]storedRow
	version   uint64
	storeDown bool
	// latePromotionShare is the share of promotion calls that are carried out seconds later without an answer.
	latePromotionShare float64
	highestToken       uint64
	oracle             *oracle
	logLines           []string // what the proxies logged, but for single requests
}

func newEnvironment(seed uint64) *environment {
	world := &environment{random: rand.New(rand.NewPCG(seed, seed)), rows: make(map[string]storedRow), term: 1}
	world.oracle = &oracle{environment: world, reported: make(map[int]string), acked: make(map[int]int)}
	for _, name := range []model.InstanceID{"i-a", "i-b", "i-c"} {
		world.instances = append(world.instances, &instance{environment: world, id: name, up: true, unreachableFrom: make(map[*proxy]bool)})
	}
	world.primary = world.instances[0]
	for index := range proxyCount {
		world.proxies = append(world.proxies, newProxy(world, fmt.Sprintf("proxy-%d", index)))
	}
	for _, node := range world.proxies {
		node.start()
	}
	world.replicate()
	return world
}

func (world *environment) runAfter(delay time.Duration, run func()) {
	world.seq++
	heap.Push(&world.steps, scheduledStep{at: world.now + delay, seq: world.seq, run: run})
}

// advance lets time pass.
func (world *environment) advance(span time.Duration) {
	until := world.now + span
	for len(world.steps) > 0 && world.steps[0].at <= until {
		next := heap.Pop(&world.steps).(scheduledStep)
		world.now = next.at
		next.run()
	}
	world.now = until
}

// publishListings tells every proxy what the instances say of themselves.
func (world *environment) publishListings() {
	var listings []model.Listing
	for _, instance := range world.instances {
		if instance.up && !instance.unlisted {
			listings = append(listings, instance.listing())
		}
	}
	for _, node := range world.proxies {
		node.post(networkDelay, event.NewInstancesListed(listings))
	}
}

// handlePromotion carries out an order of a proxy.
func (world *environment) handlePromotion(action event.PromoteInstance) model.PromotionOutcome {
	candidate := world.instance(action.Instance())
	if action.Token() < world.highestToken || !candidate.up {
		return model.PromotionRefused
	}
	world.highestToken = action.Token()
	if world.primary == candidate {
		return model.PromotionAccepted
	}
	world.runAfter(promotionDelay, func() { world.makePrimary(candidate) })
	return model.PromotionAccepted
}

// makePrimary makes an instance the primary of the next term.
func (world *environment) makePrimary(candidate *instance) {
	if !candidate.up || world.primary == candidate {
		return
	}
	world.oracle.checkPromoted(candidate)
	world.term++
	world.primary = candidate
	for _, instance := range world.instances {
		instance.pausedTerm = 0
		instance.truncate(candidate)
	}
	world.publishListings()
}

func (world *environment) instance(id model.InstanceID) *instance {
	for _, instance := range world.instances {
		if instance.id == id {
			return instance
		}
	}
	panic("unknown instance " + string(id))
}

// replicate sends the primary's log to the replicas, again and again.
func (world *environment) replicate() {
	if world.primary != nil && world.primary.up {
		for _, instance := range world.instances {
			if instance != world.primary {
				instance.replicateFrom(world.primary)
			}
		}
	}
	world.runAfter(2*time.Millisecond, world.replicate)
}

// proxy is a proxy.
type proxy struct {
	environment      *environment
	name             string
	kernel           *kern.Kernel
	started          time.Duration
	frozen           bool
	storeUnreachable bool // the store does not answer this proxy
	heldEvents       []event.Event
	conns            map[model.ConnID]*conn
	pendingReplies   map[model.RequestSeq]func(reply *model.Reply)
	lastSeq          model.RequestSeq
	nextTick         time.Duration
}

func newProxy(world *environment, name string) *proxy {
	node := &proxy{environment: world, name: name}
	node.reset()
	return node
}

// reset starts the process anew; it knows nothing.
func (node *proxy) reset() {
	self := model.NewProxyView(model.ProxyID(node.name), "", "trnje-hall", 0, false, 0)
	node.kernel = kern.NewWithProfile(kern.ProfileHosted, self, tune.New(tune.Default()), time.Unix(0, 0), node.environment.random.Uint64())
	node.started = node.environment.now
	node.conns = make(map[model.ConnID]*conn)
	node.pendingReplies = make(map[model.RequestSeq]func(reply *model.Reply))
	node.heldEvents = nil
	node.nextTick = 0
}

func (node *proxy) start() {
	node.post(networkDelay, newCatalog())
	node.tick()
	node.environment.runAfter(networkDelay, node.environment.publishListings)
}

// kill ends the process; its connections break.
func (node *proxy) kill() {
	for _, conn := range node.conns {
		conn.closed = true
		conn.rollBack()
	}
	node.reset()
}

func newCatalog() event.CatalogListed {
	kinds := []model.KindSpec{
		{Name: "primary"},
		{Name: "bounded", Staleness: maxStaleness},
		{Name: "own", Staleness: maxStaleness, SeesOwnWrites: true},
	}
	var deployments []*model.Deployment
	for _, spec := range kinds {
		spec.Access, spec.Group, spec.Timeout = model.AccessEither, groupID, requestTimeout
		deployments = append(deployments, model.NewDeployment(model.DeploymentSpec{
			Name:        spec.Name,
			Groups:      []model.GroupID{groupID},
			Kinds:       []model.Kind{model.NewKind(spec)},
			Classes:     []model.CallerClass{model.NewCallerClass(model.CallerClassSpec{})},
			DefaultKind: spec.Name,
		}))
	}
	listed := model.NewGroup(groupID, nil).WithReplication(model.NewPrimaryAcknowledged(1)).WithMaxConns(34)
	return event.NewCatalogListed(1, deployments, []model.Group{listed})
}

// post hands an event to the kernel after a delay, unless the process ended meanwhile.
func (node *proxy) post(delay time.Duration, received event.Event) {
	kernel := node.kernel
	node.environment.runAfter(delay, func() {
		if node.kernel != kernel {
			return
		}
		if node.frozen {
			node.heldEvents = append(node.heldEvents, received)
			return
		}
		node.runActions(kernel.Handle(node.environment.now-node.started, received))
	})
}

// freeze stops the process for a time.
func (node *proxy) freeze(span time.Duration) {
	node.frozen = true
	node.environment.runAfter(span, func() {
		node.frozen = false
		held := node.heldEvents
		node.heldEvents = nil
		for _, received := range held {
			node.runActions(node.kernel.Handle(node.environment.now-node.started, received))
		}
		node.tick()
	})
}

// tick fires the kernel's timers when they are due.
func (node *proxy) tick() {
	if node.frozen {
		return
	}
	node.runActions(node.kernel.Tick(node.environment.now - node.started))
}

func (node *proxy) scheduleTick() {
	next, ok := node.kernel.Next()
	if !ok {
		return
	}
	at := max(node.environment.now, next+node.started)
	if node.nextTick > node.environment.now && node.nextTick <= at {
		return
	}
	node.nextTick = at
	kernel := node.kernel
	node.environment.runAfter(at-node.environment.now, func() {
		if node.kernel == kernel && node.nextTick == at {
			node.nextTick = 0
			node.tick()
		}
	})
}

func (node *proxy) runActions(actions []event.Action) {
	for _, action := range actions {
		node.runAction(action)
	}
	node.scheduleTick()
}

func (node *proxy) runAction(action event.Action) {
	switch action := action.(type) {
	case event.OpenConn:
		node.openConn(action)
	case event.CloseConn:
		if conn, ok := node.conns[action.Conn()]; ok {
			conn.closed = true
			node.environment.runAfter(networkDelay, conn.rollBack)
			delete(node.conns, action.Conn())
		}
	case event.ResetConn:
		if conn, ok := node.conns[action.Conn()]; ok {
			node.environment.runAfter(networkDelay, conn.rollBack)
			node.post(2*networkDelay, event.NewResetDone(action.Conn(), true))
		}
	case event.Execute:
		if conn, ok := node.conns[action.Conn()]; ok {
			conn.execute(action)
		}
	case event.Probe:
		node.probe(action)
	case event.SendOrder:
		node.sendOrder(action)
	case event.ReadStore:
		node.readStore(action)
	case event.WriteStore:
		node.writeStore(action)
	case event.PromoteInstance:
		node.callPromotion(action)
	case event.LogDecision:
		if decision := action.Decision(); !decision.IsRouting() && decision.Name != "conn_spoiled" {
			node.environment.logLines = append(node.environment.logLines, fmt.Sprintf("%v %s %s %s %s", node.environment.now, node.name, decision.Name, decision.Instance, decision.Reason))
		}
	case event.AnswerCaller:
		reply := action.Reply()
		if done, ok := node.pendingReplies[reply.Seq()]; ok {
			delete(node.pendingReplies, reply.Seq())
			done(reply)
		}
	}
}

func (node *proxy) callPromotion(action event.PromoteInstance) {
	world := node.environment
	if world.random.Float64() < world.latePromotionShare {
		delay := 2*time.Second + time.Duration(world.random.Int64N(int64(8*time.Second)))
		world.runAfter(delay, func() { world.handlePromotion(action) })
		node.post(action.Timeout(), event.NewPromotionAnswered(action.Query(), model.PromotionUnanswered))
		return
	}
	world.runAfter(networkDelay, func() {
		node.post(networkDelay, event.NewPromotionAnswered(action.Query(), world.handlePromotion(action)))
	})
}

func (node *proxy) readStore(action event.ReadStore) {
	if node.environment.storeDown || node.storeUnreachable {
		node.post(100*time.Millisecond, event.NewStoreFailed(action.Query()))
		return
	}
	node.environment.runAfter(storeLatency/2, func() {
		var rows []model.Row
		for key, row := range node.environment.rows {
			if strings.HasPrefix(key, action.Table()+"/"+action.Prefix()) {
				rows = append(rows, model.NewRow(strings.TrimPrefix(key, action.Table()+"/"), row.version, row.value))
			}
		}
		node.post(storeLatency/2, event.NewStoreRead(action.Query(), rows))
	})
}

func (node *proxy) writeStore(action event.WriteStore) {
	world := node.environment
	if world.storeDown || node.storeUnreachable {
		node.post(100*time.Millisecond, event.NewStoreFailed(action.Query()))
		return
	}
	world.runAfter(storeLatency/2, func() {
		for _, write := range action.Writes() {
			if world.rows[write.Table()+"/"+write.Key()].version != write.Expected() {
				node.post(storeLatency/2, event.NewStoreConflict(action.Query()))
				return
			}
		}
		world.version++
		for _, write := range action.Writes() {
			key := write.Table() + "/" + write.Key()
			if write.Value() == nil {
				delete(world.rows, key)
				continue
			}
			world.rows[key] = storedRow{value: write.Value(), version: world.version}
		}
		node.post(storeLatency/2, event.NewStoreWritten(action.Query()))
	})
}

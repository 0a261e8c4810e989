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
	group     = model.GroupID("katalog")
	hop       = time.Millisecond
	storeTime = 4 * time.Millisecond
	// promoteTime is how long the platform takes to make an instance lead.
	promoteTime = 300 * time.Millisecond
	staleness   = 500 * time.Millisecond
	timeout     = time.Second
	proxyCount  = 3
)

// step is something that happens at a time.
type step struct {
	at  time.Duration
	seq int
	run func()
}

type steps []step

func (steps steps) Len() int { return len(steps) }
func (steps steps) Less(left, right int) bool {
	if steps[left].at != steps[right].at {
		return steps[left].at < steps[right].at
	}
	return steps[left].seq < steps[right].seq
}
func (steps steps) Swap(left, right int) { steps[left], steps[right] = steps[right], steps[left] }
func (steps *steps) Push(added any)      { *steps = append(*steps, added.(step)) }
func (steps *steps) Pop() any {
	last := (*steps)[len(*steps)-1]
	*steps = (*steps)[:len(*steps)-1]
	return last
}

// stored is a row of the store.
type stored struct {
	value   []byte
	version uint64
}

// world is a group, its proxies and its platform.
type world struct {
	now       time.Duration
	seq       int
	queue     steps
	random    *rand.Rand
	nodes     []*node
	instances []*instance
	leader    *instance
	term      model.Term
	rows      map[string]stored
	version   uint64
	storeDown bool
	// late is the share of promotion calls that are carried out seconds later without an answer.
	late   float64
	seen   uint64
	oracle *oracle
	lines  []string // what the proxies logged, but for single requests
}

func newWorld(seed uint64) *world {
	world := &world{random: rand.New(rand.NewPCG(seed, seed)), rows: make(map[string]stored), term: 1}
	world.oracle = &oracle{world: world, told: make(map[int]string), acked: make(map[int]int)}
	for _, name := range []model.InstanceID{"i-a", "i-b", "i-c"} {
		world.instances = append(world.instances, &instance{world: world, id: name, up: true, cut: make(map[*node]bool)})
	}
	world.leader = world.instances[0]
	for index := range proxyCount {
		world.nodes = append(world.nodes, newNode(world, fmt.Sprintf("proxy-%d", index)))
	}
	for _, node := range world.nodes {
		node.start()
	}
	world.replicate()
	return world
}

func (world *world) after(delay time.Duration, run func()) {
	world.seq++
	heap.Push(&world.queue, step{at: world.now + delay, seq: world.seq, run: run})
}

// run lets time pass.
func (world *world) run(span time.Duration) {
	until := world.now + span
	for len(world.queue) > 0 && world.queue[0].at <= until {
		next := heap.Pop(&world.queue).(step)
		world.now = next.at
		next.run()
	}
	world.now = until
}

// relist tells every proxy what the instances say of themselves.
func (world *world) relist() {
	var listings []model.Listing
	for _, instance := range world.instances {
		if instance.up && !instance.unlisted {
			listings = append(listings, instance.listing())
		}
	}
	for _, node := range world.nodes {
		node.post(hop, event.NewInstancesListed(listings))
	}
}

// promote carries out an order of a proxy.
func (world *world) promote(action event.PromoteInstance) model.PromotionOutcome {
	candidate := world.instance(action.Instance())
	if action.Token() < world.seen || !candidate.up {
		return model.PromotionRefused
	}
	world.seen = action.Token()
	if world.leader == candidate {
		return model.PromotionAccepted
	}
	world.after(promoteTime, func() { world.lead(candidate) })
	return model.PromotionAccepted
}

// lead makes an instance the primary of the next term.
func (world *world) lead(candidate *instance) {
	if !candidate.up || world.leader == candidate {
		return
	}
	world.oracle.promoted(candidate)
	world.term++
	world.leader = candidate
	for _, instance := range world.instances {
		instance.paused = 0
		instance.truncate(candidate)
	}
	world.relist()
}

func (world *world) instance(id model.InstanceID) *instance {
	for _, instance := range world.instances {
		if instance.id == id {
			return instance
		}
	}
	panic("unknown instance " + string(id))
}

// replicate sends the primary's log to the replicas, again and again.
func (world *world) replicate() {
	if world.leader != nil && world.leader.up {
		for _, instance := range world.instances {
			if instance != world.leader {
				instance.receive(world.leader)
			}
		}
	}
	world.after(2*time.Millisecond, world.replicate)
}

// node is a proxy.
type node struct {
	world   *world
	name    string
	kernel  *kern.Kernel
	started time.Duration
	paused  bool
	noStore bool // the store does not answer this proxy
	held    []event.Event
	conns   map[model.ConnID]*conn
	waiting map[model.RequestSeq]func(reply *model.Reply)
	lastSeq model.RequestSeq
	wake    time.Duration
}

func newNode(world *world, name string) *node {
	node := &node{world: world, name: name}
	node.reset()
	return node
}

// reset starts the process anew; it knows nothing.
func (node *node) reset() {
	self := model.NewProxyView(model.ProxyID(node.name), "", "trnje-hall", 0, false, 0)
	node.kernel = kern.NewWithProfile(kern.ProfileHosted, self, tune.New(tune.Default()), time.Unix(0, 0), node.world.random.Uint64())
	node.started = node.world.now
	node.conns = make(map[model.ConnID]*conn)
	node.waiting = make(map[model.RequestSeq]func(reply *model.Reply))
	node.held = nil
	node.wake = 0
}

func (node *node) start() {
	node.post(hop, catalog())
	node.tick()
	node.world.after(hop, node.world.relist)
}

// kill ends the process; its connections break.
func (node *node) kill() {
	for _, conn := range node.conns {
		conn.closed = true
		conn.rollBack()
	}
	node.reset()
}

func catalog() event.CatalogListed {
	kinds := []model.KindSpec{
		{Name: "primary"},
		{Name: "bounded", Staleness: staleness},
		{Name: "own", Staleness: staleness, SeesOwnWrites: true},
	}
	var deployments []*model.Deployment
	for _, spec := range kinds {
		spec.Access, spec.Group, spec.Timeout = model.AccessEither, group, timeout
		deployments = append(deployments, model.NewDeployment(model.DeploymentSpec{
			Name:        spec.Name,
			Groups:      []model.GroupID{group},
			Kinds:       []model.Kind{model.NewKind(spec)},
			Classes:     []model.CallerClass{model.NewCallerClass(model.CallerClassSpec{})},
			DefaultKind: spec.Name,
		}))
	}
	listed := model.NewGroup(group, nil).WithReplication(model.NewPrimaryAcknowledged(1)).WithMaxConns(34)
	return event.NewCatalogListed(1, deployments, []model.Group{listed})
}

// post hands an event to the kernel after a delay, unless the process ended meanwhile.
func (node *node) post(delay time.Duration, received event.Event) {
	kernel := node.kernel
	node.world.after(delay, func() {
		if node.kernel != kernel {
			return
		}
		if node.paused {
			node.held = append(node.held, received)
			return
		}
		node.carryOut(kernel.Handle(node.world.now-node.started, received))
	})
}

// pause stops the process for a time.
func (node *node) pause(span time.Duration) {
	node.paused = true
	node.world.after(span, func() {
		node.paused = false
		held := node.held
		node.held = nil
		for _, received := range held {
			node.carryOut(node.kernel.Handle(node.world.now-node.started, received))
		}
		node.tick()
	})
}

// tick fires the kernel's timers when they are due.
func (node *node) tick() {
	if node.paused {
		return
	}
	node.carryOut(node.kernel.Tick(node.world.now - node.started))
}

func (node *node) schedule() {
	next, ok := node.kernel.Next()
	if !ok {
		return
	}
	at := max(node.world.now, next+node.started)
	if node.wake > node.world.now && node.wake <= at {
		return
	}
	node.wake = at
	kernel := node.kernel
	node.world.after(at-node.world.now, func() {
		if node.kernel == kernel && node.wake == at {
			node.wake = 0
			node.tick()
		}
	})
}

func (node *node) carryOut(actions []event.Action) {
	for _, action := range actions {
		node.do(action)
	}
	node.schedule()
}

func (node *node) do(action event.Action) {
	switch action := action.(type) {
	case event.OpenConn:
		node.open(action)
	case event.CloseConn:
		if conn, ok := node.conns[action.Conn()]; ok {
			conn.closed = true
			node.world.after(hop, conn.rollBack)
			delete(node.conns, action.Conn())
		}
	case event.ResetConn:
		if conn, ok := node.conns[action.Conn()]; ok {
			node.world.after(hop, conn.rollBack)
			node.post(2*hop, event.NewResetDone(action.Conn(), true))
		}
	case event.Execute:
		if conn, ok := node.conns[action.Conn()]; ok {
			conn.execute(action)
		}
	case event.Probe:
		node.probe(action)
	case event.SendOrder:
		node.order(action)
	case event.ReadStore:
		node.read(action)
	case event.WriteStore:
		node.write(action)
	case event.PromoteInstance:
		node.promote(action)
	case event.LogDecision:
		if decision := action.Decision(); !decision.IsRouting() && decision.Name != "conn_spoiled" {
			node.world.lines = append(node.world.lines, fmt.Sprintf("%v %s %s %s %s", node.world.now, node.name, decision.Name, decision.Instance, decision.Reason))
		}
	case event.AnswerCaller:
		reply := action.Reply()
		if done, ok := node.waiting[reply.Seq()]; ok {
			delete(node.waiting, reply.Seq())
			done(reply)
		}
	}
}

func (node *node) promote(action event.PromoteInstance) {
	world := node.world
	if world.random.Float64() < world.late {
		delay := 2*time.Second + time.Duration(world.random.Int64N(int64(8*time.Second)))
		world.after(delay, func() { world.promote(action) })
		node.post(action.Timeout(), event.NewPromotionAnswered(action.Query(), model.PromotionUnanswered))
		return
	}
	world.after(hop, func() { node.post(hop, event.NewPromotionAnswered(action.Query(), world.promote(action))) })
}

func (node *node) read(action event.ReadStore) {
	if node.world.storeDown || node.noStore {
		node.post(100*time.Millisecond, event.NewStoreFailed(action.Query()))
		return
	}
	node.world.after(storeTime/2, func() {
		var rows []model.Row
		for key, row := range node.world.rows {
			if strings.HasPrefix(key, action.Table()+"/"+action.Prefix()) {
				rows = append(rows, model.NewRow(strings.TrimPrefix(key, action.Table()+"/"), row.version, row.value))
			}
		}
		node.post(storeTime/2, event.NewStoreRead(action.Query(), rows))
	})
}

func (node *node) write(action event.WriteStore) {
	world := node.world
	if world.storeDown || node.noStore {
		node.post(100*time.Millisecond, event.NewStoreFailed(action.Query()))
		return
	}
	world.after(storeTime/2, func() {
		for _, write := range action.Writes() {
			if world.rows[write.Table()+"/"+write.Key()].version != write.Expected() {
				node.post(storeTime/2, event.NewStoreConflict(action.Query()))
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
			world.rows[key] = stored{value: write.Value(), version: world.version}
		}
		node.post(storeTime/2, event.NewStoreWritten(action.Query()))
	})
}

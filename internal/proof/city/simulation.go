package city

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/tune"

	// Registers the plug-ins that kern.Factories returns.
	_ "almondway.dev/almondway/internal/plug/bundle"
)

const (
	groupID      = model.GroupID("katalog")
	networkDelay = time.Millisecond     // one way
	storeLatency = 4 * time.Millisecond // round trip
	// promotionDelay is the time from an accepted promotion order to the new primary.
	promotionDelay = 300 * time.Millisecond
	maxStaleness   = 500 * time.Millisecond
	requestTimeout = time.Second
	proxyCount     = 3
	instanceCount  = 3
)

// scheduledCall is a function that runs at a point of the simulated time.
type scheduledCall struct {
	at       time.Duration
	sequence int
	callback func()
}

// schedule is a heap ordered by time. Calls of the same time run in scheduling order.
type schedule []scheduledCall

func (schedule schedule) Len() int { return len(schedule) }
func (schedule schedule) Less(left, right int) bool {
	if schedule[left].at != schedule[right].at {
		return schedule[left].at < schedule[right].at
	}
	return schedule[left].sequence < schedule[right].sequence
}

func (schedule schedule) Swap(left, right int) {
	schedule[left], schedule[right] = schedule[right], schedule[left]
}

func (schedule *schedule) Push(added any) { *schedule = append(*schedule, added.(scheduledCall)) }

func (schedule *schedule) Pop() any {
	last := (*schedule)[len(*schedule)-1]
	*schedule = (*schedule)[:len(*schedule)-1]
	return last
}

// storedRow is a row of the simulated store.
type storedRow struct {
	value   []byte
	version uint64
}

// simulation simulates one group, the proxies, the store and the platform.
type simulation struct {
	now            time.Duration
	scheduledCount int
	schedule       schedule
	random         *rand.Rand
	proxies        []*proxy
	instances      []*instance
	primary        *instance
	term           model.Term
	rows           map[string]storedRow
	storeVersion   uint64
	storeDown      bool
	// latePromotionShare is the share of promotion calls that time out and are executed seconds later.
	latePromotionShare float64
	highestToken       uint64 // of the promotion orders that were accepted
	// staleOrdersAnswered selects how instances answer an order with a term that is too low.
	staleOrdersAnswered bool
	// catalog is the operator's configuration.
	catalog event.CatalogListed
	// factories are the plug-ins of each kernel; nil selects those of the hosted profile.
	factories []kern.Factory
	oracle    *oracle
	logLines  []string       // the decisions that the proxies logged, except those about single requests
	refusals  map[string]int // refused requests by the reason that the proxies logged
}

// newSimulation returns a simulation of the given number of proxies.
func newSimulation(seed uint64) *simulation {
	simulation := newEmptySimulation(seed, newCatalog())
	for index := range proxyCount {
		simulation.addProxy(fmt.Sprintf("proxy-%d", index), "trnje-hall")
	}
	simulation.start()
	return simulation
}

// newEmptySimulation returns a simulation without proxies.
func newEmptySimulation(seed uint64, catalog event.CatalogListed) *simulation {
	simulation := &simulation{random: rand.New(rand.NewPCG(seed, seed)), rows: make(map[string]storedRow), refusals: make(map[string]int), term: 1, catalog: catalog}
	simulation.oracle = &oracle{simulation: simulation, reported: make(map[int]string), acked: make(map[int]int)}
	for _, name := range []model.InstanceID{"i-a", "i-b", "i-c"} {
		simulation.instances = append(simulation.instances, &instance{simulation: simulation, id: name, dataCenter: "trnje-hall", up: true, unreachableFrom: make(map[*proxy]bool)})
	}
	simulation.primary = simulation.instances[0]
	return simulation
}

func (simulation *simulation) addProxy(name string, dataCenter model.DataCenter) {
	added := &proxy{simulation: simulation, name: name, dataCenter: dataCenter}
	added.reset()
	simulation.proxies = append(simulation.proxies, added)
}

// start starts all proxies and the replication.
func (simulation *simulation) start() {
	for _, proxy := range simulation.proxies {
		proxy.start()
	}
	simulation.replicate()
}

// runAfter schedules a function for a later time.
func (simulation *simulation) runAfter(delay time.Duration, run func()) {
	simulation.scheduledCount++
	heap.Push(&simulation.schedule, scheduledCall{at: simulation.now + delay, sequence: simulation.scheduledCount, callback: run})
}

// run advances the simulated time by span.
func (simulation *simulation) run(span time.Duration) {
	until := simulation.now + span
	for len(simulation.schedule) > 0 && simulation.schedule[0].at <= until {
		next := heap.Pop(&simulation.schedule).(scheduledCall)
		simulation.now = next.at
		next.callback()
	}
	simulation.now = until
}

// publishListings sends the entries of the running instances to every proxy.
func (simulation *simulation) publishListings() {
	var listings []model.Listing
	for _, instance := range simulation.instances {
		if instance.up && !instance.unlisted {
			listings = append(listings, instance.listing())
		}
	}
	for _, proxy := range simulation.proxies {
		proxy.post(networkDelay, event.NewInstancesListed(listings))
	}
}

// handlePromotion executes a promotion order. It refuses tokens lower than the highest one accepted.
func (simulation *simulation) handlePromotion(action event.PromoteInstance) model.PromotionOutcome {
	candidate := simulation.instance(action.Instance())
	if action.Token() < simulation.highestToken || !candidate.up {
		return model.PromotionRefused
	}
	simulation.highestToken = action.Token()
	if simulation.primary == candidate {
		return model.PromotionAccepted
	}
	simulation.runAfter(promotionDelay, func() { simulation.promote(candidate) })
	return model.PromotionAccepted
}

// promote makes an instance the primary of the next term.
func (simulation *simulation) promote(candidate *instance) {
	if !candidate.up || simulation.primary == candidate {
		return
	}
	simulation.oracle.checkPromoted(candidate)
	simulation.term++
	simulation.primary = candidate
	for _, instance := range simulation.instances {
		instance.pausedTerm = 0
		instance.truncate(candidate)
	}
	simulation.publishListings()
}

func (simulation *simulation) instance(id model.InstanceID) *instance {
	for _, instance := range simulation.instances {
		if instance.id == id {
			return instance
		}
	}
	panic("unknown instance " + string(id))
}

// replicate copies log entries from the primary to the replicas and schedules its next run.
func (simulation *simulation) replicate() {
	if simulation.primary != nil && simulation.primary.up {
		for _, instance := range simulation.instances {
			if instance != simulation.primary {
				instance.replicateFrom(simulation.primary)
			}
		}
	}
	simulation.runAfter(2*time.Millisecond, simulation.replicate)
}

// proxy runs the kernel of one proxy and simulates its adapters.
type proxy struct {
	simulation       *simulation
	name             string
	dataCenter       model.DataCenter
	kernel           *kern.Kernel
	started          time.Duration
	frozen           bool          // the process is suspended
	down             bool          // the process does not run
	storeUnreachable bool          // the store is unavailable to this proxy only
	queuedEvents     []event.Event // received while frozen
	conns            map[model.ConnID]*conn
	pendingReplies   map[model.RequestSeq]func(reply *model.Reply)
	lastSeq          model.RequestSeq
	nextTick         time.Duration // the time of the scheduled tick, or 0
}

// reset replaces the process by a new one without state.
func (proxy *proxy) reset() {
	self := model.NewProxyView(model.ProxyID(proxy.name), "", proxy.dataCenter, 0, false, 0)
	settings, started, seed := tune.New(tune.Default()), time.Unix(0, 0), proxy.simulation.random.Uint64()
	if proxy.simulation.factories == nil {
		proxy.kernel = kern.NewWithProfile(kern.ProfileHosted, self, settings, started, seed)
	} else {
		proxy.kernel = kern.NewWithFactories(self, settings, started, seed, proxy.simulation.factories...)
	}
	proxy.started = proxy.simulation.now
	proxy.conns = make(map[model.ConnID]*conn)
	proxy.pendingReplies = make(map[model.RequestSeq]func(reply *model.Reply))
	proxy.queuedEvents = nil
	proxy.nextTick = 0
}

func (proxy *proxy) start() {
	proxy.post(networkDelay, proxy.simulation.catalog)
	proxy.tick()
	proxy.simulation.runAfter(networkDelay, proxy.simulation.publishListings)
}

// kill ends the process. Its connections are lost and their transactions rolled back.
func (proxy *proxy) kill() {
	for _, conn := range proxy.conns {
		conn.closed = true
		conn.end()
	}
	proxy.reset()
}

// losePower ends the process like kill, but the instances notice the loss of its
// connections only after a time.
func (proxy *proxy) losePower(noticed time.Duration) {
	for _, conn := range proxy.conns {
		conn.closed = true
		proxy.simulation.runAfter(noticed, conn.end)
	}
	proxy.reset()
}

// newCatalog returns one deployment per kind of session, all for the same group.
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

// post delivers an event to the kernel after a delay, unless the process was killed before.
func (proxy *proxy) post(delay time.Duration, received event.Event) {
	kernel := proxy.kernel
	proxy.simulation.runAfter(delay, func() {
		if proxy.kernel != kernel || proxy.down {
			return
		}
		if proxy.frozen {
			proxy.queuedEvents = append(proxy.queuedEvents, received)
			return
		}
		proxy.runActions(kernel.Handle(proxy.simulation.now-proxy.started, received))
	})
}

// freeze suspends the process. Events received meanwhile are delivered when it resumes.
func (proxy *proxy) freeze(span time.Duration) {
	proxy.frozen = true
	proxy.simulation.runAfter(span, func() {
		proxy.frozen = false
		queued := proxy.queuedEvents
		proxy.queuedEvents = nil
		for _, received := range queued {
			proxy.runActions(proxy.kernel.Handle(proxy.simulation.now-proxy.started, received))
		}
		proxy.tick()
	})
}

// tick runs the kernel's due timers.
func (proxy *proxy) tick() {
	if proxy.frozen {
		return
	}
	proxy.runActions(proxy.kernel.Tick(proxy.simulation.now - proxy.started))
}

// scheduleTick schedules a tick for the kernel's next timer unless an earlier one is scheduled.
func (proxy *proxy) scheduleTick() {
	next, ok := proxy.kernel.Next()
	if !ok {
		return
	}
	at := max(proxy.simulation.now, next+proxy.started)
	if proxy.nextTick > proxy.simulation.now && proxy.nextTick <= at {
		return
	}
	proxy.nextTick = at
	kernel := proxy.kernel
	proxy.simulation.runAfter(at-proxy.simulation.now, func() {
		if proxy.kernel == kernel && proxy.nextTick == at {
			proxy.nextTick = 0
			proxy.tick()
		}
	})
}

func (proxy *proxy) runActions(actions []event.Action) {
	for _, action := range actions {
		proxy.runAction(action)
	}
	proxy.scheduleTick()
}

func (proxy *proxy) runAction(action event.Action) {
	switch action := action.(type) {
	case event.OpenConn:
		proxy.openConn(action)
	case event.CloseConn:
		if conn, ok := proxy.conns[action.Conn()]; ok {
			conn.closed = true
			proxy.simulation.runAfter(networkDelay, conn.end)
			delete(proxy.conns, action.Conn())
		}
	case event.ResetConn:
		if conn, ok := proxy.conns[action.Conn()]; ok {
			proxy.simulation.runAfter(networkDelay, conn.rollBack)
			proxy.post(2*networkDelay, event.NewResetDone(action.Conn(), true))
		}
	case event.Execute:
		if conn, ok := proxy.conns[action.Conn()]; ok {
			conn.execute(action)
		}
	case event.Probe:
		proxy.probe(action)
	case event.SendOrder:
		proxy.sendOrder(action)
	case event.ReadStore:
		proxy.readStore(action)
	case event.WriteStore:
		proxy.writeStore(action)
	case event.PromoteInstance:
		proxy.callPromotion(action)
	case event.LogDecision:
		proxy.countRefusal(action.Decision())
		if decision := action.Decision(); !decision.IsRouting() && decision.Name != "conn_spoiled" {
			proxy.simulation.logLines = append(proxy.simulation.logLines, fmt.Sprintf("%v %s %s %s %s", proxy.simulation.now, proxy.name, decision.Name, decision.Instance, decision.Reason))
		}
	case event.AnswerCaller:
		reply := action.Reply()
		if done, ok := proxy.pendingReplies[reply.Seq()]; ok {
			delete(proxy.pendingReplies, reply.Seq())
			done(reply)
		}
	}
}

func (proxy *proxy) countRefusal(decision model.Decision) {
	if decision.IsRouting() && decision.Outcome == model.OutcomeNotRun && decision.Code != codes.OK {
		proxy.simulation.refusals[decision.Reason]++
	}
}

// callPromotion sends a promotion order to the platform.
func (proxy *proxy) callPromotion(action event.PromoteInstance) {
	simulation := proxy.simulation
	if simulation.random.Float64() < simulation.latePromotionShare {
		delay := 2*time.Second + time.Duration(simulation.random.Int64N(int64(8*time.Second)))
		simulation.runAfter(delay, func() { simulation.handlePromotion(action) })
		proxy.post(action.Timeout(), event.NewPromotionAnswered(action.CallID(), model.PromotionUnanswered))
		return
	}
	simulation.runAfter(networkDelay, func() {
		proxy.post(networkDelay, event.NewPromotionAnswered(action.CallID(), simulation.handlePromotion(action)))
	})
}

func (proxy *proxy) readStore(action event.ReadStore) {
	if proxy.simulation.storeDown || proxy.storeUnreachable {
		proxy.post(100*time.Millisecond, event.NewStoreFailed(action.CallID()))
		return
	}
	proxy.simulation.runAfter(storeLatency/2, func() {
		var rows []model.Row
		for _, key := range slices.Sorted(maps.Keys(proxy.simulation.rows)) {
			if row := proxy.simulation.rows[key]; strings.HasPrefix(key, action.Table()+"/"+action.Prefix()) {
				rows = append(rows, model.NewRow(strings.TrimPrefix(key, action.Table()+"/"), row.version, row.value))
			}
		}
		proxy.post(storeLatency/2, event.NewStoreRead(action.CallID(), rows))
	})
}

func (proxy *proxy) writeStore(action event.WriteStore) {
	simulation := proxy.simulation
	if simulation.storeDown || proxy.storeUnreachable {
		proxy.post(100*time.Millisecond, event.NewStoreFailed(action.CallID()))
		return
	}
	simulation.runAfter(storeLatency/2, func() {
		for _, write := range action.Writes() {
			if simulation.rows[write.Table()+"/"+write.Key()].version != write.ExpectedVersion() {
				proxy.post(storeLatency/2, event.NewStoreConflict(action.CallID()))
				return
			}
		}
		simulation.storeVersion++
		for _, write := range action.Writes() {
			key := write.Table() + "/" + write.Key()
			if write.Value() == nil {
				delete(simulation.rows, key)
				continue
			}
			simulation.rows[key] = storedRow{value: write.Value(), version: simulation.storeVersion}
		}
		proxy.post(storeLatency/2, event.NewStoreWritten(action.CallID()))
	})
}

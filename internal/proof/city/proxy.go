package city

import (
	"fmt"
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/tune"
)

// proxy runs the kernel of one proxy and simulates its adapters.
type proxy struct {
	traffic          traffic
	simulation       *simulation
	name             string
	dataCenter       model.DataCenter
	kernel           *kern.Kernel
	started          time.Duration
	frozen           bool // the process is suspended
	down             bool // the process does not run
	downSince        time.Duration
	storeUnreachable bool          // the store is unavailable to this proxy only
	queuedEvents     []event.Event // received while frozen
	conns            map[model.ConnID]*conn
	pendingReplies   map[model.RequestSeq]func(reply *model.Reply)
	lastSeq          model.RequestSeq
	nextTick         time.Duration // the time of the scheduled tick, or 0
	storeEra         model.StoreEra
	storeEraKnown    bool
	cores            float64
	cutFrom          map[*proxy]bool // proxies that this one cannot reach
	pendingPolls     map[model.PollID]bool
	receivedPolls    map[model.PollID]receivedPoll
	lastPoll         model.PollID
	listRole         string // as the process logged it last
	pendingForwards  map[model.ForwardID]bool
	receivedForwards map[model.ForwardID]receivedForward
	lastForward      model.ForwardID
	pendingSettles   map[model.SettleID]bool
	receivedSettles  map[model.SettleID]receivedSettle
	lastSettle       model.SettleID
	oldBuild         bool // does not know the calls that forward statements, and those about promotions
	losesAnswers     bool // its answers to forwarded statements are lost
}

// defaultSharedListWait makes followers hold their polls for a second where proxies poll each
// other. With 0 their polls are answered at once.
const defaultSharedListWait = 2 * time.Second

// reset replaces the process by a new one without state.
func (proxy *proxy) reset() {
	address, spec := "", tune.Default()
	if proxy.simulation.meshed {
		address = proxy.name
		spec.SharedListWait = defaultSharedListWait
	}
	if lists := proxy.simulation.listSettings; lists != nil {
		spec.ListWait, spec.SharedListWait, spec.MaxListAge = lists.wait, lists.sharedWait, lists.maxAge
	}
	spec.ConnHolders = proxy.simulation.connHolders && !proxy.oldBuild
	self := model.NewProxyView(model.ProxyID(proxy.name), address, proxy.dataCenter, 0, false, 0).WithCores(proxy.cores)
	seed := proxy.simulation.random.Uint64()
	proxy.kernel = kern.NewWithFactories(self, tune.New(spec), time.Unix(0, 0), seed, proxy.simulation.factories...)
	proxy.pendingPolls = make(map[model.PollID]bool)
	proxy.receivedPolls = make(map[model.PollID]receivedPoll)
	proxy.pendingForwards = make(map[model.ForwardID]bool)
	proxy.receivedForwards = make(map[model.ForwardID]receivedForward)
	proxy.pendingSettles = make(map[model.SettleID]bool)
	proxy.receivedSettles = make(map[model.SettleID]receivedSettle)
	proxy.started = proxy.simulation.now
	proxy.conns = make(map[model.ConnID]*conn)
	proxy.pendingReplies = make(map[model.RequestSeq]func(reply *model.Reply))
	proxy.queuedEvents = nil
	proxy.nextTick = 0
	proxy.listRole = ""
	proxy.storeEra, proxy.storeEraKnown = 0, false
}

func (proxy *proxy) start() {
	if proxy.simulation.listSettings != nil {
		proxy.tick()
		return
	}
	proxy.post(networkDelay, proxy.simulation.catalog)
	proxy.tick()
	proxy.simulation.runAfter(networkDelay, proxy.simulation.publishListings)
}

// kill ends the process. Its connections are lost and their transactions rolled back.
func (proxy *proxy) kill() {
	proxy.breakForwards()
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

// newSessionCatalog returns one deployment per kind of session.
func newSessionCatalog() event.CatalogListed { return newSessionCatalogOf(34) }

// newSessionCatalogOf returns the same with instances that accept the given number of connections.
func newSessionCatalogOf(maxConns int) event.CatalogListed {
	kinds := []model.KindSpec{
		{Name: "primary"},
		{Name: "bounded", Staleness: maxStaleness},
		{Name: "own", Staleness: maxStaleness, SeesOwnWrites: true},
	}
	var deployments []*model.Deployment
	for _, spec := range kinds {
		spec.Timeout, spec.Group = requestTimeout, groupID
		deployments = append(deployments, newDeployment(0, spec.Name, spec))
	}
	return event.NewCatalogListed(1, deployments, []model.Group{newGroup(groupID, maxConns)})
}

// newDeployment returns a deployment of one kind, for the group of the kind.
func newDeployment(priority int, name string, spec model.KindSpec) *model.Deployment {
	spec.Access = model.AccessEither
	return model.NewDeployment(model.DeploymentSpec{
		Name:        name,
		Groups:      []model.GroupID{spec.Group},
		Priority:    priority,
		Kinds:       []model.Kind{model.NewKind(spec)},
		Classes:     []model.CallerClass{model.NewCallerClass(model.CallerClassSpec{})},
		DefaultKind: spec.Name,
	})
}

// newGroup returns a group whose instances accept a number of connections.
func newGroup(id model.GroupID, maxConns int) model.Group {
	return model.NewGroup(id, nil).WithReplication(model.NewPrimaryAcknowledged(1)).WithMaxConns(maxConns)
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
		proxy.traffic.wakeUps++
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
	proxy.traffic.wakeUps++
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
	proxy.traffic.count(action)
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
	case event.LogDecision:
		proxy.countRefusal(action.Decision())
		if action.Decision().Name == "role_chosen" {
			proxy.listRole = action.Decision().Reason
		}
		if decision := action.Decision(); !decision.IsRouting() && decision.Name != "conn_spoiled" {
			proxy.simulation.logLines = append(proxy.simulation.logLines, fmt.Sprintf("%v %s %s %s %s", proxy.simulation.now, proxy.name, decision.Name, decision.Instance, decision.Reason))
		}
	case event.AnswerCaller:
		reply := action.Reply()
		if done, ok := proxy.pendingReplies[reply.Seq()]; ok {
			delete(proxy.pendingReplies, reply.Seq())
			done(reply)
		}
	default:
		proxy.runCall(action)
	}
}

// runCall makes a call to the platform or to another proxy.
func (proxy *proxy) runCall(action event.Action) {
	switch action := action.(type) {
	case event.ReadStore:
		proxy.simulation.store.read(proxy, action)
	case event.WriteStore:
		proxy.simulation.store.write(proxy, action)
	case event.PromoteInstance:
		proxy.callPromotion(action)
	case event.ReadList:
		proxy.simulation.store.readList(proxy, action)
	case event.AwaitChanges:
		proxy.simulation.store.awaitChanges(proxy, action)
	case event.ApplyList:
		proxy.applyList(action)
	case event.SendPoll:
		proxy.sendPoll(action)
	case event.AnswerPoll:
		proxy.returnPoll(action.ID(), func(id model.PollID) event.Event { return event.NewPollAnswered(id, action.Reply()) })
	case event.Forward:
		proxy.sendForward(action)
	case event.EndForward:
		proxy.sendEndForward(action)
	case event.AnswerForward:
		proxy.returnForward(action.ID(), func(id model.ForwardID) event.Event { return event.NewForwardAnswered(id, action.Reply()) })
	case event.RefuseForward:
		proxy.returnForward(action.ID(), func(id model.ForwardID) event.Event {
			return event.NewForwardFailed(id, true, action.Code().String())
		})
	case event.Settle:
		proxy.sendSettle(action)
	case event.AnswerSettle:
		proxy.returnSettle(action.ID(), func(id model.SettleID) event.Event { return event.NewSettleAnswered(id, action.Settlement()) })
	case event.RefuseSettle:
		proxy.returnSettle(action.ID(), func(id model.SettleID) event.Event {
			return event.NewSettleFailed(id, false, action.Code().String())
		})
	case event.RefusePoll:
		proxy.returnPoll(action.ID(), func(id model.PollID) event.Event { return event.NewPollFailed(id, true, action.Code().String()) })
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
	simulation.oracle.checkToken(proxy, action)
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

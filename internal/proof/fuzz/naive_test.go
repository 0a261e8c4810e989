package fuzz

import (
	"slices"
	"strconv"
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/timer"
	"almondway.dev/almondway/internal/core/tune"
)

const (
	naiveTimeout        = 100 * time.Millisecond
	naivePrimaryTimeout = 600 * time.Millisecond
	naivePollInterval   = time.Second
)

// naiveProxy is a naive implementation that breaks every promise. It acknowledges
// a write on the primary's answer, reads from any replica, retries on error,
// reports every failure as not run, shares connections between transactions,
// matches answers to requests by their order, promotes a replica when the primary
// is silent without asking a majority, and lets the last configuration win.
type naiveProxy struct {
	timers        *timer.Service
	actions       []event.Action
	groups        []model.Group
	primary       map[model.GroupID]model.InstanceID
	term          map[model.GroupID]model.Term
	conns         map[model.InstanceID]model.ConnID
	sentRequests  map[model.ConnID][]*naiveRequest
	leaving       map[model.InstanceID]bool
	inTx          map[model.CallerID]model.InstanceID
	txOpened      map[model.ConnID]bool
	primarySeenAt map[model.GroupID]time.Duration
	id            model.ProxyID
	lastID        uint64
	nextReplica   int
	weight        int
	revision      uint64
	fenceOrder    model.OrderID
	pendingWrites map[model.PlatformCallID]naiveCommand
}

// naiveCommand is an operator's command whose write to the store is pending.
type naiveCommand struct {
	commandID model.AdminCallID
	weight    int
}

// naiveRequest is a request sent to an instance.
type naiveRequest struct {
	request  *model.Request
	instance model.InstanceID
	answered bool
}

func newNaiveProxy(self model.ProxyView, _ *tune.Settings, _ time.Time, _ uint64) proxyLogic {
	naiveProxy := &naiveProxy{
		id:            self.ID(),
		timers:        timer.New(),
		primary:       make(map[model.GroupID]model.InstanceID),
		term:          make(map[model.GroupID]model.Term),
		conns:         make(map[model.InstanceID]model.ConnID),
		sentRequests:  make(map[model.ConnID][]*naiveRequest),
		leaving:       make(map[model.InstanceID]bool),
		inTx:          make(map[model.CallerID]model.InstanceID),
		txOpened:      make(map[model.ConnID]bool),
		primarySeenAt: make(map[model.GroupID]time.Duration),
		pendingWrites: make(map[model.PlatformCallID]naiveCommand),
	}
	naiveProxy.timers.After(0, func() { naiveProxy.emit(event.NewListGroups()) })
	naiveProxy.timers.Every(naivePollInterval, naiveProxy.poll)
	naiveProxy.timers.Every(50*time.Millisecond, naiveProxy.probe)
	return naiveProxy
}

// Handle implements proxyLogic.
func (naiveProxy *naiveProxy) Handle(now time.Duration, received event.Event) []event.Action {
	naiveProxy.actions = nil
	naiveProxy.timers.Advance(now)
	naiveProxy.handle(received)
	return naiveProxy.actions
}

// Tick implements proxyLogic.
func (naiveProxy *naiveProxy) Tick(now time.Duration) []event.Action {
	naiveProxy.actions = nil
	naiveProxy.timers.Advance(now)
	return naiveProxy.actions
}

// Next implements proxyLogic.
func (naiveProxy *naiveProxy) Next() (time.Duration, bool) { return naiveProxy.timers.NextDue() }

func (naiveProxy *naiveProxy) emit(action event.Action) {
	naiveProxy.actions = append(naiveProxy.actions, action)
}

func (naiveProxy *naiveProxy) newID() uint64 {
	naiveProxy.lastID++
	return naiveProxy.lastID
}

func (naiveProxy *naiveProxy) handle(received event.Event) {
	switch received := received.(type) {
	case event.GroupsListed:
		naiveProxy.setGroups(received.Groups())
	case event.HostsListed:
		for _, host := range received.Hosts() {
			naiveProxy.leaving[host.Instance()] = host.Leaving()
		}
	case event.CallerOpened:
		naiveProxy.emit(event.NewAcceptCaller(received.Caller()))
	case event.RequestReceived:
		naiveProxy.route(received.Request())
	case event.ExecuteDone:
		naiveProxy.answerOldest(received.Conn(), received.Answer(), received.Mark(), true)
	case event.ExecuteFailed:
		naiveProxy.answerOldest(received.Conn(), nil, model.Mark{}, false)
	case event.StatusReported:
		naiveProxy.observeStatus(received.Instance(), received.Status())
	case event.OrderAnswered:
		if received.Order() == naiveProxy.fenceOrder && received.Accepted() {
			order := event.NewPromote(received.Status().Fence())
			naiveProxy.emit(event.NewSendOrder(model.OrderID(naiveProxy.newID()), received.Instance(), "", order, naivePollInterval))
		}
	case event.CommandReceived:
		naiveProxy.acceptDeployment(received)
	case event.StoreWritten:
		naiveProxy.storeWritten(received.CallID())
	case event.StoreRead:
		naiveProxy.loadCatalog(received.Rows())
	case event.ShutdownRequested:
		naiveProxy.emit(event.NewStopProxy())
	}
}

func (naiveProxy *naiveProxy) poll() {
	naiveProxy.emit(event.NewListHosts())
	naiveProxy.emit(event.NewReadStore(model.PlatformCallID(naiveProxy.newID()), "naive", "catalog"))
}

func (naiveProxy *naiveProxy) setGroups(groups []model.Group) {
	naiveProxy.groups = groups
	for _, group := range groups {
		for _, instance := range group.Instances() {
			conn := model.ConnID(naiveProxy.newID())
			naiveProxy.conns[instance.ID()] = conn
			naiveProxy.emit(event.NewOpenConn(conn, instance.ID(), instance.Address()))
		}
		naiveProxy.primary[group.ID()] = group.Instances()[0].ID()
		naiveProxy.term[group.ID()] = model.NewTerm(1, 0)
		naiveProxy.primarySeenAt[group.ID()] = naiveProxy.timers.Now()
	}
}

func (naiveProxy *naiveProxy) probe() {
	for _, group := range naiveProxy.groups {
		for _, instance := range group.Instances() {
			naiveProxy.emit(event.NewProbe(model.ProbeID(naiveProxy.newID()), instance.ID(), instance.Address(), naivePollInterval))
		}
		if naiveProxy.timers.Now()-naiveProxy.primarySeenAt[group.ID()] > naivePrimaryTimeout {
			naiveProxy.promote(group)
		}
	}
}

// promote makes the first other instance the primary, without asking a majority.
func (naiveProxy *naiveProxy) promote(group model.Group) {
	naiveProxy.primarySeenAt[group.ID()] = naiveProxy.timers.Now()
	for _, instance := range group.Instances() {
		if instance.ID() == naiveProxy.primary[group.ID()] {
			continue
		}
		term := model.NewTerm(naiveProxy.term[group.ID()].Count()+1, 0)
		naiveProxy.fenceOrder = model.OrderID(naiveProxy.newID())
		naiveProxy.emit(event.NewSendOrder(naiveProxy.fenceOrder, instance.ID(), instance.Address(), event.NewFence(term), naivePollInterval))
		naiveProxy.primary[group.ID()] = instance.ID()
		naiveProxy.term[group.ID()] = term
		naiveProxy.followAll(group, term, instance)
		return
	}
}

func (naiveProxy *naiveProxy) followAll(group model.Group, term model.Term, primary model.Instance) {
	for _, other := range group.Instances() {
		if other.ID() != primary.ID() {
			order := event.NewFollow(term, primary.ID(), primary.Address())
			naiveProxy.emit(event.NewSendOrder(model.OrderID(naiveProxy.newID()), other.ID(), other.Address(), order, naivePollInterval))
		}
	}
}

func (naiveProxy *naiveProxy) observeStatus(instance model.InstanceID, status model.Status) {
	for _, group := range naiveProxy.groups {
		if !slices.ContainsFunc(group.Instances(), func(member model.Instance) bool { return member.ID() == instance }) {
			continue
		}
		if instance == naiveProxy.primary[group.ID()] {
			naiveProxy.primarySeenAt[group.ID()] = naiveProxy.timers.Now()
		}
		if status.Role() == model.RolePrimary && status.Fence() > naiveProxy.term[group.ID()] {
			naiveProxy.primary[group.ID()] = instance
			naiveProxy.term[group.ID()] = status.Fence()
		}
	}
}

// route sends a read to the next instance in turn and any other request to the primary.
// The primary replaces an instance that the host list marks as leaving.
func (naiveProxy *naiveProxy) route(request *model.Request) {
	group := naiveProxy.groups[0]
	target := naiveProxy.primary[group.ID()]
	requested, _ := request.Statement().(*statement)
	if requested != nil && !requested.write {
		naiveProxy.nextReplica++
		target = group.Instances()[naiveProxy.nextReplica%len(group.Instances())].ID()
	}
	if naiveProxy.leaving[target] {
		target = naiveProxy.primary[group.ID()]
	}
	naiveProxy.send(request, target, requested)
}

func (naiveProxy *naiveProxy) send(request *model.Request, target model.InstanceID, requested *statement) {
	step := model.StepSingle
	switch request.Op() {
	case model.OpBegin:
		naiveProxy.inTx[request.Caller()] = target
		naiveProxy.reply(request, model.OutcomeDone, codes.OK, nil, model.Mark{}, model.TxOpen)
		return
	case model.OpCommit:
		step = model.StepCommit
		naiveProxy.txOpened[naiveProxy.conns[target]] = false
		delete(naiveProxy.inTx, request.Caller())
	case model.OpRollback:
		step = model.StepRollback
		delete(naiveProxy.inTx, request.Caller())
	case model.OpStatement:
		if _, open := naiveProxy.inTx[request.Caller()]; open {
			step = model.StepNext
			if requested.write && !naiveProxy.txOpened[naiveProxy.conns[target]] {
				step = model.StepFirst
				naiveProxy.txOpened[naiveProxy.conns[target]] = true
			}
		}
	}
	sent := &naiveRequest{request: request, instance: target}
	conn := naiveProxy.conns[target]
	naiveProxy.sentRequests[conn] = append(naiveProxy.sentRequests[conn], sent)
	work := model.NewWork(model.WorkSpec{
		Step:        step,
		Write:       requested == nil || requested.write,
		FencingTerm: naiveProxy.term[naiveProxy.groups[0].ID()],
		LedgerID:    naiveProxy.ledgerID(),
		Digest:      request.Digest(),
		Statement:   request.Statement(),
	})
	naiveProxy.emit(event.NewExecute(model.ExecID(naiveProxy.newID()), conn, work))
	naiveProxy.timers.After(naiveTimeout, func() { naiveProxy.timeOut(conn, sent) })
}

// ledgerID returns a new ID for each attempt, so that the ledger does not detect
// retries.
func (naiveProxy *naiveProxy) ledgerID() string {
	return string(naiveProxy.id) + "-" + strconv.FormatUint(naiveProxy.newID(), 10)
}

func (naiveProxy *naiveProxy) timeOut(conn model.ConnID, sent *naiveRequest) {
	if sent.answered {
		return
	}
	sent.answered = true
	naiveProxy.sentRequests[conn] = slices.DeleteFunc(naiveProxy.sentRequests[conn], func(other *naiveRequest) bool { return other == sent })
	naiveProxy.reply(sent.request, model.OutcomeNotRun, codes.DeadlineExceeded, nil, model.Mark{}, model.TxNone)
}

// answerOldest treats an answer as that of the oldest request on the connection.
func (naiveProxy *naiveProxy) answerOldest(conn model.ConnID, payload model.Payload, mark model.Mark, ok bool) {
	if len(naiveProxy.sentRequests[conn]) == 0 {
		return
	}
	sent := naiveProxy.sentRequests[conn][0]
	naiveProxy.sentRequests[conn] = naiveProxy.sentRequests[conn][1:]
	sent.answered = true
	state := model.TxNone
	if _, open := naiveProxy.inTx[sent.request.Caller()]; open {
		state = model.TxOpen
	}
	if ok {
		naiveProxy.reply(sent.request, model.OutcomeDone, codes.OK, payload, mark, state)
		return
	}
	naiveProxy.reply(sent.request, model.OutcomeNotRun, codes.NoPrimary, nil, mark, state)
}

func (naiveProxy *naiveProxy) reply(request *model.Request, outcome model.Outcome, code codes.Code, payload model.Payload, _ model.Mark, state model.TxState) {
	naiveProxy.emit(event.NewAnswerCaller(model.NewReply(model.ReplySpec{
		Seq:     request.Seq(),
		Caller:  request.Caller(),
		Outcome: outcome,
		Code:    code,
		TxState: state,
		Answer:  payload,
	})))
}

// acceptDeployment puts a configuration in force at once and overwrites the
// stored one without a check for conflicts.
func (naiveProxy *naiveProxy) acceptDeployment(received event.CommandReceived) {
	command, ok := received.Command().(event.ApplyDeployment)
	if !ok {
		return
	}
	naiveProxy.weight = command.Deployment().Weight()
	naiveProxy.revision = command.ExpectedRevision() + 1
	naiveProxy.emit(event.NewAnswerOperator(received.CallID(), event.NewChangeAccepted(naiveProxy.revision, 1, 1)))
	query := model.PlatformCallID(naiveProxy.newID())
	naiveProxy.pendingWrites[query] = naiveCommand{commandID: received.CallID(), weight: naiveProxy.weight}
	encoded, _ := model.EncodeDeployment(command.Deployment())
	naiveProxy.emit(event.NewWriteStore(query, []model.RowWrite{model.NewRowWrite("naive", "catalog", 0, encoded)}))
}

func (naiveProxy *naiveProxy) storeWritten(query model.PlatformCallID) {
	delete(naiveProxy.pendingWrites, query)
}

// loadCatalog puts the stored configuration in force without comparing revisions.
func (naiveProxy *naiveProxy) loadCatalog(rows []model.Row) {
	if len(rows) != 1 {
		return
	}
	deployment, err := model.DecodeDeployment(rows[0].Value())
	if err != nil {
		return
	}
	naiveProxy.weight = deployment.Weight()
	naiveProxy.revision = rows[0].Version()
}

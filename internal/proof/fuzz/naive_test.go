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

// naiveProxy is a proxy as one would write it first: it acknowledges on the primary's
// answer, reads any replica, retries on error, reports every failure as not
// run, shares connections between transactions, matches answers by their order,
// promotes on silence without a majority and lets the last configuration win.
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

// naiveCommand is an operator's call that waits for the store.
type naiveCommand struct {
	commandID model.AdminCallID
	weight    int
}

// naiveRequest is a request that was sent to an instance.
type naiveRequest struct {
	request  *model.Request
	instance model.InstanceID
	answered bool
}

func newNaiveProxy(self model.ProxyView, _ *tune.Settings, _ time.Time, _ uint64) proxyLogic {
	naive := &naiveProxy{
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
	naive.timers.After(0, func() { naive.emit(event.NewListGroups()) })
	naive.timers.Every(naivePollInterval, naive.poll)
	naive.timers.Every(50*time.Millisecond, naive.probe)
	return naive
}

// Handle implements brain.
func (naive *naiveProxy) Handle(now time.Duration, received event.Event) []event.Action {
	naive.actions = nil
	naive.timers.Advance(now)
	naive.handle(received)
	return naive.actions
}

// Tick implements brain.
func (naive *naiveProxy) Tick(now time.Duration) []event.Action {
	naive.actions = nil
	naive.timers.Advance(now)
	return naive.actions
}

// Next implements brain.
func (naive *naiveProxy) Next() (time.Duration, bool) { return naive.timers.NextDue() }

func (naive *naiveProxy) emit(action event.Action) { naive.actions = append(naive.actions, action) }

func (naive *naiveProxy) newID() uint64 {
	naive.lastID++
	return naive.lastID
}

func (naive *naiveProxy) handle(received event.Event) {
	switch received := received.(type) {
	case event.GroupsListed:
		naive.setGroups(received.Groups())
	case event.HostsListed:
		for _, host := range received.Hosts() {
			naive.leaving[host.Instance()] = host.Leaving()
		}
	case event.CallerOpened:
		naive.emit(event.NewAcceptCaller(received.Caller()))
	case event.RequestReceived:
		naive.route(received.Request())
	case event.ExecuteDone:
		naive.answerOldest(received.Conn(), received.Answer(), received.Mark(), true)
	case event.ExecuteFailed:
		naive.answerOldest(received.Conn(), nil, model.Mark{}, false)
	case event.StatusReported:
		naive.observeStatus(received.Instance(), received.Status())
	case event.OrderAnswered:
		if received.Order() == naive.fenceOrder && received.Accepted() {
			order := event.NewPromote(received.Status().Fence())
			naive.emit(event.NewSendOrder(model.OrderID(naive.newID()), received.Instance(), "", order, naivePollInterval))
		}
	case event.CommandReceived:
		naive.acceptDeployment(received)
	case event.StoreWritten:
		naive.storeWritten(received.Query())
	case event.StoreRead:
		naive.loadCatalog(received.Rows())
	case event.ShutdownRequested:
		naive.emit(event.NewStopProxy())
	}
}

func (naive *naiveProxy) poll() {
	naive.emit(event.NewListHosts())
	naive.emit(event.NewReadStore(model.PlatformCallID(naive.newID()), "naive", "catalog"))
}

func (naive *naiveProxy) setGroups(groups []model.Group) {
	naive.groups = groups
	for _, group := range groups {
		for _, instance := range group.Instances() {
			conn := model.ConnID(naive.newID())
			naive.conns[instance.ID()] = conn
			naive.emit(event.NewOpenConn(conn, instance.ID(), instance.Address()))
		}
		naive.primary[group.ID()] = group.Instances()[0].ID()
		naive.term[group.ID()] = model.NewTerm(1, 0)
		naive.primarySeenAt[group.ID()] = naive.timers.Now()
	}
}

func (naive *naiveProxy) probe() {
	for _, group := range naive.groups {
		for _, instance := range group.Instances() {
			naive.emit(event.NewProbe(model.ProbeID(naive.newID()), instance.ID(), instance.Address(), naivePollInterval))
		}
		if naive.timers.Now()-naive.primarySeenAt[group.ID()] > naivePrimaryTimeout {
			naive.promote(group)
		}
	}
}

// promote orders the first other instance to lead, without asking a majority.
func (naive *naiveProxy) promote(group model.Group) {
	naive.primarySeenAt[group.ID()] = naive.timers.Now()
	for _, instance := range group.Instances() {
		if instance.ID() == naive.primary[group.ID()] {
			continue
		}
		term := model.NewTerm(naive.term[group.ID()].Count()+1, 0)
		naive.fenceOrder = model.OrderID(naive.newID())
		naive.emit(event.NewSendOrder(naive.fenceOrder, instance.ID(), instance.Address(), event.NewFence(term), naivePollInterval))
		naive.primary[group.ID()] = instance.ID()
		naive.term[group.ID()] = term
		naive.followAll(group, term, instance)
		return
	}
}

func (naive *naiveProxy) followAll(group model.Group, term model.Term, primary model.Instance) {
	for _, other := range group.Instances() {
		if other.ID() != primary.ID() {
			order := event.NewFollow(term, primary.ID(), primary.Address())
			naive.emit(event.NewSendOrder(model.OrderID(naive.newID()), other.ID(), other.Address(), order, naivePollInterval))
		}
	}
}

func (naive *naiveProxy) observeStatus(instance model.InstanceID, status model.Status) {
	for _, group := range naive.groups {
		if !slices.ContainsFunc(group.Instances(), func(member model.Instance) bool { return member.ID() == instance }) {
			continue
		}
		if instance == naive.primary[group.ID()] {
			naive.primarySeenAt[group.ID()] = naive.timers.Now()
		}
		if status.Role() == model.RolePrimary && status.Fence() > naive.term[group.ID()] {
			naive.primary[group.ID()] = instance
			naive.term[group.ID()] = status.Fence()
		}
	}
}

// route sends a request to the primary or to the next instance that the host list does not call leaving.
func (naive *naiveProxy) route(request *model.Request) {
	group := naive.groups[0]
	target := naive.primary[group.ID()]
	asked, _ := request.Statement().(*statement)
	if asked != nil && !asked.write {
		naive.nextReplica++
		target = group.Instances()[naive.nextReplica%len(group.Instances())].ID()
	}
	if naive.leaving[target] {
		target = naive.primary[group.ID()]
	}
	naive.send(request, target, asked)
}

func (naive *naiveProxy) send(request *model.Request, target model.InstanceID, asked *statement) {
	step := model.StepSingle
	switch request.Op() {
	case model.OpBegin:
		naive.inTx[request.Caller()] = target
		naive.reply(request, model.OutcomeDone, codes.OK, nil, model.Mark{}, model.TxOpen)
		return
	case model.OpCommit:
		step = model.StepCommit
		naive.txOpened[naive.conns[target]] = false
		delete(naive.inTx, request.Caller())
	case model.OpRollback:
		step = model.StepRollback
		delete(naive.inTx, request.Caller())
	case model.OpStatement:
		if _, open := naive.inTx[request.Caller()]; open {
			step = model.StepNext
			if asked.write && !naive.txOpened[naive.conns[target]] {
				step = model.StepFirst
				naive.txOpened[naive.conns[target]] = true
			}
		}
	}
	job := &naiveRequest{request: request, instance: target}
	conn := naive.conns[target]
	naive.sentRequests[conn] = append(naive.sentRequests[conn], job)
	work := model.NewWork(model.WorkSpec{
		Step:        step,
		Write:       asked == nil || asked.write,
		FencingTerm: naive.term[naive.groups[0].ID()],
		LedgerID:    naive.ledgerID(),
		Digest:      request.Digest(),
		Statement:   request.Statement(),
	})
	naive.emit(event.NewExecute(model.ExecID(naive.newID()), conn, work))
	naive.timers.After(naiveTimeout, func() { naive.timeOut(conn, job) })
}

// ledgerID gives each attempt a key of its own, so that the ledger finds no retry.
func (naive *naiveProxy) ledgerID() string {
	return string(naive.id) + "-" + strconv.FormatUint(naive.newID(), 10)
}

func (naive *naiveProxy) timeOut(conn model.ConnID, job *naiveRequest) {
	if job.answered {
		return
	}
	job.answered = true
	naive.sentRequests[conn] = slices.DeleteFunc(naive.sentRequests[conn], func(other *naiveRequest) bool { return other == job })
	naive.reply(job.request, model.OutcomeNotRun, codes.DeadlineExceeded, nil, model.Mark{}, model.TxNone)
}

// answerOldest hands an answer to the oldest request of the connection.
func (naive *naiveProxy) answerOldest(conn model.ConnID, payload model.Payload, mark model.Mark, ok bool) {
	if len(naive.sentRequests[conn]) == 0 {
		return
	}
	job := naive.sentRequests[conn][0]
	naive.sentRequests[conn] = naive.sentRequests[conn][1:]
	job.answered = true
	state := model.TxNone
	if _, open := naive.inTx[job.request.Caller()]; open {
		state = model.TxOpen
	}
	if ok {
		naive.reply(job.request, model.OutcomeDone, codes.OK, payload, mark, state)
		return
	}
	naive.reply(job.request, model.OutcomeNotRun, codes.NoPrimary, nil, mark, state)
}

func (naive *naiveProxy) reply(request *model.Request, outcome model.Outcome, code codes.Code, payload model.Payload, _ model.Mark, state model.TxState) {
	naive.emit(event.NewAnswerCaller(model.NewReply(model.ReplySpec{
		Seq:     request.Seq(),
		Caller:  request.Caller(),
		Outcome: outcome,
		Code:    code,
		TxState: state,
		Answer:  payload,
	})))
}

// acceptDeployment writes the configuration whatever stands there and puts it in force at once.
func (naive *naiveProxy) acceptDeployment(asked event.CommandReceived) {
	command, ok := asked.Command().(event.ApplyDeployment)
	if !ok {
		return
	}
	naive.weight = command.Deployment().Weight()
	naive.revision = command.ExpectedRevision() + 1
	naive.emit(event.NewAnswerOperator(asked.CommandID(), event.NewChangeAccepted(naive.revision, 1, 1)))
	query := model.PlatformCallID(naive.newID())
	naive.pendingWrites[query] = naiveCommand{commandID: asked.CommandID(), weight: naive.weight}
	encoded, _ := model.EncodeDeployment(command.Deployment())
	naive.emit(event.NewWriteStore(query, []model.RowWrite{model.NewRowWrite("naive", "catalog", 0, encoded)}))
}

func (naive *naiveProxy) storeWritten(query model.PlatformCallID) { delete(naive.pendingWrites, query) }

// loadCatalog puts in force whatever the store says.
func (naive *naiveProxy) loadCatalog(rows []model.Row) {
	if len(rows) != 1 {
		return
	}
	deployment, err := model.DecodeDeployment(rows[0].Value())
	if err != nil {
		return
	}
	naive.weight = deployment.Weight()
	naive.revision = rows[0].Version()
}

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
	naiveTimeout = 100 * time.Millisecond
	naiveSilence = 600 * time.Millisecond
	naivePoll    = time.Second
)

// naive is a proxy as one would write it first: it acknowledges on the primary's
// answer, reads any replica, retries on error, reports every failure as not
// run, shares connections between transactions, matches answers by their order,
// promotes on silence without a majority and lets the last configuration win.
type naive struct {
	timers   *timer.Service
	actions  []event.Action
	groups   []model.Group
	primary  map[model.GroupID]model.InstanceID
	term     map[model.GroupID]model.Term
	conns    map[model.InstanceID]model.ConnID
	fifo     map[model.ConnID][]*naiveJob
	leaving  map[model.InstanceID]bool
	inTx     map[model.CallerID]model.InstanceID
	opened   map[model.ConnID]bool
	seen     map[model.GroupID]time.Duration
	name     model.ProxyID
	lastID   uint64
	turn     int
	weight   int
	revision uint64
	fence    model.OrderID
	asks     map[model.PlatformCallID]naiveAsk
}

// naiveAsk is an operator's call that waits for the store.
type naiveAsk struct {
	ask    model.AdminCallID
	weight int
}

// naiveJob is a request that was sent to an instance.
type naiveJob struct {
	request  *model.Request
	instance model.InstanceID
	answered bool
}

func newNaive(self model.ProxyView, _ *tune.Settings, _ time.Time, _ uint64) brain {
	naive := &naive{
		name:    self.ID(),
		timers:  timer.New(),
		primary: make(map[model.GroupID]model.InstanceID),
		term:    make(map[model.GroupID]model.Term),
		conns:   make(map[model.InstanceID]model.ConnID),
		fifo:    make(map[model.ConnID][]*naiveJob),
		leaving: make(map[model.InstanceID]bool),
		inTx:    make(map[model.CallerID]model.InstanceID),
		opened:  make(map[model.ConnID]bool),
		seen:    make(map[model.GroupID]time.Duration),
		asks:    make(map[model.PlatformCallID]naiveAsk),
	}
	naive.timers.After(0, func() { naive.emit(event.NewListGroups()) })
	naive.timers.Every(naivePoll, naive.poll)
	naive.timers.Every(50*time.Millisecond, naive.probe)
	return naive
}

// Handle implements brain.
func (naive *naive) Handle(now time.Duration, received event.Event) []event.Action {
	naive.actions = nil
	naive.timers.Advance(now)
	naive.handle(received)
	return naive.actions
}

// Tick implements brain.
func (naive *naive) Tick(now time.Duration) []event.Action {
	naive.actions = nil
	naive.timers.Advance(now)
	return naive.actions
}

// Next implements brain.
func (naive *naive) Next() (time.Duration, bool) { return naive.timers.NextDue() }

func (naive *naive) emit(action event.Action) { naive.actions = append(naive.actions, action) }

func (naive *naive) next() uint64 {
	naive.lastID++
	return naive.lastID
}

func (naive *naive) handle(received event.Event) {
	switch received := received.(type) {
	case event.GroupsListed:
		naive.learnGroups(received.Groups())
	case event.HostsListed:
		for _, host := range received.Hosts() {
			naive.leaving[host.Instance()] = host.Leaving()
		}
	case event.CallerOpened:
		naive.emit(event.NewAcceptCaller(received.Caller()))
	case event.RequestReceived:
		naive.route(received.Request())
	case event.ExecuteDone:
		naive.match(received.Conn(), received.Answer(), received.Mark(), true)
	case event.ExecuteFailed:
		naive.match(received.Conn(), nil, model.Mark{}, false)
	case event.StatusReported:
		naive.learn(received.Instance(), received.Status())
	case event.OrderAnswered:
		if received.Order() == naive.fence && received.Accepted() {
			order := event.NewPromote(received.Status().Fence())
			naive.emit(event.NewSendOrder(model.OrderID(naive.next()), received.Instance(), "", order, naivePoll))
		}
	case event.CommandReceived:
		naive.accept(received)
	case event.StoreWritten:
		naive.applied(received.Query())
	case event.StoreRead:
		naive.catalog(received.Rows())
	case event.ShutdownRequested:
		naive.emit(event.NewStopProxy())
	}
}

func (naive *naive) poll() {
	naive.emit(event.NewListHosts())
	naive.emit(event.NewReadStore(model.PlatformCallID(naive.next()), "naive", "catalog"))
}

func (naive *naive) learnGroups(groups []model.Group) {
	naive.groups = groups
	for _, group := range groups {
		for _, instance := range group.Instances() {
			conn := model.ConnID(naive.next())
			naive.conns[instance.ID()] = conn
			naive.emit(event.NewOpenConn(conn, instance.ID(), instance.Address()))
		}
		naive.primary[group.ID()] = group.Instances()[0].ID()
		naive.term[group.ID()] = model.NewTerm(1, 0)
		naive.seen[group.ID()] = naive.timers.Now()
	}
}

func (naive *naive) probe() {
	for _, group := range naive.groups {
		for _, instance := range group.Instances() {
			naive.emit(event.NewProbe(model.ProbeID(naive.next()), instance.ID(), instance.Address(), naivePoll))
		}
		if naive.timers.Now()-naive.seen[group.ID()] > naiveSilence {
			naive.promote(group)
		}
	}
}

// promote orders the first other instance to lead, without asking a majority.
func (naive *naive) promote(group model.Group) {
	naive.seen[group.ID()] = naive.timers.Now()
	for _, instance := range group.Instances() {
		if instance.ID() == naive.primary[group.ID()] {
			continue
		}
		term := model.NewTerm(naive.term[group.ID()].Count()+1, 0)
		naive.fence = model.OrderID(naive.next())
		naive.emit(event.NewSendOrder(naive.fence, instance.ID(), instance.Address(), event.NewFence(term), naivePoll))
		naive.primary[group.ID()] = instance.ID()
		naive.term[group.ID()] = term
		naive.followAll(group, term, instance)
		return
	}
}

func (naive *naive) followAll(group model.Group, term model.Term, primary model.Instance) {
	for _, other := range group.Instances() {
		if other.ID() != primary.ID() {
			order := event.NewFollow(term, primary.ID(), primary.Address())
			naive.emit(event.NewSendOrder(model.OrderID(naive.next()), other.ID(), other.Address(), order, naivePoll))
		}
	}
}

func (naive *naive) learn(instance model.InstanceID, status model.Status) {
	for _, group := range naive.groups {
		if !slices.ContainsFunc(group.Instances(), func(member model.Instance) bool { return member.ID() == instance }) {
			continue
		}
		if instance == naive.primary[group.ID()] {
			naive.seen[group.ID()] = naive.timers.Now()
		}
		if status.Role() == model.RolePrimary && status.Fence() > naive.term[group.ID()] {
			naive.primary[group.ID()] = instance
			naive.term[group.ID()] = status.Fence()
		}
	}
}

// route sends a request to the primary or to the next instance that the host list does not call leaving.
func (naive *naive) route(request *model.Request) {
	group := naive.groups[0]
	target := naive.primary[group.ID()]
	asked, _ := request.Statement().(*statement)
	if asked != nil && !asked.write {
		naive.turn++
		target = group.Instances()[naive.turn%len(group.Instances())].ID()
	}
	if naive.leaving[target] {
		target = naive.primary[group.ID()]
	}
	naive.send(request, target, asked)
}

func (naive *naive) send(request *model.Request, target model.InstanceID, asked *statement) {
	step := model.StepSingle
	switch request.Op() {
	case model.OpBegin:
		naive.inTx[request.Caller()] = target
		naive.reply(request, model.OutcomeDone, codes.OK, nil, model.Mark{}, model.TxOpen)
		return
	case model.OpCommit:
		step = model.StepCommit
		naive.opened[naive.conns[target]] = false
		delete(naive.inTx, request.Caller())
	case model.OpRollback:
		step = model.StepRollback
		delete(naive.inTx, request.Caller())
	case model.OpStatement:
		if _, open := naive.inTx[request.Caller()]; open {
			step = model.StepNext
			if asked.write && !naive.opened[naive.conns[target]] {
				step = model.StepFirst
				naive.opened[naive.conns[target]] = true
			}
		}
	}
	job := &naiveJob{request: request, instance: target}
	conn := naive.conns[target]
	naive.fifo[conn] = append(naive.fifo[conn], job)
	work := model.NewWork(model.WorkSpec{
		Step:        step,
		Write:       asked == nil || asked.write,
		FencingTerm: naive.term[naive.groups[0].ID()],
		LedgerID:    naive.ledgerID(),
		Digest:      request.Digest(),
		Statement:   request.Statement(),
	})
	naive.emit(event.NewExecute(model.ExecID(naive.next()), conn, work))
	naive.timers.After(naiveTimeout, func() { naive.giveUp(conn, job) })
}

// ledgerID gives each attempt a key of its own, so that the ledger finds no retry.
func (naive *naive) ledgerID() string {
	return string(naive.name) + "-" + strconv.FormatUint(naive.next(), 10)
}

func (naive *naive) giveUp(conn model.ConnID, job *naiveJob) {
	if job.answered {
		return
	}
	job.answered = true
	naive.fifo[conn] = slices.DeleteFunc(naive.fifo[conn], func(other *naiveJob) bool { return other == job })
	naive.reply(job.request, model.OutcomeNotRun, codes.DeadlineExceeded, nil, model.Mark{}, model.TxNone)
}

// match hands an answer to the oldest request of the connection.
func (naive *naive) match(conn model.ConnID, payload model.Payload, mark model.Mark, ok bool) {
	if len(naive.fifo[conn]) == 0 {
		return
	}
	job := naive.fifo[conn][0]
	naive.fifo[conn] = naive.fifo[conn][1:]
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

func (naive *naive) reply(request *model.Request, outcome model.Outcome, code codes.Code, payload model.Payload, _ model.Mark, state model.TxState) {
	naive.emit(event.NewAnswerCaller(model.NewReply(model.ReplySpec{
		Seq:     request.Seq(),
		Caller:  request.Caller(),
		Outcome: outcome,
		Code:    code,
		TxState: state,
		Answer:  payload,
	})))
}

// accept writes the configuration whatever stands there and puts it in force at once.
func (naive *naive) accept(asked event.CommandReceived) {
	command, ok := asked.Command().(event.ApplyDeployment)
	if !ok {
		return
	}
	naive.weight = command.Deployment().Weight()
	naive.revision = command.ExpectedRevision() + 1
	naive.emit(event.NewAnswerOperator(asked.CommandID(), event.NewChangeAccepted(naive.revision, 1, 1)))
	query := model.PlatformCallID(naive.next())
	naive.asks[query] = naiveAsk{ask: asked.CommandID(), weight: naive.weight}
	encoded, _ := model.EncodeDeployment(command.Deployment())
	naive.emit(event.NewWriteStore(query, []model.RowWrite{model.NewRowWrite("naive", "catalog", 0, encoded)}))
}

func (naive *naive) applied(query model.PlatformCallID) { delete(naive.asks, query) }

// catalog puts in force whatever the store says.
func (naive *naive) catalog(rows []model.Row) {
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

package holder

import (
	"testing"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/tune"
)

const (
	instance = model.InstanceID("i-1")
	secret   = "secret"
	maxAge   = 5 * time.Second
)

type text string

// Size implements model.Payload.
func (text text) Size() int { return len(text) }

// fakeConns is a pool that grants a connection when the test says so.
type fakeConns struct {
	route.Conns
	users    []route.ConnUser // that wait
	canceled int
	lastConn model.ConnID
	granted  map[model.ConnID]route.ConnUser
	works    []*model.Work
	released map[model.ConnID]bool // dirty
	discards int
}

// Acquire implements route.Conns.
func (conns *fakeConns) Acquire(_ route.SlotRequest, user route.ConnUser) route.WaitID {
	conns.users = append(conns.users, user)
	return route.WaitID(len(conns.users))
}

// CancelWait implements route.Conns.
func (conns *fakeConns) CancelWait(route.WaitID) { conns.canceled++ }

// Execute implements route.Conns.
func (conns *fakeConns) Execute(_ model.ConnID, work *model.Work) {
	conns.works = append(conns.works, work)
}

// Park implements route.Conns.
func (conns *fakeConns) Park(model.ConnID) {}

// Resume implements route.Conns.
func (conns *fakeConns) Resume(conn model.ConnID, user route.ConnUser) bool {
	_, ok := conns.granted[conn]
	conns.granted[conn] = user
	return ok
}

// Release implements route.Conns.
func (conns *fakeConns) Release(conn model.ConnID, dirty bool) {
	delete(conns.granted, conn)
	conns.released[conn] = dirty
}

// Discard implements route.Conns.
func (conns *fakeConns) Discard(conn model.ConnID) {
	delete(conns.granted, conn)
	conns.discards++
}

type fakeAdmission struct {
	route.Admission
	running   int
	exhausted bool // the retry budget
}

// TakeRetry implements route.Admission.
func (admission *fakeAdmission) TakeRetry(model.GroupID) bool { return !admission.exhausted }

// ForceAcquire implements route.Admission.
func (admission *fakeAdmission) ForceAcquire(route.SlotRequest) { admission.running++ }

// Release implements route.Admission.
func (admission *fakeAdmission) Release(route.SlotRequest, time.Duration, route.SlotEnd) {
	admission.running--
}

// RetryAfter implements route.Admission.
func (admission *fakeAdmission) RetryAfter(model.InstanceID) time.Duration { return time.Millisecond }

type noPlugin struct{}

// Handle implements kern.Plugin.
func (noPlugin) Handle(event.Event) {}

// process is the kernel of a proxy with the plug-in and fakes of the services that it uses.
type process struct {
	t         *testing.T
	now       time.Duration
	kernel    *kern.Kernel
	holder    *Holder
	conns     *fakeConns
	admission *fakeAdmission
	actions   []event.Action
}

func proxyView(id model.ProxyID) model.ProxyView {
	return model.NewProxyView(id, string(id)+":1", "zone", 0, false, 0)
}

func newProcess(t *testing.T, id model.ProxyID, enabled bool) *process {
	process := &process{t: t, now: time.Second, admission: &fakeAdmission{}}
	process.conns = &fakeConns{granted: make(map[model.ConnID]route.ConnUser), released: make(map[model.ConnID]bool)}
	spec := tune.Default()
	spec.ConnHolders, spec.MaxKeyAge = enabled, maxAge
	provide := func(context *kern.Context) kern.Plugin {
		context.ProvideService(route.ConnsService, process.conns)
		context.ProvideService(route.AdmissionService, process.admission)
		return noPlugin{}
	}
	create := func(context *kern.Context) kern.Plugin {
		process.holder = New(context).(*Holder)
		return process.holder
	}
	process.kernel = kern.NewWithFactories(proxyView(id), tune.New(spec), time.Time{}, 1, provide, create)
	state := process.kernel.State()
	listed := model.NewInstance(instance, "10.0.0.1:1", "zone").WithCapacity(5, 4)
	state.SetGroups([]model.Group{model.NewGroup("g", []model.Instance{listed})})
	state.SetProxies([]model.ProxyView{proxyView("p-0"), proxyView("p-1"), proxyView("p-2"), proxyView("p-3"), proxyView("p-4")})
	state.SetDeployments(1, []*model.Deployment{newDeployment()})
	process.setKeys(secret)
	state.SetListCheckedAt(model.ListConfiguration, process.now)
	process.handle(event.NewCatalogChanged(1))
	return process
}

func newDeployment() *model.Deployment {
	return model.NewDeployment(model.DeploymentSpec{
		Name: "d", Groups: []model.GroupID{"g"},
		Kinds: []model.Kind{model.NewKind(model.KindSpec{Name: "k", Access: model.AccessEither, Group: "g", TxIdleTimeout: 2 * time.Second})},
	})
}

// setKeys sets the keys of the only team.
func (process *process) setKeys(keys ...string) {
	var digests []model.KeyDigest
	for _, key := range keys {
		digests = append(digests, model.DigestKey(key))
	}
	teams, err := model.NewTeams([]*model.Team{model.NewTeam(model.TeamSpec{Name: "a", Keys: digests, Rate: -1})})
	if err != nil {
		process.t.Fatal(err)
	}
	process.kernel.State().SetTeams(teams)
}

func (process *process) handle(received event.Event) {
	process.now += time.Millisecond
	process.actions = append(process.actions, process.kernel.Handle(process.now, received)...)
}

// run calls a function of the plug-in and collects its actions.
func (process *process) run(call func()) {
	process.now += time.Millisecond
	process.holder.context.Timers().After(0, call)
	process.actions = append(process.actions, process.kernel.Tick(process.now)...)
}

// pass lets time pass.
func (process *process) pass(span time.Duration) {
	for until := process.now + span; process.now < until; {
		process.now += 100 * time.Millisecond
		process.kernel.State().SetListCheckedAt(model.ListConfiguration, process.now)
		process.actions = append(process.actions, process.kernel.Tick(process.now)...)
	}
}

// answers returns and removes the answers to forwarded statements.
func (process *process) answers() []*model.ForwardReply {
	var replies []*model.ForwardReply
	for _, action := range process.actions {
		if answer, ok := action.(event.AnswerForward); ok {
			replies = append(replies, answer.Reply())
		}
	}
	process.actions = nil
	return replies
}

func (process *process) onlyAnswer() *model.ForwardReply {
	process.t.Helper()
	replies := process.answers()
	if len(replies) != 1 {
		process.t.Fatalf("%d answers", len(replies))
	}
	return replies[0]
}

// grant grants a connection to the last one that asked for it.
func (process *process) grant() {
	process.conns.lastConn++
	user := process.conns.users[len(process.conns.users)-1]
	process.conns.granted[process.conns.lastConn] = user
	process.run(func() { user.ConnGranted(process.conns.lastConn) })
}

// done answers the last execution.
func (process *process) done() {
	conn := process.conns.lastConn
	process.run(func() {
		process.conns.granted[conn].ExecuteDone(event.NewExecuteDone(1, conn, model.NewMark(1, 7), text("row")))
	})
}

func forwardSpec(step model.Step) model.ForwardSpec {
	spec := model.ForwardSpec{
		From: proxyView("p-0"), Process: 7, To: "p-1", Number: 3, Instance: instance, Deployment: "d", Kind: "k", RequestID: "r",
		Key: model.DigestKey(secret), Statement: text("statement"), Step: step, Write: true, Remaining: time.Second,
	}
	return spec
}

func (process *process) receive(spec model.ForwardSpec) {
	process.handle(event.NewForwardReceived(model.ForwardID(spec.Number), model.NewForward(spec)))
}

// openTx opens a transaction of p-0 and returns it.
func (process *process) openTx() model.ForwardTx {
	process.receive(forwardSpec(model.StepFirst))
	process.grant()
	process.done()
	return process.onlyAnswer().Tx()
}

// next returns a further statement of a transaction.
func next(tx model.ForwardTx, step model.Step, number uint64) model.ForwardSpec {
	spec := forwardSpec(step)
	spec.Tx, spec.Number = tx, number
	return spec
}

package affirm_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/count"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/tune"
	"almondway.dev/almondway/internal/plug/affirm"
	"almondway.dev/almondway/internal/plug/catlog"
)

const group = model.GroupID("katalog")

// promoter is the fake of the plug-in that knows who orders promotions. It is a plug-in itself.
type promoter struct {
	settlement model.Settlement
	recorded   []model.GroupTerm
	recordedAt time.Duration
	sought     int
	next       func() // is called with the next event
}

// Settlement implements route.Promoter.
func (promoter *promoter) Settlement([]model.GroupTerm) model.Settlement { return promoter.settlement }

// Recorded implements route.Promoter.
func (promoter *promoter) Recorded() ([]model.GroupTerm, time.Duration) {
	return promoter.recorded, promoter.recordedAt
}

// SeekHolder implements route.Promoter.
func (promoter *promoter) SeekHolder() { promoter.sought++ }

// Handle implements kern.Plugin.
func (promoter *promoter) Handle(event.Event) {
	if next := promoter.next; next != nil {
		promoter.next = nil
		next()
	}
}

// fixture is a kernel that withholds commits.
type fixture struct {
	kernel        *kern.Kernel
	promoter      *promoter
	confirmations route.Confirmations
	now           time.Duration
	actions       []event.Action
	ended         []route.Confirmation
	seq           model.RequestSeq
}

func newFixture(replicas int) *fixture {
	fixture := &fixture{promoter: &promoter{settlement: model.NewReferral("holder")}, now: time.Second}
	provide := func(context *kern.Context) kern.Plugin {
		context.ProvideService(route.PromoterService, fixture.promoter)
		fixture.confirmations = context.Service(route.ConfirmationsService).(route.Confirmations)
		return fixture.promoter
	}
	self := model.NewProxyView("self", "10.0.0.1:1", "dc", 0, false, 0)
	fixture.kernel = kern.NewWithFactories(self, tune.New(tune.Default()), time.Unix(0, 0), 1, catlog.New, affirm.New, provide)
	holder := model.NewProxyView("holder", "10.0.0.2:1", "dc", 0, false, 0)
	other := model.NewProxyView("other", "10.0.0.3:1", "dc", 0, false, 0)
	fixture.kernel.State().SetProxies([]model.ProxyView{holder, other, self})
	listed := model.NewGroup(group, nil).WithReplication(model.NewPrimaryAcknowledged(replicas))
	fixture.handle(event.NewCatalogListed(1, nil, []model.Group{listed}))
	fixture.list("i-1", 1)
	fixture.list("i-2", 1)
	return fixture
}

func (fixture *fixture) list(id model.InstanceID, born int64) {
	fixture.handle(event.NewInstanceListed(model.NewListing(model.ListingSpec{Group: group, Instance: model.NewInstance(id, "10.0.1.1:1", "dc"), Born: born})))
}

func (fixture *fixture) handle(received event.Event) {
	fixture.now += time.Millisecond
	fixture.actions = append(fixture.actions, fixture.kernel.Handle(fixture.now, received)...)
}

func (fixture *fixture) run(span time.Duration) {
	for until := fixture.now + span; fixture.now < until; fixture.now += time.Millisecond {
		fixture.actions = append(fixture.actions, fixture.kernel.Tick(fixture.now)...)
	}
}

// commit lets an instance acknowledge a commit.
func (fixture *fixture) commit(mark model.Mark) route.ConfirmationID {
	fixture.seq++
	job := route.NewJob(route.JobSpec{
		Request:    model.NewRequest(model.RequestSpec{Seq: fixture.seq}),
		Deployment: model.NewDeployment(model.DeploymentSpec{Name: "d"}),
		Group:      group,
	})
	var id route.ConfirmationID
	fixture.promoter.next = func() {
		id = fixture.confirmations.Await(route.Commit{Job: job, Instance: "i-1", Mark: mark}, func(confirmation route.Confirmation) {
			fixture.ended = append(fixture.ended, confirmation)
		})
	}
	fixture.handle(event.NewGroupObserved(group))
	return id
}

// calls returns the calls to holders since the last time.
func (fixture *fixture) calls() []event.Settle {
	var calls []event.Settle
	for _, action := range fixture.actions {
		if call, ok := action.(event.Settle); ok {
			calls = append(calls, call)
		}
	}
	fixture.actions = nil
	return calls
}

// probes returns the probes since the last time.
func (fixture *fixture) probes() []event.Probe {
	var probes []event.Probe
	for _, action := range fixture.actions {
		if probe, ok := action.(event.Probe); ok {
			probes = append(probes, probe)
		}
	}
	fixture.actions = nil
	return probes
}

// settle lets the holder answer all calls with term 3, which i-1 and i-2 have reported.
func (fixture *fixture) settle(unsettled ...model.GroupID) {
	fixture.settleWith(model.NewGroupTerm(group, 3, "i-1", "i-2"), unsettled...)
}

func (fixture *fixture) settleWith(term model.GroupTerm, unsettled ...model.GroupID) {
	for _, call := range fixture.calls() {
		fixture.handle(event.NewSettleAnswered(call.ID(), model.NewSettlement("holder", unsettled, []model.GroupTerm{term})))
	}
}

// fail lets all calls to the holder fail.
func (fixture *fixture) fail() {
	for _, call := range fixture.calls() {
		fixture.handle(event.NewSettleFailed(call.ID(), false, "connection refused"))
	}
}

func (fixture *fixture) count(name count.Name) uint64 {
	return fixture.kernel.State().Counts().Value(name)
}

// What the holder's answer says decides when a commit of term 3 is passed on, and how.
func TestAnswerOfHolder(t *testing.T) {
	tests := []struct {
		name       string
		settlement model.Settlement
		want       []route.Confirmation
	}{
		{"settled", model.NewSettlement("holder", nil, []model.GroupTerm{model.NewGroupTerm(group, 3)}), []route.Confirmation{route.CommitConfirmed}},
		{"an older term is known", model.NewSettlement("holder", nil, []model.GroupTerm{model.NewGroupTerm(group, 2)}), nil},
		{"a newer term is known", model.NewSettlement("holder", nil, []model.GroupTerm{model.NewGroupTerm(group, 4)}), []route.Confirmation{route.CommitSuperseded}},
		{"a newer term and a promotion under way", model.NewSettlement("holder", []model.GroupID{group}, []model.GroupTerm{model.NewGroupTerm(group, 4)}), []route.Confirmation{route.CommitSuperseded}},
		{"a promotion under way", model.NewSettlement("holder", []model.GroupID{group}, []model.GroupTerm{model.NewGroupTerm(group, 3)}), nil},
		{"another group is not settled", model.NewSettlement("holder", []model.GroupID{"other"}, []model.GroupTerm{model.NewGroupTerm(group, 3)}), []route.Confirmation{route.CommitConfirmed}},
		{"the group is not known", model.NewSettlement("holder", nil, nil), nil},
		{"a referral", model.NewReferral(""), nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture(1)
			fixture.commit(model.NewMark(3, 7))
			calls := fixture.calls()
			is.Equal(len(calls), 1)
			is.Equal(len(fixture.ended), 0)
			fixture.handle(event.NewSettleAnswered(calls[0].ID(), test.settlement))
			is.Equal(fixture.ended, test.want)
		})
	}
}

// A commit that was acknowledged after a question was sent is not confirmed by its answer.
func TestAnswerCoversEarlierCommitsOnly(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(1)
	fixture.commit(model.NewMark(3, 7))
	fixture.commit(model.NewMark(3, 8))
	fixture.commit(model.NewMark(3, 9))
	fixture.settle()
	is.Equal(len(fixture.ended), 1)
	fixture.settle() // one call for both
	is.Equal(len(fixture.ended), 3)
	is.Equal(len(fixture.calls()), 0)
	is.Equal(fixture.count(count.CommitsConfirmed), uint64(3))
}

func TestGroupWithoutSyncReplicas(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(0)
	is.Equal(fixture.commit(model.NewMark(3, 7)), route.ConfirmationID(0))
	is.Equal(fixture.ended, []route.Confirmation{route.CommitConfirmed})
	is.Equal(len(fixture.calls()), 0)
}

// A proxy that does not order promotions names the one that does, which is asked at once.
func TestReferral(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(1)
	fixture.commit(model.NewMark(3, 7))
	fixture.handle(event.NewSettleAnswered(fixture.calls()[0].ID(), model.NewReferral("other")))
	calls := fixture.calls()
	is.Equal(len(calls), 1)
	is.Equal(calls[0].Holder().ID(), model.ProxyID("other"))
	fixture.handle(event.NewSettleAnswered(calls[0].ID(), model.NewReferral("holder")))
	is.Equal(len(fixture.calls()), 0) // no third call at once
	is.Equal(fixture.promoter.sought, 1)
	fixture.run(150 * time.Millisecond)
	is.Equal(len(fixture.calls()), 1)
}

// Writes are refused while a commit has waited for long, and no longer.
func TestRefusal(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(1)
	id := fixture.commit(model.NewMark(3, 7))
	fixture.settle(group)
	_, refused := fixture.confirmations.Refusal(group)
	is.True(!refused)
	fixture.run(260 * time.Millisecond)
	retryAfter, refused := fixture.confirmations.Refusal(group)
	is.True(refused)
	is.True(retryAfter > 0)
	is.Equal(fixture.count(count.CommitsWithheld), uint64(1))
	fixture.confirmations.EndWait(id, "deadline")
	_, refused = fixture.confirmations.Refusal(group)
	is.True(!refused)
	is.Equal(fixture.count(count.CommitsInDoubt), uint64(1))
	fixture.actions = nil
	fixture.run(time.Second)
	is.Equal(len(fixture.calls()), 0) // nothing waits
}

// A holder that does not know the call does not stop the commits.
func TestOldHolder(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(1)
	for position := range model.Position(3) {
		fixture.commit(model.NewMark(3, position))
		for _, call := range fixture.calls() {
			fixture.handle(event.NewSettleFailed(call.ID(), true, "unimplemented"))
		}
	}
	is.Equal(fixture.ended, []route.Confirmation{route.CommitConfirmed, route.CommitConfirmed, route.CommitConfirmed})
	is.Equal(fixture.count(count.CommitsUnconfirmed), uint64(3))
}

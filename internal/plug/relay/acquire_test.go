package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/tune"
)

// fakeConns denies the first request for a connection immediately and queues the others.
// Methods that the test does not call are inherited from the embedded nil interface, here
// and in the other fakes.
type fakeConns struct {
	route.Conns
	denied        model.InstanceID
	lastWaitID    route.WaitID
	canceledWaits []route.WaitID
}

// Acquire implements route.Conns.
func (conns *fakeConns) Acquire(request route.SlotRequest, user route.ConnUser) route.WaitID {
	if conns.denied == "" {
		conns.denied = request.Instance
		user.ConnDenied(route.Denial{Code: codes.Overloaded, RetryAfter: time.Millisecond})
		return 0
	}
	conns.lastWaitID++
	return conns.lastWaitID
}

// CancelWait implements route.Conns.
func (conns *fakeConns) CancelWait(id route.WaitID) {
	conns.canceledWaits = append(conns.canceledWaits, id)
}

// ConnectDelay implements route.Conns.
func (conns *fakeConns) ConnectDelay(model.InstanceID) time.Duration { return 0 }

// Unreachable implements route.Conns.
func (*fakeConns) Unreachable(model.InstanceID) bool { return false }

type fakeAdmission struct{ route.Admission }

// ExpectedDelay implements route.Admission.
func (fakeAdmission) ExpectedDelay(model.InstanceID) time.Duration { return 0 }

// RetryAfter implements route.Admission.
func (fakeAdmission) RetryAfter(model.InstanceID) time.Duration { return time.Millisecond }

type fakeSessions struct {
	route.Sessions
	finished int
}

// RegisterRunner implements route.Sessions.
func (*fakeSessions) RegisterRunner(model.Access, route.Runner) {}

// Finish implements route.Sessions.
func (sessions *fakeSessions) Finish(*route.Job, route.ResultSpec) { sessions.finished++ }

type fakeFleet struct{ route.Fleet }

// fakeServices is the plug-in that provides the fakes.
type fakeServices struct{}

// Handle implements kern.Plugin.
func (fakeServices) Handle(event.Event) {}

// newTestRelay returns a kernel with the relay and fakes of the services that it uses.
func newTestRelay(spec tune.Spec, conns route.Conns, sessions route.Sessions) (*kern.Kernel, *Relay) {
	var relay *Relay
	provideFakes := func(context *kern.Context) kern.Plugin {
		context.ProvideService(route.SessionsService, sessions)
		context.ProvideService(route.ConnsService, conns)
		context.ProvideService(route.AdmissionService, fakeAdmission{})
		context.ProvideService(route.FleetService, fakeFleet{})
		return fakeServices{}
	}
	newRelay := func(context *kern.Context) kern.Plugin {
		relay = New(context).(*Relay)
		return relay
	}
	return kern.NewWithFactories(model.ProxyView{}, tune.New(spec), time.Time{}, 1, provideFakes, newRelay), relay
}

// A read whose first instance denies the connection immediately waits for the second one.
// The deadline must cancel that second wait; otherwise a connection that is granted later
// runs the expired read.
func TestExpireCancelsSecondWait(t *testing.T) {
	is := is.New(t)
	conns, sessions := &fakeConns{}, &fakeSessions{}
	kernel, relay := newTestRelay(tune.Default(), conns, sessions)
	instances := []model.Instance{model.NewInstance("a", "", ""), model.NewInstance("b", "", "")}
	kernel.State().SetGroups([]model.Group{model.NewGroup("g", instances)})
	kernel.State().Group("g").ObservePrimaryTail("a", model.NewMark(1, 1), time.Second)
	kind := model.NewKind(model.KindSpec{Name: "k", Access: model.AccessEither, Staleness: time.Second})
	job := route.NewJob(route.JobSpec{
		Request:    model.NewRequest(model.RequestSpec{Seq: 1}),
		Deployment: model.NewDeployment(model.DeploymentSpec{Name: "d"}),
		Kind:       kind, Group: "g", Arrived: time.Second, Deadline: 2 * time.Second,
	})
	relay.context.Timers().After(time.Second, func() { relay.Start(job) })
	kernel.Tick(time.Second)
	is.Equal(conns.lastWaitID, route.WaitID(1))
	relay.context.Timers().After(time.Second, func() { relay.Expire(job) })
	kernel.Tick(2 * time.Second)
	is.Equal(sessions.finished, 1)
	is.Equal(conns.canceledWaits, []route.WaitID{1})
}

// Guards against an instance that gets no reads after its restart because of what the process
// before did.
func TestRestartedInstance(t *testing.T) {
	is := is.New(t)
	kernel, relay := newTestRelay(tune.Default(), &fakeConns{}, &fakeSessions{})
	kernel.Tick(time.Second)
	for _, instance := range []model.InstanceID{"a", "b"} {
		relay.failedAt[instance] = time.Second
		relay.recordMissingMark(instance, model.NewMark(1, 1))
	}
	kernel.Handle(time.Second, event.NewInstanceRestarted("a"))
	is.True(!relay.recentlyFailed("a"))
	is.True(!relay.knownToLack("a", model.NewMark(1, 2)))
	is.True(relay.recentlyFailed("b"))
	is.True(relay.knownToLack("b", model.NewMark(1, 2)))
}

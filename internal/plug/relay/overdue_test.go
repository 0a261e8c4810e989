package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/tune"
)

// grantingConns grants a connection for each request and records the instances.
type grantingConns struct {
	route.Conns
	asked     []model.InstanceID
	discarded []model.ConnID
}

// Unreachable implements route.Conns.
func (*grantingConns) Unreachable(model.InstanceID) bool { return false }

// Acquire implements route.Conns.
func (conns *grantingConns) Acquire(request route.SlotRequest, user route.ConnUser) route.WaitID {
	conns.asked = append(conns.asked, request.Instance)
	user.ConnGranted(model.ConnID(len(conns.asked)))
	return 0
}

// Execute implements route.Conns.
func (*grantingConns) Execute(model.ConnID, *model.Work) {}

// Release implements route.Conns.
func (*grantingConns) Release(model.ConnID, bool) {}

// Discard implements route.Conns.
func (conns *grantingConns) Discard(conn model.ConnID) {
	conns.discarded = append(conns.discarded, conn)
}

// ConnectDelay implements route.Conns.
func (*grantingConns) ConnectDelay(model.InstanceID) time.Duration { return 0 }

// budgetAdmission has a number of retries.
type budgetAdmission struct {
	fakeAdmission
	retries int
}

// TakeRetry implements route.Admission.
func (admission *budgetAdmission) TakeRetry(model.GroupID) bool {
	admission.retries--
	return admission.retries >= 0
}

// A read that its instance does not answer in time, or whose answer is lost, is asked on another
// instance while the retry budget lasts. A write is never sent again.
func TestReadAskedElsewhere(t *testing.T) {
	overdue := func(task *task) { task.ExecuteOverdue() }
	lost := func(task *task) {
		task.ExecuteFailed(event.NewExecuteFailed(1, task.conn, model.FailureLost, false, model.Mark{}, nil))
	}
	tests := []struct {
		name      string
		writes    bool
		retries   int
		fail      func(task *task)
		asked     int
		discarded int
		finished  int
	}{
		{"overdue read", false, 1, overdue, 2, 1, 0},
		{"overdue read without a budget waits on", false, 0, overdue, 1, 0, 0},
		{"overdue write", true, 1, overdue, 1, 0, 0},
		{"lost read", false, 1, lost, 2, 0, 0},
		{"lost read without a budget", false, 0, lost, 1, 0, 1},
		{"lost write", true, 1, lost, 1, 0, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			conns, sessions := &grantingConns{}, &fakeSessions{}
			kernel, relay := newTestRelay(tune.Default(), conns, sessions)
			relay.admission = &budgetAdmission{retries: test.retries}
			instances := []model.Instance{model.NewInstance("a", "", ""), model.NewInstance("b", "", "")}
			kernel.State().SetGroups([]model.Group{model.NewGroup("g", instances)})
			kernel.State().Group("g").ObservePrimaryTail("a", model.NewMark(1, 1), time.Second)
			job := route.NewJob(route.JobSpec{
				Request:    model.NewRequest(model.RequestSpec{Seq: 1, Op: model.OpStatement, Writes: test.writes}),
				Deployment: model.NewDeployment(model.DeploymentSpec{Name: "d"}),
				Kind:       model.NewKind(model.KindSpec{Name: "k", Access: model.AccessEither, Staleness: time.Second}),
				Group:      "g", Arrived: time.Second, Deadline: 2 * time.Second,
			})
			run(kernel, relay, func() { relay.Start(job) })
			started := relay.runningBySeq[1]
			run(kernel, relay, func() { test.fail(started) })
			is.Equal(len(conns.asked), test.asked)
			is.Equal(len(conns.discarded), test.discarded)
			is.Equal(sessions.finished, test.finished)
			if test.asked == 2 {
				is.True(conns.asked[0] != conns.asked[1])
			}
		})
	}
}

// run runs a call to the plug-in within the kernel, at 1 s.
func run(kernel *kern.Kernel, relay *Relay, call func()) {
	relay.context.Timers().After(max(0, time.Second-relay.context.Now()), call)
	kernel.Tick(time.Second)
}

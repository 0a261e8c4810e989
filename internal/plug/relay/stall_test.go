package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/tune"
)

// A shutdown ends statements early, which says nothing about their primary.
func TestShutdownCountsNoStallOfPrimary(t *testing.T) {
	const deadline = 2 * time.Second
	expire := func(task *task) { task.expire() }
	lose := func(task *task) {
		task.ExecuteFailed(event.NewExecuteFailed(1, task.conn, model.FailureLost, false, model.Mark{}, nil))
	}
	tests := []struct {
		name     string
		draining bool
		end      func(task *task)
		stalls   int
	}{
		{name: "deadline", end: expire, stalls: 1},
		{name: "answer lost at the deadline", end: lose, stalls: 1},
		{name: "deadline in a shutdown", draining: true, end: expire},
		{name: "answer lost at the deadline in a shutdown", draining: true, end: lose},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sessions := &keySessions{}
			kernel, relay := newTestRelay(tune.Default(), &grantingConns{}, sessions)
			kernel.State().SetGroups([]model.Group{model.NewGroup("g", []model.Instance{model.NewInstance("a", "", "")})})
			kernel.State().Group("g").ObservePrimaryTail("a", model.NewMark(1, 1), time.Second)
			job := route.NewJob(route.JobSpec{
				Request:    model.NewRequest(model.RequestSpec{Seq: 1, Op: model.OpStatement, Writes: true}),
				Deployment: model.NewDeployment(model.DeploymentSpec{Name: "d"}),
				Kind:       model.NewKind(model.KindSpec{Name: "k", Access: model.AccessEither}),
				Group:      "g", Arrived: time.Second, Deadline: deadline,
			})
			run(kernel, relay, func() { relay.Start(job) })
			if test.draining {
				kernel.State().SetDraining()
			}
			relay.context.Timers().After(deadline-relay.context.Now(), func() { test.end(relay.runningBySeq[1]) })
			kernel.Tick(deadline)
			is.Equal(len(sessions.results), 1)
			is.Equal(sessions.results[0].Outcome, model.OutcomeUnknown)
			is.Equal(relay.monitor("g").stalls, test.stalls)
		})
	}
}

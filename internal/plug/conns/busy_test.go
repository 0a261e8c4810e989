package conns

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

// job returns a single statement or the first statement of a transaction, with a target
// latency of 300 ms.
func (fixture *fixture) job(inTx bool) *route.Job {
	kind := model.NewKind(model.KindSpec{Name: "k", Access: model.AccessEither, TargetLatency: 300 * time.Millisecond})
	spec := route.JobSpec{
		Request:    model.NewRequest(model.RequestSpec{}),
		Deployment: model.NewDeployment(model.DeploymentSpec{Name: "d"}),
		Kind:       kind,
		Group:      "katalog-1",
		Arrived:    fixture.now,
		Deadline:   fixture.now + 4*time.Second,
	}
	if inTx {
		spec.Tx = route.NewTx(route.TxSpec{Group: spec.Group, Access: model.AccessEither})
	}
	return route.NewJob(spec)
}

func (fixture *fixture) acquireFor(inTx bool) *fakeUser {
	user := &fakeUser{}
	fixture.run(func() { fixture.pools.Acquire(route.SlotRequest{Instance: instance, Job: fixture.job(inTx)}, user) })
	fixture.completeOpenings()
	return user
}

// Transactions hold at most two thirds of the connections. Requests that wait for the
// remaining connections are denied once they miss their target latency.
func TestTransactionsLeaveConnections(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(6) // a share of 5 connections
	fixture.tick(maintainInterval)
	fixture.completeOpenings()
	granted, denied := 0, 0
	for range 8 {
		switch user := fixture.acquireFor(true); {
		case user.conn != 0:
			granted++
			fixture.run(func() { fixture.pools.Park(user.conn) })
		case user.code == codes.Overloaded:
			denied++
		}
	}
	is.Equal(granted, 3)
	is.Equal(denied, 5)
	is.True(fixture.acquireFor(false).conn != 0)
	is.True(fixture.acquireFor(false).conn != 0)
	waiting := fixture.acquireFor(false)
	is.Equal(waiting.conn, model.ConnID(0))
	fixture.tick(maintainInterval)
	is.Equal(waiting.code, codes.OK)
	for range 6 {
		fixture.tick(maintainInterval)
	}
	is.Equal(waiting.code, codes.Overloaded)
}

package conns

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

// job returns a single statement or the first one of a transaction, which wants
// its answer within 300 ms.
func (bench *fixture) job(inTx bool) *route.Job {
	kind := model.NewKind(model.KindSpec{Name: "k", Access: model.AccessEither, TargetLatency: 300 * time.Millisecond})
	spec := route.JobSpec{
		Request:    model.NewRequest(model.RequestSpec{}),
		Deployment: model.NewDeployment(model.DeploymentSpec{Name: "d"}),
		Kind:       kind,
		Group:      "katalog-1",
		Arrived:    bench.now,
		Deadline:   bench.now + 4*time.Second,
	}
	if inTx {
		spec.Tx = route.NewTx(route.TxSpec{Group: spec.Group, Access: model.AccessEither})
	}
	return route.NewJob(spec)
}

func (bench *fixture) acquireFor(inTx bool) *fakeUser {
	asked := &fakeUser{}
	bench.run(func() { bench.pools.Acquire(route.SlotRequest{Instance: instance, Job: bench.job(inTx)}, asked) })
	bench.completeOpenings()
	return asked
}

// Transactions own at most two thirds of the connections, however many come, and
// what waits for the others is refused once it is late.
func TestTransactionsLeaveConnections(t *testing.T) {
	is := is.New(t)
	bench := newFixture(6) // a share of 5 connections
	bench.tick(maintainInterval)
	bench.completeOpenings()
	owned, refused := 0, 0
	for range 8 {
		switch asked := bench.acquireFor(true); {
		case asked.conn != 0:
			owned++
			bench.run(func() { bench.pools.Park(asked.conn) })
		case asked.code == codes.Overloaded:
			refused++
		}
	}
	is.Equal(owned, 3)
	is.Equal(refused, 5)
	is.True(bench.acquireFor(false).conn != 0)
	is.True(bench.acquireFor(false).conn != 0)
	waiting := bench.acquireFor(false)
	is.Equal(waiting.conn, model.ConnID(0))
	bench.tick(maintainInterval)
	is.Equal(waiting.code, codes.OK)
	for range 6 {
		bench.tick(maintainInterval)
	}
	is.Equal(waiting.code, codes.Overloaded)
}

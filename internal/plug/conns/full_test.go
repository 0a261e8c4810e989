package conns

import (
	"testing"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// A request that waits at a full instance is denied once the instance is no longer listed, since
// no connection is opened any more. It kept its slot until its deadline.
func TestWaiterOfUnlistedInstance(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(1)
	user := fixture.acquire()
	for _, conn := range fixture.takeOpenings() {
		fixture.handle(event.NewConnFailed(conn, model.ConnFailureFull))
	}
	is.Equal(user.code, codes.OK) // the request waits
	fixture.kernel.State().SetGroups(nil)
	fixture.tick(2 * maintainInterval)
	is.Equal(user.code, codes.NoReplica)
	is.Equal(fixture.pools.admission.Load(instance), 0)
}

// 36 proxies share 58 connections, and each may open four and hold two for transactions, 72 in
// all. While the instance is full, each holds no more than its share.
func TestTransactionsAtFullInstance(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(36)
	listed := model.NewInstance(instance, "127.0.0.1:1", "").WithCapacity(100, 58)
	fixture.kernel.State().SetGroups([]model.Group{model.NewGroup("katalog-1", []model.Instance{listed})})
	pool := fixture.pools.pool(instance)
	is.Equal(pool.maxTxConns(), 2)
	fixture.acquire()
	opens := fixture.takeOpenings()
	fixture.handle(event.NewConnFailed(opens[0], model.ConnFailureFull))
	is.Equal(pool.maxTxConns(), 1)
	fixture.tick(2 * initialBackoff)
	fixture.completeOpenings()
	is.Equal(pool.maxTxConns(), 2)
}

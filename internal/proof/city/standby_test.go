package city

import (
	"cmp"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/rank"
)

// promoter returns the name of the proxy that holds the lease according to the store.
func (mesh *meshSimulation) promoter() string {
	var row struct {
		Holder string `json:"holder"`
	}
	if err := json.Unmarshal(mesh.store.rows["almondway/promoter"].value, &row); err != nil {
		return ""
	}
	return row.Holder
}

// byLeaseRank returns the proxies in the order in which they follow the lease.
func (mesh *meshSimulation) byLeaseRank() []*proxy {
	views := mesh.proxies[0].kernel.State().Proxies()
	ordered := slices.Clone(mesh.proxies)
	slices.SortFunc(ordered, func(left, right *proxy) int {
		return cmp.Compare(rank.Of("promoter", model.ProxyID(left.name), views), rank.Of("promoter", model.ProxyID(right.name), views))
	})
	return ordered
}

// The promoter and all standby proxies live, but cannot reach the store. Another proxy takes the
// lease within 15 s after a group has lost its primary, though it does not follow the lease at
// other times.
func TestLeaseTakenBehindStandbys(t *testing.T) {
	is := is.New(t)
	mesh := newMeshSimulation(t, 23, 25, 21, 23)
	standbys := mesh.byLeaseRank()[:6]
	holder := mesh.proxy(mesh.promoter())
	is.True(holder != nil)
	mesh.cutStore(append(standbys, holder), time.Minute)
	mesh.run(10 * time.Second)
	is.Equal(mesh.promoter(), holder.name) // no group needs a promoter
	mesh.store.putInstance("i-a", listedInstance{Primary: true, Leaving: true, Sequence: 2})
	mesh.run(15 * time.Second)
	is.True(mesh.promoter() != holder.name)
	is.True(!slices.Contains(standbys, mesh.proxy(mesh.promoter())))
}

// The promoter is lost. A standby proxy takes the lease 5 s after its last renewal at the latest,
// while no group needs a promoter.
func TestLeaseTakenByStandby(t *testing.T) {
	is := is.New(t)
	mesh := newMeshSimulation(t, 23, 25, 21, 23)
	holder := mesh.proxy(mesh.promoter())
	mesh.lose(holder)
	mesh.run(6 * time.Second)
	is.True(mesh.promoter() != holder.name)
	is.True(slices.Index(mesh.byLeaseRank(), mesh.proxy(mesh.promoter())) <= 5)
}

package failov_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

func TestPrimaryLossCausesOnePromotion(t *testing.T) {
	tests := []struct {
		name        string
		failPrimary func(cluster *cluster)
		limit       time.Duration
		primaries   []model.InstanceID // b or c if empty
	}{
		{
			name:        "killed",
			failPrimary: func(cluster *cluster) { cluster.instance("a").kill() },
			limit:       300 * time.Millisecond,
		},
		{
			name:        "disconnected from all nodes",
			failPrimary: func(cluster *cluster) { cluster.setIsolated(true) },
			limit:       750 * time.Millisecond,
		},
		{
			name: "disconnected from its group only",
			failPrimary: func(cluster *cluster) {
				cluster.setPartitioned("a", "b", true)
				cluster.setPartitioned("a", "c", true)
			},
			limit: 750 * time.Millisecond,
		},
		{
			name:        "frozen",
			failPrimary: func(cluster *cluster) { cluster.instance("a").frozen = true },
			limit:       750 * time.Millisecond,
		},
		{
			name: "killed, with a replica far behind",
			failPrimary: func(cluster *cluster) {
				cluster.instance("b").copyPaused = true
				cluster.instance("a").write()
				cluster.run(20 * time.Millisecond)
				cluster.instance("a").kill()
			},
			limit:     300 * time.Millisecond,
			primaries: []model.InstanceID{"c"},
		},
		{
			name:        "restarted with its log",
			failPrimary: func(cluster *cluster) { cluster.instance("a").restart(false) },
			limit:       300 * time.Millisecond,
			primaries:   []model.InstanceID{"a", "b", "c"},
		},
		{
			name: "killed together with the first proxy that sends an order",
			failPrimary: func(cluster *cluster) {
				cluster.instance("a").kill()
				for _, proxy := range cluster.proxies {
					proxy.beforeOrder = func(event.SendOrder) {
						for _, other := range cluster.proxies {
							other.beforeOrder = nil
						}
						proxy.dead = true
					}
				}
			},
			limit: 400 * time.Millisecond,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			cluster := newCluster(6)
			test.failPrimary(cluster)
			promoted := cluster.primaryIsOneOf("b", "c")
			if len(test.primaries) > 0 {
				promoted = cluster.primaryIsOneOf(test.primaries...)
			}
			cluster.runUntil(test.limit, promoted)
			is.True(promoted())
			cluster.run(2 * time.Second)
			is.True(promoted())
			is.Equal(cluster.countPromoters(), 1)
			is.Equal(len(cluster.primariesByTerm), 1)
			for _, primaries := range cluster.primariesByTerm {
				is.Equal(len(primaries), 1)
			}
		})
	}
}

// TestNoPromotionWithoutEvidence guards against false promotions. Pauses below the silence limit
// and faults that leave a loss of the primary unconfirmed must cause neither a fence nor a
// promotion, and a proxy without a promoter number must not promote.
func TestNoPromotionWithoutEvidence(t *testing.T) {
	tests := []struct {
		name  string
		fault func(cluster *cluster)
	}{
		{
			name: "a pause of the primary of 500 ms",
			fault: func(cluster *cluster) {
				for range 5 {
					cluster.instance("a").frozen = true
					cluster.run(500 * time.Millisecond)
					cluster.instance("a").thaw()
					cluster.run(317 * time.Millisecond)
				}
			},
		},
		{
			name: "a pause of 530 ms, while the proxies are disconnected for longer",
			fault: func(cluster *cluster) {
				for _, proxy := range cluster.proxies {
					cluster.setPartitioned("a", string(proxy.id), true)
				}
				cluster.run(50 * time.Millisecond)
				cluster.instance("a").frozen = true
				cluster.run(530 * time.Millisecond)
				cluster.instance("a").thaw()
				for _, proxy := range cluster.proxies {
					cluster.setPartitioned("a", string(proxy.id), false)
				}
			},
		},
		{
			name: "the proxies are disconnected from the primary, a replica is not",
			fault: func(cluster *cluster) {
				for _, proxy := range cluster.proxies {
					cluster.setPartitioned("a", string(proxy.id), true)
				}
				cluster.setPartitioned("a", "b", true)
			},
		},
		{
			name: "no replica can be reached",
			fault: func(cluster *cluster) {
				cluster.setIsolated(true)
				cluster.instance("b").kill()
				cluster.instance("c").kill()
			},
		},
		{
			name: "a proxy is disconnected from all instances",
			fault: func(cluster *cluster) {
				for _, instance := range cluster.instances {
					cluster.setPartitioned(string(cluster.proxies[0].id), string(instance.self.ID()), true)
				}
			},
		},
		{
			name: "the proxies were paused",
			fault: func(cluster *cluster) {
				for _, proxy := range cluster.proxies {
					proxy.paused = true
				}
				cluster.run(3 * time.Second)
				for _, proxy := range cluster.proxies {
					proxy.resume()
				}
			},
		},
		{
			name: "the primary pauses while a proxy starts",
			fault: func(cluster *cluster) {
				cluster.instance("a").frozen = true
				cluster.startProxy()
				cluster.run(500 * time.Millisecond)
				cluster.instance("a").thaw()
			},
		},
		{
			name: "the replicas are killed one after the other",
			fault: func(cluster *cluster) {
				cluster.instance("b").kill()
				cluster.run(time.Second)
				cluster.instance("b").restart(false)
				cluster.run(time.Second)
				cluster.instance("c").kill()
			},
		},
		{
			name: "the proxies have no promoter numbers",
			fault: func(cluster *cluster) {
				for _, proxy := range cluster.proxies {
					proxy.kernel.State().SetPromoter(0)
				}
				cluster.instance("a").kill()
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			cluster := newCluster(6)
			test.fault(cluster)
			cluster.run(3 * time.Second)
			promotes, fences := cluster.countOrders()
			is.Equal(promotes, 0)
			is.Equal(fences, 0)
			is.Equal(cluster.instance("b").fence, firstTerm)
		})
	}
}

// TestFormerPrimaryFollowsNewPrimary checks that a former primary that returns discards its
// unreplicated entries and replicates from the new primary.
func TestFormerPrimaryFollowsNewPrimary(t *testing.T) {
	tests := []struct {
		name        string
		failPrimary func(cluster *cluster, old *instance)
		restore     func(cluster *cluster, old *instance)
	}{
		{
			name:        "restarted",
			failPrimary: func(_ *cluster, old *instance) { old.kill() },
			restore:     func(_ *cluster, old *instance) { old.restart(false) },
		},
		{
			name: "disconnected with unreplicated entries",
			failPrimary: func(cluster *cluster, old *instance) {
				cluster.setIsolated(true)
				old.write()
				old.write()
			},
			restore: func(cluster *cluster, _ *instance) { cluster.setIsolated(false) },
		},
		{
			name:        "frozen",
			failPrimary: func(_ *cluster, old *instance) { old.frozen = true },
			restore:     func(_ *cluster, old *instance) { old.thaw() },
		},
		{
			name:        "restarted without its log",
			failPrimary: func(_ *cluster, old *instance) { old.kill() },
			restore:     func(_ *cluster, old *instance) { old.restart(true) },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			cluster := newCluster(3)
			old := cluster.instance("a")
			test.failPrimary(cluster, old)
			cluster.run(2 * time.Second)
			primary := cluster.primary()
			is.True(primary != nil)
			test.restore(cluster, old)
			cluster.run(2 * time.Second)
			is.Equal(cluster.primary(), primary)
			is.Equal(old.upstream, primary.self.ID())
			is.Equal(old.log, primary.log)
			is.Equal(len(cluster.primariesByTerm), 1)
		})
	}
}

func TestConsecutivePrimaryLosses(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(6)
	cluster.instance("a").kill()
	cluster.run(time.Second)
	second := cluster.primary()
	is.True(second != nil)
	cluster.instance("a").restart(false)
	second.write()
	cluster.run(time.Second)
	second.kill()
	cluster.run(time.Second)
	third := cluster.primary()
	is.True(third != nil)
	is.True(third != second)
	is.Equal(len(third.log), 4) // the first entries of three terms and the write
	is.Equal(len(cluster.primariesByTerm), 2)
}

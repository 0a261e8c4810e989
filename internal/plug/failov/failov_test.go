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
		name   string
		lose   func(rig *cluster)
		limit  time.Duration
		leader []model.InstanceID // any of b and c if empty
	}{
		{
			name:  "killed",
			lose:  func(rig *cluster) { rig.instance("a").kill() },
			limit: 300 * time.Millisecond,
		},
		{
			name:  "cut off from all",
			lose:  func(rig *cluster) { rig.setIsolated(true) },
			limit: 750 * time.Millisecond,
		},
		{
			name: "cut off from its group only",
			lose: func(rig *cluster) {
				rig.setPartitioned("a", "b", true)
				rig.setPartitioned("a", "c", true)
			},
			limit: 750 * time.Millisecond,
		},
		{
			name:  "frozen",
			lose:  func(rig *cluster) { rig.instance("a").frozen = true },
			limit: 750 * time.Millisecond,
		},
		{
			name: "killed, with a replica far behind",
			lose: func(rig *cluster) {
				rig.instance("b").copyPaused = true
				rig.instance("a").write()
				rig.run(20 * time.Millisecond)
				rig.instance("a").kill()
			},
			limit:  300 * time.Millisecond,
			leader: []model.InstanceID{"c"},
		},
		{
			name:   "restarted with its log",
			lose:   func(rig *cluster) { rig.instance("a").restart(false) },
			limit:  300 * time.Millisecond,
			leader: []model.InstanceID{"a", "b", "c"},
		},
		{
			name: "killed together with the proxy that comes first",
			lose: func(rig *cluster) {
				rig.instance("a").kill()
				for _, proxy := range rig.proxies {
					proxy.beforeOrder = func(event.SendOrder) {
						for _, other := range rig.proxies {
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
			rig := newCluster(6)
			test.lose(rig)
			wanted := rig.primaryIsOneOf("b", "c")
			if len(test.leader) > 0 {
				wanted = rig.primaryIsOneOf(test.leader...)
			}
			rig.runUntil(test.limit, wanted)
			is.True(wanted())
			rig.run(2 * time.Second)
			is.True(wanted())
			is.Equal(rig.countPromoters(), 1)
			is.Equal(len(rig.primariesByTerm), 1)
			for _, leaders := range rig.primariesByTerm {
				is.Equal(len(leaders), 1)
			}
		})
	}
}

func TestNoPromotionWithoutEvidence(t *testing.T) {
	tests := []struct {
		name string
		harm func(rig *cluster)
	}{
		{
			name: "a pause of the primary of 500 ms",
			harm: func(rig *cluster) {
				for range 5 {
					rig.instance("a").frozen = true
					rig.run(500 * time.Millisecond)
					rig.instance("a").thaw()
					rig.run(317 * time.Millisecond)
				}
			},
		},
		{
			name: "a pause of 530 ms, while the proxies hear nothing for longer",
			harm: func(rig *cluster) {
				for _, proxy := range rig.proxies {
					rig.setPartitioned("a", string(proxy.id), true)
				}
				rig.run(50 * time.Millisecond)
				rig.instance("a").frozen = true
				rig.run(530 * time.Millisecond)
				rig.instance("a").thaw()
				for _, proxy := range rig.proxies {
					rig.setPartitioned("a", string(proxy.id), false)
				}
			},
		},
		{
			name: "the proxies do not hear the primary, a replica does",
			harm: func(rig *cluster) {
				for _, proxy := range rig.proxies {
					rig.setPartitioned("a", string(proxy.id), true)
				}
				rig.setPartitioned("a", "b", true)
			},
		},
		{
			name: "no replica can be asked",
			harm: func(rig *cluster) {
				rig.setIsolated(true)
				rig.instance("b").kill()
				rig.instance("c").kill()
			},
		},
		{
			name: "a proxy is cut off from all",
			harm: func(rig *cluster) {
				for _, instance := range rig.instances {
					rig.setPartitioned(string(rig.proxies[0].id), string(instance.self.ID()), true)
				}
			},
		},
		{
			name: "a proxy was paused",
			harm: func(rig *cluster) {
				for _, proxy := range rig.proxies {
					proxy.paused = true
				}
				rig.run(3 * time.Second)
				for _, proxy := range rig.proxies {
					proxy.resume()
				}
			},
		},
		{
			name: "the primary pauses while a proxy starts",
			harm: func(rig *cluster) {
				rig.instance("a").frozen = true
				rig.startProxy()
				rig.run(500 * time.Millisecond)
				rig.instance("a").thaw()
			},
		},
		{
			name: "the replicas are killed",
			harm: func(rig *cluster) {
				rig.instance("b").kill()
				rig.run(time.Second)
				rig.instance("b").restart(false)
				rig.run(time.Second)
				rig.instance("c").kill()
			},
		},
		{
			name: "a proxy has no promoter number",
			harm: func(rig *cluster) {
				for _, proxy := range rig.proxies {
					proxy.kernel.State().SetPromoter(0)
				}
				rig.instance("a").kill()
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			rig := newCluster(6)
			test.harm(rig)
			rig.run(3 * time.Second)
			promotes, fences := rig.countOrders()
			is.Equal(promotes, 0)
			is.Equal(fences, 0)
			is.Equal(rig.instance("b").fence, firstTerm)
		})
	}
}

func TestFormerPrimaryFollowsNewPrimary(t *testing.T) {
	tests := []struct {
		name string
		lose func(rig *cluster, old *instance)
		back func(rig *cluster, old *instance)
	}{
		{
			name: "restarted",
			lose: func(_ *cluster, old *instance) { old.kill() },
			back: func(_ *cluster, old *instance) { old.restart(false) },
		},
		{
			name: "cut off with a tail of its own",
			lose: func(rig *cluster, old *instance) {
				rig.setIsolated(true)
				old.write()
				old.write()
			},
			back: func(rig *cluster, _ *instance) { rig.setIsolated(false) },
		},
		{
			name: "frozen",
			lose: func(_ *cluster, old *instance) { old.frozen = true },
			back: func(_ *cluster, old *instance) { old.thaw() },
		},
		{
			name: "restarted empty",
			lose: func(_ *cluster, old *instance) { old.kill() },
			back: func(_ *cluster, old *instance) { old.restart(true) },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			rig := newCluster(3)
			old := rig.instance("a")
			test.lose(rig, old)
			rig.run(2 * time.Second)
			leader := rig.primary()
			is.True(leader != nil)
			test.back(rig, old)
			rig.run(2 * time.Second)
			is.Equal(rig.primary(), leader)
			is.Equal(old.upstream, leader.self.ID())
			is.Equal(old.log, leader.log)
			is.Equal(len(rig.primariesByTerm), 1)
		})
	}
}

func TestConsecutivePrimaryLosses(t *testing.T) {
	is := is.New(t)
	rig := newCluster(6)
	rig.instance("a").kill()
	rig.run(time.Second)
	second := rig.primary()
	is.True(second != nil)
	rig.instance("a").restart(false)
	second.write()
	rig.run(time.Second)
	second.kill()
	rig.run(time.Second)
	third := rig.primary()
	is.True(third != nil)
	is.True(third != second)
	is.Equal(len(third.log), 4) // two first entries, the write, and the third term's first entry
	is.Equal(len(rig.primariesByTerm), 2)
}

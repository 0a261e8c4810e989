package failov_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

func TestLossIsFollowedByOnePromotion(t *testing.T) {
	tests := []struct {
		name   string
		lose   func(rig *rig)
		limit  time.Duration
		leader []model.InstanceID // any of b and c if empty
	}{
		{
			name:  "killed",
			lose:  func(rig *rig) { rig.instance("a").kill() },
			limit: 300 * time.Millisecond,
		},
		{
			name:  "cut off from all",
			lose:  func(rig *rig) { rig.isolate(true) },
			limit: 750 * time.Millisecond,
		},
		{
			name: "cut off from its group only",
			lose: func(rig *rig) {
				rig.cut("a", "b", true)
				rig.cut("a", "c", true)
			},
			limit: 750 * time.Millisecond,
		},
		{
			name:  "frozen",
			lose:  func(rig *rig) { rig.instance("a").frozen = true },
			limit: 750 * time.Millisecond,
		},
		{
			name: "killed, with a replica far behind",
			lose: func(rig *rig) {
				rig.instance("b").lags = true
				rig.instance("a").write()
				rig.run(20 * time.Millisecond)
				rig.instance("a").kill()
			},
			limit:  300 * time.Millisecond,
			leader: []model.InstanceID{"c"},
		},
		{
			name:   "restarted with its log",
			lose:   func(rig *rig) { rig.instance("a").restart(false) },
			limit:  300 * time.Millisecond,
			leader: []model.InstanceID{"a", "b", "c"},
		},
		{
			name: "killed together with the proxy that comes first",
			lose: func(rig *rig) {
				rig.instance("a").kill()
				for _, proxy := range rig.proxies {
					proxy.onOrder = func(event.SendOrder) {
						for _, other := range rig.proxies {
							other.onOrder = nil
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
			rig := newRig(6)
			test.lose(rig)
			wanted := rig.leads("b", "c")
			if len(test.leader) > 0 {
				wanted = rig.leads(test.leader...)
			}
			rig.runUntil(test.limit, wanted)
			is.True(wanted())
			rig.run(2 * time.Second)
			is.True(wanted())
			is.Equal(rig.promoters(), 1)
			is.Equal(len(rig.led), 1)
			for _, leaders := range rig.led {
				is.Equal(len(leaders), 1)
			}
		})
	}
}

func TestEvidenceAgainstAPromotion(t *testing.T) {
	tests := []struct {
		name string
		harm func(rig *rig)
	}{
		{
			name: "a pause of the primary of 500 ms",
			harm: func(rig *rig) {
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
			harm: func(rig *rig) {
				for _, proxy := range rig.proxies {
					rig.cut("a", string(proxy.id), true)
				}
				rig.run(50 * time.Millisecond)
				rig.instance("a").frozen = true
				rig.run(530 * time.Millisecond)
				rig.instance("a").thaw()
				for _, proxy := range rig.proxies {
					rig.cut("a", string(proxy.id), false)
				}
			},
		},
		{
			name: "the proxies do not hear the primary, a replica does",
			harm: func(rig *rig) {
				for _, proxy := range rig.proxies {
					rig.cut("a", string(proxy.id), true)
				}
				rig.cut("a", "b", true)
			},
		},
		{
			name: "no replica can be asked",
			harm: func(rig *rig) {
				rig.isolate(true)
				rig.instance("b").kill()
				rig.instance("c").kill()
			},
		},
		{
			name: "a proxy is cut off from all",
			harm: func(rig *rig) {
				for _, instance := range rig.instances {
					rig.cut(string(rig.proxies[0].id), string(instance.self.ID()), true)
				}
			},
		},
		{
			name: "a proxy was paused",
			harm: func(rig *rig) {
				for _, proxy := range rig.proxies {
					proxy.paused = true
				}
				rig.run(3 * time.Second)
				for _, proxy := range rig.proxies {
					proxy.wake()
				}
			},
		},
		{
			name: "the primary pauses while a proxy starts",
			harm: func(rig *rig) {
				rig.instance("a").frozen = true
				rig.start()
				rig.run(500 * time.Millisecond)
				rig.instance("a").thaw()
			},
		},
		{
			name: "the replicas are killed",
			harm: func(rig *rig) {
				rig.instance("b").kill()
				rig.run(time.Second)
				rig.instance("b").restart(false)
				rig.run(time.Second)
				rig.instance("c").kill()
			},
		},
		{
			name: "a proxy has no promoter number",
			harm: func(rig *rig) {
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
			rig := newRig(6)
			test.harm(rig)
			rig.run(3 * time.Second)
			promotes, fences := rig.sent()
			is.Equal(promotes, 0)
			is.Equal(fences, 0)
			is.Equal(rig.instance("b").fence, firstTerm)
		})
	}
}

func TestOldPrimaryReturnsAndFollows(t *testing.T) {
	tests := []struct {
		name string
		lose func(rig *rig, old *instance)
		back func(rig *rig, old *instance)
	}{
		{
			name: "restarted",
			lose: func(_ *rig, old *instance) { old.kill() },
			back: func(_ *rig, old *instance) { old.restart(false) },
		},
		{
			name: "cut off with a tail of its own",
			lose: func(rig *rig, old *instance) {
				rig.isolate(true)
				old.write()
				old.write()
			},
			back: func(rig *rig, _ *instance) { rig.isolate(false) },
		},
		{
			name: "frozen",
			lose: func(_ *rig, old *instance) { old.frozen = true },
			back: func(_ *rig, old *instance) { old.thaw() },
		},
		{
			name: "restarted empty",
			lose: func(_ *rig, old *instance) { old.kill() },
			back: func(_ *rig, old *instance) { old.restart(true) },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			rig := newRig(3)
			old := rig.instance("a")
			test.lose(rig, old)
			rig.run(2 * time.Second)
			leader := rig.leader()
			is.True(leader != nil)
			test.back(rig, old)
			rig.run(2 * time.Second)
			is.Equal(rig.leader(), leader)
			is.Equal(old.upstream, leader.self.ID())
			is.Equal(old.log, leader.log)
			is.Equal(len(rig.led), 1)
		})
	}
}

func TestTwoLossesInARow(t *testing.T) {
	is := is.New(t)
	rig := newRig(6)
	rig.instance("a").kill()
	rig.run(time.Second)
	second := rig.leader()
	is.True(second != nil)
	rig.instance("a").restart(false)
	second.write()
	rig.run(time.Second)
	second.kill()
	rig.run(time.Second)
	third := rig.leader()
	is.True(third != nil)
	is.True(third != second)
	is.Equal(len(third.log), 4) // two first entries, the write, and the third term's first entry
	is.Equal(len(rig.led), 2)
}

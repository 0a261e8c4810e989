package failov_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

func TestSwitchover(t *testing.T) {
	tests := []struct {
		name   string
		target model.InstanceID
		group  model.GroupID
		before func(rig *cluster)
		code   codes.Code
		leader model.InstanceID
	}{
		{name: "to a named replica", group: group, target: "c", code: codes.OK, leader: "c"},
		{name: "to the primary itself", group: group, target: "a", code: codes.OK, leader: "a"},
		{
			name:  "to the most advanced replica",
			group: group,
			before: func(rig *cluster) {
				rig.instance("b").copyPaused = true
				rig.instance("a").write()
				rig.run(50 * time.Millisecond)
			},
			code:   codes.OK,
			leader: "c",
		},
		{
			name:   "to a replica that does not catch up",
			group:  group,
			target: "b",
			before: func(rig *cluster) {
				rig.instance("b").copyPaused = true
				rig.instance("a").write()
				rig.run(50 * time.Millisecond)
			},
			code:   codes.SwitchoverFailed,
			leader: "a",
		},
		{
			name:   "to a replica that is gone",
			group:  group,
			target: "b",
			before: func(rig *cluster) { rig.instance("b").kill(); rig.run(300 * time.Millisecond) },
			code:   codes.SwitchoverFailed,
			leader: "a",
		},
		{
			name:   "to a replica that is leaving",
			group:  group,
			target: "b",
			before: func(rig *cluster) { rig.instance("b").leaving = true; rig.run(100 * time.Millisecond) },
			code:   codes.SwitchoverFailed,
			leader: "a",
		},
		{name: "to an unknown instance", group: group, target: "z", code: codes.SwitchoverFailed, leader: "a"},
		{name: "of an unknown group", group: "none", code: codes.UnknownGroup, leader: "a"},
		{
			name:   "by a proxy without a promoter number",
			group:  group,
			target: "b",
			before: func(rig *cluster) { rig.proxies[0].kernel.State().SetPromoter(0) },
			code:   codes.SwitchoverFailed,
			leader: "a",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			rig := newCluster(3)
			if test.before != nil {
				test.before(rig)
			}
			asker := rig.proxies[0]
			asker.post(event.NewCommandReceived(1, event.NewSwitchover(test.group, test.target)))
			rig.run(6 * time.Second)
			switch result := asker.results[1].(type) {
			case event.PlacementChanged:
				is.Equal(test.code, codes.OK)
				is.Equal(result.Instance(), test.leader)
			case event.CommandFailed:
				is.Equal(result.Code(), test.code)
			default:
				is.Fail() // no answer
			}
			is.Equal(rig.primary().self.ID(), test.leader)
			is.True(!asker.kernel.State().Group(group).WritesHeld(rig.now))
		})
	}
}

func TestPrimaryLostDuringASwitchover(t *testing.T) {
	is := is.New(t)
	rig := newCluster(3)
	rig.instance("b").copyPaused = true
	rig.instance("a").write()
	rig.run(100 * time.Millisecond)
	asker := rig.proxies[0]
	asker.post(event.NewCommandReceived(1, event.NewSwitchover(group, "b")))
	rig.run(20 * time.Millisecond)
	rig.instance("a").kill()
	rig.run(6 * time.Second)
	refused, ok := asker.results[1].(event.CommandFailed)
	is.True(ok)
	is.Equal(refused.Code(), codes.SwitchoverFailed)
	is.Equal(rig.primary().self.ID(), model.InstanceID("c"))
	is.Equal(len(rig.primariesByTerm), 1)
	is.True(!asker.kernel.State().Group(group).WritesHeld(rig.now))
}

// The primary takes writes until the proxy holds them back; none is lost.
func TestSwitchoverLosesNoWrite(t *testing.T) {
	is := is.New(t)
	rig := newCluster(3)
	old := rig.instance("a")
	asker := rig.proxies[0]
	view := asker.kernel.State().Group(group)
	asker.post(event.NewCommandReceived(1, event.NewSwitchover(group, "b")))
	written, held := 1, false
	rig.runUntil(3*time.Second, func() bool {
		if !view.WritesHeld(rig.now) && old.write() {
			written++
		}
		held = held || view.WritesHeld(rig.now)
		return asker.results[1] != nil
	})
	is.True(held)
	is.Equal(rig.primary().self.ID(), model.InstanceID("b"))
	is.True(written >= 1)
	is.Equal(len(rig.instance("b").log), written+1)
}

func TestSwitchoverFromLeavingPrimary(t *testing.T) {
	is := is.New(t)
	rig := newCluster(6)
	rig.instance("a").leaving = true
	rig.runUntil(2*time.Second, rig.primaryIsOneOf("b", "c"))
	is.True(rig.primaryIsOneOf("b", "c")())
	rig.run(5 * time.Second)
	is.Equal(len(rig.primariesByTerm), 1)
}

func TestLeavingPrimaryWaitsForLaggingReplicas(t *testing.T) {
	is := is.New(t)
	rig := newCluster(3)
	rig.instance("b").copyPaused = true
	rig.instance("c").copyPaused = true
	rig.instance("a").write()
	rig.instance("a").leaving = true
	rig.run(6 * time.Second)
	is.Equal(rig.primary().self.ID(), model.InstanceID("a"))
	rig.instance("c").copyPaused = false
	rig.runUntil(time.Second, rig.primaryIsOneOf("c"))
	is.True(rig.primaryIsOneOf("c")())
	is.Equal(len(rig.instance("c").log), 3)
}

func TestDrainingProxyStartsNoPromotion(t *testing.T) {
	is := is.New(t)
	rig := newCluster(1)
	rig.proxies[0].kernel.State().SetDraining()
	rig.instance("a").kill()
	rig.run(2 * time.Second)
	_, fences := rig.countOrders()
	is.Equal(fences, 0)
}

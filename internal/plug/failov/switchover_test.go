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
		name    string
		target  model.InstanceID
		group   model.GroupID
		before  func(cluster *cluster)
		code    codes.Code
		primary model.InstanceID
	}{
		{name: "to a named replica", group: group, target: "c", code: codes.OK, primary: "c"},
		{name: "to the primary itself", group: group, target: "a", code: codes.OK, primary: "a"},
		{
			name:  "to the most advanced replica",
			group: group,
			before: func(cluster *cluster) {
				cluster.instance("b").copyPaused = true
				cluster.instance("a").write()
				cluster.run(50 * time.Millisecond)
			},
			code:    codes.OK,
			primary: "c",
		},
		{
			name:   "to a replica that does not catch up",
			group:  group,
			target: "b",
			before: func(cluster *cluster) {
				cluster.instance("b").copyPaused = true
				cluster.instance("a").write()
				cluster.run(50 * time.Millisecond)
			},
			code:    codes.SwitchoverFailed,
			primary: "a",
		},
		{
			name:    "to a replica that was killed",
			group:   group,
			target:  "b",
			before:  func(cluster *cluster) { cluster.instance("b").kill(); cluster.run(300 * time.Millisecond) },
			code:    codes.SwitchoverFailed,
			primary: "a",
		},
		{
			name:    "to a replica that is leaving",
			group:   group,
			target:  "b",
			before:  func(cluster *cluster) { cluster.instance("b").leaving = true; cluster.run(100 * time.Millisecond) },
			code:    codes.SwitchoverFailed,
			primary: "a",
		},
		{name: "to an unknown instance", group: group, target: "z", code: codes.SwitchoverFailed, primary: "a"},
		{name: "of an unknown group", group: "none", code: codes.UnknownGroup, primary: "a"},
		{
			name:    "by a proxy without a promoter number",
			group:   group,
			target:  "b",
			before:  func(cluster *cluster) { cluster.proxies[0].kernel.State().SetPromoter(0) },
			code:    codes.SwitchoverFailed,
			primary: "a",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			cluster := newCluster(3)
			if test.before != nil {
				test.before(cluster)
			}
			requester := cluster.proxies[0]
			requester.post(event.NewCommandReceived(1, event.NewSwitchover(test.group, test.target)))
			cluster.run(6 * time.Second)
			switch result := requester.results[1].(type) {
			case event.PlacementChanged:
				is.Equal(test.code, codes.OK)
				is.Equal(result.Instance(), test.primary)
			case event.CommandFailed:
				is.Equal(result.Code(), test.code)
			default:
				is.Fail() // no answer
			}
			is.Equal(cluster.primary().self.ID(), test.primary)
			is.True(!requester.kernel.State().Group(group).WritesHeld(cluster.now))
		})
	}
}

func TestPrimaryLostDuringSwitchover(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(3)
	cluster.instance("b").copyPaused = true
	cluster.instance("a").write()
	cluster.run(100 * time.Millisecond)
	requester := cluster.proxies[0]
	requester.post(event.NewCommandReceived(1, event.NewSwitchover(group, "b")))
	cluster.run(20 * time.Millisecond)
	cluster.instance("a").kill()
	cluster.run(6 * time.Second)
	refused, ok := requester.results[1].(event.CommandFailed)
	is.True(ok)
	is.Equal(refused.Code(), codes.SwitchoverFailed)
	is.Equal(cluster.primary().self.ID(), model.InstanceID("c"))
	is.Equal(len(cluster.primariesByTerm), 1)
	is.True(!requester.kernel.State().Group(group).WritesHeld(cluster.now))
}

// TestSwitchoverLosesNoWrite checks that no write is lost if the primary accepts writes until
// the proxy holds them.
func TestSwitchoverLosesNoWrite(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(3)
	old := cluster.instance("a")
	requester := cluster.proxies[0]
	ownGroup := requester.kernel.State().Group(group)
	requester.post(event.NewCommandReceived(1, event.NewSwitchover(group, "b")))
	written, held := 1, false
	cluster.runUntil(3*time.Second, func() bool {
		if !ownGroup.WritesHeld(cluster.now) && old.write() {
			written++
		}
		held = held || ownGroup.WritesHeld(cluster.now)
		return requester.results[1] != nil
	})
	is.True(held)
	is.Equal(cluster.primary().self.ID(), model.InstanceID("b"))
	is.True(written >= 1)
	is.Equal(len(cluster.instance("b").log), written+1)
}

func TestSwitchoverFromLeavingPrimary(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(6)
	cluster.instance("a").leaving = true
	cluster.runUntil(2*time.Second, cluster.primaryIsOneOf("b", "c"))
	is.True(cluster.primaryIsOneOf("b", "c")())
	cluster.run(5 * time.Second)
	is.Equal(len(cluster.primariesByTerm), 1)
}

func TestLeavingPrimaryWaitsForLaggingReplicas(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(3)
	cluster.instance("b").copyPaused = true
	cluster.instance("c").copyPaused = true
	cluster.instance("a").write()
	cluster.instance("a").leaving = true
	cluster.run(6 * time.Second)
	is.Equal(cluster.primary().self.ID(), model.InstanceID("a"))
	cluster.instance("c").copyPaused = false
	cluster.runUntil(time.Second, cluster.primaryIsOneOf("c"))
	is.True(cluster.primaryIsOneOf("c")())
	is.Equal(len(cluster.instance("c").log), 3)
}

func TestDrainingProxyStartsNoPromotion(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(1)
	cluster.proxies[0].kernel.State().SetDraining()
	cluster.instance("a").kill()
	cluster.run(2 * time.Second)
	_, fences := cluster.countOrders()
	is.Equal(fences, 0)
}

package failov_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// onFirstOrder runs fault once, before any proxy sends the first order that matches.
func (cluster *cluster) onFirstOrder(matches func(body event.Order) bool, fault func(proxy *proxy, order event.SendOrder)) {
	injected := false
	for _, proxy := range cluster.proxies {
		proxy.beforeOrder = func(order event.SendOrder) {
			if !injected && matches(order.Body()) {
				injected = true
				fault(proxy, order)
			}
		}
	}
}

func isFence(body event.Order) bool {
	_, ok := body.(event.Fence)
	return ok
}

func isPromote(body event.Order) bool {
	_, ok := body.(event.Promote)
	return ok
}

func TestConcurrentPromoters(t *testing.T) {
	tests := []struct {
		name            string
		fault           func(cluster *cluster)
		after           func(cluster *cluster)
		primarySurvives bool // whether the primary stays alive
	}{
		{
			name: "every proxy computes rank 0 for itself",
			fault: func(cluster *cluster) {
				for _, proxy := range cluster.proxies {
					proxy.kernel.State().SetProxies([]model.ProxyView{proxy.kernel.State().Self()})
				}
			},
		},
		{
			name: "the promoter dies before its first fence",
			fault: func(cluster *cluster) {
				cluster.onFirstOrder(isFence, func(proxy *proxy, _ event.SendOrder) { proxy.dead = true })
			},
		},
		{
			name: "the promoter dies after it fenced one instance",
			fault: func(cluster *cluster) {
				cluster.onFirstOrder(isFence, func(proxy *proxy, order event.SendOrder) {
					cluster.instance("b").execute(order.Body())
					proxy.dead = true
				})
			},
		},
		{
			name: "the promoter dies after it fenced a majority",
			fault: func(cluster *cluster) {
				cluster.onFirstOrder(isPromote, func(proxy *proxy, _ event.SendOrder) { proxy.dead = true })
			},
		},
		{
			name: "the promoter dies after its order to promote was carried out",
			fault: func(cluster *cluster) {
				cluster.onFirstOrder(isPromote, func(proxy *proxy, order event.SendOrder) {
					cluster.instance(order.Instance()).execute(order.Body())
					proxy.dead = true
				})
			},
		},
		{
			name: "the candidate dies before it becomes primary",
			fault: func(cluster *cluster) {
				cluster.onFirstOrder(isPromote, func(_ *proxy, order event.SendOrder) {
					cluster.instance(order.Instance()).kill()
				})
			},
			after: func(cluster *cluster) { cluster.instance("a").restart(false) },
		},
		{
			name: "the candidate is frozen before it becomes primary, and thaws later",
			fault: func(cluster *cluster) {
				cluster.onFirstOrder(isPromote, func(_ *proxy, order event.SendOrder) {
					cluster.instance(order.Instance()).frozen = true
				})
			},
			after: func(cluster *cluster) {
				cluster.instance("b").thaw()
				cluster.instance("c").thaw()
			},
		},
		{
			name: "the promoter is paused after it fenced a majority, and resumes later",
			fault: func(cluster *cluster) {
				cluster.onFirstOrder(isPromote, func(proxy *proxy, _ event.SendOrder) { proxy.paused = true })
			},
			after: func(cluster *cluster) {
				for _, proxy := range cluster.proxies {
					proxy.resume()
				}
			},
		},
		{
			name: "the order to promote arrives after the next promotion",
			fault: func(cluster *cluster) {
				cluster.onFirstOrder(isPromote, func(proxy *proxy, order event.SendOrder) {
					proxy.dead = true
					cluster.proxies[0].beforeOrder = func(event.SendOrder) {}
					deliver := func() { cluster.instance(order.Instance()).execute(order.Body()) }
					cluster.callTimeouts = append(cluster.callTimeouts, callTimeout{at: cluster.now + 2*time.Second, fail: deliver})
				})
			},
		},
		{
			name: "the proxy that runs a switchover dies after it fenced a majority",
			fault: func(cluster *cluster) {
				cluster.onFirstOrder(isPromote, func(proxy *proxy, _ event.SendOrder) { proxy.dead = true })
				cluster.proxies[0].post(event.NewCommandReceived(1, event.NewSwitchover(group, "b")))
			},
			primarySurvives: true,
		},
		{
			name: "a proxy that no longer runs has fenced one replica",
			fault: func(cluster *cluster) {
				cluster.instance("b").execute(event.NewFence(model.NewTerm(7, 3)))
			},
			primarySurvives: true,
		},
	}
	for _, test := range tests {
		for _, reversed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reversed numbers: %t", test.name, reversed), func(t *testing.T) {
				cluster := newCluster(6)
				for number, proxy := range cluster.proxies {
					if reversed {
						proxy.kernel.State().SetPromoter(uint32(100 - number))
					}
				}
				test.fault(cluster)
				if !test.primarySurvives {
					cluster.instance("a").kill()
				}
				cluster.run(3 * time.Second)
				if test.after != nil {
					test.after(cluster)
					cluster.run(3 * time.Second)
				}
				checkStable(t, cluster)
			})
		}
	}
}

// TestOneCandidatePerTerm guards against two primaries of one term. The candidate of a single
// proxy is frozen until every repeated order has timed out, then carries the orders out late.
func TestOneCandidatePerTerm(t *testing.T) {
	cluster := newCluster(1)
	cluster.onFirstOrder(isPromote, func(_ *proxy, order event.SendOrder) {
		cluster.instance(order.Instance()).frozen = true
	})
	cluster.instance("a").kill()
	cluster.run(4 * time.Second)
	cluster.instance("b").thaw()
	cluster.instance("c").thaw()
	cluster.run(3 * time.Second)
	checkStable(t, cluster)
}

// checkStable checks that the group has one primary, that each term had at most one, and that
// no further promotion takes place.
func checkStable(t *testing.T, cluster *cluster) {
	t.Helper()
	is := is.New(t)
	primary := cluster.primary()
	is.True(primary != nil)
	for _, primaries := range cluster.primariesByTerm {
		is.Equal(len(primaries), 1)
	}
	terms := len(cluster.primariesByTerm)
	cluster.run(2 * time.Second)
	is.Equal(cluster.primary(), primary)
	is.Equal(len(cluster.primariesByTerm), terms)
	for _, instance := range cluster.instances {
		is.True(instance.dead || instance.fence == primary.fence)
	}
	for _, proxy := range cluster.proxies {
		is.True(proxy.dead || proxy.kernel.State().Group(group).Primary().ID() == primary.self.ID())
	}
}

// TestInstanceWithLostLogIsNotCountedForMajority guards against the loss of an acknowledged
// write. The primary and one replica have the write, the replica loses its log, then the
// primary is lost. A majority with that replica would not contain the write.
func TestInstanceWithLostLogIsNotCountedForMajority(t *testing.T) {
	tests := []struct {
		name          string
		refusesOrders bool // whether the instance itself refuses orders until it has caught up
		newProxies    bool // whether all proxies are replaced after the loss of the log
	}{
		{name: "detected by the proxies"},
		{name: "reported by the instance", refusesOrders: true},
		{name: "reported by the instance to a proxy that started later", refusesOrders: true, newProxies: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			cluster := newCluster(3)
			cluster.instance("b").copyPaused = true
			for range 5 {
				cluster.instance("a").write()
			}
			cluster.run(100 * time.Millisecond)
			written := len(cluster.instance("a").log)
			is.Equal(len(cluster.instance("c").log), written)
			cluster.instance("c").kill()
			cluster.instance("c").restart(true)
			cluster.instance("c").catchingUp = test.refusesOrders
			cluster.instance("c").copyPaused = true
			cluster.instance("c").log = cluster.instance("a").log[:1]
			if test.newProxies {
				cluster.replaceProxies()
			}
			cluster.run(300 * time.Millisecond)
			cluster.instance("a").kill()
			cluster.run(3 * time.Second)
			is.True(cluster.primary() == nil) // no other instance has the write
			cluster.instance("b").copyPaused = false
			cluster.instance("c").copyPaused = false
			cluster.instance("a").restart(false)
			cluster.run(3 * time.Second)
			is.True(cluster.primary() != nil)
			is.True(len(cluster.primary().log) > written)
			cluster.run(time.Second)
			cluster.primary().kill()
			cluster.run(3 * time.Second)
			is.True(cluster.primary() != nil) // the instance counts toward the majority again
		})
	}
}

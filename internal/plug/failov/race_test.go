package failov_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// onFirstOrder runs harm once, when the proxy is about to send its first order of the
// same type as body.
func (rig *cluster) onFirstOrder(isWanted func(body event.Order) bool, harm func(proxy *proxy, order event.SendOrder)) {
	done := false
	for _, proxy := range rig.proxies {
		proxy.beforeOrder = func(order event.SendOrder) {
			if !done && isWanted(order.Body()) {
				done = true
				harm(proxy, order)
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
		name  string
		harm  func(rig *cluster)
		after func(rig *cluster)
		lives bool // whether the primary is not lost
	}{
		{
			name: "every proxy believes that it comes first",
			harm: func(rig *cluster) {
				for _, proxy := range rig.proxies {
					proxy.kernel.State().SetProxies([]model.ProxyView{proxy.kernel.State().Self()})
				}
			},
		},
		{
			name: "the promoter dies before its first fence",
			harm: func(rig *cluster) {
				rig.onFirstOrder(isFence, func(proxy *proxy, _ event.SendOrder) { proxy.dead = true })
			},
		},
		{
			name: "the promoter dies when it has fenced one instance",
			harm: func(rig *cluster) {
				rig.onFirstOrder(isFence, func(proxy *proxy, order event.SendOrder) {
					rig.instance("b").execute(order.Body())
					proxy.dead = true
				})
			},
		},
		{
			name: "the promoter dies when it has fenced a majority",
			harm: func(rig *cluster) {
				rig.onFirstOrder(isPromote, func(proxy *proxy, _ event.SendOrder) { proxy.dead = true })
			},
		},
		{
			name: "the promoter dies after it ordered an instance to lead",
			harm: func(rig *cluster) {
				rig.onFirstOrder(isPromote, func(proxy *proxy, order event.SendOrder) {
					rig.instance(order.Instance()).execute(order.Body())
					proxy.dead = true
				})
			},
		},
		{
			name: "the candidate dies before it leads",
			harm: func(rig *cluster) {
				rig.onFirstOrder(isPromote, func(_ *proxy, order event.SendOrder) {
					rig.instance(order.Instance()).kill()
				})
			},
			after: func(rig *cluster) { rig.instance("a").restart(false) },
		},
		{
			name: "the candidate is frozen before it leads, and thaws",
			harm: func(rig *cluster) {
				rig.onFirstOrder(isPromote, func(_ *proxy, order event.SendOrder) {
					rig.instance(order.Instance()).frozen = true
				})
			},
			after: func(rig *cluster) {
				rig.instance("b").thaw()
				rig.instance("c").thaw()
			},
		},
		{
			name: "the promoter is paused when it has fenced a majority, and wakes up",
			harm: func(rig *cluster) {
				rig.onFirstOrder(isPromote, func(proxy *proxy, _ event.SendOrder) { proxy.paused = true })
			},
			after: func(rig *cluster) {
				for _, proxy := range rig.proxies {
					proxy.resume()
				}
			},
		},
		{
			name: "the promoter's order to lead arrives after the next promotion",
			harm: func(rig *cluster) {
				rig.onFirstOrder(isPromote, func(proxy *proxy, order event.SendOrder) {
					proxy.dead = true
					rig.proxies[0].beforeOrder = func(event.SendOrder) {}
					late := func() { rig.instance(order.Instance()).execute(order.Body()) }
					rig.callTimeouts = append(rig.callTimeouts, callTimeout{at: rig.now + 2*time.Second, fail: late})
				})
			},
		},
		{
			name: "an operator's proxy dies when it has fenced a majority",
			harm: func(rig *cluster) {
				rig.onFirstOrder(isPromote, func(proxy *proxy, _ event.SendOrder) { proxy.dead = true })
				rig.proxies[0].post(event.NewCommandReceived(1, event.NewSwitchover(group, "b")))
			},
			lives: true,
		},
		{
			name: "a proxy that is gone has fenced one replica",
			harm: func(rig *cluster) {
				rig.instance("b").execute(event.NewFence(model.NewTerm(7, 3)))
			},
			lives: true,
		},
	}
	for _, test := range tests {
		for _, reversed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reversed numbers: %t", test.name, reversed), func(t *testing.T) {
				rig := newCluster(6)
				for number, proxy := range rig.proxies {
					if reversed {
						proxy.kernel.State().SetPromoter(uint32(100 - number))
					}
				}
				test.harm(rig)
				if !test.lives {
					rig.instance("a").kill()
				}
				rig.run(3 * time.Second)
				if test.after != nil {
					test.after(rig)
					rig.run(3 * time.Second)
				}
				checkStable(t, rig)
			})
		}
	}
}

// A proxy alone meets a candidate that is frozen for longer than all its orders.
func TestOneCandidateForATerm(t *testing.T) {
	rig := newCluster(1)
	rig.onFirstOrder(isPromote, func(_ *proxy, order event.SendOrder) {
		rig.instance(order.Instance()).frozen = true
	})
	rig.instance("a").kill()
	rig.run(4 * time.Second)
	rig.instance("b").thaw()
	rig.instance("c").thaw()
	rig.run(3 * time.Second)
	checkStable(t, rig)
}

// checkStable checks that the group has one primary, that each term had one at
// most, and that nothing more happens.
func checkStable(t *testing.T, rig *cluster) {
	t.Helper()
	is := is.New(t)
	leader := rig.primary()
	is.True(leader != nil)
	for _, leaders := range rig.primariesByTerm {
		is.Equal(len(leaders), 1)
	}
	terms := len(rig.primariesByTerm)
	rig.run(2 * time.Second)
	is.Equal(rig.primary(), leader)
	is.Equal(len(rig.primariesByTerm), terms)
	for _, instance := range rig.instances {
		is.True(instance.dead || instance.fence == leader.fence)
	}
	for _, proxy := range rig.proxies {
		is.True(proxy.dead || proxy.kernel.State().Group(group).Primary().ID() == leader.self.ID())
	}
}

// A write that the primary and one replica hold is acknowledged. The replica
// loses its log, then the primary is lost.
func TestInstanceWithLostLogIsNotCountedForMajority(t *testing.T) {
	tests := []struct {
		name    string
		refuses bool // whether the instance itself refuses orders until it has caught up
		late    bool // whether the proxies started after the loss
	}{
		{name: "noticed by the proxies"},
		{name: "reported by the instance", refuses: true},
		{name: "reported by the instance to a proxy that started later", refuses: true, late: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			rig := newCluster(3)
			rig.instance("b").copyPaused = true
			for range 5 {
				rig.instance("a").write()
			}
			rig.run(100 * time.Millisecond)
			written := len(rig.instance("a").log)
			is.Equal(len(rig.instance("c").log), written)
			rig.instance("c").kill()
			rig.instance("c").restart(true)
			rig.instance("c").catchingUp = test.refuses
			rig.instance("c").copyPaused = true
			rig.instance("c").log = rig.instance("a").log[:1]
			if test.late {
				rig.replaceProxies()
			}
			rig.run(300 * time.Millisecond)
			rig.instance("a").kill()
			rig.run(3 * time.Second)
			is.True(rig.primary() == nil) // nobody else holds the write
			rig.instance("b").copyPaused = false
			rig.instance("c").copyPaused = false
			rig.instance("a").restart(false)
			rig.run(3 * time.Second)
			is.True(rig.primary() != nil)
			is.True(len(rig.primary().log) > written)
			rig.run(time.Second)
			rig.primary().kill()
			rig.run(3 * time.Second)
			is.True(rig.primary() != nil) // the instance counts again
		})
	}
}

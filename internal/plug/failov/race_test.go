package failov_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// atFirst runs harm once, when the proxy is about to send its first order of the
// same type as body.
func (rig *rig) atFirst(isWanted func(body event.Order) bool, harm func(proxy *proxy, order event.SendOrder)) {
	done := false
	for _, proxy := range rig.proxies {
		proxy.onOrder = func(order event.SendOrder) {
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

func TestRacesOfPromoters(t *testing.T) {
	tests := []struct {
		name  string
		harm  func(rig *rig)
		after func(rig *rig)
		lives bool // whether the primary is not lost
	}{
		{
			name: "every proxy believes that it comes first",
			harm: func(rig *rig) {
				for _, proxy := range rig.proxies {
					proxy.kernel.State().SetProxies([]model.ProxyView{proxy.kernel.State().Self()})
				}
			},
		},
		{
			name: "the promoter dies before its first fence",
			harm: func(rig *rig) {
				rig.atFirst(isFence, func(proxy *proxy, _ event.SendOrder) { proxy.dead = true })
			},
		},
		{
			name: "the promoter dies when it has fenced one instance",
			harm: func(rig *rig) {
				rig.atFirst(isFence, func(proxy *proxy, order event.SendOrder) {
					rig.instance("b").obey(order.Body())
					proxy.dead = true
				})
			},
		},
		{
			name: "the promoter dies when it has fenced a majority",
			harm: func(rig *rig) {
				rig.atFirst(isPromote, func(proxy *proxy, _ event.SendOrder) { proxy.dead = true })
			},
		},
		{
			name: "the promoter dies after it ordered an instance to lead",
			harm: func(rig *rig) {
				rig.atFirst(isPromote, func(proxy *proxy, order event.SendOrder) {
					rig.instance(order.Instance()).obey(order.Body())
					proxy.dead = true
				})
			},
		},
		{
			name: "the candidate dies before it leads",
			harm: func(rig *rig) {
				rig.atFirst(isPromote, func(_ *proxy, order event.SendOrder) {
					rig.instance(order.Instance()).kill()
				})
			},
			after: func(rig *rig) { rig.instance("a").restart(false) },
		},
		{
			name: "the candidate is frozen before it leads, and thaws",
			harm: func(rig *rig) {
				rig.atFirst(isPromote, func(_ *proxy, order event.SendOrder) {
					rig.instance(order.Instance()).frozen = true
				})
			},
			after: func(rig *rig) {
				rig.instance("b").thaw()
				rig.instance("c").thaw()
			},
		},
		{
			name: "the promoter is paused when it has fenced a majority, and wakes up",
			harm: func(rig *rig) {
				rig.atFirst(isPromote, func(proxy *proxy, _ event.SendOrder) { proxy.paused = true })
			},
			after: func(rig *rig) {
				for _, proxy := range rig.proxies {
					proxy.wake()
				}
			},
		},
		{
			name: "the promoter's order to lead arrives after the next promotion",
			harm: func(rig *rig) {
				rig.atFirst(isPromote, func(proxy *proxy, order event.SendOrder) {
					proxy.dead = true
					rig.proxies[0].onOrder = func(event.SendOrder) {}
					late := func() { rig.instance(order.Instance()).obey(order.Body()) }
					rig.timeouts = append(rig.timeouts, timeout{at: rig.now + 2*time.Second, fail: late})
				})
			},
		},
		{
			name: "an operator's proxy dies when it has fenced a majority",
			harm: func(rig *rig) {
				rig.atFirst(isPromote, func(proxy *proxy, _ event.SendOrder) { proxy.dead = true })
				rig.proxies[0].post(event.NewCommandReceived(1, event.NewSwitchover(group, "b")))
			},
			lives: true,
		},
		{
			name: "a proxy that is gone has fenced one replica",
			harm: func(rig *rig) {
				rig.instance("b").obey(event.NewFence(model.NewTerm(7, 3)))
			},
			lives: true,
		},
	}
	for _, test := range tests {
		for _, reversed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reversed numbers: %t", test.name, reversed), func(t *testing.T) {
				rig := newRig(6)
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
				checkAtRest(t, rig)
			})
		}
	}
}

// A proxy alone meets a candidate that is frozen for longer than all its orders.
func TestOneCandidateForATerm(t *testing.T) {
	rig := newRig(1)
	rig.atFirst(isPromote, func(_ *proxy, order event.SendOrder) {
		rig.instance(order.Instance()).frozen = true
	})
	rig.instance("a").kill()
	rig.run(4 * time.Second)
	rig.instance("b").thaw()
	rig.instance("c").thaw()
	rig.run(3 * time.Second)
	checkAtRest(t, rig)
}

// checkAtRest checks that the group has one primary, that each term had one at
// most, and that nothing more happens.
func checkAtRest(t *testing.T, rig *rig) {
	t.Helper()
	is := is.New(t)
	leader := rig.leader()
	is.True(leader != nil)
	for _, leaders := range rig.led {
		is.Equal(len(leaders), 1)
	}
	terms := len(rig.led)
	rig.run(2 * time.Second)
	is.Equal(rig.leader(), leader)
	is.Equal(len(rig.led), terms)
	for _, instance := range rig.instances {
		is.True(instance.dead || instance.fence == leader.fence)
	}
	for _, proxy := range rig.proxies {
		is.True(proxy.dead || proxy.kernel.State().Group(group).Primary().ID() == leader.self.ID())
	}
}

// A write that the primary and one replica hold is acknowledged. The replica
// loses its log, then the primary is lost.
func TestInstanceThatLostItsLogIsNoMemberOfAMajority(t *testing.T) {
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
			rig := newRig(3)
			rig.instance("b").lags = true
			for range 5 {
				rig.instance("a").write()
			}
			rig.run(100 * time.Millisecond)
			written := len(rig.instance("a").log)
			is.Equal(len(rig.instance("c").log), written)
			rig.instance("c").kill()
			rig.instance("c").restart(true)
			rig.instance("c").joining = test.refuses
			rig.instance("c").lags = true
			rig.instance("c").log = rig.instance("a").log[:1]
			if test.late {
				rig.replaceProxies()
			}
			rig.run(300 * time.Millisecond)
			rig.instance("a").kill()
			rig.run(3 * time.Second)
			is.True(rig.leader() == nil) // nobody else holds the write
			rig.instance("b").lags = false
			rig.instance("c").lags = false
			rig.instance("a").restart(false)
			rig.run(3 * time.Second)
			is.True(rig.leader() != nil)
			is.True(len(rig.leader().log) > written)
			rig.run(time.Second)
			rig.leader().kill()
			rig.run(3 * time.Second)
			is.True(rig.leader() != nil) // the instance counts again
		})
	}
}

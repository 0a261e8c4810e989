package city

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/count"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/tune"
)

const (
	holderTeams    = 12
	holderSessions = 60
	// holderFaultAt is when a fault is injected, and holderLoadEnd when the sessions stop.
	holderFaultAt = 5 * time.Second
	holderLoadEnd = 14 * time.Second
)

// holderSimulation is a simulation of 34 proxies that share 26 connections of each instance, with
// sessions of several teams.
type holderSimulation struct {
	*simulation
	sessions []*session
}

func newHolderSimulation(seed uint64, holders bool) *holderSimulation {
	simulation := newEmptySimulation(seed, newSessionCatalogOf(26).WithTeams(newTeams(holderTeams)), nil)
	simulation.factories = kern.Factories(kern.ProfileHosted, map[string]kern.Factory{
		"fleet": func(context *kern.Context) kern.Plugin { return newMembers(context, simulation) },
	})
	simulation.connHolders, simulation.meshed = holders, true
	for index := range 34 {
		simulation.addProxy(fmt.Sprintf("proxy-%02d", index), zoneName(index%3))
		simulation.proxies[index].cores = 0.2
	}
	for index, instance := range simulation.instances {
		instance.dataCenter = zoneName(index)
		instance.capacity = capacity{slots: 5, queueLimit: 40, maxConns: 26, handshake: 12 * time.Millisecond}
	}
	for _, proxy := range simulation.proxies {
		proxy.reset()
	}
	simulation.start()
	simulation.run(2 * time.Second)
	added := &holderSimulation{simulation: simulation}
	for range holderSessions {
		added.sessions = append(added.sessions, added.open())
	}
	for index := range added.sessions {
		added.act(index)
	}
	return added
}

// open opens a session at a random running proxy.
func (holders *holderSimulation) open() *session {
	proxy := holders.proxies[holders.random.IntN(len(holders.proxies))]
	for proxy.down || proxy.frozen || proxy.kernel.State().Draining() {
		proxy = holders.proxies[holders.random.IntN(len(holders.proxies))]
	}
	kind := []string{"primary", "bounded", "own"}[holders.random.IntN(3)]
	return holders.openTeamSession(proxy, kind, 1+holders.random.IntN(holderTeams))
}

// act sends the next request of a session, unless one is running, and schedules the one after it. A
// session whose proxy is gone is opened again.
func (holders *holderSimulation) act(index int) {
	if holders.now >= holderLoadEnd {
		return
	}
	session := holders.sessions[index]
	if session.proxyKilled() || session.proxy.down || session.proxy.kernel.State().Draining() && !session.busy {
		holders.sessions[index] = holders.open()
	} else if !session.busy && !session.inTx {
		switch draw := holders.random.IntN(10); {
		case draw < 5:
			session.read()
		case draw < 8:
			session.write()
		default:
			session.runTransaction()
		}
	}
	holders.runAfter(time.Duration(holders.random.Int64N(int64(400*time.Millisecond))), func() { holders.act(index) })
}

// holdersOf returns the proxies that hold the connections of an instance.
func (holders *holderSimulation) holdersOf(instance *instance) []*proxy {
	var found []*proxy
	for _, proxy := range holders.proxies {
		if !proxy.down && proxy.kernel.State().Holds(instance.id) {
			found = append(found, proxy)
		}
	}
	return found
}

// openTransactions returns the number of transactions that are open at the instances.
func (holders *holderSimulation) openTransactions() int {
	open := 0
	for _, proxy := range holders.proxies {
		for _, conn := range proxy.conns {
			if conn.inTx && !conn.closed {
				open++
			}
		}
	}
	return open
}

func (holders *holderSimulation) total(name count.Name) uint64 {
	total := uint64(0)
	for _, proxy := range holders.proxies {
		total += proxy.kernel.State().Counts().Value(name)
	}
	return total
}

// Without a fault, statements reach the instances through the holders only, are all served, and
// hardly ever open a connection.
func TestHoldersCalm(t *testing.T) {
	is := is.New(t)
	holders := newHolderSimulation(1, true)
	is.Equal(len(holders.holdersOf(holders.primary)), 2)
	holders.run(holderLoadEnd)
	is.Equal(holders.oracle.violations, nil)
	is.Equal(holders.oracle.served, holders.oracle.requested)
	is.Equal(holders.openTransactions(), 0)
	is.Equal(holders.total(count.ForwardsRunHere), uint64(0))
	is.True(holders.total(count.ForwardsReceived) > 1000)
	statements, opened := 0, 0
	for _, instance := range holders.instances {
		statements += instance.capacity.statements
		opened += instance.capacity.opened
	}
	is.True(opened*5 < statements)
}

// Without the setting, no statement is forwarded.
func TestHoldersAreOff(t *testing.T) {
	is := is.New(t)
	holders := newHolderSimulation(1, false)
	holders.run(holderLoadEnd)
	is.Equal(len(holders.holdersOf(holders.primary)), 0)
	is.Equal(holders.total(count.ForwardsSent), uint64(0))
	is.Equal(holders.oracle.violations, nil)
}

// Whatever fails between a proxy and the holders, no write takes effect twice, none that was
// reported as not run takes effect, reads see what they have to, no transaction stays open, and
// most requests are served.
func TestHolderFaults(t *testing.T) {
	faults := []struct {
		name   string
		inject func(holders *holderSimulation, first, second *proxy)
		served int // at least, in percent
	}{
		{"a holder is killed and does not return", func(_ *holderSimulation, first, _ *proxy) { first.stop() }, 95},
		{"a holder restarts", func(holders *holderSimulation, first, _ *proxy) {
			first.stop()
			holders.runAfter(time.Second, first.startAgain)
		}, 95},
		{"both holders restart", func(holders *holderSimulation, first, second *proxy) {
			for _, proxy := range []*proxy{first, second} {
				proxy.stop()
				holders.runAfter(time.Second, proxy.startAgain)
			}
		}, 90},
		{"a holder freezes", func(_ *holderSimulation, first, _ *proxy) { first.freeze(3 * time.Second) }, 90},
		{"a holder is cut off from half of the proxies", func(holders *holderSimulation, first, _ *proxy) {
			holders.cutFromHalf(first, 4*time.Second)
		}, 90},
		{"both holders are cut off from half of the proxies", func(holders *holderSimulation, first, second *proxy) {
			holders.cutFromHalf(first, 4*time.Second)
			holders.cutFromHalf(second, 4*time.Second)
		}, 85},
		{"the answers of a holder are lost", func(holders *holderSimulation, first, _ *proxy) {
			first.losesAnswers = true
			holders.runAfter(3*time.Second, func() { first.losesAnswers = false })
		}, 85},
		{"the answers of both holders are lost", func(holders *holderSimulation, first, second *proxy) {
			first.losesAnswers, second.losesAnswers = true, true
			holders.runAfter(2*time.Second, func() { first.losesAnswers, second.losesAnswers = false, false })
		}, 75},
		{"a holder drains", func(_ *holderSimulation, first, _ *proxy) {
			first.post(0, event.NewShutdownRequested(tune.Default().DrainLimit))
		}, 97},
		{"a holder is of an old build", func(_ *holderSimulation, first, _ *proxy) { first.oldBuild = true }, 97},
		{"all other proxies are of an old build", func(holders *holderSimulation, first, second *proxy) {
			for _, proxy := range holders.proxies {
				proxy.oldBuild = proxy != first && proxy != second
			}
		}, 97},
		{"both holders and the next proxy are of an old build", func(holders *holderSimulation, first, _ *proxy) {
			for _, view := range first.kernel.State().HoldersOf(holders.primary.id)[:3] {
				holders.proxy(string(view.ID())).oldBuild = true
			}
		}, 90},
		{"the proxies disagree on the holders", func(holders *holderSimulation, first, _ *proxy) {
			holders.isUnseen = func(viewer model.ProxyID, proxy *proxy) bool {
				return proxy == first && holders.indexOf(viewer)%2 == 0
			}
		}, 95},
		{"the members change all the time", func(holders *holderSimulation, _, _ *proxy) {
			holders.isUnseen = func(viewer model.ProxyID, proxy *proxy) bool {
				return string(viewer) != proxy.name && int(holders.now/(500*time.Millisecond))%len(holders.proxies) == holders.indexOf(model.ProxyID(proxy.name))
			}
		}, 97},
		{"forwarding proxies are killed", func(holders *holderSimulation, first, second *proxy) {
			for index, proxy := range holders.proxies {
				if index%3 == 0 && proxy != first && proxy != second {
					proxy.stop()
				}
			}
		}, 90},
		{"a promotion", func(holders *holderSimulation, _, _ *proxy) { holders.primary.crash(20 * time.Second) }, 60},
	}
	for _, fault := range faults {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%s, seed %d", fault.name, seed), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				holders := newHolderSimulation(seed+1, true)
				holders.run(holderFaultAt - holders.now)
				found := holders.holdersOf(holders.primary)
				is.Equal(len(found), 2)
				fault.inject(holders, found[0], found[1])
				holders.run(holderLoadEnd + 35*time.Second - holders.now)
				is.Equal(holders.oracle.violations, nil)
				t.Logf("served %d of %d %v", holders.oracle.served, holders.oracle.requested, holders.refusals)
				is.True(100*holders.oracle.served >= fault.served*holders.oracle.requested)
				is.Equal(holders.openTransactions(), 0)
			})
		}
	}
}

// stop ends the process of a proxy.
func (proxy *proxy) stop() {
	proxy.kill()
	proxy.down, proxy.downSince = true, proxy.simulation.now
}

// startAgain starts the next process of a proxy.
func (proxy *proxy) startAgain() {
	proxy.down = false
	proxy.start()
}

func (holders *holderSimulation) indexOf(id model.ProxyID) int {
	for index, proxy := range holders.proxies {
		if proxy.name == string(id) {
			return index
		}
	}
	return -1
}

// cutFromHalf separates a proxy from every other one of the others for some time.
func (holders *holderSimulation) cutFromHalf(proxy *proxy, span time.Duration) {
	for index, other := range holders.proxies {
		if index%2 == 0 && other != proxy {
			proxy.cutFrom[other] = true
		}
	}
	holders.runAfter(span, func() { clear(proxy.cutFrom) })
}

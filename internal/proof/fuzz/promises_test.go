package fuzz

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/model"
)

const (
	scenarioSeed = 20261203
	scenarioKey  = "course"
	healTime     = 15 * time.Second
)

// scenario is the attack on one promise. The naive version must break it and
// the product must keep every promise.
type scenario struct {
	name    string
	promise string
	attack  func(world *world)
}

var scenarios = []scenario{
	{"P1 write at one proxy, read at another while replicas lag", "P1", attackRoaming},
	{"P1 session token lost and replica frozen", "P1", attackLostToken},
	{"P1 read of a write that no replica has yet", "P1", attackDirtyRead},
	{"P2 primary cut off together with a proxy", "P2", attackCutPrimary},
	{"P3 interleaved transactions", "P3", attackInterleaved},
	{"P4 late answer after a timeout", "P4", attackLateAnswer},
	{"P5 statement delayed beyond the timeout", "P5", attackLateStatement},
	{"P5 answer lost with the primary", "P5", attackLostAnswer},
	{"P5 primary killed at every moment of a write", "P5", attackKilledMidWrite},
	{"P5 tail of an older term after two promotions", "P5", attackOlderTail},
	{"P6 retry through another proxy", "P6", attackRetry},
	{"P7 stale host list", "P7", attackLeaving},
	{"P8 shutdown with requests and a transaction in flight", "P8", attackShutdown},
	{"P9 two operators race", "P9", attackOperators},
	{"P10 primary killed after an acknowledgement", "P10", attackKilledPrimary},
	{"P10 only a lagging replica within reach", "P10", attackLaggingCandidate},
	{"P2 replica replaced by an empty one beside a cut-off primary", "P2", attackEmptyReplica},
	{"P11 replica cut off and idle", "P11", attackStaleReplica},
}

func TestPromises(t *testing.T) {
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Run("naive", func(t *testing.T) {
				is := is.New(t)
				world := runScenario(scenario, newNaive)
				is.True(world.oracle.broken(scenario.promise)) // the naive version must break the promise
			})
			t.Run("product", func(t *testing.T) {
				is := is.New(t)
				world := runScenario(scenario, newProduct)
				for _, violation := range world.oracle.violations {
					t.Error(violation)
				}
				is.Equal(len(world.oracle.violations), 0) // the product must keep every promise
				is.True(world.oracle.acknowledgedWrites() > 0 || scenario.promise == "P9")
			})
		})
	}
}

func runScenario(scenario scenario, brains newBrain) *world {
	world := newWorld(scenarioSeed, 1, 3, brains)
	scenario.attack(world)
	world.oracle.check()
	world.heal()
	world.run(healTime)
	world.oracle.checkEnd()
	return world
}

// heal ends every fault.
func (world *world) heal() {
	world.platform.down = false
	world.platform.loseAnswers = false
	for _, node := range world.nodes {
		node.cutStore = false
		node.cutPeers = false
		clear(node.cutFrom)
		clear(node.deafTo)
		if node.paused {
			node.resume()
		}
	}
	for _, instance := range world.instances {
		instance.boot()
		instance.cutGroup = false
		instance.lag = 0
		instance.leaving = false
		world.platform.hosts[instance.id] = false
		if instance.frozen {
			instance.thaw()
		}
	}
}

func (oracle *oracle) acknowledgedWrites() int {
	count := 0
	for _, request := range oracle.requests {
		if request.done() && request.statement != nil && request.statement.write {
			count++
		}
	}
	return count
}

func attackRoaming(world *world) {
	registrar := world.connect(world.nodes[0], "registrar")
	registrar.write()
	world.instances[2].lag = 30 * time.Millisecond
	for range 12 {
		world.run(200 * time.Millisecond)
		registrar.write()
		registrar.roam(world.nodes[1])
		registrar.read("seat_count")
		registrar.read("browse")
		registrar.roam(world.nodes[0])
	}
}

func attackLostToken(world *world) {
	registrar := world.connect(world.nodes[0], "registrar")
	for range 6 {
		world.instances[2].frozen = true
		registrar.write()
		world.instances[2].cutGroup = true
		world.instances[2].thaw()
		registrar.write()
		registrar.token = model.Token{}
		registrar.roam(world.nodes[2])
		registrar.read("browse")
		world.instances[2].cutGroup = false
		registrar.roam(world.nodes[0])
	}
}

func attackCutPrimary(world *world) {
	registrar := world.connect(world.nodes[0], "registrar")
	other := world.connect(world.nodes[1], "registrar")
	registrar.write()
	old := world.primaryOf(world.groups[0].ID())
	old.cutGroup = true
	world.nodes[0].cutPeers = true
	for _, node := range world.nodes[1:] {
		node.cutFrom[old.id] = true
	}
	for _, instance := range world.instances {
		if instance != old {
			world.nodes[0].cutFrom[instance.id] = true
		}
	}
	for range 4 {
		registrar.write()
		world.run(time.Second)
		other.write()
		other.read("seat_count")
	}
}

func attackInterleaved(world *world) {
	first := world.connect(world.nodes[0], "registrar")
	second := world.connect(world.nodes[0], "registrar")
	for range 3 {
		callers := []*caller{first, second}
		ids := []string{world.newRequestID(), world.newRequestID()}
		for _, caller := range callers {
			caller.call("", nil, model.OpBegin, "")
		}
		for range 2 {
			for index, caller := range callers {
				write := world.newWrite(scenarioKey)
				write.owner = ids[index]
				caller.call("edit_listing", write, model.OpStatement, ids[index])
			}
		}
		for _, caller := range callers {
			caller.call("", nil, model.OpCommit, "")
		}
	}
	first.write()
	first.call("", nil, model.OpBegin, "")
	first.call("edit_listing", world.newWrite(scenarioKey), model.OpStatement, world.newRequestID())
	first.leave()
	second.write()
}

func attackLateAnswer(world *world) {
	primary := world.primaryOf(world.groups[0].ID())
	first := world.connect(world.nodes[0], "registrar")
	second := world.connect(world.nodes[0], "registrar")
	first.write()
	primary.frozen = true
	sent := first.send("edit_listing", world.newWrite(scenarioKey), model.OpStatement, world.newRequestID())
	world.run(400 * time.Millisecond)
	late := second.send("edit_listing", world.newWrite(scenarioKey), model.OpStatement, world.newRequestID())
	primary.thaw()
	world.runUntil(10*time.Second, func() bool { return sent.answered() && late.answered() })
	second.write()
	first.write()
}

func attackLateStatement(world *world) {
	primary := world.primaryOf(world.groups[0].ID())
	registrar := world.connect(world.nodes[0], "registrar")
	registrar.write()
	primary.frozen = true
	sent := registrar.send("edit_listing", world.newWrite(scenarioKey), model.OpStatement, world.newRequestID())
	world.run(400 * time.Millisecond)
	primary.thaw()
	world.runUntil(10*time.Second, sent.answered)
	registrar.write()
}

func attackLostAnswer(world *world) {
	registrar := world.connect(world.nodes[0], "registrar")
	registrar.write()
	for range 3 {
		primary := world.primaryOf(world.groups[0].ID())
		if primary == nil {
			return
		}
		world.nodes[0].deafTo[primary.id] = true
		sent := registrar.send("edit_listing", world.newWrite(scenarioKey), model.OpStatement, world.newRequestID())
		world.run(50 * time.Millisecond)
		primary.kill()
		world.runUntil(10*time.Second, sent.answered)
		clear(world.nodes[0].deafTo)
		world.run(3 * time.Second)
		world.oracle.check()
		primary.boot()
		world.run(3 * time.Second)
	}
}

func attackKilledMidWrite(world *world) {
	registrar := world.connect(world.nodes[0], "registrar")
	registrar.write()
	for half := range 14 {
		primary := world.primaryOf(world.groups[0].ID())
		if primary == nil {
			return
		}
		sent := registrar.send("edit_listing", world.newWrite(scenarioKey), model.OpStatement, world.newRequestID())
		world.run(time.Duration((half+7)%14) * time.Millisecond / 2)
		primary.kill()
		world.runUntil(10*time.Second, sent.answered)
		world.run(3 * time.Second)
		world.oracle.check()
		primary.boot()
		world.run(3 * time.Second)
	}
}

// attackOlderTail commits on A alone, lets B lead a term of which C copies
// nothing, and then loses B, so that A is the most advanced of what is left.
func attackOlderTail(world *world) {
	registrar := world.connect(world.nodes[0], "registrar")
	registrar.write()
	a, b, c := world.instances[0], world.instances[1], world.instances[2]
	registrar.call("", nil, model.OpBegin, "")
	registrar.call("edit_listing", world.newWrite(scenarioKey), model.OpStatement, world.newRequestID())
	a.cutGroup, c.cutGroup = true, true
	world.nodes[0].deafTo[a.id] = true
	commit := registrar.send("", nil, model.OpCommit, "")
	world.run(10 * time.Millisecond)
	for _, node := range world.nodes {
		node.cutFrom[a.id] = true
	}
	world.runUntil(10*time.Second, commit.answered)
	world.run(time.Second)
	b.kill()
	a.cutGroup, c.cutGroup = false, false
	for _, node := range world.nodes {
		clear(node.cutFrom)
		clear(node.deafTo)
	}
	world.run(5 * time.Second)
	world.oracle.check()
	registrar.write()
}

func attackDirtyRead(world *world) {
	hotel := world.connect(world.nodes[0], "hotel")
	kitchen := world.connect(world.nodes[1], "kitchen")
	hotel.write()
	for _, replica := range world.instances[1:] {
		replica.leaving = true
		replica.leavingAt = world.now
	}
	world.run(time.Second)
	for _, replica := range world.instances[1:] {
		replica.cutGroup = true
	}
	hotel.send("edit_listing", world.newWrite(scenarioKey), model.OpStatement, world.newRequestID())
	world.run(20 * time.Millisecond)
	kitchen.send("seat_count", &statement{key: scenarioKey}, model.OpStatement, "")
	world.run(50 * time.Millisecond)
	world.instances[0].kill()
	for _, replica := range world.instances[1:] {
		replica.leaving = false
		replica.cutGroup = false
	}
	world.run(5 * time.Second)
	hotel.write()
}

func attackLaggingCandidate(world *world) {
	registrar := world.connect(world.nodes[0], "registrar")
	registrar.write()
	world.instances[1].cutGroup = true
	registrar.write()
	for _, node := range world.nodes {
		node.cutFrom[world.instances[2].id] = true
	}
	world.instances[0].kill()
	world.run(5 * time.Second)
	for _, node := range world.nodes {
		clear(node.cutFrom)
	}
	world.instances[1].cutGroup = false
	world.run(5 * time.Second)
	registrar.write()
}

func attackRetry(world *world) {
	primary := world.primaryOf(world.groups[0].ID())
	registrar := world.connect(world.nodes[0], "registrar")
	registrar.write()
	for range 3 {
		write, id := world.newWrite(scenarioKey), world.newRequestID()
		registrar.send("edit_listing", write, model.OpStatement, id)
		world.run(3 * time.Millisecond)
		primary.frozen = true
		world.run(450 * time.Millisecond)
		primary.thaw()
		registrar.roam(world.nodes[1])
		registrar.call("edit_listing", write, model.OpStatement, id)
		registrar.roam(world.nodes[0])
		registrar.call("edit_listing", write, model.OpStatement, id)
	}
}

func attackLeaving(world *world) {
	registrar := world.connect(world.nodes[0], "registrar")
	registrar.write()
	for _, leaving := range world.instances[1:] {
		leaving.leaving = true
		leaving.leavingAt = world.now
		world.platform.down = true
		for range 40 {
			world.run(200 * time.Millisecond)
			registrar.read("seat_count")
		}
		leaving.leaving = false
		world.run(time.Second)
	}
	registrar.write()
}

func attackShutdown(world *world) {
	primary := world.primaryOf(world.groups[0].ID())
	registrar := world.connect(world.nodes[0], "registrar")
	other := world.connect(world.nodes[0], "registrar")
	registrar.write()
	other.call("", nil, model.OpBegin, "")
	id := world.newRequestID()
	other.call("edit_listing", world.newWrite(scenarioKey), model.OpStatement, id)
	primary.frozen = true
	registrar.send("edit_listing", world.newWrite(scenarioKey), model.OpStatement, world.newRequestID())
	world.nodes[0].drain()
	world.run(300 * time.Millisecond)
	primary.thaw()
	world.run(100 * time.Millisecond)
	other.call("edit_listing", world.newWrite(scenarioKey), model.OpStatement, id)
	other.call("", nil, model.OpCommit, "")
	world.run(5 * time.Second)
	if !world.nodes[0].stopped {
		world.oracle.fail("P8", "the drained proxy did not stop")
	}
}

func attackOperators(world *world) {
	revision, _ := world.nodes[0].revision()
	world.apply(world.nodes[0], 2, revision, "change-a")
	world.apply(world.nodes[1], 3, revision, "change-b")
	world.run(10 * time.Second)
	world.platform.loseAnswers = true
	revision, _ = world.nodes[0].revision()
	world.apply(world.nodes[0], 4, revision, "change-c")
	world.run(5 * time.Second)
	world.platform.loseAnswers = false
	world.apply(world.nodes[2], 4, revision, "change-c")
	world.run(10 * time.Second)
	world.platform.down = true
	world.startNode()
	world.run(10 * time.Second)
}

func attackKilledPrimary(world *world) {
	registrar := world.connect(world.nodes[0], "registrar")
	for range 2 {
		primary := world.primaryOf(world.groups[0].ID())
		for _, instance := range world.instances {
			if instance != primary {
				instance.lag = 30 * time.Millisecond
			}
		}
		registrar.write()
		registrar.write()
		if primary == nil {
			return
		}
		primary.kill()
		world.run(3 * time.Second)
		registrar.write()
		registrar.read("seat_count")
		world.oracle.check()
		primary.boot()
		world.run(3 * time.Second)
	}
}

// attackEmptyReplica replaces a replica that took part in a promotion by an
// empty one, within reach of the old primary and its proxy only.
func attackEmptyReplica(world *world) {
	registrar := world.connect(world.nodes[0], "registrar")
	other := world.connect(world.nodes[1], "registrar")
	registrar.write()
	a, b, c := world.instances[0], world.instances[1], world.instances[2]
	a.cutGroup = true
	world.nodes[0].cutPeers = true
	world.nodes[0].cutFrom[b.id], world.nodes[0].cutFrom[c.id] = true, true
	world.nodes[1].cutFrom[a.id], world.nodes[2].cutFrom[a.id] = true, true
	world.run(3 * time.Second)
	other.write()
	c.wipe()
	a.cutGroup, b.cutGroup = false, true
	delete(world.nodes[0].cutFrom, c.id)
	world.nodes[1].cutFrom[c.id], world.nodes[2].cutFrom[c.id] = true, true
	for range 3 {
		world.run(time.Second)
		registrar.write()
	}
}

func attackStaleReplica(world *world) {
	registrar := world.connect(world.nodes[0], "registrar")
	student := world.connect(world.nodes[1], "student")
	registrar.write()
	world.instances[2].cutGroup = true
	registrar.write()
	world.run(5 * time.Second)
	for range 6 {
		student.read("browse")
	}
}

package fuzz

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
)

func attackPartitionedPrimary(world *simulation) {
	registrar := world.connect(world.nodes[0], "registrar")
	other := world.connect(world.nodes[1], "registrar")
	registrar.write()
	old := world.primaryOf(world.groups[0].ID())
	old.groupPartitioned = true
	world.nodes[0].peersPartitioned = true
	for _, node := range world.nodes[1:] {
		node.partitionedFrom[old.id] = true
	}
	for _, instance := range world.instances {
		if instance != old {
			world.nodes[0].partitionedFrom[instance.id] = true
		}
	}
	for range 4 {
		registrar.write()
		world.run(time.Second)
		other.write()
		other.read("seat_count")
	}
}

// attackOlderTail commits on A alone, lets B lead a term of which C copies
// nothing, and then loses B, so that A is the most advanced of what is left.
func attackOlderTail(world *simulation) {
	registrar := world.connect(world.nodes[0], "registrar")
	registrar.write()
	a, b, c := world.instances[0], world.instances[1], world.instances[2]
	registrar.call("", nil, model.OpBegin, "")
	registrar.call("edit_listing", world.newWrite(scenarioKey), model.OpStatement, world.newRequestID())
	a.groupPartitioned, c.groupPartitioned = true, true
	world.nodes[0].dropsAnswersFrom[a.id] = true
	commit := registrar.send("", nil, model.OpCommit, "")
	world.run(10 * time.Millisecond)
	for _, node := range world.nodes {
		node.partitionedFrom[a.id] = true
	}
	world.runUntil(10*time.Second, commit.answered)
	world.run(time.Second)
	b.kill()
	a.groupPartitioned, c.groupPartitioned = false, false
	for _, node := range world.nodes {
		clear(node.partitionedFrom)
		clear(node.dropsAnswersFrom)
	}
	world.run(5 * time.Second)
	world.oracle.check()
	registrar.write()
}

func attackLaggingCandidate(world *simulation) {
	registrar := world.connect(world.nodes[0], "registrar")
	registrar.write()
	world.instances[1].groupPartitioned = true
	registrar.write()
	for _, node := range world.nodes {
		node.partitionedFrom[world.instances[2].id] = true
	}
	world.instances[0].kill()
	world.run(5 * time.Second)
	for _, node := range world.nodes {
		clear(node.partitionedFrom)
	}
	world.instances[1].groupPartitioned = false
	world.run(5 * time.Second)
	registrar.write()
}

func attackKilledPrimary(world *simulation) {
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
func attackEmptyReplica(world *simulation) {
	registrar := world.connect(world.nodes[0], "registrar")
	other := world.connect(world.nodes[1], "registrar")
	registrar.write()
	a, b, c := world.instances[0], world.instances[1], world.instances[2]
	a.groupPartitioned = true
	world.nodes[0].peersPartitioned = true
	world.nodes[0].partitionedFrom[b.id], world.nodes[0].partitionedFrom[c.id] = true, true
	world.nodes[1].partitionedFrom[a.id], world.nodes[2].partitionedFrom[a.id] = true, true
	world.run(3 * time.Second)
	other.write()
	c.wipe()
	a.groupPartitioned, b.groupPartitioned = false, true
	delete(world.nodes[0].partitionedFrom, c.id)
	world.nodes[1].partitionedFrom[c.id], world.nodes[2].partitionedFrom[c.id] = true, true
	for range 3 {
		world.run(time.Second)
		registrar.write()
	}
}

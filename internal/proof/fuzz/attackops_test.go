package fuzz

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
)

func attackInterleaved(world *simulation) {
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
	first.close()
	second.write()
}

func attackStaleHostList(world *simulation) {
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

func attackShutdown(world *simulation) {
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
		world.oracle.addViolation("P8", "the drained proxy did not stop")
	}
}

func attackConcurrentChanges(world *simulation) {
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

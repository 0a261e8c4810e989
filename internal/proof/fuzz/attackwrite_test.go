package fuzz

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
)

func attackLateAnswer(world *simulation) {
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

func attackLateStatement(world *simulation) {
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

func attackLostAnswer(world *simulation) {
	registrar := world.connect(world.nodes[0], "registrar")
	registrar.write()
	for range 3 {
		primary := world.primaryOf(world.groups[0].ID())
		if primary == nil {
			return
		}
		world.nodes[0].dropsAnswersFrom[primary.id] = true
		sent := registrar.send("edit_listing", world.newWrite(scenarioKey), model.OpStatement, world.newRequestID())
		world.run(50 * time.Millisecond)
		primary.kill()
		world.runUntil(10*time.Second, sent.answered)
		clear(world.nodes[0].dropsAnswersFrom)
		world.run(3 * time.Second)
		world.oracle.check()
		primary.boot()
		world.run(3 * time.Second)
	}
}

func attackKilledMidWrite(world *simulation) {
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

func attackRetry(world *simulation) {
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
		registrar.moveTo(world.nodes[1])
		registrar.call("edit_listing", write, model.OpStatement, id)
		registrar.moveTo(world.nodes[0])
		registrar.call("edit_listing", write, model.OpStatement, id)
	}
}

package fuzz

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
)

func attackLateAnswer(simulation *simulation) {
	primary := simulation.primaryOf(simulation.groups[0].ID())
	first := simulation.connect(simulation.proxies[0], "registrar")
	second := simulation.connect(simulation.proxies[0], "registrar")
	first.write()
	primary.frozen = true
	sent := first.send("edit_listing", simulation.newWrite(scenarioKey), model.OpStatement, simulation.newRequestID())
	simulation.run(400 * time.Millisecond)
	late := second.send("edit_listing", simulation.newWrite(scenarioKey), model.OpStatement, simulation.newRequestID())
	primary.thaw()
	simulation.runUntil(10*time.Second, func() bool { return sent.answered() && late.answered() })
	second.write()
	first.write()
}

func attackLateStatement(simulation *simulation) {
	primary := simulation.primaryOf(simulation.groups[0].ID())
	registrar := simulation.connect(simulation.proxies[0], "registrar")
	registrar.write()
	primary.frozen = true
	sent := registrar.send("edit_listing", simulation.newWrite(scenarioKey), model.OpStatement, simulation.newRequestID())
	simulation.run(400 * time.Millisecond)
	primary.thaw()
	simulation.runUntil(10*time.Second, sent.answered)
	registrar.write()
}

func attackLostAnswer(simulation *simulation) {
	registrar := simulation.connect(simulation.proxies[0], "registrar")
	registrar.write()
	for range 3 {
		primary := simulation.primaryOf(simulation.groups[0].ID())
		if primary == nil {
			return
		}
		simulation.proxies[0].dropsAnswersFrom[primary.id] = true
		sent := registrar.send("edit_listing", simulation.newWrite(scenarioKey), model.OpStatement, simulation.newRequestID())
		simulation.run(50 * time.Millisecond)
		primary.kill()
		simulation.runUntil(10*time.Second, sent.answered)
		clear(simulation.proxies[0].dropsAnswersFrom)
		simulation.run(3 * time.Second)
		simulation.oracle.check()
		primary.boot()
		simulation.run(3 * time.Second)
	}
}

func attackKilledMidWrite(simulation *simulation) {
	registrar := simulation.connect(simulation.proxies[0], "registrar")
	registrar.write()
	for halfMilliseconds := range 14 {
		primary := simulation.primaryOf(simulation.groups[0].ID())
		if primary == nil {
			return
		}
		sent := registrar.send("edit_listing", simulation.newWrite(scenarioKey), model.OpStatement, simulation.newRequestID())
		simulation.run(time.Duration((halfMilliseconds+7)%14) * time.Millisecond / 2)
		primary.kill()
		simulation.runUntil(10*time.Second, sent.answered)
		simulation.run(3 * time.Second)
		simulation.oracle.check()
		primary.boot()
		simulation.run(3 * time.Second)
	}
}

func attackRetry(simulation *simulation) {
	primary := simulation.primaryOf(simulation.groups[0].ID())
	registrar := simulation.connect(simulation.proxies[0], "registrar")
	registrar.write()
	for range 3 {
		write, id := simulation.newWrite(scenarioKey), simulation.newRequestID()
		registrar.send("edit_listing", write, model.OpStatement, id)
		simulation.run(3 * time.Millisecond)
		primary.frozen = true
		simulation.run(450 * time.Millisecond)
		primary.thaw()
		registrar.moveTo(simulation.proxies[1])
		registrar.call("edit_listing", write, model.OpStatement, id)
		registrar.moveTo(simulation.proxies[0])
		registrar.call("edit_listing", write, model.OpStatement, id)
	}
}

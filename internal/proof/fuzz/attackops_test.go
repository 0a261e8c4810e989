package fuzz

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
)

func attackInterleaved(simulation *simulation) {
	first := simulation.connect(simulation.proxies[0], "registrar")
	second := simulation.connect(simulation.proxies[0], "registrar")
	for range 3 {
		callers := []*caller{first, second}
		ids := []string{simulation.newRequestID(), simulation.newRequestID()}
		for _, caller := range callers {
			caller.call("", nil, model.OpBegin, "")
		}
		for range 2 {
			for index, caller := range callers {
				write := simulation.newWrite(scenarioKey)
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
	first.call("edit_listing", simulation.newWrite(scenarioKey), model.OpStatement, simulation.newRequestID())
	first.close()
	second.write()
}

func attackStaleHostList(simulation *simulation) {
	registrar := simulation.connect(simulation.proxies[0], "registrar")
	registrar.write()
	for _, leaving := range simulation.instances[1:] {
		leaving.leaving = true
		leaving.leavingAt = simulation.now
		simulation.platform.down = true
		for range 40 {
			simulation.run(200 * time.Millisecond)
			registrar.read("seat_count")
		}
		leaving.leaving = false
		simulation.run(time.Second)
	}
	registrar.write()
}

func attackShutdown(simulation *simulation) {
	primary := simulation.primaryOf(simulation.groups[0].ID())
	registrar := simulation.connect(simulation.proxies[0], "registrar")
	other := simulation.connect(simulation.proxies[0], "registrar")
	registrar.write()
	other.call("", nil, model.OpBegin, "")
	id := simulation.newRequestID()
	other.call("edit_listing", simulation.newWrite(scenarioKey), model.OpStatement, id)
	primary.frozen = true
	registrar.send("edit_listing", simulation.newWrite(scenarioKey), model.OpStatement, simulation.newRequestID())
	simulation.proxies[0].drain()
	simulation.run(300 * time.Millisecond)
	primary.thaw()
	simulation.run(100 * time.Millisecond)
	other.call("edit_listing", simulation.newWrite(scenarioKey), model.OpStatement, id)
	other.call("", nil, model.OpCommit, "")
	simulation.run(5 * time.Second)
	if !simulation.proxies[0].stopped {
		simulation.oracle.reportViolation("P8", "the drained proxy did not stop")
	}
}

func attackConcurrentChanges(simulation *simulation) {
	revision, _ := simulation.proxies[0].revision()
	simulation.apply(simulation.proxies[0], 2, revision, "change-a")
	simulation.apply(simulation.proxies[1], 3, revision, "change-b")
	simulation.run(10 * time.Second)
	simulation.platform.loseAnswers = true
	revision, _ = simulation.proxies[0].revision()
	simulation.apply(simulation.proxies[0], 4, revision, "change-c")
	simulation.run(5 * time.Second)
	simulation.platform.loseAnswers = false
	simulation.apply(simulation.proxies[2], 4, revision, "change-c")
	simulation.run(10 * time.Second)
	simulation.platform.down = true
	simulation.startProxy()
	simulation.run(10 * time.Second)
}

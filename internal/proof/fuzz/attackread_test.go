package fuzz

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
)

func attackProxySwitch(simulation *simulation) {
	registrar := simulation.connect(simulation.proxies[0], "registrar")
	registrar.write()
	simulation.instances[2].lag = 30 * time.Millisecond
	for range 12 {
		simulation.run(200 * time.Millisecond)
		registrar.write()
		registrar.moveTo(simulation.proxies[1])
		registrar.read("seat_count")
		registrar.read("browse")
		registrar.moveTo(simulation.proxies[0])
	}
}

func attackLostToken(simulation *simulation) {
	registrar := simulation.connect(simulation.proxies[0], "registrar")
	for range 6 {
		simulation.instances[2].frozen = true
		registrar.write()
		simulation.instances[2].groupPartitioned = true
		simulation.instances[2].thaw()
		registrar.write()
		registrar.token = model.Token{}
		registrar.moveTo(simulation.proxies[2])
		registrar.read("browse")
		simulation.instances[2].groupPartitioned = false
		registrar.moveTo(simulation.proxies[0])
	}
}

func attackDirtyRead(simulation *simulation) {
	hotel := simulation.connect(simulation.proxies[0], "hotel")
	kitchen := simulation.connect(simulation.proxies[1], "kitchen")
	hotel.write()
	for _, replica := range simulation.instances[1:] {
		replica.leaving = true
		replica.leavingAt = simulation.now
	}
	simulation.run(time.Second)
	for _, replica := range simulation.instances[1:] {
		replica.groupPartitioned = true
	}
	hotel.send("edit_listing", simulation.newWrite(scenarioKey), model.OpStatement, simulation.newRequestID())
	simulation.run(20 * time.Millisecond)
	kitchen.send("seat_count", &statement{key: scenarioKey}, model.OpStatement, "")
	simulation.run(50 * time.Millisecond)
	simulation.instances[0].kill()
	for _, replica := range simulation.instances[1:] {
		replica.leaving = false
		replica.groupPartitioned = false
	}
	simulation.run(5 * time.Second)
	hotel.write()
}

func attackStaleReplica(simulation *simulation) {
	registrar := simulation.connect(simulation.proxies[0], "registrar")
	student := simulation.connect(simulation.proxies[1], "student")
	registrar.write()
	simulation.instances[2].groupPartitioned = true
	registrar.write()
	simulation.run(5 * time.Second)
	for range 6 {
		student.read("browse")
	}
}

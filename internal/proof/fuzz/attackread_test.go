package fuzz

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
)

func attackProxySwitch(world *simulation) {
	registrar := world.connect(world.nodes[0], "registrar")
	registrar.write()
	world.instances[2].lag = 30 * time.Millisecond
	for range 12 {
		world.run(200 * time.Millisecond)
		registrar.write()
		registrar.moveTo(world.nodes[1])
		registrar.read("seat_count")
		registrar.read("browse")
		registrar.moveTo(world.nodes[0])
	}
}

func attackLostToken(world *simulation) {
	registrar := world.connect(world.nodes[0], "registrar")
	for range 6 {
		world.instances[2].frozen = true
		registrar.write()
		world.instances[2].groupPartitioned = true
		world.instances[2].thaw()
		registrar.write()
		registrar.token = model.Token{}
		registrar.moveTo(world.nodes[2])
		registrar.read("browse")
		world.instances[2].groupPartitioned = false
		registrar.moveTo(world.nodes[0])
	}
}

func attackDirtyRead(world *simulation) {
	hotel := world.connect(world.nodes[0], "hotel")
	kitchen := world.connect(world.nodes[1], "kitchen")
	hotel.write()
	for _, replica := range world.instances[1:] {
		replica.leaving = true
		replica.leavingAt = world.now
	}
	world.run(time.Second)
	for _, replica := range world.instances[1:] {
		replica.groupPartitioned = true
	}
	hotel.send("edit_listing", world.newWrite(scenarioKey), model.OpStatement, world.newRequestID())
	world.run(20 * time.Millisecond)
	kitchen.send("seat_count", &statement{key: scenarioKey}, model.OpStatement, "")
	world.run(50 * time.Millisecond)
	world.instances[0].kill()
	for _, replica := range world.instances[1:] {
		replica.leaving = false
		replica.groupPartitioned = false
	}
	world.run(5 * time.Second)
	hotel.write()
}

func attackStaleReplica(world *simulation) {
	registrar := world.connect(world.nodes[0], "registrar")
	student := world.connect(world.nodes[1], "student")
	registrar.write()
	world.instances[2].groupPartitioned = true
	registrar.write()
	world.run(5 * time.Second)
	for range 6 {
		student.read("browse")
	}
}

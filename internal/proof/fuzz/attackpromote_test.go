package fuzz

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
)

func attackPartitionedPrimary(simulation *simulation) {
	registrar := simulation.connect(simulation.proxies[0], "registrar")
	other := simulation.connect(simulation.proxies[1], "registrar")
	registrar.write()
	old := simulation.primaryOf(simulation.groups[0].ID())
	old.groupPartitioned = true
	simulation.proxies[0].peersPartitioned = true
	for _, proxy := range simulation.proxies[1:] {
		proxy.partitionedFrom[old.id] = true
	}
	for _, instance := range simulation.instances {
		if instance != old {
			simulation.proxies[0].partitionedFrom[instance.id] = true
		}
	}
	for range 4 {
		registrar.write()
		simulation.run(time.Second)
		other.write()
		other.read("seat_count")
	}
}

// attackOlderTail commits a write on A alone, promotes B for a term of which C
// replicates nothing, and then kills B. A then has the most advanced log of the
// remaining instances, although its tail is from an older term.
func attackOlderTail(simulation *simulation) {
	registrar := simulation.connect(simulation.proxies[0], "registrar")
	registrar.write()
	a, b, c := simulation.instances[0], simulation.instances[1], simulation.instances[2]
	registrar.call("", nil, model.OpBegin, "")
	registrar.call("edit_listing", simulation.newWrite(scenarioKey), model.OpStatement, simulation.newRequestID())
	a.groupPartitioned, c.groupPartitioned = true, true
	simulation.proxies[0].dropsAnswersFrom[a.id] = true
	commit := registrar.send("", nil, model.OpCommit, "")
	simulation.run(10 * time.Millisecond)
	for _, proxy := range simulation.proxies {
		proxy.partitionedFrom[a.id] = true
	}
	simulation.runUntil(10*time.Second, commit.answered)
	simulation.run(time.Second)
	b.kill()
	a.groupPartitioned, c.groupPartitioned = false, false
	for _, proxy := range simulation.proxies {
		clear(proxy.partitionedFrom)
		clear(proxy.dropsAnswersFrom)
	}
	simulation.run(5 * time.Second)
	simulation.oracle.check()
	registrar.write()
}

func attackLaggingCandidate(simulation *simulation) {
	registrar := simulation.connect(simulation.proxies[0], "registrar")
	registrar.write()
	simulation.instances[1].groupPartitioned = true
	registrar.write()
	for _, proxy := range simulation.proxies {
		proxy.partitionedFrom[simulation.instances[2].id] = true
	}
	simulation.instances[0].kill()
	simulation.run(5 * time.Second)
	for _, proxy := range simulation.proxies {
		clear(proxy.partitionedFrom)
	}
	simulation.instances[1].groupPartitioned = false
	simulation.run(5 * time.Second)
	registrar.write()
}

func attackKilledPrimary(simulation *simulation) {
	registrar := simulation.connect(simulation.proxies[0], "registrar")
	for range 2 {
		primary := simulation.primaryOf(simulation.groups[0].ID())
		for _, instance := range simulation.instances {
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
		simulation.run(3 * time.Second)
		registrar.write()
		registrar.read("seat_count")
		simulation.oracle.check()
		primary.boot()
		simulation.run(3 * time.Second)
	}
}

// attackEmptyReplica replaces a replica that took part in a promotion by an
// empty one that only the former primary and its proxy can reach.
func attackEmptyReplica(simulation *simulation) {
	registrar := simulation.connect(simulation.proxies[0], "registrar")
	other := simulation.connect(simulation.proxies[1], "registrar")
	registrar.write()
	a, b, c := simulation.instances[0], simulation.instances[1], simulation.instances[2]
	a.groupPartitioned = true
	simulation.proxies[0].peersPartitioned = true
	simulation.proxies[0].partitionedFrom[b.id], simulation.proxies[0].partitionedFrom[c.id] = true, true
	simulation.proxies[1].partitionedFrom[a.id], simulation.proxies[2].partitionedFrom[a.id] = true, true
	simulation.run(3 * time.Second)
	other.write()
	c.wipe()
	a.groupPartitioned, b.groupPartitioned = false, true
	delete(simulation.proxies[0].partitionedFrom, c.id)
	simulation.proxies[1].partitionedFrom[c.id], simulation.proxies[2].partitionedFrom[c.id] = true, true
	for range 3 {
		simulation.run(time.Second)
		registrar.write()
	}
}

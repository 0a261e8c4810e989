package fuzz

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/proof/seeds"
)

const (
	fixedChecks = 25
	fixedSteps  = 60
	maxCallers  = 6
	maxProxies  = 6
	maxStep     = 20 * time.Millisecond
)

func TestMain(m *testing.M) { seeds.Main(m, fixedChecks, fixedSteps) }

// TestFuzz runs random histories of caller requests, operator commands and
// faults, and checks the oracle after every step.
func TestFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := &machine{simulation: newSimulation(rapid.Uint64().Draw(t, "seed"), 1, 3, newProductKernel)}
		machine.connect(t)
		machine.connect(t)
		t.Repeat(map[string]func(*rapid.T){
			"":          machine.check,
			"connect":   machine.connect,
			"roam":      machine.moveCaller,
			"write":     machine.write,
			"retry":     machine.retry,
			"read":      machine.read,
			"begin":     machine.begin,
			"statement": machine.writeInTransaction,
			"end":       machine.endTransaction,
			"wait":      machine.wait,
			"instance":  machine.injectInstanceFault,
			"link":      machine.injectLinkFault,
			"platform":  machine.injectPlatformFault,
			"proxy":     machine.injectProxyFault,
			"operator":  machine.changeDeployment,
			"leave":     machine.toggleLeaving,
			"heal":      machine.heal,
		})
		machine.finish(t)
	})
}

// machine is the rapid state machine that makes the random steps of one history.
type machine struct {
	simulation    *simulation
	sentWrites    []*request
	changeCount   int
	instanceWiped bool
}

func (machine *machine) check(t *rapid.T) {
	machine.simulation.run(time.Duration(machine.simulation.random.Int64N(int64(maxStep))))
	machine.simulation.oracle.check()
	machine.failOnViolations(t)
}

func (machine *machine) failOnViolations(t *rapid.T) {
	for _, violation := range machine.simulation.oracle.violations {
		t.Errorf("at %s: %s", machine.simulation.now, violation)
	}
	if len(machine.simulation.oracle.violations) > 0 {
		t.FailNow()
	}
}

// finish ends every fault, starts one more proxy, and checks the final state. A
// new caller must then succeed with a write.
func (machine *machine) finish(t *rapid.T) {
	machine.simulation.heal()
	machine.simulation.run(recoveryTime)
	machine.simulation.startProxy()
	machine.simulation.run(recoveryTime)
	machine.simulation.oracle.checkEnd()
	machine.failOnViolations(t)
	newest := machine.simulation.proxies[len(machine.simulation.proxies)-1]
	registrar := machine.simulation.connect(newest, "registrar")
	if written := registrar.write(); written == nil || !written.acknowledged() {
		t.Fatalf("at %s: write failed after all faults ended", machine.simulation.now)
	}
}

func (machine *machine) liveProxies() []*proxy {
	var live []*proxy
	for _, proxy := range machine.simulation.proxies {
		if proxy.alive {
			live = append(live, proxy)
		}
	}
	return live
}

func (machine *machine) drawProxy(t *rapid.T) *proxy {
	live := machine.liveProxies()
	if len(live) == 0 {
		t.Skip("no proxy is alive")
	}
	return rapid.SampledFrom(live).Draw(t, "proxy")
}

func (machine *machine) drawInstance(t *rapid.T) *instance {
	return machine.simulation.instances[rapid.IntRange(0, len(machine.simulation.instances)-1).Draw(t, "instance")]
}

// drawIdleCaller returns a connected caller that has no request in flight.
func (machine *machine) drawIdleCaller(t *rapid.T) *caller {
	var idle []*caller
	for _, caller := range machine.simulation.callers {
		if caller.ready && !caller.disconnected && caller.pending == nil {
			idle = append(idle, caller)
		}
	}
	if len(idle) == 0 {
		t.Skip("no caller is idle")
	}
	return idle[rapid.IntRange(0, len(idle)-1).Draw(t, "caller")]
}

func drawKey(t *rapid.T) string {
	return rapid.SampledFrom([]string{"algebra", "botany", "chemistry"}).Draw(t, "key")
}

func (machine *machine) connect(t *rapid.T) {
	if len(machine.simulation.callers) >= maxCallers {
		t.Skip("the maximum number of callers is reached")
	}
	class := rapid.SampledFrom([]string{"registrar", "student", "hotel", "kitchen"}).Draw(t, "class")
	machine.simulation.connect(machine.drawProxy(t), class)
}

func (machine *machine) moveCaller(t *rapid.T) {
	caller := machine.simulation.callers[rapid.IntRange(0, len(machine.simulation.callers)-1).Draw(t, "caller")]
	if caller.pending != nil && !rapid.Bool().Draw(t, "impatient") {
		t.Skip("the caller has a request in flight")
	}
	if rapid.Bool().Draw(t, "lose token") {
		caller.token = model.Token{}
	}
	caller.moveTo(machine.drawProxy(t))
}

func (machine *machine) write(t *rapid.T) {
	caller := machine.drawIdleCaller(t)
	if caller.inTx {
		t.Skip("the caller is in a transaction")
	}
	sent := caller.send("edit_listing", machine.simulation.newWrite(drawKey(t)), model.OpStatement, machine.simulation.newRequestID())
	machine.sentWrites = append(machine.sentWrites, sent)
}

// retry sends an earlier write again with the same request ID.
func (machine *machine) retry(t *rapid.T) {
	caller := machine.drawIdleCaller(t)
	if caller.inTx || len(machine.sentWrites) == 0 {
		t.Skip("no write can be retried")
	}
	earlier := machine.sentWrites[rapid.IntRange(0, len(machine.sentWrites)-1).Draw(t, "request")]
	caller.send("edit_listing", earlier.statement, model.OpStatement, earlier.spec.RequestID)
}

func (machine *machine) read(t *rapid.T) {
	caller := machine.drawIdleCaller(t)
	if caller.inTx {
		t.Skip("the caller is in a transaction")
	}
	kind := rapid.SampledFrom([]string{"browse", "seat_count"}).Draw(t, "kind")
	caller.send(kind, &statement{key: drawKey(t)}, model.OpStatement, "")
}

func (machine *machine) begin(t *rapid.T) {
	caller := machine.drawIdleCaller(t)
	if caller.inTx {
		t.Skip("the caller is in a transaction")
	}
	caller.call("", nil, model.OpBegin, "")
}

func (machine *machine) writeInTransaction(t *rapid.T) {
	caller := machine.drawIdleCaller(t)
	if !caller.inTx {
		t.Skip("the caller is in no transaction")
	}
	write := machine.simulation.newWrite(drawKey(t))
	write.owner = caller.connName()
	caller.send("edit_listing", write, model.OpStatement, machine.simulation.newRequestID())
}

func (machine *machine) endTransaction(t *rapid.T) {
	caller := machine.drawIdleCaller(t)
	if !caller.inTx {
		t.Skip("the caller is in no transaction")
	}
	op := rapid.SampledFrom([]model.Op{model.OpCommit, model.OpRollback}).Draw(t, "op")
	caller.send("", nil, op, "")
}

func (machine *machine) wait(t *rapid.T) {
	milliseconds := rapid.SampledFrom([]int{1, 5, 20, 100, 600, 3000}).Draw(t, "ms")
	machine.simulation.run(time.Duration(milliseconds) * time.Millisecond)
}

func (machine *machine) injectInstanceFault(t *rapid.T) {
	target := machine.drawInstance(t)
	switch rapid.SampledFrom([]string{"kill", "freeze", "lag", "recover", "wipe"}).Draw(t, "fault") {
	case "kill":
		target.kill()
	case "freeze":
		target.frozen = true
	case "wipe":
		if machine.instanceWiped {
			t.Skip("an instance was already replaced")
		}
		machine.instanceWiped = true
		target.wipe()
	case "lag":
		target.lag = time.Duration(rapid.IntRange(0, 2000).Draw(t, "lag ms")) * time.Millisecond
	case "recover":
		target.boot()
		target.lag = 0
		if target.frozen {
			target.thaw()
		}
	}
}

func (machine *machine) injectLinkFault(t *rapid.T) {
	target := machine.drawInstance(t)
	switch rapid.SampledFrom([]string{"group", "proxy", "answers", "all", "peers"}).Draw(t, "link") {
	case "group":
		target.groupPartitioned = !target.groupPartitioned
	case "proxy":
		proxy := machine.drawProxy(t)
		proxy.partitionedFrom[target.id] = !proxy.partitionedFrom[target.id]
	case "answers":
		proxy := machine.drawProxy(t)
		proxy.dropsAnswersFrom[target.id] = !proxy.dropsAnswersFrom[target.id]
	case "all":
		for _, proxy := range machine.simulation.proxies {
			proxy.partitionedFrom[target.id] = true
		}
	case "peers":
		proxy := machine.drawProxy(t)
		proxy.peersPartitioned = !proxy.peersPartitioned
	}
}

func (machine *machine) injectPlatformFault(t *rapid.T) {
	platform := machine.simulation.platform
	switch rapid.SampledFrom([]string{"down", "lose answers", "cut", "up"}).Draw(t, "fault") {
	case "down":
		platform.down = true
	case "lose answers":
		platform.loseAnswers = true
	case "cut":
		proxy := machine.drawProxy(t)
		proxy.storePartitioned = !proxy.storePartitioned
	case "up":
		platform.down, platform.loseAnswers = false, false
	}
}

func (machine *machine) injectProxyFault(t *rapid.T) {
	switch rapid.SampledFrom([]string{"kill", "pause", "resume", "start", "drain"}).Draw(t, "fault") {
	case "kill":
		machine.drawProxy(t).kill()
	case "pause":
		machine.drawProxy(t).frozen = true
	case "resume":
		for _, proxy := range machine.liveProxies() {
			if proxy.frozen {
				proxy.thaw()
			}
		}
	case "start":
		if len(machine.liveProxies()) < maxProxies {
			machine.simulation.startProxy()
		}
	case "drain":
		machine.drawProxy(t).drain()
	}
}

func (machine *machine) changeDeployment(t *rapid.T) {
	machine.changeCount++
	proxy := machine.drawProxy(t)
	revision, _ := proxy.revision()
	machine.simulation.apply(proxy, 1+machine.changeCount, revision, fmt.Sprintf("change-%d", 1+machine.changeCount))
}

func (machine *machine) toggleLeaving(t *rapid.T) {
	target := machine.drawInstance(t)
	target.leaving = !target.leaving
	target.leavingAt = machine.simulation.now
}

func (machine *machine) heal(*rapid.T) {
	machine.simulation.heal()
	machine.simulation.run(3 * time.Second)
}

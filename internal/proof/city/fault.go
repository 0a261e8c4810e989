package city

import (
	"math/rand/v2"
	"time"
)

// hangCheckInterval is how often a hanging statement checks whether the fault has ended or its
// connection was closed.
const hangCheckInterval = 5 * time.Millisecond

// Fault is an impairment of the primary or of one replica, or the lag of all replicas.
type Fault struct {
	// From and Until limit the fault, counted from the first arrival. There is none if Until
	// is 0.
	From, Until time.Duration
	// With OnReplica, a replica has the fault and not the primary.
	OnReplica bool
	// HangShare is the share of the statements that hold a slot until the fault ends or the
	// proxy closes the connection.
	HangShare float64
	// HangTime limits how long a statement hangs, unless it is 0. The instance notices a closed
	// connection no earlier.
	HangTime time.Duration
	// SlowFactor multiplies the time for which a statement holds a slot, unless it is 0.
	SlowFactor float64
	// ErrorShare is the share of the statements that fail with an error.
	ErrorShare float64
	// With Full, the instance refuses all statements for lack of a slot, and all new
	// connections.
	Full bool
	// Lag replaces the apply delay of the replicas, unless it is 0.
	Lag time.Duration
}

// scheduleFault starts and ends the fault of the load.
func (load *load) scheduleFault() {
	simulation, fault := load.simulation, load.spec.Fault
	if fault.Until == 0 {
		return
	}
	simulation.runAfter(fault.From, func() {
		simulation.faulty(fault).fault = fault
		if fault.Lag > 0 {
			simulation.setApplyDelay(fault.Lag)
		}
	})
	simulation.runAfter(fault.Until, func() {
		for _, instance := range simulation.instances {
			instance.fault = Fault{}
		}
		if fault.Lag > 0 {
			simulation.setApplyDelay(load.spec.ApplyDelay)
		}
	})
}

// faulty returns the instance that gets the fault.
func (simulation *simulation) faulty(fault Fault) *instance {
	for _, instance := range simulation.instances {
		if fault.OnReplica && instance != simulation.primary {
			return instance
		}
	}
	return simulation.primary
}

// span returns how long a statement with the given work holds a slot.
func (fault Fault) span(work time.Duration) time.Duration {
	if fault.SlowFactor > 0 {
		return time.Duration(fault.SlowFactor * float64(work))
	}
	return work
}

// hangs reports whether the next statement hangs.
func (fault Fault) hangs(random *rand.Rand) bool {
	return fault.HangShare > 0 && random.Float64() < fault.HangShare
}

// outlives calls done after a time. If the connection is closed before, it keeps its place at
// the instance until then.
func (conn *conn) outlives(span time.Duration, done func()) {
	if conn.closed {
		done()
		return
	}
	conn.hanging = true
	conn.proxy.simulation.runAfter(span, func() {
		conn.hanging = false
		if conn.closed {
			conn.instance.capacity.conns--
		}
		done()
	})
}

// hang calls done once the fault has ended or the connection is closed.
func (conn *conn) hang(done func()) {
	if conn.closed || conn.instance.fault.HangShare == 0 {
		done()
		return
	}
	conn.proxy.simulation.runAfter(hangCheckInterval, func() { conn.hang(done) })
}

package conns

import (
	"maps"
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

const (
	// A statement is overdue once it has run for 1/overtakenDivisor of its target latency while
	// the instance answered a statement that was sent later, since what the instance queues is
	// answered in the order of arrival. Without such an answer it is overdue after
	// silentFactor of its target latencies. An instance that is slow to all has no overdue ones.
	overtakenDivisor = 2
	silentFactor     = 2
	// Overdue statements without a slot may hold 1/overdueDivisor of the connections.
	overdueDivisor = 2
)

// releaseOverdue returns the slots of overdue statements, so that a statement that hangs does not
// keep the proxy from sending the instance others. Their answers are still awaited. The user of
// the connection may ask another instance instead.
func (pools *Pools) releaseOverdue() {
	for _, exec := range slices.Sorted(maps.Keys(pools.execs)) {
		conn, ok := pools.execs[exec]
		if !ok || !conn.isOverdue(pools.context.Now()) {
			continue
		}
		conn.overdue = true
		if conn.hasSlot && conn.pool.overdueConns() <= max(1, conn.pool.maxOpen()/overdueDivisor) {
			pools.logOverdue(conn)
			pools.releaseSlot(conn, route.SlotUnanswered)
		}
		if user, ok := conn.user.(route.OverdueUser); ok {
			user.ExecuteOverdue()
		}
	}
}

func (pools *Pools) logOverdue(conn *conn) {
	pools.context.Emit(event.NewLogDecision(model.Decision{
		Name:       "slot_released",
		Deployment: conn.request.Job.Deployment().Name(),
		Kind:       conn.request.Job.Kind().Name(),
		Instance:   conn.pool.instance.ID(),
		Took:       pools.context.Now() - conn.since,
		Reason:     "a statement is not answered in time",
	}))
}

// isOverdue reports whether the statement that runs on a connection has become overdue. The slots
// of a caller class with a limit are not given away, because the limit is a setting. A confirmation
// of the primary keeps its slot for the statement after it.
func (conn *conn) isOverdue(now time.Duration) bool {
	job := conn.request.Job
	if conn.overdue || job == nil || conn.step == model.StepConfirmPrimary || job.Class().MaxConcurrent() > 0 {
		return false
	}
	target, ran := job.Kind().TargetLatency(), now-conn.since
	if target == 0 || !conn.pool.pools.admission.Stalled(conn.request, ran) {
		return false
	}
	return ran >= silentFactor*target || ran >= target/overtakenDivisor && conn.pool.newestAnswered > conn.since
}

// overdueConns returns the number of connections on which overdue statements run.
func (pool *pool) overdueConns() int {
	count := 0
	for _, conn := range pool.pools.execs {
		if conn.pool == pool && conn.overdue {
			count++
		}
	}
	return count
}

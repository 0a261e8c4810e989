package relay

import "almondway.dev/almondway/internal/core/model"

// ExecuteOverdue implements route.OverdueUser. A single read that its instance does not answer in
// time is asked elsewhere within the retry budget of the group; anything else goes on waiting.
func (task *task) ExecuteOverdue() {
	if task.state != taskExecuting || task.step != model.StepSingle || task.requirement != requireMark || !task.hasAlternative() {
		return
	}
	if !task.relay.admission.TakeRetry(task.job.Group()) {
		return
	}
	task.relay.recordFailure(task.instance)
	conn := task.conn
	task.conn = 0
	task.mayHaveRun = true
	task.recordEnded(false)
	task.relay.conns.Discard(conn)
	task.retryElsewhere("the instance does not answer the read in time")
}

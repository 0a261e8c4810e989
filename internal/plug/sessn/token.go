package sessn

import (
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

// admit passes a job to its runner once its team has a token for it. A transaction needs one for
// its first statement only.
func (sessions *Sessions) admit(caller *caller, job *route.Job) {
	runner := sessions.runner(caller.access)
	if sessions.quota == nil || job.Team() == nil || job.Tx() != nil && job.Tx().Counted() {
		runner.Start(job)
		return
	}
	wait := sessions.quota.Acquire(job.Team(), func(denial *route.Denial) {
		caller.tokenWait = 0
		if denial != nil {
			sessions.Finish(job, route.ResultSpec{Outcome: model.OutcomeNotRun, Code: denial.Code, RetryAfter: denial.RetryAfter, Reason: denial.Reason})
			return
		}
		if tx := job.Tx(); tx != nil {
			tx.SetCounted()
		}
		runner.Start(job)
	})
	if wait != 0 {
		caller.tokenWait = wait
	}
}

func (sessions *Sessions) cancelTokenWait(caller *caller) {
	if caller.tokenWait != 0 {
		sessions.quota.CancelWait(caller.tokenWait)
		caller.tokenWait = 0
	}
}

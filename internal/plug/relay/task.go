package relay

import (
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/state"
)

type taskState int

const (
	// taskAwaitingInstance: no instance is known to be able to run the statement.
	taskAwaitingInstance taskState = iota
	// taskAcquiring: the task waits for a connection.
	taskAcquiring
	// taskConfirmingPrimary: the instance is asked on the task's connection to confirm that
	// it is the primary.
	taskConfirmingPrimary
	// taskExecuting: the instance runs the statement.
	taskExecuting
	// taskWithheld: the instance has acknowledged a commit, which is not confirmed yet.
	taskWithheld
	taskEnded
)

const (
	// minTimeout is the lower bound of an execution's timeout.
	minTimeout = time.Millisecond
	// acquireRetryDelay is the delay before a task that found no instance tries again.
	acquireRetryDelay = 15 * time.Millisecond
)

// task is a running statement. It implements route.ConnUser and route.RunningRequest.
type task struct {
	relay          *Relay
	job            *route.Job
	requirement    requirement
	state          taskState
	listIndex      int
	waitID         route.WaitID
	confirmationID route.ConfirmationID
	conn           model.ConnID
	instance       model.InstanceID
	avoided        []model.InstanceID
	step           model.Step
	after          model.Mark    // the mark that the log of the instance must cover
	age            time.Duration // age of after when the instance was chosen
	sentAt         time.Duration
	resumed        bool                // the statement continues a transaction
	forwarded      bool                // another proxy runs the statement
	confirmed      bool                // the instance confirms that it is the primary with the statement
	sent           route.SentStatement // the outstanding statement, for the load reports
	reason         string
	reran          bool // the read was repeated after an error of the instance
	retryScheduled bool // the timer of scheduleRetry is running
	mayHaveRun     bool // the read was sent to an instance whose answer was lost or given up
	// retryAfter is the longest retry delay returned by an instance whose queue was full,
	// or 0.
	retryAfter time.Duration
}

func newTask(relay *Relay, job *route.Job) *task {
	return &task{relay: relay, job: job, requirement: requirementOf(job)}
}

// Group implements route.RunningRequest.
func (task *task) Group() model.GroupID { return task.job.Group() }

// ListIndex implements route.RunningRequest.
func (task *task) ListIndex() int { return task.listIndex }

// RequestID implements route.IdentifiedUser.
func (task *task) RequestID() string { return task.job.LoggedID() }

// SetListIndex implements route.RunningRequest.
func (task *task) SetListIndex(index int) { task.listIndex = index }

// groupState returns the state of the group, or nil if the group is not listed.
func (task *task) groupState() *state.Group {
	return task.relay.context.State().Group(task.job.Group())
}

func (task *task) isCommit() bool { return task.job.Request().Op() == model.OpCommit }

func (task *task) writes() bool { return task.job.Request().Writes() }

func (task *task) isAvoided(instance model.InstanceID) bool {
	return slices.Contains(task.avoided, instance)
}

// acquire chooses an instance and requests a connection to it. If there is none, the task
// fails or tries again later.
func (task *task) acquire() {
	task.state = taskAwaitingInstance
	group := task.groupState()
	if group == nil {
		task.finish(route.ResultSpec{Outcome: model.OutcomeNotRun, Code: codes.NoReplica, Reason: "group is not listed"})
		return
	}
	instance := task.chooseInstance(group)
	if instance == "" && task.retryAfter > 0 {
		task.finish(route.ResultSpec{Outcome: model.OutcomeNotRun, Code: codes.Overloaded, RetryAfter: task.retryAfter, Reason: "every instance that could run it is full"})
		return
	}
	if instance == "" {
		task.scheduleRetry()
		return
	}
	task.instance = instance
	task.state = taskAcquiring
	// If the request is denied immediately, ConnDenied calls acquire recursively. The WaitID
	// of that call must not be overwritten by the zero WaitID of this one.
	if waitID := task.relay.conns.Acquire(route.SlotRequest{Instance: instance, Job: task.job}, task); waitID != 0 {
		task.waitID = waitID
	}
}

// chooseInstance returns the instance for the statement, or the empty ID if there is none.
func (task *task) chooseInstance(group *state.Group) model.InstanceID {
	if task.requirement != requireMark {
		task.reason = "primary"
		return task.relay.likelyPrimary(group)
	}
	monitor := task.relay.monitor(group.ID())
	monitor.lastReadAt = task.relay.context.Now()
	mark, since, ok := requiredMark(group, task.job)
	if !ok {
		task.reason = "no mark is young enough"
		monitor.startPing(group)
		return ""
	}
	task.after = mark
	task.age = task.relay.context.Now() - since
	return task.chooseReader(group)
}

// scheduleRetry tries all instances again after acquireRetryDelay. A change of the group's
// state triggers the retry earlier.
func (task *task) scheduleRetry() {
	task.avoided = task.avoided[:0]
	if task.retryScheduled {
		return
	}
	task.retryScheduled = true
	task.relay.context.Timers().After(acquireRetryDelay, func() {
		task.retryScheduled = false
		if task.state == taskAwaitingInstance {
			task.acquire()
		}
	})
}

// resume runs a further statement of an open transaction on the transaction's connection.
func (task *task) resume() {
	tx := task.job.Tx()
	task.instance = tx.Instance()
	task.resumed = true
	task.reason = "open transaction"
	if tx.Conn() == 0 || !task.relay.conns.Resume(tx.Conn(), task) {
		tx.Close()
		task.failTx("connection lost")
		return
	}
	task.conn = tx.Conn()
	task.forwarded = task.relay.isForwarded(task.conn)
	if task.isCommit() {
		task.execute(model.StepCommit)
		return
	}
	task.execute(model.StepNext)
}

// ConnGranted implements route.ConnUser.
func (task *task) ConnGranted(conn model.ConnID) {
	task.waitID = 0
	task.conn = conn
	task.forwarded = task.relay.isForwarded(conn)
	if task.requirement == requireConfirmedPrimary && !task.forwarded {
		task.state = taskConfirmingPrimary
		task.send(model.StepConfirmPrimary, nil)
		return
	}
	task.executeFirst()
}

// executeFirst sends the first statement of a transaction or a single statement, unless the key
// of the caller no longer allows it.
func (task *task) executeFirst() {
	if code, reason := route.CheckKey(task.relay.context, task.job); code != codes.OK {
		task.relay.conns.Release(task.conn, false)
		task.conn, task.state = 0, taskEnded
		task.refuseKey(code, reason)
		return
	}
	if tx := task.job.Tx(); tx != nil {
		tx.Open(task.conn, task.instance, task.groupTerm())
		task.execute(model.StepFirst)
		return
	}
	task.execute(model.StepSingle)
}

func (task *task) groupTerm() model.Term {
	if group := task.groupState(); group != nil {
		return group.Term()
	}
	return 0
}

func (task *task) execute(step model.Step) {
	task.state = taskExecuting
	if tx := task.job.Tx(); tx != nil && task.writes() {
		tx.SetWrote()
	}
	task.send(step, task.job.Request().Statement())
}

func (task *task) send(step model.Step, statement model.Payload) {
	task.step = step
	task.sentAt = task.relay.context.Now()
	spec := model.WorkSpec{
		Step:      step,
		Write:     task.requirement == requirePrimary,
		Statement: statement,
		Timeout:   max(minTimeout, task.job.Deadline()-task.sentAt),
	}
	task.confirmed = task.forwarded && !task.resumed && task.requirement == requireConfirmedPrimary
	spec.Confirm = task.confirmed
	if step != model.StepConfirmPrimary {
		spec.SendBefore = route.SendBefore(task.relay.context, task.job)
	}
	if task.requirement == requireMark && !task.resumed {
		spec.After = task.after
	}
	task.recordSent()
	task.relay.conns.Execute(task.conn, model.NewWork(spec))
}

// ConnDenied implements route.ConnUser. A statement that was forwarded is denied after it was
// executed; nothing of it ran, unless it was sent to another proxy before.
func (task *task) ConnDenied(denial route.Denial) {
	task.waitID = 0
	task.mayHaveRun = task.mayHaveRun || denial.MayHaveRun
	task.recordEnded(false)
	if tx := task.job.Tx(); tx != nil && task.state == taskExecuting {
		tx.Restart()
	}
	task.conn = 0
	if denial.Code == codes.NoReplica {
		task.relay.recordFailure(task.instance)
		task.retryElsewhere(denial.Reason)
		return
	}
	if task.requirement == requireMark && task.hasAlternative() {
		task.retryAfter = max(task.retryAfter, denial.RetryAfter)
		task.retryElsewhere(denial.Reason)
		return
	}
	task.finish(route.ResultSpec{Outcome: model.OutcomeNotRun, Code: denial.Code, RetryAfter: denial.RetryAfter, Reason: denial.Reason})
}

// hasAlternative reports whether another instance can run the read.
func (task *task) hasAlternative() bool {
	group := task.groupState()
	if group == nil {
		return false
	}
	for _, member := range group.Members() {
		if member.ID() != task.instance && !member.Leaving() && !task.isAvoided(member.ID()) && !task.relay.knownToLack(member.ID(), task.after) {
			return true
		}
	}
	return false
}

// retryElsewhere runs the statement again after its instance failed to run it. A read that
// accepts staleness is retried immediately on another instance; any other statement is
// retried after a delay.
func (task *task) retryElsewhere(reason string) {
	task.log("retry", reason)
	task.avoided = append(task.avoided, task.instance)
	if task.requirement == requireMark {
		task.acquire()
		return
	}
	task.state = taskAwaitingInstance
	task.scheduleRetry()
}

// ConnLost implements route.ConnUser.
func (task *task) ConnLost(model.ConnID) {
	if tx := task.job.Tx(); tx != nil {
		tx.Close()
	}
}

// log logs a decision that is not visible in the result.
func (task *task) log(name, reason string) {
	task.relay.context.Emit(event.NewLogDecision(model.Decision{
		Name:       name,
		Caller:     task.job.Request().Caller(),
		Seq:        task.job.Seq(),
		RequestID:  task.job.Request().RequestID(),
		Deployment: task.job.Deployment().Name(),
		Kind:       task.job.Kind().Name(),
		Group:      task.job.Group(),
		Instance:   task.instance,
		Reason:     reason,
	}))
}

func (task *task) finish(result route.ResultSpec) {
	if task.mayHaveRun && result.Outcome == model.OutcomeNotRun {
		result.Outcome = model.OutcomeUnknown
	}
	result.Instance = task.instance
	if task.sentAt > 0 {
		result.Waited = task.sentAt - task.job.Arrived()
	}
	if task.requirement == requireMark && !task.resumed {
		result.After = task.after
		result.Age = task.age
	}
	task.end()
	task.relay.sessions.Finish(task.job, result)
}

func (task *task) end() {
	if _, ok := task.relay.runningBySeq[task.job.Seq()]; !ok {
		return
	}
	task.state = taskEnded
	delete(task.relay.runningBySeq, task.job.Seq())
	task.relay.runningByGroup.Remove(task)
}

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
	// taskSeeking: no instance can run the statement as far as is known.
	taskSeeking taskState = iota
	// taskAcquiring: the task waits for a connection.
	taskAcquiring
	// taskProving: the instance is asked whether it leads, on the task's connection.
	taskProving
	// taskExecuting: the instance runs the statement.
	taskExecuting
	taskEnded
)

const (
	// minTimeout is the least time that the adapter is given for an execution.
	minTimeout = time.Millisecond
	// seekDelay is the time after which a task that found no instance looks again.
	seekDelay = 15 * time.Millisecond
)

// task is a running statement. It implements route.Taker and route.Item.
type task struct {
	relay    *Relay
	job      *route.Job
	need     requirement
	state    taskState
	place    int
	ticket   route.WaitID
	conn     model.ConnID
	instance model.InstanceID
	avoided  []model.InstanceID
	step     model.Step
	after    model.Mark
	age      time.Duration // how old the mark was when the instance was chosen
	sentAt   time.Duration
	resumed  bool // the statement continues a transaction
	reason   string
	reran    bool // a read that the instance failed was run again
	waits    bool // a timer to look again runs
	// overload is when to come back, by an instance that was full, or 0.
	overload time.Duration
}

func newTask(relay *Relay, job *route.Job) *task {
	return &task{relay: relay, job: job, need: requires(job)}
}

// Group implements route.Item.
func (task *task) Group() model.GroupID { return task.job.Group() }

// ListIndex implements route.Item.
func (task *task) ListIndex() int { return task.place }

// SetListIndex implements route.Item.
func (task *task) SetListIndex(place int) { task.place = place }

func (task *task) view() *state.Group { return task.relay.context.State().Group(task.job.Group()) }

func (task *task) commits() bool { return task.job.Request().Op() == model.OpCommit }

func (task *task) writes() bool { return task.job.Request().Writes() }

func (task *task) avoids(instance model.InstanceID) bool {
	return slices.Contains(task.avoided, instance)
}

// seek chooses an instance and asks for a connection to it.
func (task *task) seek() {
	task.state = taskSeeking
	view := task.view()
	if view == nil {
		task.finish(route.ResultSpec{Outcome: model.OutcomeNotRun, Code: codes.NoReplica, Reason: "group is not listed"})
		return
	}
	instance := task.target(view)
	if instance == "" && task.overload > 0 {
		task.finish(route.ResultSpec{Outcome: model.OutcomeNotRun, Code: codes.Overloaded, RetryAfter: task.overload, Reason: "every instance that could run it is full"})
		return
	}
	if instance == "" {
		task.wait()
		return
	}
	task.instance = instance
	task.state = taskAcquiring
	// A denial at once looks elsewhere within this call, and that wait has its own ticket.
	if ticket := task.relay.conns.Acquire(route.SlotRequest{Instance: instance, Job: task.job}, task); ticket != 0 {
		task.ticket = ticket
	}
}

// target returns the instance to ask, or the empty name.
func (task *task) target(view *state.Group) model.InstanceID {
	if task.need != needMark {
		task.reason = "primary"
		return task.relay.primary(view)
	}
	ping := task.relay.ping(view.ID())
	ping.usedAt = task.relay.context.Now()
	mark, since, ok := floor(view, task.job)
	if !ok {
		task.reason = "no mark is young enough"
		ping.start(view)
		return ""
	}
	task.after = mark
	task.age = task.relay.context.Now() - since
	task.reason = "least load"
	return task.relay.replica(view, task)
}

// wait looks for an instance again after a while, or when the group is heard of.
func (task *task) wait() {
	task.avoided = task.avoided[:0]
	if task.waits {
		return
	}
	task.waits = true
	task.relay.context.Timers().After(seekDelay, func() {
		task.waits = false
		if task.state == taskSeeking {
			task.seek()
		}
	})
}

// resume runs a further statement of an open transaction.
func (task *task) resume() {
	tx := task.job.Tx()
	task.instance = tx.Instance()
	task.resumed = true
	task.reason = "open transaction"
	if tx.Conn() == 0 || !task.relay.conns.Resume(tx.Conn(), task) {
		tx.Close()
		task.loseTx("connection lost")
		return
	}
	task.conn = tx.Conn()
	if task.commits() {
		task.execute(model.StepCommit)
		return
	}
	task.execute(model.StepNext)
}

// ConnGranted implements route.Taker.
func (task *task) ConnGranted(conn model.ConnID) {
	task.ticket = 0
	task.conn = conn
	if task.need == needProof {
		task.state = taskProving
		task.send(model.StepConfirmPrimary, nil)
		return
	}
	task.begin()
}

// begin sends the first or only statement.
func (task *task) begin() {
	if tx := task.job.Tx(); tx != nil {
		tx.Open(task.conn, task.instance, task.viewTerm())
		task.execute(model.StepFirst)
		return
	}
	task.execute(model.StepSingle)
}

func (task *task) viewTerm() model.Term {
	if view := task.view(); view != nil {
		return view.Term()
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
		Write:     task.need == needLead,
		Statement: statement,
		Timeout:   max(minTimeout, task.job.Deadline()-task.sentAt),
	}
	if task.need == needMark && !task.resumed {
		spec.After = task.after
	}
	task.relay.conns.Execute(task.conn, model.NewWork(spec))
}

// ConnDenied implements route.Taker.
func (task *task) ConnDenied(code codes.Code, retryAfter time.Duration) {
	task.ticket = 0
	if code == codes.NoReplica {
		task.relay.fail(task.instance)
		task.avoid("instance cannot be reached")
		return
	}
	if task.need == needMark && task.elsewhere() {
		task.overload = max(task.overload, retryAfter)
		task.avoid("queue is full")
		return
	}
	task.finish(route.ResultSpec{Outcome: model.OutcomeNotRun, Code: code, RetryAfter: retryAfter, Reason: "no connection"})
}

// elsewhere reports whether another instance may run the read.
func (task *task) elsewhere() bool {
	view := task.view()
	if view == nil {
		return false
	}
	for _, member := range view.Members() {
		if member.ID() != task.instance && !member.Leaving() && !task.avoids(member.ID()) && !task.relay.lacks(member.ID(), task.after) {
			return true
		}
	}
	return false
}

// avoid looks for another instance, because the last one did not run the statement.
func (task *task) avoid(reason string) {
	task.log("retry", reason)
	task.avoided = append(task.avoided, task.instance)
	if task.need == needMark {
		task.seek()
		return
	}
	task.state = taskSeeking
	task.wait()
}

// ConnLost implements route.Taker.
func (task *task) ConnLost(model.ConnID) {
	if tx := task.job.Tx(); tx != nil {
		tx.Close()
	}
}

// log writes a decision that the result alone does not show.
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
	result.Instance = task.instance
	if task.sentAt > 0 {
		result.Waited = task.sentAt - task.job.Arrived()
	}
	if task.need == needMark && !task.resumed {
		result.After = task.after
		result.Age = task.age
	}
	task.end()
	task.relay.sessions.Finish(task.job, result)
}

func (task *task) end() {
	if _, ok := task.relay.running[task.job.Seq()]; !ok {
		return
	}
	task.state = taskEnded
	delete(task.relay.running, task.job.Seq())
	task.relay.board.Remove(task)
}

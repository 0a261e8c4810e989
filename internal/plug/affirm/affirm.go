// Package affirm is the plug-in that confirms the commits of groups whose instances acknowledge them
// themselves. An instance may acknowledge a commit that a promotion undoes, so a commit is confirmed
// before its caller is told: by the proxy that orders promotions or, while that one cannot be asked,
// by a replica that every promotion waits for.
package affirm

import (
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/count"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/timer"
)

func init() { kern.Register("affirm", kern.RankConnections, New, kern.ProfileHosted) }

const (
	// withheldAfter is the time after which a commit that waits is logged.
	withheldAfter = 100 * time.Millisecond
	// refuseAfter is the time after which further writes of a group are refused while a commit waits.
	refuseAfter = 250 * time.Millisecond
	// watchInterval is the time between two looks at the commits that wait.
	watchInterval = 50 * time.Millisecond
)

// Affirm is the plug-in. It implements route.Confirmations.
type Affirm struct {
	context *kern.Context
	holder  *holder
	listed  map[model.InstanceID]listed
	groups  map[model.GroupID]*group // with commits that wait or that were not settled
	probes  map[model.ProbeID]probe
	// failures holds the instances that were full when they were last asked.
	failures map[model.InstanceID]failure
	lastID   route.ConfirmationID
	watch    timer.ID // of the commits that wait, or 0
}

// waiting is a commit that waits for its confirmation.
type waiting struct {
	id     route.ConfirmationID
	commit route.Commit
	term   model.Term
	since  time.Duration
	done   func(confirmation route.Confirmation)
	reason string // why it waits
	logged bool
}

// ended is a commit that waits no more, and why.
type ended struct {
	waiting      *waiting
	confirmation route.Confirmation
	reason       string
}

// New returns the plug-in.
func New(context *kern.Context) kern.Plugin {
	affirm := &Affirm{
		context: context,
		listed:  make(map[model.InstanceID]listed),
		groups:  make(map[model.GroupID]*group),
		probes:  make(map[model.ProbeID]probe),

		failures: make(map[model.InstanceID]failure),
	}
	affirm.holder = newHolder(affirm)
	context.ProvideService(route.ConfirmationsService, affirm)
	return affirm
}

// Handle implements kern.Plugin.
func (affirm *Affirm) Handle(received event.Event) {
	switch received := received.(type) {
	case event.SettleAnswered:
		affirm.holder.answered(received)
	case event.SettleFailed:
		affirm.holder.failed(received)
	case event.StatusReported:
		affirm.statusReported(received)
	case event.ProbeFailed:
		affirm.probeFailed(received)
	case event.InstanceListed:
		affirm.recordListed(received.Listing().ID())
	case event.InstancesListed, event.CatalogChanged:
		affirm.recordAllListed()
	case event.InstanceUnlisted:
		delete(affirm.listed, received.Instance())
		delete(affirm.failures, received.Instance())
	}
}

// Await implements route.Confirmations.
func (affirm *Affirm) Await(commit route.Commit, done func(confirmation route.Confirmation)) route.ConfirmationID {
	id := commit.Job.Group()
	if !affirm.concerns(id) {
		done(route.CommitConfirmed)
		return 0
	}
	affirm.lastID++
	added := &waiting{id: affirm.lastID, commit: commit, term: commit.Mark.Term(), since: affirm.context.Now(), done: done, reason: reasonUnasked}
	if group := affirm.context.State().Group(id); commit.Mark.IsZero() && group != nil {
		added.term = group.Term()
	}
	group := affirm.group(id)
	group.commits = append(group.commits, added)
	affirm.startWatch()
	affirm.holder.ask()
	if affirm.holder.lost {
		added.reason = reasonSilent
		affirm.startProbes(group)
	}
	if !slices.Contains(group.commits, added) {
		return 0
	}
	return added.id
}

// concerns reports whether a promotion of the group may undo a commit that an instance has acknowledged.
func (affirm *Affirm) concerns(id model.GroupID) bool {
	group := affirm.context.State().Group(id)
	if group == nil {
		return true
	}
	replication, ok := group.Replication().(model.PrimaryAcknowledged)
	return ok && replication.Replicas() > 0
}

// EndWait implements route.Confirmations.
func (affirm *Affirm) EndWait(id route.ConfirmationID, reason string) {
	for _, group := range affirm.waitingGroups() {
		for _, item := range group.commits {
			if item.id == id {
				affirm.remove(group, item)
				affirm.context.State().Counts().Add(count.CommitsInDoubt)
				affirm.logEnd(item, reason)
				return
			}
		}
	}
}

// Refusal implements route.Confirmations.
func (affirm *Affirm) Refusal(id model.GroupID) (time.Duration, bool) {
	group, ok := affirm.groups[id]
	if !ok || len(group.commits) == 0 {
		return 0, false
	}
	return refuseAfter, affirm.context.Now()-group.commits[0].since >= refuseAfter
}

// end ends the waits of commits and tells why.
func (affirm *Affirm) end(commits []ended) {
	for _, item := range commits {
		affirm.remove(affirm.group(item.waiting.commit.Job.Group()), item.waiting)
	}
	for _, item := range commits {
		if item.confirmation == route.CommitSuperseded {
			affirm.context.State().Counts().Add(count.CommitsInDoubt)
			item.waiting.logged = true
		}
		affirm.logEnd(item.waiting, item.reason)
		item.waiting.done(item.confirmation)
	}
}

func (affirm *Affirm) remove(group *group, removed *waiting) {
	group.commits = slices.DeleteFunc(group.commits, func(item *waiting) bool { return item == removed })
	if len(group.commits) == 0 {
		group.endRefusal()
	}
}

// startWatch looks at the commits that wait until there are none.
func (affirm *Affirm) startWatch() {
	if affirm.watch == 0 {
		affirm.watch = affirm.context.Timers().After(watchInterval, affirm.look)
	}
}

// look logs the commits that have waited for long.
func (affirm *Affirm) look() {
	affirm.watch = 0
	now := affirm.context.Now()
	for _, group := range affirm.waitingGroups() {
		for _, item := range group.commits {
			if !item.logged && now-item.since >= withheldAfter {
				item.logged = true
				affirm.context.State().Counts().Add(count.CommitsWithheld)
				affirm.log("commit_withheld", item, item.reason)
			}
		}
		group.startRefusal(now)
		affirm.startWatch()
	}
}

// logEnd logs the end of the wait of a commit whose wait was logged.
func (affirm *Affirm) logEnd(item *waiting, reason string) {
	if item.logged {
		affirm.log("commit_released", item, reason)
	}
}

func (affirm *Affirm) log(name string, item *waiting, reason string) {
	job := item.commit.Job
	affirm.context.Emit(event.NewLogDecision(model.Decision{
		Name:       name,
		RequestID:  job.LoggedID(),
		Caller:     job.Request().Caller(),
		Deployment: job.Deployment().Name(),
		Group:      job.Group(),
		Instance:   item.commit.Instance,
		Term:       item.term,
		After:      item.commit.Mark,
		Took:       affirm.context.Now() - item.since,
		Reason:     reason,
	}))
}

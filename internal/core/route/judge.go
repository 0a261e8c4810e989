package route

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
)

// Verdict tells what may be done with the answer of a read.
type Verdict int

// The verdicts.
const (
	// VerdictOpen means that more reports are needed.
	VerdictOpen Verdict = iota
	// VerdictProved means that the answer may be passed on.
	VerdictProved
	// VerdictStale means that the answer is too old.
	VerdictStale
)

// reportPatience is how long after the arrival of a read the report of a further
// instance is awaited, since the index of the first majority may be that of the
// primary, which no other majority needs.
const reportPatience = 20 * time.Millisecond

// Judge decides whether the answer of a read meets its requirement. It keeps the
// lowest read index that was seen since the read arrived.
type Judge struct {
	job   *Job
	index model.Mark
	known bool
}

// NewJudge returns the Judge of a read.
func NewJudge(job *Job) Judge { return Judge{job: job} }

// Observe takes new reports of the group into account.
func (judge *Judge) Observe(group *state.Group) {
	index, ok := group.ReadIndex(judge.job.Arrived())
	if ok && (!judge.known || judge.index.Covers(index)) {
		judge.index = index
		judge.known = true
	}
}

// Index returns the lowest read index that was seen since the read arrived, and
// whether there is one.
func (judge *Judge) Index() (model.Mark, bool) { return judge.index, judge.known }

// Verdict judges an answer that was given at mark.
func (judge *Judge) Verdict(group *state.Group, mark model.Mark, now time.Duration) Verdict {
	judge.Observe(group)
	if mark.Term() < group.Term() {
		return VerdictStale
	}
	if !judge.recent(group, mark, now) {
		if judge.known && !judge.Awaits(group, now) {
			return VerdictStale
		}
		return VerdictOpen
	}
	if !group.Stable(mark) {
		return VerdictOpen
	}
	return VerdictProved
}

// Awaits reports whether the report of a further instance may soon lower the
// read index.
func (judge *Judge) Awaits(group *state.Group, now time.Duration) bool {
	arrived := judge.job.Arrived()
	return now-arrived < reportPatience && group.ReportPending(arrived)
}

// Suffices reports whether data at mark would meet the requirement as far as it is known.
func (judge *Judge) Suffices(group *state.Group, mark model.Mark, now time.Duration) bool {
	return judge.recent(group, mark, now)
}

// recent reports whether mark is proved to be recent enough. A read index taken
// after the arrival covers whatever the session has seen.
func (judge *Judge) recent(group *state.Group, mark model.Mark, now time.Duration) bool {
	if judge.known && mark.Covers(judge.index) {
		return true
	}
	if judge.job.Fresh() {
		return false
	}
	return mark.Covers(judge.job.Seen()) && group.WithinStaleness(mark, judge.job.Kind().Staleness(), now)
}

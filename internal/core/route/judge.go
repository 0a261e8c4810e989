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
	// VerdictPending means that more reports are needed.
	VerdictPending Verdict = iota
	// VerdictAccepted means that the answer may be passed on.
	VerdictAccepted
	// VerdictStale means that the answer is too old.
	VerdictStale
)

// furtherReportTimeout is how long after the arrival of a read the report of a further
// instance is awaited, since the index of the first majority may be that of the
// primary, which no other majority needs.
const furtherReportTimeout = 20 * time.Millisecond

// ReadCheck decides whether the answer of a read meets its requirement. It keeps the
// lowest read index that was seen since the read arrived.
type ReadCheck struct {
	job      *Job
	index    model.Mark
	hasIndex bool
}

// NewReadCheck returns the Judge of a read.
func NewReadCheck(job *Job) ReadCheck { return ReadCheck{job: job} }

// Observe takes new reports of the group into account.
func (judge *ReadCheck) Observe(group *state.Group) {
	index, ok := group.ReadIndex(judge.job.Arrived())
	if ok && (!judge.hasIndex || judge.index.Covers(index)) {
		judge.index = index
		judge.hasIndex = true
	}
}

// Index returns the lowest read index that was seen since the read arrived, and
// whether there is one.
func (judge *ReadCheck) Index() (model.Mark, bool) { return judge.index, judge.hasIndex }

// Verdict judges an answer that was given at mark.
func (judge *ReadCheck) Verdict(group *state.Group, mark model.Mark, now time.Duration) Verdict {
	judge.Observe(group)
	if mark.Term() < group.Term() {
		return VerdictStale
	}
	if !judge.recent(group, mark, now) {
		if judge.hasIndex && !judge.AwaitsReport(group, now) {
			return VerdictStale
		}
		return VerdictPending
	}
	if !group.Stable(mark) {
		return VerdictPending
	}
	return VerdictAccepted
}

// AwaitsReport reports whether the report of a further instance may soon lower the
// read index.
func (judge *ReadCheck) AwaitsReport(group *state.Group, now time.Duration) bool {
	arrived := judge.job.Arrived()
	return now-arrived < furtherReportTimeout && group.ReportPending(arrived)
}

// Suffices reports whether data at mark would meet the requirement as far as it is known.
func (judge *ReadCheck) Suffices(group *state.Group, mark model.Mark, now time.Duration) bool {
	return judge.recent(group, mark, now)
}

// recent reports whether mark is proved to be recent enough. A read index taken
// after the arrival covers whatever the session has seen.
func (judge *ReadCheck) recent(group *state.Group, mark model.Mark, now time.Duration) bool {
	if judge.hasIndex && mark.Covers(judge.index) {
		return true
	}
	if judge.job.RequiresFresh() {
		return false
	}
	return mark.Covers(judge.job.Seen()) && group.WithinStaleness(mark, judge.job.Kind().Staleness(), now)
}

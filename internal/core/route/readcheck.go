package route

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
)

// Verdict is the result of the check of a read's answer.
type Verdict int

// The verdicts.
const (
	// VerdictPending means that more status reports are needed to decide.
	VerdictPending Verdict = iota
	// VerdictAccepted means that the answer may be returned to the caller.
	VerdictAccepted
	// VerdictStale means that the answer is too old to be returned.
	VerdictStale
)

// furtherReportTimeout limits the wait for reports beyond the first majority, counted
// from the arrival of the read. The first majority may include the primary, whose log is
// ahead, and a majority without the primary then gives a lower read index.
const furtherReportTimeout = 20 * time.Millisecond

// ReadCheck decides whether the answer of a read is as fresh as the read requires. It
// keeps the lowest read index observed since the read arrived.
type ReadCheck struct {
	job      *Job
	index    model.Mark
	hasIndex bool
}

// NewReadCheck returns a ReadCheck without a read index.
func NewReadCheck(job *Job) ReadCheck { return ReadCheck{job: job} }

// Observe updates the read index from the reports of the group.
func (readCheck *ReadCheck) Observe(group *state.Group) {
	index, ok := group.ReadIndex(readCheck.job.Arrived())
	if ok && (!readCheck.hasIndex || readCheck.index.Covers(index)) {
		readCheck.index = index
		readCheck.hasIndex = true
	}
}

// Index returns the lowest read index observed since the read arrived, and whether there
// is one.
func (readCheck *ReadCheck) Index() (model.Mark, bool) { return readCheck.index, readCheck.hasIndex }

// Verdict checks an answer that was read at mark. It observes the group first.
func (readCheck *ReadCheck) Verdict(group *state.Group, mark model.Mark, now time.Duration) Verdict {
	readCheck.Observe(group)
	if mark.Term() < group.Term() {
		return VerdictStale
	}
	if !readCheck.recent(group, mark, now) {
		if readCheck.hasIndex && !readCheck.AwaitsReport(group, now) {
			return VerdictStale
		}
		return VerdictPending
	}
	if !group.Stable(mark) {
		return VerdictPending
	}
	return VerdictAccepted
}

// AwaitsReport reports whether a report that is still outstanding may lower the read
// index within the time limit.
func (readCheck *ReadCheck) AwaitsReport(group *state.Group, now time.Duration) bool {
	arrived := readCheck.job.Arrived()
	return now-arrived < furtherReportTimeout && group.ReportPending(arrived)
}

// Suffices reports whether data at mark meets the read's requirement according to the
// reports observed so far.
func (readCheck *ReadCheck) Suffices(group *state.Group, mark model.Mark, now time.Duration) bool {
	return readCheck.recent(group, mark, now)
}

// recent reports whether mark is known to be recent enough. A read index taken after the
// arrival of the read covers every mark that the session has seen.
func (readCheck *ReadCheck) recent(group *state.Group, mark model.Mark, now time.Duration) bool {
	if readCheck.hasIndex && mark.Covers(readCheck.index) {
		return true
	}
	if readCheck.job.RequiresFresh() {
		return false
	}
	return mark.Covers(readCheck.job.Seen()) && group.WithinStaleness(mark, readCheck.job.Kind().Staleness(), now)
}

// Package tally counts the events of the kernel for the metrics. It makes no decisions.
package tally

import (
	"time"

	"almondway.dev/almondway/internal/core/count"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
)

func init() { kern.Register("tally", kern.RankTally, New, kern.ProfileStandalone, kern.ProfileHosted) }

// Tally is the plug-in that counts events and measures failover gaps.
type Tally struct {
	context *kern.Context
	counts  *count.Counts
	groups  map[model.GroupID]*groupState
}

// groupState is what is known of the primary of a group.
type groupState struct {
	term model.Term
	// lastReportAt is when the probe of the primary's last report was sent.
	lastReportAt time.Duration
	// lostAt is the time of the last report of the former primary. It is valid while
	// gapOpen is set.
	lostAt  time.Duration
	gapOpen bool
}

// New returns the plug-in. It adds to the counters in the state of context.
func New(context *kern.Context) kern.Plugin {
	return &Tally{
		context: context,
		counts:  context.State().Counts(),
		groups:  make(map[model.GroupID]*groupState),
	}
}

// Handle implements kern.Plugin.
func (tally *Tally) Handle(received event.Event) {
	if observed, ok := received.(event.GroupObserved); ok {
		tally.measureFailoverGap(observed.Group())
		return
	}
	if name, ok := counterOf(received); ok {
		tally.counts.Add(name)
	}
}

// measureFailoverGap measures the time without acknowledged writes when the primary of a
// group changes: from the last report of the former primary until a majority has an entry
// of the new term.
func (tally *Tally) measureFailoverGap(id model.GroupID) {
	group := tally.context.State().Group(id)
	if group == nil || group.Primary() == nil {
		return
	}
	tracked, ok := tally.groups[id]
	if !ok {
		tracked = &groupState{term: group.Term()}
		tally.groups[id] = tracked
	}
	primary := group.Primary()
	if group.Term() > tracked.term {
		tracked.term = group.Term()
		tracked.lostAt = tracked.lastReportAt
		tracked.gapOpen = tracked.lastReportAt > 0
	}
	if primary.Failures() > 0 || !primary.Status().InTerm(group.Term()) {
		return
	}
	tracked.lastReportAt = primary.SentAt()
	if tracked.gapOpen && group.Acknowledged(primary.Status().Tail()) {
		tracked.gapOpen = false
		tally.counts.AddFailoverGap(tally.context.Now() - tracked.lostAt)
	}
}

// counterOf returns the counter for an event, and whether there is one.
func counterOf(received event.Event) (count.Name, bool) {
	switch received := received.(type) {
	case event.RequestReceived:
		return count.Requests, true
	case event.CancelReceived:
		return count.Cancels, true
	case event.ExecuteFailed:
		return failureCounter(received.Class())
	case event.ConnOpened:
		return count.ConnsOpened, true
	case event.ConnFailed:
		return count.ConnsFailed, true
	case event.ConnClosed:
		return count.ConnsLost, true
	case event.StatusReported:
		return count.ProbesAnswered, true
	case event.ProbeFailed:
		return count.ProbesFailed, true
	case event.OrderAnswered:
		if received.Accepted() {
			return count.OrdersTaken, true
		}
		return count.OrdersRefused, true
	case event.OrderFailed:
		return count.OrdersFailed, true
	case event.StoreFailed:
		return count.StoreFailures, true
	case event.StoreConflict:
		return count.StoreConflicts, true
	case event.PeerMessageReceived:
		return count.PeerMessages, true
	case event.TermChanged:
		return count.Terms, true
	case event.ForwardReceived:
		return count.ForwardsReceived, true
	case event.ForwardFailed:
		if received.NotRun() {
			return count.ForwardsNotRun, true
		}
		return count.ForwardsLost, true
	default:
		return 0, false
	}
}

func failureCounter(class model.FailureClass) (count.Name, bool) {
	switch class {
	case model.FailureFenced:
		return count.FencedWrites, true
	case model.FailureReplay:
		return count.LedgerReplays, true
	case model.FailureTombstone:
		return count.LedgerTombstones, true
	case model.FailureMismatch:
		return count.LedgerMismatches, true
	case model.FailureLost:
		return count.LostAnswers, true
	case model.FailureBusy:
		return count.BusyRefusals, true
	case model.FailureLeaving:
		return count.LeavingRefusals, true
	default:
		return 0, false
	}
}

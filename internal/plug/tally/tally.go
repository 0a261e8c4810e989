// Package tally is the plug-in that counts what the kernel meets. It decides nothing.
package tally

import (
	"time"

	"almondway.dev/almondway/internal/core/count"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
)

func init() { kern.Register("tally", kern.RankTally, New, kern.ProfileStandalone, kern.ProfileHosted) }

// Tally is the plug-in.
type Tally struct {
	context *kern.Context
	counts  *count.Counts
	groups  map[model.GroupID]*groupState
}

// groupState is what was last seen of the leadership of a group.
type groupState struct {
	term         model.Term
	lastReportAt time.Duration
	// lostAt is when the primary before was last seen, while the gap is open.
	lostAt  time.Duration
	gapOpen bool
}

// New returns the plug-in of the kernel that context belongs to.
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

// measureFailoverGap measures the gap of a change of primaries: from the last report of the
// primary before until a majority has an entry of the new term, so that a write
// can be acknowledged.
func (tally *Tally) measureFailoverGap(id model.GroupID) {
	group := tally.context.State().Group(id)
	if group == nil || group.Primary() == nil {
		return
	}
	seen, ok := tally.groups[id]
	if !ok {
		seen = &groupState{term: group.Term()}
		tally.groups[id] = seen
	}
	primary := group.Primary()
	if group.Term() > seen.term {
		seen.term = group.Term()
		seen.lostAt = seen.lastReportAt
		seen.gapOpen = seen.lastReportAt > 0
	}
	if primary.Failures() > 0 || !primary.Status().InTerm(group.Term()) {
		return
	}
	seen.lastReportAt = primary.SentAt()
	if seen.gapOpen && group.Acknowledged(primary.Status().Tail()) {
		seen.gapOpen = false
		tally.counts.AddFailoverGap(tally.context.Now() - seen.lostAt)
	}
}

// counterOf returns the counter of an event.
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

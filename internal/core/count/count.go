// Package count holds the counters of what the kernel met: refusals that kept a
// promise, failures of its neighbours, and changes of primaries with their gaps.
package count

import "time"

// maxFailoverGaps is the number of gaps that are kept until they are taken.
const maxFailoverGaps = 1000

// Name names a counter.
type Name int

// The counters.
const (
	// FencedWrites counts writes that an instance refused since it is not the primary of their term.
	FencedWrites Name = iota
	// LedgerReplays counts writes that the ledger showed to have run before.
	LedgerReplays
	// LedgerTombstones counts writes that the ledger showed to be settled as not run.
	LedgerTombstones
	// LedgerMismatches counts writes whose request id belongs to another statement.
	LedgerMismatches
	// LostAnswers counts executions whose answer was lost after they may have been sent.
	LostAnswers
	// BusyRefusals counts executions that an instance refused for lack of slots or connections.
	BusyRefusals
	// LeavingRefusals counts executions that an instance refused because it is shutting down.
	LeavingRefusals
	// ConnsOpened counts backend connections that were opened.
	ConnsOpened
	// ConnsFailed counts backend connections that could not be opened.
	ConnsFailed
	// ConnsLost counts backend connections that ended without having been asked to.
	ConnsLost
	// ProbesAnswered counts status probes that were answered.
	ProbesAnswered
	// ProbesFailed counts status probes that were not.
	ProbesFailed
	// OrdersTaken counts orders to instances that were taken.
	OrdersTaken
	// OrdersRefused counts orders that an instance refused, most often since its fence is higher.
	OrdersRefused
	// OrdersFailed counts orders without an answer.
	OrdersFailed
	// StoreFailures counts queries to the platform's store that failed or whose answer was lost.
	StoreFailures
	// StoreConflicts counts writes to the store that lost a race.
	StoreConflicts
	// PeerMessages counts messages of other proxies.
	PeerMessages
	// Requests counts requests of callers.
	Requests
	// Cancels counts requests that callers canceled.
	Cancels
	// Terms counts changes of a primary that this proxy saw.
	Terms
	numNames
)

var counterNames = [numNames]string{
	FencedWrites:     "fenced_writes",
	LedgerReplays:    "ledger_replays",
	LedgerTombstones: "ledger_tombstones",
	LedgerMismatches: "ledger_mismatches",
	LostAnswers:      "lost_answers",
	BusyRefusals:     "busy_refusals",
	LeavingRefusals:  "leaving_refusals",
	ConnsOpened:      "conns_opened",
	ConnsFailed:      "conns_failed",
	ConnsLost:        "conns_lost",
	ProbesAnswered:   "probes_answered",
	ProbesFailed:     "probes_failed",
	OrdersTaken:      "orders_taken",
	OrdersRefused:    "orders_refused",
	OrdersFailed:     "orders_failed",
	StoreFailures:    "store_failures",
	StoreConflicts:   "store_conflicts",
	PeerMessages:     "peer_messages",
	Requests:         "requests_received",
	Cancels:          "cancels",
	Terms:            "terms_changed",
}

// String returns the name in snake case.
func (name Name) String() string { return counterNames[name] }

// Names returns all names.
func Names() []Name {
	names := make([]Name, 0, numNames)
	for name := range numNames {
		names = append(names, name)
	}
	return names
}

// Counts holds the counters of one kernel. It is used by one goroutine.
type Counts struct {
	values       [numNames]uint64
	failoverGaps []time.Duration
}

// New returns Counts of zero.
func New() *Counts { return &Counts{} }

// Add counts one.
func (counts *Counts) Add(name Name) { counts.values[name]++ }

// Value returns a counter.
func (counts *Counts) Value(name Name) uint64 { return counts.values[name] }

// AddFailoverGap records how long writes could not complete in a group whose primary
// changed. The oldest of too many gaps that nobody takes is forgotten.
func (counts *Counts) AddFailoverGap(gap time.Duration) {
	if len(counts.failoverGaps) == maxFailoverGaps {
		counts.failoverGaps = counts.failoverGaps[1:]
	}
	counts.failoverGaps = append(counts.failoverGaps, gap)
}

// TakeFailoverGaps returns the gaps since the last call.
func (counts *Counts) TakeFailoverGaps() []time.Duration {
	gaps := counts.failoverGaps
	counts.failoverGaps = nil
	return gaps
}

// Package count holds the counters of a kernel: writes that were refused or replayed for
// safety, failures of instances, the store and connections, and changes of primaries with
// their failover gaps.
package count

import "time"

// maxFailoverGaps limits the failover gaps that are kept between two calls of
// TakeFailoverGaps.
const maxFailoverGaps = 1000

// Name identifies a counter.
type Name int

// The counters.
const (
	// FencedWrites counts writes that an instance refused because it is not the primary of their term.
	FencedWrites Name = iota
	// LedgerReplays counts writes that had already run according to the ledger.
	LedgerReplays
	// LedgerTombstones counts writes that were settled as not run according to the ledger.
	LedgerTombstones
	// LedgerMismatches counts writes whose request id was used for another statement.
	LedgerMismatches
	// LostAnswers counts executions whose answer was lost after they may have been sent.
	LostAnswers
	// BusyRefusals counts executions that an instance refused for lack of slots or connections.
	BusyRefusals
	// LeavingRefusals counts executions that an instance refused because it is shutting down.
	LeavingRefusals
	// ConnsOpened counts backend connections that were opened successfully.
	ConnsOpened
	// ConnsFailed counts backend connections that could not be opened.
	ConnsFailed
	// ConnsLost counts backend connections that were closed unexpectedly.
	ConnsLost
	// ProbesAnswered counts status probes that were answered.
	ProbesAnswered
	// ProbesFailed counts status probes that were not answered.
	ProbesFailed
	// OrdersTaken counts orders that instances accepted.
	OrdersTaken
	// OrdersRefused counts orders that an instance refused, usually because its fence is higher.
	OrdersRefused
	// OrdersFailed counts orders that were not answered.
	OrdersFailed
	// StoreFailures counts calls to the platform's store that failed or whose answer was lost.
	StoreFailures
	// StoreConflicts counts writes to the store that failed because of a concurrent write.
	StoreConflicts
	// PeerMessages counts messages from other proxies.
	PeerMessages
	// Requests counts requests received from callers.
	Requests
	// Cancels counts requests that callers canceled.
	Cancels
	// Terms counts changes of a primary that this proxy observed.
	Terms
	// ForwardsSent counts statements that were forwarded to other proxies, repetitions included.
	ForwardsSent
	// ForwardsNotRun counts forwarded statements that the other proxy certainly did not run.
	ForwardsNotRun
	// ForwardsLost counts forwarded statements whose answer was lost.
	ForwardsLost
	// ForwardsRunHere counts statements that a proxy which is no holder ran itself, because no
	// holder could be asked.
	ForwardsRunHere
	// ForwardsReceived counts statements that other proxies forwarded to this one.
	ForwardsReceived
	// ChoicesLocal counts reads that the even load kept in the own data centre.
	ChoicesLocal
	// ChoicesRemote counts reads that it sent to a replica in another data centre.
	ChoicesRemote
	// ChoicesRemotePrimary counts reads that it sent to a primary in another data centre.
	ChoicesRemotePrimary
	// ChoicesUnreported counts reads that it sent to an instance without load reports.
	ChoicesUnreported
	// ChoicesOnly counts reads that a single instance could run.
	ChoicesOnly
	// CommitsConfirmed counts commits that the proxy which orders promotions confirmed.
	CommitsConfirmed
	// CommitsConfirmedByReplica counts commits that the log of a replica confirmed.
	CommitsConfirmedByReplica
	// CommitsUnconfirmed counts commits that were passed on without a confirmation, since the proxy
	// that orders promotions cannot give one.
	CommitsUnconfirmed
	// CommitsWithheld counts commits that waited long for their confirmation.
	CommitsWithheld
	// CommitsInDoubt counts commits that were acknowledged by an instance and not confirmed.
	CommitsInDoubt
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
	ForwardsSent:     "forwards_sent",
	ForwardsNotRun:   "forwards_not_run",
	ForwardsLost:     "forwards_lost",
	ForwardsRunHere:  "forwards_run_here",
	ForwardsReceived: "forwards_received",

	ChoicesLocal:         "choices_own_data_center",
	ChoicesRemote:        "choices_other_data_center",
	ChoicesRemotePrimary: "choices_other_primary",
	ChoicesUnreported:    "choices_without_reports",
	ChoicesOnly:          "choices_only_instance",

	CommitsConfirmed:          "commits_confirmed",
	CommitsConfirmedByReplica: "commits_confirmed_by_replica",
	CommitsUnconfirmed:        "commits_unconfirmed",
	CommitsWithheld:           "commits_withheld",
	CommitsInDoubt:            "commits_in_doubt",
}

// String returns the name in snake case, as it appears in metrics.
func (name Name) String() string { return counterNames[name] }

// Names returns the names of all counters, in the order of their declaration.
func Names() []Name {
	names := make([]Name, 0, numNames)
	for name := range numNames {
		names = append(names, name)
	}
	return names
}

// Counts holds the counters of one kernel. It is not safe for concurrent use.
type Counts struct {
	values       [numNames]uint64
	failoverGaps []time.Duration
}

// New returns Counts with every counter at zero.
func New() *Counts { return &Counts{} }

// Add increments a counter by 1.
func (counts *Counts) Add(name Name) { counts.values[name]++ }

// Value returns the current value of a counter.
func (counts *Counts) Value(name Name) uint64 { return counts.values[name] }

// AddFailoverGap records how long writes could not complete in a group whose primary
// changed. If maxFailoverGaps are stored, the oldest is discarded.
func (counts *Counts) AddFailoverGap(gap time.Duration) {
	if len(counts.failoverGaps) == maxFailoverGaps {
		counts.failoverGaps = counts.failoverGaps[1:]
	}
	counts.failoverGaps = append(counts.failoverGaps, gap)
}

// TakeFailoverGaps returns the gaps recorded since the last call and removes them.
func (counts *Counts) TakeFailoverGaps() []time.Duration {
	gaps := counts.failoverGaps
	counts.failoverGaps = nil
	return gaps
}

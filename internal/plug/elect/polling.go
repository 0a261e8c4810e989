package elect

import (
	"time"

	"almondway.dev/almondway/internal/core/rank"
)

const (
	// urgentPollInterval is the time between two reads of the lease row while a group
	// needs a promoter.
	urgentPollInterval = 400 * time.Millisecond
	// recordInterval is the least time between two writes of the lease row.
	recordInterval = 100 * time.Millisecond
	// standbyPollInterval is the time between two reads of the lease row by the proxies
	// with the lowest ranks.
	standbyPollInterval = 2 * time.Second
	// maxFrequentStandbys is the number of standby proxies that read the lease row every
	// standbyPollInterval. The others read it less often.
	maxFrequentStandbys = 2
	// maxUrgentStandbys is the number of standby proxies that read the lease row every
	// urgentPollInterval while a group needs a promoter.
	maxUrgentStandbys = 4
	// otherPollInterval is the time between two reads by the other proxies, of each and of all
	// of them together, so that their number costs the store nothing. They follow the lease only
	// in case that all standby proxies live but cannot reach the store.
	otherPollInterval = 8 * time.Second
	sharedPollSpacing = 4 * time.Second
	// urgentPollSpacing replaces sharedPollSpacing while a group has needed a promoter for
	// urgentPatience, which is enough for a standby proxy to acquire a lease that ends.
	urgentPollSpacing = 50 * time.Millisecond
	urgentPatience    = leaseDuration + time.Second
	// firstPollStagger is the delay per rank until a proxy reads the lease row for the first time,
	// and between the reads until one is answered.
	firstPollStagger = 150 * time.Millisecond
	// membersWait is the time after the start for which a proxy that does not know its rank reads
	// no lease row, and membersRetry that between two reads until it does. The members are read from
	// the same store.
	membersWait  = 500 * time.Millisecond
	membersRetry = 5 * time.Second
	// seekSpacing is the time between two reads by all proxies that look for the holder.
	seekSpacing = 5 * time.Millisecond
	// maxFailedReads limits the exponential back-off of the reads while the store fails.
	maxFailedReads = 3
	maxReadDelay   = 2 * time.Second
)

// polling is when the lease row is read.
type polling struct {
	nextPollAt, lastPollAt time.Duration
	// scheduled is set once the first read is scheduled, and postponed once it was postponed since
	// other proxies come before this one.
	scheduled, postponed bool
	// neededSince is since when a group needs a promoter, or 0.
	neededSince time.Duration
	failedReads int // since the last answer
}

// tick renews the lease if this proxy holds it, and acquires it if it is free.
func (lease *lease) tick() {
	now := lease.context.Now()
	lease.observeNeed()
	if lease.neededSince > 0 && lease.scheduled {
		lease.nextPollAt = min(lease.nextPollAt, lease.lastPollAt+lease.pollInterval())
	}
	if lease.callPending || lease.resigning || lease.awaitsFirstPoll() || now < lease.nextPollAt {
		return
	}
	lease.lastPollAt = now
	lease.readRow(func() {
		switch {
		case lease.row.Holder == lease.self():
			lease.renew(func() {})
		case lease.free():
			lease.acquire()
		}
	})
	lease.nextPollAt = now + lease.pollInterval()
}

// seekHolder makes the next read of the row come soon, since the holder has to be asked and is not
// known. Many proxies share the reads.
func (lease *lease) seekHolder() {
	interval := max(urgentPollInterval, time.Duration(len(lease.context.State().Proxies()))*seekSpacing)
	if lease.failedReads > 0 {
		interval = max(interval, min(lease.pollInterval(), maxReadDelay))
	}
	if lease.scheduled {
		lease.nextPollAt = min(lease.nextPollAt, lease.lastPollAt+interval)
	}
}

// recordSoon writes the row at the next check after recordInterval since the last one.
func (lease *lease) recordSoon() {
	lease.nextPollAt = min(lease.nextPollAt, lease.lastPollAt+recordInterval)
}

// observeNeed records since when a group needs a promoter.
func (lease *lease) observeNeed() {
	switch {
	case !lease.needsPromoter():
		lease.neededSince = 0
	case lease.neededSince == 0:
		lease.neededSince = lease.context.Now()
	}
}

// awaitsFirstPoll reports whether the first read is still to be scheduled. Proxies that come after
// the standby proxies leave it to those.
func (lease *lease) awaitsFirstPoll() bool {
	now, state := lease.context.Now(), lease.context.State()
	if !lease.scheduled {
		if !state.ProxiesKnown() && now < membersWait {
			return true
		}
		lease.scheduled, lease.lastPollAt = true, now
		lease.nextPollAt = now + time.Duration(lease.rank())*firstPollStagger
	}
	if !lease.rowKnown && !lease.postponed && now >= lease.nextPollAt && lease.rank() > maxUrgentStandbys {
		lease.postponed = true
		lease.nextPollAt = now + time.Duration(lease.context.Random().Int64N(int64(lease.pollInterval())))
	}
	return false
}

func (lease *lease) rank() int {
	return rank.Of(leaseKey, lease.self(), lease.context.State().Proxies())
}

// pollInterval returns the time until the next read of the row.
func (lease *lease) pollInterval() time.Duration {
	interval := lease.answeredPollInterval()
	if lease.failedReads == 0 || lease.row.Holder == lease.self() {
		return interval
	}
	return max(interval, min(maxReadDelay, urgentPollInterval<<min(lease.failedReads-1, maxFailedReads)))
}

// answeredPollInterval returns the time until the next read of the row if the store answers.
func (lease *lease) answeredPollInterval() time.Duration {
	count, ownRank := time.Duration(len(lease.context.State().Proxies())), lease.rank()
	needed := lease.neededSince > 0
	switch {
	case lease.row.Holder == lease.self():
		return renewInterval
	case lease.failedReads > 0 && !lease.context.State().ProxiesKnown():
		return membersRetry
	case !lease.rowKnown && ownRank <= maxUrgentStandbys:
		return time.Duration(ownRank+1) * firstPollStagger
	case needed && ownRank <= maxUrgentStandbys:
		return urgentPollInterval
	case needed && lease.context.Now()-lease.neededSince >= urgentPatience:
		return max(urgentPollInterval, count*urgentPollSpacing)
	case ownRank <= maxFrequentStandbys:
		return standbyPollInterval
	default:
		return max(otherPollInterval, count*sharedPollSpacing)
	}
}

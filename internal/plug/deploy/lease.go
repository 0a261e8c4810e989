package deploy

import (
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/timer"
)

// revisionReport is the highest revision that another proxy said it has in force, and
// when it said so last.
type revisionReport struct {
	revision uint64
	at       time.Duration
}

// confirmation decides whether the revision in force is confirmed. It is while, within
// the confirmation time, the store said that the revision is current or a
// majority of the registered proxies had it in force. A change is accepted only
// with a majority of them, so that two majorities with different revisions
// cannot both be renewed.
type confirmation struct {
	context       *kern.Context
	storeReport   revisionReport
	storeAnswered bool // whether stored holds an answer of the store
	reports       map[model.ProxyID]revisionReport
	expiryTimer   timer.ID
	lastTick      time.Duration
	ignoreUntil   time.Duration
}

func newConfirmation(context *kern.Context) *confirmation {
	return &confirmation{context: context, reports: make(map[model.ProxyID]revisionReport)}
}

func (lease *confirmation) start() {
	lease.lastTick = lease.context.Now()
	lease.context.Timers().Every(lease.context.Settings().HeartbeatInterval(), lease.tick)
}

// tick notices that this process was paused. What other proxies said before or
// during the pause may still wait to be read, so it is not believed for one
// heartbeat interval.
func (lease *confirmation) tick() {
	now := lease.context.Now()
	interval := lease.context.Settings().HeartbeatInterval()
	if now-lease.lastTick > 2*interval {
		lease.reports = make(map[model.ProxyID]revisionReport)
		lease.ignoreUntil = now + interval
	}
	lease.lastTick = now
	lease.update()
}

// observeStore records that the store said at the time sentAt or later that revision is current.
func (lease *confirmation) observeStore(revision uint64, sentAt time.Duration) {
	if sentAt < lease.storeReport.at {
		return
	}
	lease.storeAnswered = true
	lease.storeReport = revisionReport{revision: revision, at: sentAt}
	lease.update()
}

// observeProxy records what another proxy says it has in force.
func (lease *confirmation) observeProxy(proxy model.ProxyID, revision uint64) {
	now := lease.context.Now()
	if now < lease.ignoreUntil {
		return
	}
	lease.reports[proxy] = revisionReport{revision: revision, at: now}
	lease.update()
}

// countInForce returns how many of the registered proxies said that they have the
// revision or a higher one, this one included, and how many there are.
func (lease *confirmation) countInForce(revision uint64) (count, registered int) {
	state := lease.context.State()
	own, known := state.Revision()
	for _, proxy := range state.Registered() {
		claimed := lease.reports[proxy].revision
		if proxy == state.Self().ID() && known {
			claimed = own
		}
		if claimed >= revision {
			count++
		}
	}
	return count, len(state.Registered())
}

// update extends or ends the confirmation.
func (lease *confirmation) update() {
	lease.context.Timers().Cancel(lease.expiryTimer)
	state := lease.context.State()
	since, ok := lease.confirmedSince()
	left := since + lease.context.Settings().ConfirmLimit() - lease.context.Now()
	if !ok || left <= 0 {
		state.SetConfirmed(false)
		return
	}
	state.SetConfirmed(true)
	lease.expiryTimer = lease.context.Timers().After(left, lease.update)
}

// confirmedSince returns the latest time at which no higher revision was accepted.
func (lease *confirmation) confirmedSince() (time.Duration, bool) {
	revision, known := lease.context.State().Revision()
	if !known {
		return 0, false
	}
	agreed, ok := lease.majoritySince(revision)
	if lease.storeAnswered && lease.storeReport.revision <= revision {
		return max(agreed, lease.storeReport.at), true
	}
	return agreed, ok
}

// majoritySince returns the latest time since which a majority of the registered
// proxies had the revision in force.
func (lease *confirmation) majoritySince(revision uint64) (time.Duration, bool) {
	state := lease.context.State()
	var times []time.Duration
	for _, proxy := range state.Registered() {
		if proxy == state.Self().ID() {
			times = append(times, lease.context.Now())
			continue
		}
		if said, ok := lease.reports[proxy]; ok && said.revision == revision {
			times = append(times, said.at)
		}
	}
	majority := len(state.Registered())/2 + 1
	if len(state.Registered()) == 0 || len(times) < majority {
		return 0, false
	}
	slices.Sort(times)
	return times[len(times)-majority], true
}

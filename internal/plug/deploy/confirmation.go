package deploy

import (
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/timer"
)

// revisionReport is the last revision that another proxy reported as in force, or that the
// store reported as current. at is the time at which the report was received from a proxy
// or requested from the store.
type revisionReport struct {
	revision uint64
	at       time.Duration
}

// confirmation determines whether the revision in force is confirmed. It is confirmed if,
// within the confirmation time, the store reported it as current or a majority of the
// registered proxies had it in force. A change is accepted only once a majority of them
// has it in force, so two majorities with different revisions cannot both renew their
// confirmation.
type confirmation struct {
	context       *kern.Context
	storeReport   revisionReport
	storeAnswered bool // whether storeReport was set by an answer of the store
	reports       map[model.ProxyID]revisionReport
	expiryTimer   timer.ID
	lastTick      time.Duration
	ignoreUntil   time.Duration
}

func newConfirmation(context *kern.Context) *confirmation {
	return &confirmation{context: context, reports: make(map[model.ProxyID]revisionReport)}
}

func (confirmation *confirmation) start() {
	confirmation.lastTick = confirmation.context.Now()
	confirmation.context.Timers().Every(confirmation.context.Settings().HeartbeatInterval(), confirmation.tick)
}

// tick detects that this process was paused. Reports that other proxies sent before or
// during the pause may still be queued, so all reports are ignored for one heartbeat
// interval.
func (confirmation *confirmation) tick() {
	now := confirmation.context.Now()
	interval := confirmation.context.Settings().HeartbeatInterval()
	if now-confirmation.lastTick > 2*interval {
		confirmation.reports = make(map[model.ProxyID]revisionReport)
		confirmation.ignoreUntil = now + interval
	}
	confirmation.lastTick = now
	confirmation.update()
}

// observeStore records that revision was current in the store at sentAt, the time of the
// request, or later.
func (confirmation *confirmation) observeStore(revision uint64, sentAt time.Duration) {
	if sentAt < confirmation.storeReport.at {
		return
	}
	confirmation.storeAnswered = true
	confirmation.storeReport = revisionReport{revision: revision, at: sentAt}
	confirmation.update()
}

// observeProxy records the revision that another proxy has in force.
func (confirmation *confirmation) observeProxy(proxy model.ProxyID, revision uint64) {
	now := confirmation.context.Now()
	if now < confirmation.ignoreUntil {
		return
	}
	confirmation.reports[proxy] = revisionReport{revision: revision, at: now}
	confirmation.update()
}

// countInForce returns how many of the registered proxies, this one included, have the
// revision or a higher one in force, and the number of registered proxies.
func (confirmation *confirmation) countInForce(revision uint64) (count, registered int) {
	state := confirmation.context.State()
	own, known := state.Revision()
	for _, proxy := range state.Registered() {
		reported := confirmation.reports[proxy].revision
		if proxy == state.Self().ID() && known {
			reported = own
		}
		if reported >= revision {
			count++
		}
	}
	return count, len(state.Registered())
}

// update extends or ends the confirmation and schedules its expiry.
func (confirmation *confirmation) update() {
	confirmation.context.Timers().Cancel(confirmation.expiryTimer)
	state := confirmation.context.State()
	since, ok := confirmation.confirmedSince()
	left := since + confirmation.context.Settings().ConfirmLimit() - confirmation.context.Now()
	if !ok || left <= 0 {
		state.SetConfirmed(false)
		return
	}
	state.SetConfirmed(true)
	confirmation.expiryTimer = confirmation.context.Timers().After(left, confirmation.update)
}

// confirmedSince returns the latest time at which no higher revision is known to have been
// accepted.
func (confirmation *confirmation) confirmedSince() (time.Duration, bool) {
	revision, known := confirmation.context.State().Revision()
	if !known {
		return 0, false
	}
	majorityAt, ok := confirmation.majoritySince(revision)
	if confirmation.storeAnswered && confirmation.storeReport.revision <= revision {
		return max(majorityAt, confirmation.storeReport.at), true
	}
	return majorityAt, ok
}

// majoritySince returns the latest time t such that a majority of the registered proxies
// reported the revision as in force at t or later. This proxy counts with the current time.
func (confirmation *confirmation) majoritySince(revision uint64) (time.Duration, bool) {
	state := confirmation.context.State()
	var times []time.Duration
	for _, proxy := range state.Registered() {
		if proxy == state.Self().ID() {
			times = append(times, confirmation.context.Now())
			continue
		}
		if report, ok := confirmation.reports[proxy]; ok && report.revision == revision {
			times = append(times, report.at)
		}
	}
	majority := len(state.Registered())/2 + 1
	if len(state.Registered()) == 0 || len(times) < majority {
		return 0, false
	}
	slices.Sort(times)
	return times[len(times)-majority], true
}

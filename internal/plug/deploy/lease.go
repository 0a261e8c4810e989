package deploy

import (
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/timer"
)

// claim is the highest revision that another proxy said it has in force, and
// when it said so last.
type claim struct {
	revision uint64
	at       time.Duration
}

// lease decides whether the revision in force is confirmed. It is while, within
// the confirmation time, the store said that the revision is current or a
// majority of the registered proxies had it in force. A change is accepted only
// with a majority of them, so that two majorities with different revisions
// cannot both be renewed.
type lease struct {
	context *kern.Context
	stored  claim
	asked   bool // whether stored holds an answer of the store
	claims  map[model.ProxyID]claim
	expiry  timer.ID
	tickAt  time.Duration
	deafTo  time.Duration
}

func newLease(context *kern.Context) *lease {
	return &lease{context: context, claims: make(map[model.ProxyID]claim)}
}

func (lease *lease) start() {
	lease.tickAt = lease.context.Now()
	lease.context.Timers().Every(lease.context.Settings().HeartbeatInterval(), lease.tick)
}

// tick notices that this process was paused. What other proxies said before or
// during the pause may still wait to be read, so it is not believed for one
// heartbeat interval.
func (lease *lease) tick() {
	now := lease.context.Now()
	interval := lease.context.Settings().HeartbeatInterval()
	if now-lease.tickAt > 2*interval {
		lease.claims = make(map[model.ProxyID]claim)
		lease.deafTo = now + interval
	}
	lease.tickAt = now
	lease.update()
}

// confirm records that the store said at the time sentAt or later that revision is current.
func (lease *lease) confirm(revision uint64, sentAt time.Duration) {
	if sentAt < lease.stored.at {
		return
	}
	lease.asked = true
	lease.stored = claim{revision: revision, at: sentAt}
	lease.update()
}

// hear records what another proxy says it has in force.
func (lease *lease) hear(proxy model.ProxyID, revision uint64) {
	now := lease.context.Now()
	if now < lease.deafTo {
		return
	}
	lease.claims[proxy] = claim{revision: revision, at: now}
	lease.update()
}

// inForce returns how many of the registered proxies said that they have the
// revision or a higher one, this one included, and how many there are.
func (lease *lease) inForce(revision uint64) (count, registered int) {
	state := lease.context.State()
	own, known := state.Revision()
	for _, proxy := range state.Registered() {
		claimed := lease.claims[proxy].revision
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
func (lease *lease) update() {
	lease.context.Timers().Cancel(lease.expiry)
	state := lease.context.State()
	since, ok := lease.since()
	left := since + lease.context.Settings().ConfirmLimit() - lease.context.Now()
	if !ok || left <= 0 {
		state.SetConfirmed(false)
		return
	}
	state.SetConfirmed(true)
	lease.expiry = lease.context.Timers().After(left, lease.update)
}

// since returns the latest time at which no higher revision was accepted.
func (lease *lease) since() (time.Duration, bool) {
	revision, known := lease.context.State().Revision()
	if !known {
		return 0, false
	}
	agreed, ok := lease.agreedAt(revision)
	if lease.asked && lease.stored.revision <= revision {
		return max(agreed, lease.stored.at), true
	}
	return agreed, ok
}

// agreedAt returns the latest time since which a majority of the registered
// proxies had the revision in force.
func (lease *lease) agreedAt(revision uint64) (time.Duration, bool) {
	state := lease.context.State()
	var times []time.Duration
	for _, proxy := range state.Registered() {
		if proxy == state.Self().ID() {
			times = append(times, lease.context.Now())
			continue
		}
		if said, ok := lease.claims[proxy]; ok && said.revision == revision {
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

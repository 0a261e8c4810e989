package failov

import (
	"fmt"
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/rank"
	"almondway.dev/almondway/internal/core/state"
)

const (
	// holdLimit is how long new writes are held back for a switchover at a time.
	holdLimit = 250 * time.Millisecond
	// inFlightLimit is how long writes that were sent before the hold may take to
	// reach the primary.
	inFlightLimit = 30 * time.Millisecond
	// switchoverLimit bounds a switchover with all its attempts.
	switchoverLimit = 4 * time.Second
	switchoverTries = 3
	// switchoverRetry is the time before the next switchover away from a leaving primary.
	switchoverRetry   = 200 * time.Millisecond
	switchoverStagger = 500 * time.Millisecond
	// operatorRetryDelay is when an operator may ask again.
	operatorRetryDelay = 2 * time.Second
)

// switchover is a switchover: new writes are held back until the target has the
// primary's log, then a promotion makes it the primary.
type switchover struct {
	commandID model.AdminCallID // the operator's call, or 0
	target    model.InstanceID  // the wanted primary, or empty for any replica that stays
	chosen    model.InstanceID  // the replica that had the primary's log, or empty
	heldSince time.Duration     // when the hold began
	heldUntil time.Duration     // when the hold ends
	deadline  time.Duration
	triesLeft int
}

// heartbeatSender is the service of the plug-in that sends heartbeats.
type heartbeatSender interface {
	// Beat sends a heartbeat to every other proxy now.
	Beat()
}

// handleSwitchover starts a switchover that an operator asks for.
func (failover *Failover) handleSwitchover(ask model.AdminCallID, command event.Switchover) {
	group := failover.context.State().Group(command.Group())
	if group == nil {
		failover.refuse(ask, codes.UnknownGroup, fmt.Sprintf("the platform has no group %q", command.Group()))
		return
	}
	watch := failover.monitor(group)
	target := group.Member(command.Target())
	switch {
	case group.Primary() == nil:
		failover.refuse(ask, codes.NoPrimary, "no primary is known")
		return
	case command.Target() != "" && target == nil:
		failover.refuse(ask, codes.SwitchoverFailed, fmt.Sprintf("group %q has no instance %q", group.ID(), command.Target()))
		return
	case target != nil && target == group.Primary():
		failover.context.Emit(event.NewAnswerOperator(ask, event.NewPlacementChanged(group.Term(), target.ID())))
		return
	}
	if reason := failover.obstacle(watch, command.Target()); reason != "" {
		failover.refuse(ask, codes.SwitchoverFailed, reason)
		return
	}
	failover.startSwitchover(watch, ask, command.Target(), "an operator asked for it")
}

// obstacle returns why a switchover to target, or to any replica if target is
// empty, cannot start. It returns the empty text if it can.
func (failover *Failover) obstacle(watch *monitor, target model.InstanceID) string {
	shared := failover.context.State()
	switch {
	case watch.attempt != nil || watch.switchover != nil:
		return "the group is changing its primary already"
	case shared.Promoter() == 0:
		return "this proxy has no promoter number yet"
	case shared.Draining():
		return "this proxy is shutting down"
	case len(failover.eligibleReplicas(watch, target)) > 0:
		return ""
	case target == "":
		return "no replica can take the lead"
	default:
		return fmt.Sprintf("instance %q is leaving or does not follow the primary", target)
	}
}

// eligibleReplicas returns the replicas that stay and can take the lead: the target
// alone, or all if target is empty.
func (failover *Failover) eligibleReplicas(watch *monitor, target model.InstanceID) []*state.Member {
	var list []*state.Member
	for _, member := range watch.group.Members() {
		wanted := target == "" || member.ID() == target
		if wanted && !member.Leaving() && failover.hasRecentReport(watch, member) && follows(member, watch.group) {
			list = append(list, member)
		}
	}
	return list
}

// driveSwitchover starts a switchover if the primary leaves, and continues one that runs.
func (failover *Failover) driveSwitchover(watch *monitor) {
	if watch.switchover != nil {
		failover.continueSwitchover(watch)
		return
	}
	primary := watch.group.Primary()
	now := failover.context.Now()
	if primary == nil || !primary.Leaving() {
		watch.nextSwitchoverAt = 0
		return
	}
	if watch.nextSwitchoverAt == 0 {
		shared := failover.context.State()
		place := rank.Of("promote/"+string(watch.group.ID()), shared.Self().ID(), shared.Proxies())
		watch.nextSwitchoverAt = now + time.Duration(place)*switchoverStagger
	}
	if now < watch.nextSwitchoverAt || failover.obstacle(watch, "") != "" {
		return
	}
	watch.nextSwitchoverAt = now + switchoverRetry
	failover.startSwitchover(watch, 0, "", "the primary is leaving")
}

func (failover *Failover) startSwitchover(watch *monitor, ask model.AdminCallID, target model.InstanceID, reason string) {
	now := failover.context.Now()
	watch.switchover = &switchover{commandID: ask, target: target, deadline: now + switchoverLimit, triesLeft: switchoverTries}
	failover.log(watch, model.Decision{Name: "switchover_started", Term: watch.group.Term(), Instance: target, Reason: reason})
	failover.holdWrites(watch)
}

// holdWrites keeps new writes back, here and by a heartbeat at the other proxies.
func (failover *Failover) holdWrites(watch *monitor) {
	watch.switchover.heldSince = failover.context.Now()
	watch.switchover.chosen = ""
	watch.switchover.triesLeft--
	failover.extendHold(watch)
}

func (failover *Failover) extendHold(watch *monitor) {
	watch.switchover.heldUntil = failover.context.Now() + holdLimit
	watch.group.HoldWrites(watch.switchover.heldUntil, true)
	failover.sendHeartbeats()
	failover.requestReports(watch, failover.context.Now())
}

// expireSwitchover ends a switchover that has taken too long, whatever the group does.
func (failover *Failover) expireSwitchover(watch *monitor) {
	if watch.switchover != nil && failover.context.Now() >= watch.switchover.deadline {
		failover.failSwitchover(watch, "it took too long")
	}
}

func (failover *Failover) continueSwitchover(watch *monitor) {
	now := failover.context.Now()
	move := watch.switchover
	if now >= move.heldUntil {
		failover.handleHoldExpired(watch)
		return
	}
	for _, member := range failover.eligibleReplicas(watch, move.target) {
		if caughtUp(watch.group, member, move.heldSince+inFlightLimit) {
			move.chosen = member.ID()
			failover.startAttempt(watch, &attempt{target: move.chosen}, "switchover")
			return
		}
	}
	failover.requestReports(watch, move.heldSince)
}

// handleHoldExpired ends a switchover whose target did not catch up. A leaving primary
// takes no new writes in any case, so there the hold goes on.
func (failover *Failover) handleHoldExpired(watch *monitor) {
	if watch.switchover.commandID != 0 {
		failover.failSwitchover(watch, "no replica caught up with the primary")
		return
	}
	failover.extendHold(watch)
}

// caughtUp reports whether the target had the primary's whole log at since or later.
func caughtUp(group *state.Group, target *state.Member, since time.Duration) bool {
	primary := group.Primary()
	return primary != nil && primary.SentAt() >= since && target.SentAt() >= since &&
		target.Status().InTerm(group.Term()) && target.Status().Tail().Covers(primary.Status().Tail())
}

// finishSwitchover looks at what the promotion of a switchover brought about.
func (failover *Failover) finishSwitchover(watch *monitor, changed event.TermChanged) {
	move := watch.switchover
	if move == nil {
		return
	}
	switch {
	case changed.Primary() == move.chosen || changed.Primary() == move.target:
	case move.chosen == "":
		failover.failSwitchover(watch, "the primary was replaced meanwhile")
		return
	default:
		failover.retrySwitchover(watch, "another instance had more entries")
		return
	}
	failover.endSwitchover(watch)
	failover.log(watch, model.Decision{Name: "switchover_done", Term: changed.Term(), Instance: changed.Primary()})
	if move.commandID != 0 {
		failover.context.Emit(event.NewAnswerOperator(move.commandID, event.NewPlacementChanged(changed.Term(), changed.Primary())))
	}
}

func (failover *Failover) retrySwitchover(watch *monitor, reason string) {
	if watch.switchover.triesLeft == 0 {
		failover.failSwitchover(watch, reason)
		return
	}
	failover.holdWrites(watch)
}

func (failover *Failover) failSwitchover(watch *monitor, reason string) {
	move := watch.switchover
	failover.endSwitchover(watch)
	failover.log(watch, model.Decision{Name: "switchover_failed", Term: watch.group.Term(), Instance: move.target, Reason: reason})
	if move.commandID != 0 {
		failover.refuse(move.commandID, codes.SwitchoverFailed, reason)
	}
}

// endSwitchover lets writes go on, here and at the other proxies.
func (failover *Failover) endSwitchover(watch *monitor) {
	watch.switchover = nil
	watch.group.ReleaseWrites()
	failover.sendHeartbeats()
	failover.context.Publish(event.NewGroupObserved(watch.group.ID()))
}

func (failover *Failover) sendHeartbeats() {
	if member, ok := failover.context.Service("member").(heartbeatSender); ok {
		member.Beat()
	}
}

func (failover *Failover) refuse(ask model.AdminCallID, code codes.Code, detail string) {
	failover.context.Emit(event.NewAnswerOperator(ask, event.NewCommandFailed(code, detail, operatorRetryDelay)))
}

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
	// holdTimeout is how long a hold of new writes lasts, unless it is extended.
	holdTimeout = 250 * time.Millisecond
	// maxInFlightTime is how long a write that was sent before the hold may take to reach the
	// primary.
	maxInFlightTime = 30 * time.Millisecond
	// switchoverTimeout bounds the duration of a switchover with all its tries.
	switchoverTimeout  = 4 * time.Second
	maxSwitchoverTries = 3
	// minSwitchoverInterval is the minimum interval between the starts of two switchovers
	// from a leaving primary.
	minSwitchoverInterval = 200 * time.Millisecond
	switchoverStagger     = 500 * time.Millisecond
	// operatorRetryDelay is the delay after which an operator may repeat a refused command.
	operatorRetryDelay = 2 * time.Second
)

// switchover is a planned change of the primary: new writes are held until the target has
// the whole log of the primary, then the target is promoted.
type switchover struct {
	commandID model.AdminCallID // the operator's command, or 0 if the primary is leaving
	target    model.InstanceID  // the requested primary, or empty for any replica that is not leaving
	chosen    model.InstanceID  // the replica that has caught up with the primary, or empty
	heldSince time.Duration     // when the hold of writes began
	heldUntil time.Duration     // when the hold of writes expires
	deadline  time.Duration
	triesLeft int
}

// heartbeatSender is the service of the plug-in that sends heartbeats to the other proxies.
type heartbeatSender interface {
	// SendHeartbeats sends a heartbeat to every other proxy immediately.
	SendHeartbeats()
}

// handleSwitchover starts the switchover that an operator has ordered, or refuses it.
func (failover *Failover) handleSwitchover(commandID model.AdminCallID, command event.Switchover) {
	group := failover.context.State().Group(command.Group())
	if group == nil {
		failover.refuse(commandID, codes.UnknownGroup, fmt.Sprintf("the platform has no group %q", command.Group()))
		return
	}
	monitor := failover.monitor(group)
	target := group.Member(command.Target())
	switch {
	case group.Primary() == nil:
		failover.refuse(commandID, codes.NoPrimary, "no primary is known")
		return
	case command.Target() != "" && target == nil:
		failover.refuse(commandID, codes.SwitchoverFailed, fmt.Sprintf("group %q has no instance %q", group.ID(), command.Target()))
		return
	case target != nil && target == group.Primary():
		failover.context.Emit(event.NewAnswerOperator(commandID, event.NewPlacementChanged(group.Term(), target.ID())))
		return
	}
	if reason := failover.obstacle(monitor, command.Target()); reason != "" {
		failover.refuse(commandID, codes.SwitchoverFailed, reason)
		return
	}
	failover.startSwitchover(monitor, commandID, command.Target(), "an operator ordered it")
}

// obstacle returns why a switchover to target cannot start, or an empty string if it can. An
// empty target stands for any replica.
func (failover *Failover) obstacle(monitor *monitor, target model.InstanceID) string {
	shared := failover.context.State()
	switch {
	case monitor.attempt != nil || monitor.switchover != nil:
		return "a promotion or switchover of the group is already in progress"
	case shared.Promoter() == 0:
		return "this proxy has no promoter number yet"
	case shared.Draining():
		return "this proxy is shutting down"
	case len(failover.eligibleReplicas(monitor, target)) > 0:
		return ""
	case target == "":
		return "no replica can become primary"
	default:
		return fmt.Sprintf("instance %q is leaving or does not follow the primary", target)
	}
}

// eligibleReplicas returns the replicas that are not leaving and can become primary. A
// non-empty target restricts them to that instance.
func (failover *Failover) eligibleReplicas(monitor *monitor, target model.InstanceID) []*state.Member {
	var replicas []*state.Member
	for _, member := range monitor.group.Members() {
		requested := target == "" || member.ID() == target
		if requested && !member.Leaving() && failover.hasRecentReport(monitor, member) && follows(member, monitor.group) {
			replicas = append(replicas, member)
		}
	}
	return replicas
}

// evaluateSwitchover continues the switchover that is in progress. Without one, it starts a
// switchover if the primary is leaving.
func (failover *Failover) evaluateSwitchover(monitor *monitor) {
	if monitor.switchover != nil {
		failover.continueSwitchover(monitor)
		return
	}
	primary := monitor.group.Primary()
	now := failover.context.Now()
	if primary == nil || !primary.Leaving() {
		monitor.nextSwitchoverAt = 0
		return
	}
	if monitor.nextSwitchoverAt == 0 {
		shared := failover.context.State()
		ownRank := rank.Of("promote/"+string(monitor.group.ID()), shared.Self().ID(), shared.Proxies())
		monitor.nextSwitchoverAt = now + time.Duration(ownRank)*switchoverStagger
	}
	if now < monitor.nextSwitchoverAt || failover.obstacle(monitor, "") != "" {
		return
	}
	monitor.nextSwitchoverAt = now + minSwitchoverInterval
	failover.startSwitchover(monitor, 0, "", "the primary is leaving")
}

func (failover *Failover) startSwitchover(monitor *monitor, commandID model.AdminCallID, target model.InstanceID, reason string) {
	now := failover.context.Now()
	monitor.switchover = &switchover{commandID: commandID, target: target, deadline: now + switchoverTimeout, triesLeft: maxSwitchoverTries}
	failover.log(monitor, model.Decision{Name: "switchover_started", Term: monitor.group.Term(), Instance: target, Reason: reason})
	failover.holdWrites(monitor)
}

// holdWrites starts the next try of the switchover. It holds new writes here and, through a
// heartbeat, at the other proxies.
func (failover *Failover) holdWrites(monitor *monitor) {
	monitor.switchover.heldSince = failover.context.Now()
	monitor.switchover.chosen = ""
	monitor.switchover.triesLeft--
	failover.extendHold(monitor)
}

func (failover *Failover) extendHold(monitor *monitor) {
	monitor.switchover.heldUntil = failover.context.Now() + holdTimeout
	monitor.group.HoldWrites(monitor.switchover.heldUntil, true)
	failover.sendHeartbeats()
	failover.requestReports(monitor, failover.context.Now())
}

// expireSwitchover fails a switchover that has reached its deadline, in any state of the group.
func (failover *Failover) expireSwitchover(monitor *monitor) {
	if monitor.switchover != nil && failover.context.Now() >= monitor.switchover.deadline {
		failover.failSwitchover(monitor, "the time limit was reached")
	}
}

func (failover *Failover) continueSwitchover(monitor *monitor) {
	now := failover.context.Now()
	switchover := monitor.switchover
	if now >= switchover.heldUntil {
		failover.handleHoldExpired(monitor)
		return
	}
	for _, member := range failover.eligibleReplicas(monitor, switchover.target) {
		if caughtUp(monitor.group, member, switchover.heldSince+maxInFlightTime) {
			switchover.chosen = member.ID()
			failover.startAttempt(monitor, &attempt{target: switchover.chosen}, "switchover")
			return
		}
	}
	failover.requestReports(monitor, switchover.heldSince)
}

// handleHoldExpired handles a hold that expires before a replica has caught up. It fails a
// switchover that an operator ordered. A leaving primary accepts no new writes in any case,
// so there the hold is extended.
func (failover *Failover) handleHoldExpired(monitor *monitor) {
	if monitor.switchover.commandID != 0 {
		failover.failSwitchover(monitor, "no replica caught up with the primary")
		return
	}
	failover.extendHold(monitor)
}

// caughtUp reports whether the target had the whole log of the primary, according to reports
// whose probes were sent at since or later.
func caughtUp(group *state.Group, target *state.Member, since time.Duration) bool {
	primary := group.Primary()
	return primary != nil && primary.SentAt() >= since && target.SentAt() >= since &&
		target.Status().InTerm(group.Term()) && target.Status().Tail().Covers(primary.Status().Tail())
}

// finishSwitchover handles the result of the promotion that belongs to a switchover.
func (failover *Failover) finishSwitchover(monitor *monitor, changed event.TermChanged) {
	switchover := monitor.switchover
	if switchover == nil {
		return
	}
	switch {
	case changed.Primary() == switchover.chosen || changed.Primary() == switchover.target:
	case switchover.chosen == "":
		failover.failSwitchover(monitor, "the primary was replaced during the switchover")
		return
	default:
		failover.retrySwitchover(monitor, "another instance had a higher log position and became primary")
		return
	}
	failover.endSwitchover(monitor)
	failover.log(monitor, model.Decision{Name: "switchover_done", Term: changed.Term(), Instance: changed.Primary()})
	if switchover.commandID != 0 {
		failover.context.Emit(event.NewAnswerOperator(switchover.commandID, event.NewPlacementChanged(changed.Term(), changed.Primary())))
	}
}

func (failover *Failover) retrySwitchover(monitor *monitor, reason string) {
	if monitor.switchover.triesLeft == 0 {
		failover.failSwitchover(monitor, reason)
		return
	}
	failover.holdWrites(monitor)
}

func (failover *Failover) failSwitchover(monitor *monitor, reason string) {
	switchover := monitor.switchover
	failover.endSwitchover(monitor)
	failover.log(monitor, model.Decision{Name: "switchover_failed", Term: monitor.group.Term(), Instance: switchover.target, Reason: reason})
	if switchover.commandID != 0 {
		failover.refuse(switchover.commandID, codes.SwitchoverFailed, reason)
	}
}

// endSwitchover ends the hold of writes, here and at the other proxies, and drops the
// switchover.
func (failover *Failover) endSwitchover(monitor *monitor) {
	monitor.switchover = nil
	monitor.group.ReleaseWrites()
	failover.sendHeartbeats()
	failover.context.Publish(event.NewGroupObserved(monitor.group.ID()))
}

func (failover *Failover) sendHeartbeats() {
	if member, ok := failover.context.Service("member").(heartbeatSender); ok {
		member.SendHeartbeats()
	}
}

func (failover *Failover) refuse(commandID model.AdminCallID, code codes.Code, detail string) {
	failover.context.Emit(event.NewAnswerOperator(commandID, event.NewCommandFailed(code, detail, operatorRetryDelay)))
}

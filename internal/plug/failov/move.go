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
	// settleTime is how long writes that were sent before the hold may take to
	// reach the primary.
	settleTime = 30 * time.Millisecond
	// moveLimit bounds a switchover with all its attempts.
	moveLimit = 4 * time.Second
	moveTries = 3
	// moveRetry is the time before the next switchover away from a leaving primary.
	moveRetry   = 200 * time.Millisecond
	moveStagger = 500 * time.Millisecond
	// refusedRetry is when an operator may ask again.
	refusedRetry = 2 * time.Second
)

// move is a switchover: new writes are held back until the target has the
// primary's log, then a promotion makes it the primary.
type move struct {
	ask      model.AdminCallID // the operator's call, or 0
	target   model.InstanceID  // the wanted primary, or empty for any replica that stays
	chosen   model.InstanceID  // the replica that had the primary's log, or empty
	heldAt   time.Duration     // when the hold began
	heldTo   time.Duration     // when the hold ends
	deadline time.Duration
	tries    int
}

// beater is the service of the plug-in that sends heartbeats.
type beater interface {
	// Beat sends a heartbeat to every other proxy now.
	Beat()
}

// command starts a switchover that an operator asks for.
func (failover *Failover) command(ask model.AdminCallID, command event.Switchover) {
	group := failover.context.State().Group(command.Group())
	if group == nil {
		failover.refuse(ask, codes.UnknownGroup, fmt.Sprintf("the platform has no group %q", command.Group()))
		return
	}
	watch := failover.watch(group)
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
	failover.startMove(watch, ask, command.Target(), "an operator asked for it")
}

// obstacle returns why a switchover to target, or to any replica if target is
// empty, cannot start. It returns the empty text if it can.
func (failover *Failover) obstacle(watch *watch, target model.InstanceID) string {
	shared := failover.context.State()
	switch {
	case watch.attempt != nil || watch.move != nil:
		return "the group is changing its primary already"
	case shared.Promoter() == 0:
		return "this proxy has no promoter number yet"
	case shared.Draining():
		return "this proxy is shutting down"
	case len(failover.successors(watch, target)) > 0:
		return ""
	case target == "":
		return "no replica can take the lead"
	default:
		return fmt.Sprintf("instance %q is leaving or does not follow the primary", target)
	}
}

// successors returns the replicas that stay and can take the lead: the target
// alone, or all if target is empty.
func (failover *Failover) successors(watch *watch, target model.InstanceID) []*state.Member {
	var list []*state.Member
	for _, member := range watch.group.Members() {
		wanted := target == "" || member.ID() == target
		if wanted && !member.Leaving() && failover.fresh(watch, member) && follows(member, watch.group) {
			list = append(list, member)
		}
	}
	return list
}

// move starts a switchover if the primary leaves, and continues one that runs.
func (failover *Failover) move(watch *watch) {
	if watch.move != nil {
		failover.continueMove(watch)
		return
	}
	primary := watch.group.Primary()
	now := failover.context.Now()
	if primary == nil || !primary.Leaving() {
		watch.moveAfter = 0
		return
	}
	if watch.moveAfter == 0 {
		shared := failover.context.State()
		place := rank.Of("promote/"+string(watch.group.ID()), shared.Self().ID(), shared.Proxies())
		watch.moveAfter = now + time.Duration(place)*moveStagger
	}
	if now < watch.moveAfter || failover.obstacle(watch, "") != "" {
		return
	}
	watch.moveAfter = now + moveRetry
	failover.startMove(watch, 0, "", "the primary is leaving")
}

func (failover *Failover) startMove(watch *watch, ask model.AdminCallID, target model.InstanceID, reason string) {
	now := failover.context.Now()
	watch.move = &move{ask: ask, target: target, deadline: now + moveLimit, tries: moveTries}
	failover.log(watch, model.Decision{Name: "switchover_started", Term: watch.group.Term(), Instance: target, Reason: reason})
	failover.hold(watch)
}

// hold keeps new writes back, here and by a heartbeat at the other proxies.
func (failover *Failover) hold(watch *watch) {
	watch.move.heldAt = failover.context.Now()
	watch.move.chosen = ""
	watch.move.tries--
	failover.extendHold(watch)
}

func (failover *Failover) extendHold(watch *watch) {
	watch.move.heldTo = failover.context.Now() + holdLimit
	watch.group.HoldWrites(watch.move.heldTo, true)
	failover.beat()
	failover.demand(watch, failover.context.Now())
}

// boundMove ends a switchover that has taken too long, whatever the group does.
func (failover *Failover) boundMove(watch *watch) {
	if watch.move != nil && failover.context.Now() >= watch.move.deadline {
		failover.failMove(watch, "it took too long")
	}
}

func (failover *Failover) continueMove(watch *watch) {
	now := failover.context.Now()
	move := watch.move
	if now >= move.heldTo {
		failover.overrun(watch)
		return
	}
	for _, member := range failover.successors(watch, move.target) {
		if caughtUp(watch.group, member, move.heldAt+settleTime) {
			move.chosen = member.ID()
			failover.begin(watch, &attempt{target: move.chosen}, "switchover")
			return
		}
	}
	failover.demand(watch, move.heldAt)
}

// overrun ends a switchover whose target did not catch up. A leaving primary
// takes no new writes in any case, so there the hold goes on.
func (failover *Failover) overrun(watch *watch) {
	if watch.move.ask != 0 {
		failover.failMove(watch, "no replica caught up with the primary")
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

// endMove looks at what the promotion of a switchover brought about.
func (failover *Failover) endMove(watch *watch, changed event.TermChanged) {
	move := watch.move
	if move == nil {
		return
	}
	switch {
	case changed.Primary() == move.chosen || changed.Primary() == move.target:
	case move.chosen == "":
		failover.failMove(watch, "the primary was replaced meanwhile")
		return
	default:
		failover.retryMove(watch, "another instance had more entries")
		return
	}
	failover.release(watch)
	failover.log(watch, model.Decision{Name: "switchover_done", Term: changed.Term(), Instance: changed.Primary()})
	if move.ask != 0 {
		failover.context.Emit(event.NewAnswerOperator(move.ask, event.NewPlacementChanged(changed.Term(), changed.Primary())))
	}
}

func (failover *Failover) retryMove(watch *watch, reason string) {
	if watch.move.tries == 0 {
		failover.failMove(watch, reason)
		return
	}
	failover.hold(watch)
}

func (failover *Failover) failMove(watch *watch, reason string) {
	move := watch.move
	failover.release(watch)
	failover.log(watch, model.Decision{Name: "switchover_failed", Term: watch.group.Term(), Instance: move.target, Reason: reason})
	if move.ask != 0 {
		failover.refuse(move.ask, codes.SwitchoverFailed, reason)
	}
}

// release lets writes go on, here and at the other proxies.
func (failover *Failover) release(watch *watch) {
	watch.move = nil
	watch.group.ReleaseWrites()
	failover.beat()
	failover.context.Publish(event.NewGroupObserved(watch.group.ID()))
}

func (failover *Failover) beat() {
	if member, ok := failover.context.Service("member").(beater); ok {
		member.Beat()
	}
}

func (failover *Failover) refuse(ask model.AdminCallID, code codes.Code, detail string) {
	failover.context.Emit(event.NewAnswerOperator(ask, event.NewCommandFailed(code, detail, refusedRetry)))
}

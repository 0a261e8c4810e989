package relay

import (
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/state"
)

// chooseReader returns the instance for a read that any instance with the required mark can
// run, or the empty ID.
func (task *task) chooseReader(group *state.Group) model.InstanceID {
	relay := task.relay
	if relay.spread == nil || !relay.spread.Active(group) {
		task.reason = "least load"
		return relay.cheapestInstance(group, task)
	}
	instance, reason := relay.spread.Choose(group, relay.candidates(group, task))
	task.reason = reason
	return instance
}

// candidates returns the instances that can run a read: those that answered lately or, if there
// are none, those that did not.
func (relay *Relay) candidates(group *state.Group, task *task) []*state.Member {
	var usable, failed []*state.Member
	for _, member := range group.Members() {
		switch {
		case member.Leaving() || task.isAvoided(member.ID()) || relay.knownToLack(member.ID(), task.after):
		case relay.isAvoidable(member.ID()):
			failed = append(failed, member)
		default:
			usable = append(usable, member)
		}
	}
	if len(usable) > 0 {
		return usable
	}
	return failed
}

// recordSent records the statement that is about to be sent as outstanding. The confirmation of
// a primary takes no slot.
func (task *task) recordSent() {
	if task.relay.spread == nil || task.step == model.StepConfirmPrimary {
		return
	}
	task.sent = task.relay.spread.Sent(task.instance, task.job)
}

// recordEnded records that no statement is outstanding.
func (task *task) recordEnded(answered bool) {
	if task.sent.Instance == "" {
		return
	}
	task.relay.spread.Ended(task.sent, answered)
	task.sent = route.SentStatement{}
}

// recordRefused records that the instance refused the statement for lack of a slot.
func (task *task) recordRefused() {
	if task.relay.spread != nil {
		task.relay.spread.Refused(task.instance)
	}
}

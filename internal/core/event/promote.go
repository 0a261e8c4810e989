package event

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
)

// PromoteInstance orders the platform to make an instance the primary of its group. The
// answer is PromotionAnswered. An order without an answer may still be carried out
// seconds later, unless the platform sees a higher token before that.
type PromoteInstance struct {
	callID   model.PlatformCallID
	group    model.GroupID
	instance model.InstanceID
	token    uint64
	timeout  time.Duration
}

// NewPromoteInstance returns a PromoteInstance.
func NewPromoteInstance(callID model.PlatformCallID, group model.GroupID, instance model.InstanceID, token uint64, timeout time.Duration) PromoteInstance {
	return PromoteInstance{callID: callID, group: group, instance: instance, token: token, timeout: timeout}
}

// CallID returns the identifier of the call.
func (promoteInstance PromoteInstance) CallID() model.PlatformCallID { return promoteInstance.callID }

// Group returns the group.
func (promoteInstance PromoteInstance) Group() model.GroupID { return promoteInstance.group }

// Instance returns the instance that becomes the primary.
func (promoteInstance PromoteInstance) Instance() model.InstanceID { return promoteInstance.instance }

// Token returns the fencing token of the order.
func (promoteInstance PromoteInstance) Token() uint64 { return promoteInstance.token }

// Timeout returns the time after which the order counts as unanswered.
func (promoteInstance PromoteInstance) Timeout() time.Duration { return promoteInstance.timeout }

func (PromoteInstance) isAction() {}

// PromotionAnswered reports the outcome of a PromoteInstance.
type PromotionAnswered struct {
	callID  model.PlatformCallID
	outcome model.PromotionOutcome
}

// NewPromotionAnswered returns a PromotionAnswered.
func NewPromotionAnswered(callID model.PlatformCallID, outcome model.PromotionOutcome) PromotionAnswered {
	return PromotionAnswered{callID: callID, outcome: outcome}
}

// CallID returns the identifier of the call.
func (promotionAnswered PromotionAnswered) CallID() model.PlatformCallID {
	return promotionAnswered.callID
}

// Outcome returns the outcome of the order.
func (promotionAnswered PromotionAnswered) Outcome() model.PromotionOutcome {
	return promotionAnswered.outcome
}

func (PromotionAnswered) isEvent() {}

// Pause orders a replica to stop receiving log entries until it is promoted or follows a
// new primary.
type Pause struct {
	term model.Term
}

// NewPause returns a Pause.
func NewPause(term model.Term) Pause { return Pause{term: term} }

// Term returns the term of the order, which must be higher than the newest term.
func (pause Pause) Term() model.Term { return pause.term }

func (Pause) isOrder() {}

// StepDown orders a primary of a lower term to become a replica.
type StepDown struct {
	term model.Term
}

// NewStepDown returns a StepDown.
func NewStepDown(term model.Term) StepDown { return StepDown{term: term} }

// Term returns the term of the order.
func (stepDown StepDown) Term() model.Term { return stepDown.term }

func (StepDown) isOrder() {}

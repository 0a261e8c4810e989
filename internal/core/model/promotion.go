package model

// PromotionOutcome is the outcome of an order to the platform to promote an instance.
type PromotionOutcome int

// The outcomes of a promotion order.
const (
	// PromotionAccepted means that the platform executes the order.
	PromotionAccepted PromotionOutcome = iota
	// PromotionRefused means that the platform has seen a higher token or that the instance is not running.
	PromotionRefused
	// PromotionUnanswered means that no answer arrived: the order may have been executed or may still be.
	PromotionUnanswered
	// PromotionUntaken means that the platform did not take the order because it is down or lacks capacity.
	PromotionUntaken
)

// String returns the name of the outcome in snake case.
func (outcome PromotionOutcome) String() string {
	switch outcome {
	case PromotionAccepted:
		return "accepted"
	case PromotionRefused:
		return "refused"
	case PromotionUnanswered:
		return "unanswered"
	default:
		return "untaken"
	}
}

package model

// PromotionOutcome is what became of an order to promote an instance.
type PromotionOutcome int

// The outcomes of such an order.
const (
	// PromotionAccepted means that the platform carries the order out.
	PromotionAccepted PromotionOutcome = iota
	// PromotionRefused means that a higher token was seen or that the instance is not running.
	PromotionRefused
	// PromotionUnanswered means that the order may have been or may still be carried out.
	PromotionUnanswered
	// PromotionUntaken means that the platform took no order, for lack of capacity or while it is down.
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

package limit

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

const (
	// earnedRetries is how many requests earn one retry.
	earnedRetries = 10
	// maxRetries is how many retries a group can save.
	maxRetries = 200
	// refillInterval is the time in which a group earns one retry without requests.
	refillInterval = 50 * time.Millisecond
)

// budget bounds the retries of a group, so that they do not multiply the load of
// a group in trouble. It counts in parts of a retry.
type budget struct {
	parts  int
	filled time.Duration
}

func (budget *budget) earn() { budget.parts = min(budget.parts+1, maxRetries*earnedRetries) }

func (limits *Limits) budget(ask route.SlotRequest) *budget {
	if ask.Job == nil {
		return &budget{}
	}
	return limits.groupBudget(ask.Job.Group())
}

func (limits *Limits) groupBudget(group model.GroupID) *budget {
	found, ok := limits.budgets[group]
	if !ok {
		found = &budget{parts: maxRetries * earnedRetries, filled: limits.context.Now()}
		limits.budgets[group] = found
	}
	return found
}

// TakeRetry implements route.Admission.
func (limits *Limits) TakeRetry(group model.GroupID) bool {
	budget := limits.groupBudget(group)
	now := limits.context.Now()
	if refills := int((now - budget.filled) / refillInterval); refills > 0 {
		budget.filled = now
		budget.parts = min(budget.parts+refills*earnedRetries, maxRetries*earnedRetries)
	}
	if budget.parts < earnedRetries {
		return false
	}
	budget.parts -= earnedRetries
	return true
}

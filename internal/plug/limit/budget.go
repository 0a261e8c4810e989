package limit

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

const (
	// requestsPerRetry is how many requests earn one retry.
	requestsPerRetry = 10
	// maxSavedRetries is how many retries a group can save.
	maxSavedRetries = 200
	// refillInterval is the time in which a group earns one retry without requests.
	refillInterval = 50 * time.Millisecond
)

// retryBudget bounds the retries of a group, so that they do not multiply the load of
// a group in trouble. It counts in parts of a retry.
type retryBudget struct {
	balance    int
	refilledAt time.Duration
}

func (budget *retryBudget) deposit() {
	budget.balance = min(budget.balance+1, maxSavedRetries*requestsPerRetry)
}

func (limits *Limits) retryBudget(ask route.SlotRequest) *retryBudget {
	if ask.Job == nil {
		return &retryBudget{}
	}
	return limits.groupRetryBudget(ask.Job.Group())
}

func (limits *Limits) groupRetryBudget(group model.GroupID) *retryBudget {
	found, ok := limits.retryBudgets[group]
	if !ok {
		found = &retryBudget{balance: maxSavedRetries * requestsPerRetry, refilledAt: limits.context.Now()}
		limits.retryBudgets[group] = found
	}
	return found
}

// TakeRetry implements route.Admission.
func (limits *Limits) TakeRetry(group model.GroupID) bool {
	budget := limits.groupRetryBudget(group)
	now := limits.context.Now()
	if refills := int((now - budget.refilledAt) / refillInterval); refills > 0 {
		budget.refilledAt = now
		budget.balance = min(budget.balance+refills*requestsPerRetry, maxSavedRetries*requestsPerRetry)
	}
	if budget.balance < requestsPerRetry {
		return false
	}
	budget.balance -= requestsPerRetry
	return true
}

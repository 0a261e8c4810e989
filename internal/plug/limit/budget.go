package limit

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

const (
	// requestsPerRetry is the number of granted requests that add one retry to a budget.
	requestsPerRetry = 10
	// maxSavedRetries is the capacity of the budget of a group.
	maxSavedRetries = 200
	// refillInterval is the interval at which a budget gains one retry regardless of
	// requests.
	refillInterval = 50 * time.Millisecond
)

// retryBudget limits the retries of a group, so that they do not multiply the load of
// a failing group. The balance counts in units of 1/requestsPerRetry of a retry.
type retryBudget struct {
	balance    int
	refilledAt time.Duration
}

func (retryBudget *retryBudget) deposit() {
	retryBudget.balance = min(retryBudget.balance+1, maxSavedRetries*requestsPerRetry)
}

func (limits *Limits) retryBudget(request route.SlotRequest) *retryBudget {
	if request.Job == nil {
		return &retryBudget{}
	}
	return limits.groupRetryBudget(request.Job.Group())
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
	retryBudget := limits.groupRetryBudget(group)
	now := limits.context.Now()
	if refills := int((now - retryBudget.refilledAt) / refillInterval); refills > 0 {
		retryBudget.refilledAt = now
		retryBudget.balance = min(retryBudget.balance+refills*requestsPerRetry, maxSavedRetries*requestsPerRetry)
	}
	if retryBudget.balance < requestsPerRetry {
		return false
	}
	retryBudget.balance -= requestsPerRetry
	return true
}

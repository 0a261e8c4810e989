package limit

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

const (
	// requestsPerRetry is the number of granted requests that add one retry to a budget.
	requestsPerRetry = 10
	// maxSavedRetries is the capacity of the budget of a group, for all proxies together. Each has
	// its share, of minSavedRetries at least.
	maxSavedRetries = 200
	minSavedRetries = 2
	// refillInterval is the interval at which the budget gains one retry regardless of
	// requests, for all proxies together.
	refillInterval = 50 * time.Millisecond
)

// retryBudget limits the retries of a group, so that they do not multiply the load of
// a failing group. The balance counts in units of 1/requestsPerRetry of a retry.
type retryBudget struct {
	balance    int
	refilledAt time.Duration
}

func (limits *Limits) deposit(request route.SlotRequest) {
	budget := limits.retryBudget(request)
	budget.balance = min(budget.balance+1, limits.maxBalance())
}

// maxBalance returns the share of this proxy in the capacity of a budget.
func (limits *Limits) maxBalance() int {
	return max(minSavedRetries, maxSavedRetries/limits.context.State().ProxyCount()) * requestsPerRetry
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
		found = &retryBudget{balance: limits.maxBalance(), refilledAt: limits.context.Now()}
		limits.retryBudgets[group] = found
	}
	return found
}

// TakeRetry implements route.Admission.
func (limits *Limits) TakeRetry(group model.GroupID) bool {
	retryBudget := limits.groupRetryBudget(group)
	now := limits.context.Now()
	interval := refillInterval * time.Duration(limits.context.State().ProxyCount())
	if refills := int((now - retryBudget.refilledAt) / interval); refills > 0 {
		retryBudget.refilledAt += time.Duration(refills) * interval
		retryBudget.balance += refills * requestsPerRetry
	}
	retryBudget.balance = min(retryBudget.balance, limits.maxBalance())
	if retryBudget.balance < requestsPerRetry {
		return false
	}
	retryBudget.balance -= requestsPerRetry
	return true
}

package route

import "almondway.dev/almondway/internal/core/model"

// Quota limits the operations of the teams over all proxies.
type Quota interface {
	// Acquire decides whether an operation of a team may start, at once or within a fraction of
	// a second. decide gets nil, or the denial. The WaitID is zero if decide was called at once.
	Acquire(team *model.Team, decide func(denial *Denial)) WaitID
	// CancelWait ends a wait.
	CancelWait(id WaitID)
}

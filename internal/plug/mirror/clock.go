package mirror

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
)

// maxReordering is the time by which an answer may arrive after a later one.
const maxReordering = 5 * time.Second

// storeClock converts times of the store's steady clock to the clock of this proxy.
type storeClock struct {
	known bool
	era   model.StoreEra
	last  time.Duration // the highest time of the store's clock that was seen
	// offset is a lower bound of the difference between both clocks. An answer is given after
	// its call was made, so the call with the fastest answer gives the best bound.
	offset time.Duration
}

// answeredAt returns a time by which the store had not yet given an answer, as late as it is
// known: the answer covers every change before that time. The answer to a call that was made at
// sentAt has arrived at receivedAt, and at is its time on the store's clock, or 0 if it has
// none. The clock starts anew with an era, and when it goes back.
func (clock *storeClock) answeredAt(era model.StoreEra, at, sentAt, receivedAt time.Duration) time.Duration {
	if at == 0 {
		return sentAt
	}
	if !clock.known || era != clock.era || at < clock.last-maxReordering {
		*clock = storeClock{known: true, era: era, offset: sentAt - at}
	}
	clock.last = max(clock.last, at)
	clock.offset = max(clock.offset, sentAt-at)
	return min(max(sentAt, at+clock.offset), receivedAt)
}

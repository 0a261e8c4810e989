package state

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
)

const (
	roundSpacing = 10 * time.Millisecond
	maxRounds    = 2048
)

// round is a read index: index covers every write acknowledged before since.
type round struct {
	since time.Duration
	index model.Mark
}

// rounds keeps the recent read indexes of a group, oldest first. Beyond
// maxRounds every second one of the older half is dropped.
type rounds struct {
	list []round
}

func (rounds *rounds) add(added round) {
	if added.index.IsZero() {
		return
	}
	last := len(rounds.list) - 1
	if last >= 0 && added.since <= rounds.list[last].since {
		if added.since == rounds.list[last].since && rounds.list[last].index.Covers(added.index) {
			rounds.list[last] = added
		}
		return
	}
	if last >= 1 && added.since-rounds.list[last-1].since < roundSpacing {
		rounds.list[last] = added
		return
	}
	rounds.list = append(rounds.list, added)
	if len(rounds.list) > maxRounds {
		rounds.thin()
	}
}

// covered reports whether mark covers a read index taken at oldest or later.
func (rounds *rounds) covered(mark model.Mark, oldest time.Duration) bool {
	for index := len(rounds.list) - 1; index >= 0; index-- {
		if rounds.list[index].since < oldest {
			return false
		}
		if mark.Covers(rounds.list[index].index) {
			return true
		}
	}
	return false
}

func (rounds *rounds) thin() {
	half := len(rounds.list) / 2
	kept := rounds.list[:0]
	for index, item := range rounds.list {
		if index >= half || index%2 == 0 {
			kept = append(kept, item)
		}
	}
	rounds.list = kept
}

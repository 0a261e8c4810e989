package state

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
)

const (
	readIndexSpacing = 10 * time.Millisecond
	maxReadIndexes   = 2048
)

// readIndex is a read index: index covers every write acknowledged before since.
type readIndex struct {
	since time.Duration
	mark  model.Mark
}

// readIndexHistory keeps the recent read indexes of a group, oldest first. Beyond
// maxRounds every second one of the older half is dropped.
type readIndexHistory struct {
	list []readIndex
}

func (rounds *readIndexHistory) add(added readIndex) {
	if added.mark.IsZero() {
		return
	}
	last := len(rounds.list) - 1
	if last >= 0 && added.since <= rounds.list[last].since {
		if added.since == rounds.list[last].since && rounds.list[last].mark.Covers(added.mark) {
			rounds.list[last] = added
		}
		return
	}
	if last >= 1 && added.since-rounds.list[last-1].since < readIndexSpacing {
		rounds.list[last] = added
		return
	}
	rounds.list = append(rounds.list, added)
	if len(rounds.list) > maxReadIndexes {
		rounds.dropEverySecond()
	}
}

// covers reports whether mark covers a read index taken at oldest or later.
func (rounds *readIndexHistory) covers(mark model.Mark, oldest time.Duration) bool {
	for index := len(rounds.list) - 1; index >= 0; index-- {
		if rounds.list[index].since < oldest {
			return false
		}
		if mark.Covers(rounds.list[index].mark) {
			return true
		}
	}
	return false
}

func (rounds *readIndexHistory) dropEverySecond() {
	half := len(rounds.list) / 2
	kept := rounds.list[:0]
	for index, item := range rounds.list {
		if index >= half || index%2 == 0 {
			kept = append(kept, item)
		}
	}
	rounds.list = kept
}

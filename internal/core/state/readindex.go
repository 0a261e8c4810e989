package state

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
)

const (
	readIndexSpacing = 10 * time.Millisecond
	maxReadIndexes   = 2048
	// maxSharedMarkAge is the age up to which a mark is told to other proxies.
	maxSharedMarkAge = time.Second
)

// readIndex records that mark covers every write acknowledged before since.
type readIndex struct {
	since time.Duration
	mark  model.Mark
}

// readIndexHistory holds the recent read indexes of a group, oldest first. When it
// exceeds maxReadIndexes, every second entry of the older half is dropped.
type readIndexHistory struct {
	list []readIndex
}

// add appends a read index. It replaces the newest one instead if the index before
// that is less than readIndexSpacing older than added.
func (history *readIndexHistory) add(added readIndex) {
	if added.mark.IsZero() {
		return
	}
	last := len(history.list) - 1
	if last >= 0 && added.since <= history.list[last].since {
		if added.since == history.list[last].since && history.list[last].mark.Covers(added.mark) {
			history.list[last] = added
		}
		return
	}
	if last >= 1 && added.since-history.list[last-1].since < readIndexSpacing {
		history.list[last] = added
		return
	}
	history.list = append(history.list, added)
	if len(history.list) > maxReadIndexes {
		history.dropEverySecond()
	}
}

// covers reports whether mark covers a read index whose time is oldest or later.
func (history *readIndexHistory) covers(mark model.Mark, oldest time.Duration) bool {
	for index := len(history.list) - 1; index >= 0; index-- {
		if history.list[index].since < oldest {
			return false
		}
		if mark.Covers(history.list[index].mark) {
			return true
		}
	}
	return false
}

func (history *readIndexHistory) dropEverySecond() {
	half := len(history.list) / 2
	kept := history.list[:0]
	for index, entry := range history.list {
		if index >= half || index%2 == 0 {
			kept = append(kept, entry)
		}
	}
	history.list = kept
}

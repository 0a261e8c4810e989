package timer

import "time"

type entry struct {
	id       ID
	at       time.Duration
	interval time.Duration
	callback func()
	index    int
}

// entryHeap implements heap.Interface. It is ordered by due time and then by ID.
type entryHeap []*entry

func (entries entryHeap) Len() int { return len(entries) }

func (entries entryHeap) Less(left, right int) bool {
	if entries[left].at != entries[right].at {
		return entries[left].at < entries[right].at
	}
	return entries[left].id < entries[right].id
}

func (entries entryHeap) Swap(left, right int) {
	entries[left], entries[right] = entries[right], entries[left]
	entries[left].index = left
	entries[right].index = right
}

// Push implements heap.Interface.
func (entries *entryHeap) Push(value any) {
	added := value.(*entry)
	added.index = len(*entries)
	*entries = append(*entries, added)
}

// Pop implements heap.Interface.
func (entries *entryHeap) Pop() any {
	last := len(*entries) - 1
	removed := (*entries)[last]
	(*entries)[last] = nil
	*entries = (*entries)[:last]
	return removed
}

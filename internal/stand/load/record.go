package load

import (
	"sort"
	"strconv"
	"sync"
	"time"
)

// WriteHistory keeps what the callers wrote and were told, by key, and checks answers
// against it. Each write counts its key up by one.
type WriteHistory struct {
	mu   sync.Mutex
	keys map[string]*keyHistory
}

type keyHistory struct {
	sent    int
	unknown int
	done    []time.Time // when the callers learned that a write was done
	notRun  []time.Time // when the callers learned that a write was not run
}

// NewWriteHistory returns an empty Record.
func NewWriteHistory() *WriteHistory { return &WriteHistory{keys: make(map[string]*keyHistory)} }

func (record *WriteHistory) forKey(key string) *keyHistory {
	found := record.keys[key]
	if found == nil {
		found = &keyHistory{}
		record.keys[key] = found
	}
	return found
}

// AddSent notes that a write was sent.
func (record *WriteHistory) AddSent(key string) {
	record.mu.Lock()
	defer record.mu.Unlock()
	record.forKey(key).sent++
}

// AddVerdict notes what the caller of a write was told.
func (record *WriteHistory) AddVerdict(key string, verdict Verdict, at time.Time) {
	record.mu.Lock()
	defer record.mu.Unlock()
	history := record.forKey(key)
	switch verdict {
	case VerdictDone:
		history.done = append(history.done, at)
	case VerdictNotRun:
		history.notRun = append(history.notRun, at)
	case VerdictUnknown:
		history.unknown++
	}
}

// IsValidRead reports whether a read that was sent at sentAt and has just been
// answered may show the value.
func (record *WriteHistory) IsValidRead(kind Kind, key string, values []string, sentAt time.Time) bool {
	if len(values) != 2 || values[0] != key {
		return false
	}
	value, err := strconv.Atoi(values[1])
	if err != nil {
		return false
	}
	record.mu.Lock()
	defer record.mu.Unlock()
	history := record.forKey(key)
	least := countBefore(history.done, sentAt.Add(-kind.Staleness))
	most := history.sent - countBefore(history.notRun, sentAt)
	return value >= least && value <= most
}

// countBefore returns how many of the ascending times lie before at.
func countBefore(times []time.Time, at time.Time) int {
	return sort.Search(len(times), func(place int) bool { return !times[place].Before(at) })
}

// Audit is the result of the check at the end of a run.
type Audit struct {
	LostWrites    int
	DoubledWrites int
	WrongNotRun   int
}

// Audit compares the final values of the keys with the record: lost are writes
// that were told done and are missing; an excess is a write that was told not
// run, as far as there are such, and otherwise one that ran twice.
func (record *WriteHistory) Audit(final map[string]int) Audit {
	record.mu.Lock()
	defer record.mu.Unlock()
	var audit Audit
	for key, history := range record.keys {
		value := final[key]
		excess := max(0, value-len(history.done)-history.unknown)
		audit.LostWrites += max(0, len(history.done)-value)
		audit.WrongNotRun += min(excess, len(history.notRun))
		audit.DoubledWrites += max(0, excess-len(history.notRun))
	}
	return audit
}

// Keys returns the keys that were written.
func (record *WriteHistory) Keys() []string {
	record.mu.Lock()
	defer record.mu.Unlock()
	keys := make([]string, 0, len(record.keys))
	for key := range record.keys {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

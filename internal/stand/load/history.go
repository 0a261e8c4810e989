package load

import (
	"sort"
	"strconv"
	"sync"
	"time"
)

// WriteHistory records the writes of each key and their verdicts, and checks the answers of
// reads against them. Each write increments the value of its key by one.
type WriteHistory struct {
	mu   sync.Mutex
	keys map[string]*keyHistory
}

type keyHistory struct {
	sent    int
	unknown int
	done    []time.Time // when callers received VerdictDone
	notRun  []time.Time // when callers received VerdictNotRun
}

// NewWriteHistory returns an empty WriteHistory. It is safe for concurrent use.
func NewWriteHistory() *WriteHistory { return &WriteHistory{keys: make(map[string]*keyHistory)} }

func (writeHistory *WriteHistory) forKey(key string) *keyHistory {
	found := writeHistory.keys[key]
	if found == nil {
		found = &keyHistory{}
		writeHistory.keys[key] = found
	}
	return found
}

// AddSent records that a write is about to be sent.
func (writeHistory *WriteHistory) AddSent(key string) {
	writeHistory.mu.Lock()
	defer writeHistory.mu.Unlock()
	writeHistory.forKey(key).sent++
}

// AddVerdict records the verdict of a write that was added by AddSent.
func (writeHistory *WriteHistory) AddVerdict(key string, verdict Verdict, at time.Time) {
	writeHistory.mu.Lock()
	defer writeHistory.mu.Unlock()
	keyHistory := writeHistory.forKey(key)
	switch verdict {
	case VerdictDone:
		keyHistory.done = append(keyHistory.done, at)
	case VerdictNotRun:
		keyHistory.notRun = append(keyHistory.notRun, at)
	case VerdictUnknown:
		keyHistory.unknown++
	}
}

// IsValidRead reports whether the columns key and value are a correct answer of a read that
// was sent at sentAt and has just been answered. The value must include every write that was
// acknowledged by sentAt less the staleness of the kind, and no write that was reported as
// not run by sentAt.
func (writeHistory *WriteHistory) IsValidRead(kind Kind, key string, values []string, sentAt time.Time) bool {
	if len(values) != 2 || values[0] != key {
		return false
	}
	value, err := strconv.Atoi(values[1])
	if err != nil {
		return false
	}
	writeHistory.mu.Lock()
	defer writeHistory.mu.Unlock()
	keyHistory := writeHistory.forKey(key)
	least := countBefore(keyHistory.done, sentAt.Add(-kind.Staleness))
	most := keyHistory.sent - countBefore(keyHistory.notRun, sentAt)
	return value >= least && value <= most
}

// countBefore returns the number of times before at. The times must be ascending.
func countBefore(times []time.Time, at time.Time) int {
	return sort.Search(len(times), func(index int) bool { return !times[index].Before(at) })
}

// Audit is the result of the consistency check at the end of a run.
type Audit struct {
	LostWrites    int
	DoubledWrites int
	WrongNotRun   int
}

// Audit compares the final values of the keys with the recorded writes. A value below the
// number of acknowledged writes counts as lost writes. The excess of a value over the
// acknowledged and unknown writes counts as writes wrongly reported as not run, up to the
// number of such reports, and beyond that as doubled writes.
func (writeHistory *WriteHistory) Audit(final map[string]int) Audit {
	writeHistory.mu.Lock()
	defer writeHistory.mu.Unlock()
	var audit Audit
	for key, keyHistory := range writeHistory.keys {
		value := final[key]
		excess := max(0, value-len(keyHistory.done)-keyHistory.unknown)
		audit.LostWrites += max(0, len(keyHistory.done)-value)
		audit.WrongNotRun += min(excess, len(keyHistory.notRun))
		audit.DoubledWrites += max(0, excess-len(keyHistory.notRun))
	}
	return audit
}

// Keys returns the keys of all recorded writes, sorted.
func (writeHistory *WriteHistory) Keys() []string {
	writeHistory.mu.Lock()
	defer writeHistory.mu.Unlock()
	keys := make([]string, 0, len(writeHistory.keys))
	for key := range writeHistory.keys {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

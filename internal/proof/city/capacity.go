package city

import "time"

const (
	// unlimitedSlots is the number of slots that an instance without a limit lists.
	unlimitedSlots = 5
	// defaultConnectTime is the time to open a connection to an instance without a limit.
	defaultConnectTime = 12 * time.Millisecond
)

// capacity limits what an instance runs at once. The zero capacity sets no limit.
type capacity struct {
	slots      int           // statements that run at once
	queueLimit int           // statements that wait for a slot; further ones are refused
	maxConns   int           // open connections
	handshake  time.Duration // how long opening a connection holds a slot
	running    int
	conns      int
	opened     int // connections since the start
	statements int // of callers since the start
	waiting    []func()
	// busy is the sum of the times for which slots were held.
	busy time.Duration
}

func (capacity *capacity) listedSlots() int {
	if capacity.slots == 0 {
		return unlimitedSlots
	}
	return capacity.slots
}

// full reports whether no further statement may wait for a slot.
func (capacity *capacity) full() bool {
	return capacity.slots > 0 && capacity.running >= capacity.slots && len(capacity.waiting) >= capacity.queueLimit
}

// acquire calls start once a slot is free, immediately or later.
func (capacity *capacity) acquire(start func()) {
	if capacity.slots > 0 && capacity.running >= capacity.slots {
		capacity.waiting = append(capacity.waiting, start)
		return
	}
	capacity.running++
	start()
}

// release returns a slot that was held for the given time.
func (capacity *capacity) release(held time.Duration) {
	capacity.busy += held
	capacity.running--
	if len(capacity.waiting) > 0 && capacity.running < capacity.listedSlots() {
		next := capacity.waiting[0]
		capacity.waiting = capacity.waiting[1:]
		capacity.running++
		next()
	}
}

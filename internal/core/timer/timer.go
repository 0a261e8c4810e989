// Package timer is the kernel's timer service. Plug-ins register callbacks for points in
// time. The service reads no clock; the kernel advances it.
package timer

import (
	"container/heap"
	"time"
)

// ID identifies a timer. The zero ID identifies none.
type ID uint64

// Service runs the callbacks of timers that are due, in the order of their due times and,
// for equal times, of their creation.
type Service struct {
	now     time.Duration
	lastID  ID
	entries entryHeap
	byID    map[ID]*entry
}

// New returns a Service whose clock is at zero.
func New() *Service { return &Service{byID: make(map[ID]*entry)} }

// Now returns the time since the start of the kernel.
func (service *Service) Now() time.Duration { return service.now }

// After creates a timer that calls callback once, when delay has passed. A negative delay
// counts as 0.
func (service *Service) After(delay time.Duration, callback func()) ID {
	return service.add(service.now+max(0, delay), 0, callback)
}

// Every creates a timer that calls callback once per interval. interval must be positive.
func (service *Service) Every(interval time.Duration, callback func()) ID {
	return service.add(service.now+interval, interval, callback)
}

// Cancel removes a timer. It does nothing if the timer has expired or was canceled.
func (service *Service) Cancel(id ID) {
	found, ok := service.byID[id]
	if !ok {
		return
	}
	delete(service.byID, id)
	heap.Remove(&service.entries, found.index)
}

// NextDue returns the time at which the next timer is due, and whether there is a timer.
func (service *Service) NextDue() (time.Duration, bool) {
	if len(service.entries) == 0 {
		return 0, false
	}
	return service.entries[0].at, true
}

// Advance sets the clock to now and runs the callback of every timer that is due. The
// clock never goes back. A periodic timer that missed several intervals runs once.
func (service *Service) Advance(now time.Duration) {
	service.now = max(service.now, now)
	for len(service.entries) > 0 && service.entries[0].at <= service.now {
		service.fire(service.entries[0])
	}
}

func (service *Service) add(at, interval time.Duration, callback func()) ID {
	service.lastID++
	added := &entry{id: service.lastID, at: at, interval: interval, callback: callback}
	service.byID[added.id] = added
	heap.Push(&service.entries, added)
	return added.id
}

func (service *Service) fire(due *entry) {
	if due.interval > 0 {
		due.at = service.now + due.interval
		heap.Fix(&service.entries, due.index)
	} else {
		heap.Pop(&service.entries)
		delete(service.byID, due.id)
	}
	due.callback()
}

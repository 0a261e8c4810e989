// Package timer is the kernel's timer service. Plug-ins subscribe to points in
// time; the kernel advances the service. It reads no clock.
package timer

import (
	"container/heap"
	"time"
)

// ID identifies a subscription. The zero ID identifies none.
type ID uint64

// Service calls subscribers when their time has come, in the order of their
// times and, for equal times, of their subscriptions.
type Service struct {
	now     time.Duration
	lastID  ID
	entries entryHeap
	byID    map[ID]*entry
}

// New returns a Service whose clock stands at zero.
func New() *Service { return &Service{byID: make(map[ID]*entry)} }

// Now returns the time since the start of the kernel.
func (service *Service) Now() time.Duration { return service.now }

// After calls callback once when delay has passed.
func (service *Service) After(delay time.Duration, callback func()) ID {
	return service.add(service.now+max(0, delay), 0, callback)
}

// Every calls callback each time that interval has passed. interval must be positive.
func (service *Service) Every(interval time.Duration, callback func()) ID {
	return service.add(service.now+interval, interval, callback)
}

// Cancel ends a subscription. It does nothing if the subscription has ended.
func (service *Service) Cancel(id ID) {
	found, ok := service.byID[id]
	if !ok {
		return
	}
	delete(service.byID, id)
	heap.Remove(&service.entries, found.index)
}

// NextDue returns when the next subscriber is due.
func (service *Service) NextDue() (time.Duration, bool) {
	if len(service.entries) == 0 {
		return 0, false
	}
	return service.entries[0].at, true
}

// Advance sets the clock to now and calls every subscriber that is due. The
// clock never goes back. A repeated subscription that is overdue several times
// is called once.
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

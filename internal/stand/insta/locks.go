package insta

import (
	"context"
	"sync"
	"time"
)

type rowLock struct {
	taken chan struct{}
	users int
}

// locks are the row locks of an instance, in order of arrival.
type locks struct {
	mu    sync.Mutex
	rows  map[string]*rowLock
	limit time.Duration
}

func newLocks(limit time.Duration) *locks {
	return &locks{rows: make(map[string]*rowLock), limit: limit}
}

// acquire waits for the lock of a row.
func (locks *locks) acquire(ctx context.Context, row string) error {
	locks.mu.Lock()
	lock := locks.rows[row]
	if lock == nil {
		lock = &rowLock{taken: make(chan struct{}, 1)}
		locks.rows[row] = lock
	}
	lock.users++
	locks.mu.Unlock()
	select {
	case lock.taken <- struct{}{}:
		return nil
	default:
	}
	limit := time.NewTimer(locks.limit)
	defer limit.Stop()
	select {
	case lock.taken <- struct{}{}:
		return nil
	case <-ctx.Done():
		locks.leave(row, lock)
		return newError(stateCanceled, "canceling statement due to user request")
	case <-limit.C:
		locks.leave(row, lock)
		return newError(stateLockTimeout, "canceling statement due to lock timeout")
	}
}

// release gives the lock of a row back.
func (locks *locks) release(row string) {
	locks.mu.Lock()
	lock := locks.rows[row]
	locks.mu.Unlock()
	<-lock.taken
	locks.leave(row, lock)
}

func (locks *locks) leave(row string, lock *rowLock) {
	locks.mu.Lock()
	defer locks.mu.Unlock()
	lock.users--
	if lock.users == 0 {
		delete(locks.rows, row)
	}
}

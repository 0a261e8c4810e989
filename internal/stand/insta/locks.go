package insta

import (
	"context"
	"sync"
	"time"
)

type rowLock struct {
	held       chan struct{}
	references int
}

// rowLocks are the row locks of an instance, in order of arrival.
type rowLocks struct {
	mu      sync.Mutex
	rows    map[string]*rowLock
	timeout time.Duration
}

func newRowLocks(limit time.Duration) *rowLocks {
	return &rowLocks{rows: make(map[string]*rowLock), timeout: limit}
}

// acquire waits for the lock of a row.
func (locks *rowLocks) acquire(ctx context.Context, row string) error {
	locks.mu.Lock()
	lock := locks.rows[row]
	if lock == nil {
		lock = &rowLock{held: make(chan struct{}, 1)}
		locks.rows[row] = lock
	}
	lock.references++
	locks.mu.Unlock()
	select {
	case lock.held <- struct{}{}:
		return nil
	default:
	}
	limit := time.NewTimer(locks.timeout)
	defer limit.Stop()
	select {
	case lock.held <- struct{}{}:
		return nil
	case <-ctx.Done():
		locks.unref(row, lock)
		return newSQLError(sqlStateQueryCanceled, "canceling statement due to user request")
	case <-limit.C:
		locks.unref(row, lock)
		return newSQLError(sqlStateLockNotAvailable, "canceling statement due to lock timeout")
	}
}

// release gives the lock of a row back.
func (locks *rowLocks) release(row string) {
	locks.mu.Lock()
	lock := locks.rows[row]
	locks.mu.Unlock()
	<-lock.held
	locks.unref(row, lock)
}

func (locks *rowLocks) unref(row string, lock *rowLock) {
	locks.mu.Lock()
	defer locks.mu.Unlock()
	lock.references--
	if lock.references == 0 {
		delete(locks.rows, row)
	}
}

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

// rowLocks holds the row locks of an instance. Waiters get a lock in order of
// arrival.
type rowLocks struct {
	mu      sync.Mutex
	rows    map[string]*rowLock
	timeout time.Duration
}

func newRowLocks(timeout time.Duration) *rowLocks {
	return &rowLocks{rows: make(map[string]*rowLock), timeout: timeout}
}

// acquire locks a row. It fails when ctx ends or the lock timeout expires.
func (rowLocks *rowLocks) acquire(ctx context.Context, row string) error {
	rowLocks.mu.Lock()
	lock := rowLocks.rows[row]
	if lock == nil {
		lock = &rowLock{held: make(chan struct{}, 1)}
		rowLocks.rows[row] = lock
	}
	lock.references++
	rowLocks.mu.Unlock()
	select {
	case lock.held <- struct{}{}:
		return nil
	default:
	}
	timer := time.NewTimer(rowLocks.timeout)
	defer timer.Stop()
	select {
	case lock.held <- struct{}{}:
		return nil
	case <-ctx.Done():
		rowLocks.unref(row, lock)
		return newSQLError(sqlStateQueryCanceled, "canceling statement due to user request")
	case <-timer.C:
		rowLocks.unref(row, lock)
		return newSQLError(sqlStateLockNotAvailable, "canceling statement due to lock timeout")
	}
}

// release unlocks a row.
func (rowLocks *rowLocks) release(row string) {
	rowLocks.mu.Lock()
	lock := rowLocks.rows[row]
	rowLocks.mu.Unlock()
	<-lock.held
	rowLocks.unref(row, lock)
}

// unref removes the lock when neither a holder nor a waiter refers to it.
func (rowLocks *rowLocks) unref(row string, lock *rowLock) {
	rowLocks.mu.Lock()
	defer rowLocks.mu.Unlock()
	lock.references--
	if lock.references == 0 {
		delete(rowLocks.rows, row)
	}
}

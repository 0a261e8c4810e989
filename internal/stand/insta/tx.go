package insta

import (
	"context"
	"time"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/wire"
	"almondway.dev/almondway/internal/proto/ctrlpb"
)

// tx is a transaction of a session. Its writes are buffered until commit.
type tx struct {
	explicit    bool
	failed      bool
	readOnly    bool
	killed      bool
	fencingTerm model.Term
	writes      []*ctrlpb.Write
	lockedRows  []string
}

// lookup returns the value of a row as the transaction sees it. The caller holds mu.
func (instance *Instance) lookup(tx *tx, table, key string) (string, bool) {
	for index := len(tx.writes) - 1; index >= 0; index-- {
		write := tx.writes[index]
		if write.GetTable() == table && write.GetKey() == key {
			return write.GetValue(), !write.GetDelete()
		}
	}
	return instance.tables.get(table, key)
}

// lockRow acquires the lock of a row for the transaction, which keeps it until it ends.
func (instance *Instance) lockRow(ctx context.Context, tx *tx, table, key string) error {
	row := table + "\x00" + key
	for _, locked := range tx.lockedRows {
		if locked == row {
			return nil
		}
	}
	if err := instance.locks.acquire(ctx, row); err != nil {
		return err
	}
	instance.mu.Lock()
	defer instance.mu.Unlock()
	if tx.killed {
		instance.locks.release(row)
		return killedError()
	}
	tx.lockedRows = append(tx.lockedRows, row)
	instance.openTxs[tx] = struct{}{}
	return nil
}

// checkWritable returns an error if the transaction must not write. It sets the
// fencing term of a transaction that has none. The caller holds mu.
func (instance *Instance) checkWritable(tx *tx) error {
	switch {
	case tx.killed:
		return killedError()
	case tx.readOnly:
		return newSQLError(sqlStateReadOnlyTransaction, "cannot execute a write in a read-only transaction")
	case tx.fencingTerm == 0 && !instance.primary:
		return newSQLError(sqlStateReadOnlyTransaction, "cannot execute a write on a replica")
	case tx.fencingTerm == 0:
		tx.fencingTerm = instance.fence
	case !instance.isPrimaryOf(tx.fencingTerm):
		return newSQLError(wire.SQLStateFenced, "instance %s is not the primary of term %d", instance.self.ID, tx.fencingTerm)
	}
	return nil
}

// addWrite adds a write to the transaction. The caller holds mu.
func (instance *Instance) addWrite(tx *tx, write *ctrlpb.Write) {
	tx.writes = append(tx.writes, write)
	instance.openTxs[tx] = struct{}{}
}

// commitTx appends the transaction's writes as one log entry and returns the log
// tail, or the zero Mark if the transaction has no writes.
func (instance *Instance) commitTx(tx *tx) (model.Mark, error) {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	defer instance.endTx(tx)
	if tx.killed {
		return instance.log.tail(), killedError()
	}
	if len(tx.writes) == 0 {
		return model.Mark{}, nil
	}
	if err := instance.checkWritable(tx); err != nil {
		return instance.log.tail(), err
	}
	instance.appendEntry(tx.writes)
	instance.counters.commits.Add(1)
	return instance.log.tail(), nil
}

// rollbackTx discards the writes and releases the locks.
func (instance *Instance) rollbackTx(tx *tx) {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	instance.endTx(tx)
}

// killTx rolls back a transaction that its session still uses and marks it, so
// that its later statements and its commit fail. The caller holds mu.
func (instance *Instance) killTx(tx *tx) {
	tx.killed = true
	instance.endTx(tx)
}

// endTx discards the writes and releases the row locks. The caller holds mu.
func (instance *Instance) endTx(tx *tx) {
	tx.writes = nil
	for _, row := range tx.lockedRows {
		instance.locks.release(row)
	}
	tx.lockedRows = nil
	delete(instance.openTxs, tx)
}

func killedError() error {
	return newSQLError(wire.SQLStateFenced, "the transaction was rolled back because the primary changed")
}

// withSlot waits for an execution slot and the simulated statement time, then
// calls run.
func (instance *Instance) withSlot(ctx context.Context, run func() error) error {
	if err := instance.slots.Acquire(ctx, 1); err != nil {
		return newSQLError(sqlStateQueryCanceled, "canceling statement due to user request")
	}
	defer instance.slots.Release(1)
	if err := sleepContext(ctx, time.Duration(instance.spec.StatementTime)); err != nil {
		return err
	}
	return run()
}

func sleepContext(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return newSQLError(sqlStateQueryCanceled, "canceling statement due to user request")
	}
}

package insta

import (
	"context"
	"time"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/wire"
	"almondway.dev/almondway/internal/proto/ctrlpb"
)

// tx is a transaction of one session.
type tx struct {
	explicit    bool
	failed      bool
	readOnly    bool
	killed      bool
	fencingTerm model.Term
	writes      []*ctrlpb.Write
	lockedRows  []string
}

// lookup returns what the transaction sees of a row. The lock is held.
func (instance *Instance) lookup(tx *tx, table, key string) (string, bool) {
	for place := len(tx.writes) - 1; place >= 0; place-- {
		write := tx.writes[place]
		if write.GetTable() == table && write.GetKey() == key {
			return write.GetValue(), !write.GetDelete()
		}
	}
	return instance.tables.get(table, key)
}

// lockRow waits until the transaction has the lock of a row.
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

// checkWritable checks that the transaction may write. The lock is held.
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

// addWrite adds a write to the transaction. The lock is held.
func (instance *Instance) addWrite(tx *tx, write *ctrlpb.Write) {
	tx.writes = append(tx.writes, write)
	instance.openTxs[tx] = struct{}{}
}

// commitTx appends the transaction's entry and returns the end of the log.
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

// rollbackTx ends the transaction without effect.
func (instance *Instance) rollbackTx(tx *tx) {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	instance.endTx(tx)
}

// killTx ends a transaction that its session still holds. The lock is held.
func (instance *Instance) killTx(tx *tx) {
	tx.killed = true
	instance.endTx(tx)
}

// endTx drops the writes and releases the locks. The lock is held.
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

// withSlot runs a statement when it is its turn.
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

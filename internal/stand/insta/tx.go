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
	explicit bool
	failed   bool
	readOnly bool
	killed   bool
	guard    model.Term
	writes   []*ctrlpb.Write
	locked   []string
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
	for _, locked := range tx.locked {
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
	tx.locked = append(tx.locked, row)
	instance.open[tx] = struct{}{}
	return nil
}

// writable checks that the transaction may write. The lock is held.
func (instance *Instance) writable(tx *tx) error {
	switch {
	case tx.killed:
		return killedError()
	case tx.readOnly:
		return newError(stateReadOnly, "cannot execute a write in a read-only transaction")
	case tx.guard == 0 && !instance.primary:
		return newError(stateReadOnly, "cannot execute a write on a replica")
	case tx.guard == 0:
		tx.guard = instance.fence
	case !instance.leads(tx.guard):
		return newError(wire.SQLStateFenced, "instance %s is not the primary of term %d", instance.self.ID, tx.guard)
	}
	return nil
}

// change adds a write to the transaction. The lock is held.
func (instance *Instance) change(tx *tx, write *ctrlpb.Write) {
	tx.writes = append(tx.writes, write)
	instance.open[tx] = struct{}{}
}

// commit appends the transaction's entry and returns the end of the log.
func (instance *Instance) commit(tx *tx) (model.Mark, error) {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	defer instance.close(tx)
	if tx.killed {
		return instance.journal.tail(), killedError()
	}
	if len(tx.writes) == 0 {
		return model.Mark{}, nil
	}
	if err := instance.writable(tx); err != nil {
		return instance.journal.tail(), err
	}
	instance.appendEntry(tx.writes)
	instance.counters.commits.Add(1)
	return instance.journal.tail(), nil
}

// rollback ends the transaction without effect.
func (instance *Instance) rollback(tx *tx) {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	instance.close(tx)
}

// kill ends a transaction that its session still holds. The lock is held.
func (instance *Instance) kill(tx *tx) {
	tx.killed = true
	instance.close(tx)
}

// close drops the writes and releases the locks. The lock is held.
func (instance *Instance) close(tx *tx) {
	tx.writes = nil
	for _, row := range tx.locked {
		instance.locks.release(row)
	}
	tx.locked = nil
	delete(instance.open, tx)
}

func killedError() error {
	return newError(wire.SQLStateFenced, "the transaction was rolled back because the primary changed")
}

// withSlot runs a statement when it is its turn.
func (instance *Instance) withSlot(ctx context.Context, run func() error) error {
	if err := instance.slots.Acquire(ctx, 1); err != nil {
		return newError(stateCanceled, "canceling statement due to user request")
	}
	defer instance.slots.Release(1)
	if err := pause(ctx, time.Duration(instance.spec.StatementTime)); err != nil {
		return err
	}
	return run()
}

func pause(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return newError(stateCanceled, "canceling statement due to user request")
	}
}

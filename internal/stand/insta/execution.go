package insta

import (
	"context"
	"strconv"
	"strings"
	"time"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/wire"
	"almondway.dev/almondway/internal/proto/ctrlpb"
)

// execution is a single run of a statement that has one of the forms in forms.go.
type execution struct {
	instance *Instance
	tx       *tx
	args     []string
	label    string
	result   *result
}

// withLock runs step with the instance's mutex held and records the log tail in
// the result.
func (execution *execution) withLock(step func(*Instance) error) error {
	instance := execution.instance
	instance.mu.Lock()
	defer instance.mu.Unlock()
	execution.result.mark = instance.log.tail()
	return step(instance)
}

// lockLedgerRow sets the transaction's fencing term and locks the request's
// ledger row. It fails unless the instance is the primary of the term.
func (execution *execution) lockLedgerRow(ctx context.Context, term model.Term, id string) error {
	check := func(instance *Instance) error {
		if !instance.isPrimaryOf(term) {
			return newSQLError(wire.SQLStateFenced, "instance %s is not the primary of term %d", instance.self.ID, term)
		}
		return nil
	}
	if err := execution.withLock(check); err != nil {
		return err
	}
	execution.tx.fencingTerm = term
	return execution.instance.lockRow(ctx, execution.tx, tableLedger, id)
}

// writeRow locks a row and adds the write that edit returns, unless it is nil.
func (execution *execution) writeRow(ctx context.Context, key string, edit func(old string, exists bool) (*ctrlpb.Write, error)) error {
	if err := execution.withLock(func(instance *Instance) error { return instance.checkWritable(execution.tx) }); err != nil {
		return err
	}
	if err := execution.instance.lockRow(ctx, execution.tx, tableKV, key); err != nil {
		return err
	}
	return execution.instance.withSlot(ctx, func() error {
		return execution.withLock(func(instance *Instance) error {
			if err := instance.checkWritable(execution.tx); err != nil {
				return err
			}
			old, exists := instance.lookup(execution.tx, tableKV, key)
			write, err := edit(old, exists)
			if err != nil || write == nil {
				return err
			}
			write.Table = tableKV
			write.Key = key
			instance.addWrite(execution.tx, write)
			execution.result.addRow(write.GetValue())
			return nil
		})
	})
}

func (execution *execution) insert(ctx context.Context) error {
	return execution.writeRow(ctx, execution.args[0], func(_ string, exists bool) (*ctrlpb.Write, error) {
		if exists {
			return nil, newSQLError(sqlStateUniqueViolation, "duplicate key value violates unique constraint \"kv_pkey\"")
		}
		return &ctrlpb.Write{Value: execution.args[1]}, nil
	})
}

func (execution *execution) upsert(ctx context.Context) error {
	return execution.writeRow(ctx, execution.args[0], func(string, bool) (*ctrlpb.Write, error) {
		return &ctrlpb.Write{Value: execution.args[1]}, nil
	})
}

func (execution *execution) update(ctx context.Context) error {
	return execution.writeRow(ctx, execution.args[1], func(_ string, exists bool) (*ctrlpb.Write, error) {
		if !exists {
			return nil, nil
		}
		return &ctrlpb.Write{Value: execution.args[0]}, nil
	})
}

func (execution *execution) add(ctx context.Context) error { return execution.increase(ctx, 1) }

func (execution *execution) subtract(ctx context.Context) error { return execution.increase(ctx, -1) }

func (execution *execution) increase(ctx context.Context, sign int64) error {
	step, err := strconv.ParseInt(execution.args[0], 10, 64)
	if err != nil {
		return newSQLError(sqlStateInvalidTextRepresentation, "invalid input syntax for type integer: %q", execution.args[0])
	}
	return execution.writeRow(ctx, execution.args[1], func(old string, exists bool) (*ctrlpb.Write, error) {
		if !exists {
			return nil, nil
		}
		number, err := strconv.ParseInt(old, 10, 64)
		if err != nil {
			return nil, newSQLError(sqlStateInvalidTextRepresentation, "invalid input syntax for type integer: %q", old)
		}
		return &ctrlpb.Write{Value: strconv.FormatInt(number+sign*step, 10)}, nil
	})
}

func (execution *execution) deleteRow(ctx context.Context) error {
	return execution.writeRow(ctx, execution.args[0], func(old string, exists bool) (*ctrlpb.Write, error) {
		if !exists {
			return nil, nil
		}
		return &ctrlpb.Write{Value: old, Delete: true}, nil
	})
}

func (execution *execution) selectOne(ctx context.Context) error {
	return execution.readRows(ctx, func(instance *Instance) {
		if value, ok := instance.lookup(execution.tx, tableKV, execution.args[0]); ok {
			execution.result.addRow(value)
		}
	})
}

func (execution *execution) selectForUpdate(ctx context.Context) error {
	if err := execution.withLock(func(instance *Instance) error { return instance.checkWritable(execution.tx) }); err != nil {
		return err
	}
	if err := execution.instance.lockRow(ctx, execution.tx, tableKV, execution.args[0]); err != nil {
		return err
	}
	return execution.selectOne(ctx)
}

// selectLike supports prefixes and exact keys. For a prefix it returns no rows
// that the same transaction inserted.
func (execution *execution) selectLike(ctx context.Context) error {
	prefix, pattern := strings.CutSuffix(execution.args[0], "%")
	return execution.readRows(ctx, func(instance *Instance) {
		keys := []string{prefix}
		if pattern {
			keys = instance.tables.keys(tableKV, prefix)
		}
		for _, key := range keys {
			if value, ok := instance.lookup(execution.tx, tableKV, key); ok {
				execution.result.addRow(key, value)
			}
		}
	})
}

func (execution *execution) readRows(ctx context.Context, read func(*Instance)) error {
	execution.instance.counters.reads.Add(1)
	return execution.instance.withSlot(ctx, func() error {
		return execution.withLock(func(instance *Instance) error {
			if execution.tx.killed {
				return killedError()
			}
			read(instance)
			if instance.primary {
				instance.primaryReads[execution.label]++
			}
			return nil
		})
	})
}

func (execution *execution) selectConstant(context.Context) error {
	execution.result.addRow(execution.args[0])
	return execution.withLock(func(*Instance) error { return nil })
}

func (execution *execution) sleep(ctx context.Context) error {
	seconds, err := strconv.ParseFloat(execution.args[0], 64)
	if err != nil {
		return newSQLError(sqlStateInvalidTextRepresentation, "invalid input syntax for type double precision: %q", execution.args[0])
	}
	return execution.instance.withSlot(ctx, func() error {
		if err := sleepContext(ctx, time.Duration(seconds*float64(time.Second))); err != nil {
			return err
		}
		execution.result.addRow("")
		return execution.withLock(func(*Instance) error { return nil })
	})
}

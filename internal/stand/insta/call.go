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

// execution is one run of a statement of the forms in forms.go.
type execution struct {
	instance *Instance
	tx       *tx
	args     []string
	label    string
	result   *result
}

// withLock runs a step under the instance's lock and notes the end of the log.
func (call *execution) withLock(step func(*Instance) error) error {
	instance := call.instance
	instance.mu.Lock()
	defer instance.mu.Unlock()
	call.result.mark = instance.log.tail()
	return step(instance)
}

// lockLedgerRow binds the transaction to a term and locks the request's ledger row.
func (call *execution) lockLedgerRow(ctx context.Context, term model.Term, id string) error {
	check := func(instance *Instance) error {
		if !instance.isPrimaryOf(term) {
			return newSQLError(wire.SQLStateFenced, "instance %s is not the primary of term %d", instance.self.ID, term)
		}
		return nil
	}
	if err := call.withLock(check); err != nil {
		return err
	}
	call.tx.fencingTerm = term
	return call.instance.lockRow(ctx, call.tx, tableLedger, id)
}

// writeRow locks a row and changes it to what edit returns.
func (call *execution) writeRow(ctx context.Context, key string, edit func(old string, exists bool) (*ctrlpb.Write, error)) error {
	if err := call.withLock(func(instance *Instance) error { return instance.checkWritable(call.tx) }); err != nil {
		return err
	}
	if err := call.instance.lockRow(ctx, call.tx, tableKV, key); err != nil {
		return err
	}
	return call.instance.withSlot(ctx, func() error {
		return call.withLock(func(instance *Instance) error {
			if err := instance.checkWritable(call.tx); err != nil {
				return err
			}
			old, exists := instance.lookup(call.tx, tableKV, key)
			write, err := edit(old, exists)
			if err != nil || write == nil {
				return err
			}
			write.Table = tableKV
			write.Key = key
			instance.addWrite(call.tx, write)
			call.result.addRow(write.GetValue())
			return nil
		})
	})
}

func (call *execution) insert(ctx context.Context) error {
	return call.writeRow(ctx, call.args[0], func(_ string, exists bool) (*ctrlpb.Write, error) {
		if exists {
			return nil, newSQLError(sqlStateUniqueViolation, "duplicate key value violates unique constraint \"kv_pkey\"")
		}
		return &ctrlpb.Write{Value: call.args[1]}, nil
	})
}

func (call *execution) upsert(ctx context.Context) error {
	return call.writeRow(ctx, call.args[0], func(string, bool) (*ctrlpb.Write, error) {
		return &ctrlpb.Write{Value: call.args[1]}, nil
	})
}

func (call *execution) update(ctx context.Context) error {
	return call.writeRow(ctx, call.args[1], func(_ string, exists bool) (*ctrlpb.Write, error) {
		if !exists {
			return nil, nil
		}
		return &ctrlpb.Write{Value: call.args[0]}, nil
	})
}

func (call *execution) add(ctx context.Context) error { return call.increase(ctx, 1) }

func (call *execution) subtract(ctx context.Context) error { return call.increase(ctx, -1) }

func (call *execution) increase(ctx context.Context, sign int64) error {
	step, err := strconv.ParseInt(call.args[0], 10, 64)
	if err != nil {
		return newSQLError(sqlStateInvalidTextRepresentation, "invalid input syntax for type integer: %q", call.args[0])
	}
	return call.writeRow(ctx, call.args[1], func(old string, exists bool) (*ctrlpb.Write, error) {
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

func (call *execution) deleteRow(ctx context.Context) error {
	return call.writeRow(ctx, call.args[0], func(old string, exists bool) (*ctrlpb.Write, error) {
		if !exists {
			return nil, nil
		}
		return &ctrlpb.Write{Value: old, Delete: true}, nil
	})
}

func (call *execution) selectOne(ctx context.Context) error {
	return call.readRows(ctx, func(instance *Instance) {
		if value, ok := instance.lookup(call.tx, tableKV, call.args[0]); ok {
			call.result.addRow(value)
		}
	})
}

func (call *execution) selectForUpdate(ctx context.Context) error {
	if err := call.withLock(func(instance *Instance) error { return instance.checkWritable(call.tx) }); err != nil {
		return err
	}
	if err := call.instance.lockRow(ctx, call.tx, tableKV, call.args[0]); err != nil {
		return err
	}
	return call.selectOne(ctx)
}

// selectLike supports prefixes and exact keys. It does not show rows that the
// transaction itself has inserted.
func (call *execution) selectLike(ctx context.Context) error {
	prefix, pattern := strings.CutSuffix(call.args[0], "%")
	return call.readRows(ctx, func(instance *Instance) {
		keys := []string{prefix}
		if pattern {
			keys = instance.tables.keys(tableKV, prefix)
		}
		for _, key := range keys {
			if value, ok := instance.lookup(call.tx, tableKV, key); ok {
				call.result.addRow(key, value)
			}
		}
	})
}

func (call *execution) readRows(ctx context.Context, look func(*Instance)) error {
	call.instance.counters.reads.Add(1)
	return call.instance.withSlot(ctx, func() error {
		return call.withLock(func(instance *Instance) error {
			if call.tx.killed {
				return killedError()
			}
			look(instance)
			if instance.primary {
				instance.primaryReads[call.label]++
			}
			return nil
		})
	})
}

func (call *execution) selectConstant(context.Context) error {
	call.result.addRow(call.args[0])
	return call.withLock(func(*Instance) error { return nil })
}

func (call *execution) sleep(ctx context.Context) error {
	seconds, err := strconv.ParseFloat(call.args[0], 64)
	if err != nil {
		return newSQLError(sqlStateInvalidTextRepresentation, "invalid input syntax for type double precision: %q", call.args[0])
	}
	return call.instance.withSlot(ctx, func() error {
		if err := sleepContext(ctx, time.Duration(seconds*float64(time.Second))); err != nil {
			return err
		}
		call.result.addRow("")
		return call.withLock(func(*Instance) error { return nil })
	})
}

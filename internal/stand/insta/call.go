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

// call is one run of a statement of the forms in forms.go.
type call struct {
	instance *Instance
	tx       *tx
	args     []string
	label    string
	result   *result
}

// locked runs a step under the instance's lock and notes the end of the log.
func (call *call) locked(step func(*Instance) error) error {
	instance := call.instance
	instance.mu.Lock()
	defer instance.mu.Unlock()
	call.result.mark = instance.journal.tail()
	return step(instance)
}

// guard binds the transaction to a term and locks the request's ledger row.
func (call *call) guard(ctx context.Context, term model.Term, id string) error {
	check := func(instance *Instance) error {
		if !instance.leads(term) {
			return newError(wire.SQLStateFenced, "instance %s is not the primary of term %d", instance.self.ID, term)
		}
		return nil
	}
	if err := call.locked(check); err != nil {
		return err
	}
	call.tx.guard = term
	return call.instance.lockRow(ctx, call.tx, tableLedger, id)
}

// write locks a row and changes it to what edit returns.
func (call *call) write(ctx context.Context, key string, edit func(old string, exists bool) (*ctrlpb.Write, error)) error {
	if err := call.locked(func(instance *Instance) error { return instance.writable(call.tx) }); err != nil {
		return err
	}
	if err := call.instance.lockRow(ctx, call.tx, tableKV, key); err != nil {
		return err
	}
	return call.instance.withSlot(ctx, func() error {
		return call.locked(func(instance *Instance) error {
			if err := instance.writable(call.tx); err != nil {
				return err
			}
			old, exists := instance.lookup(call.tx, tableKV, key)
			write, err := edit(old, exists)
			if err != nil || write == nil {
				return err
			}
			write.Table = tableKV
			write.Key = key
			instance.change(call.tx, write)
			call.result.row(write.GetValue())
			return nil
		})
	})
}

func (call *call) insert(ctx context.Context) error {
	return call.write(ctx, call.args[0], func(_ string, exists bool) (*ctrlpb.Write, error) {
		if exists {
			return nil, newError(stateUnique, "duplicate key value violates unique constraint \"kv_pkey\"")
		}
		return &ctrlpb.Write{Value: call.args[1]}, nil
	})
}

func (call *call) upsert(ctx context.Context) error {
	return call.write(ctx, call.args[0], func(string, bool) (*ctrlpb.Write, error) {
		return &ctrlpb.Write{Value: call.args[1]}, nil
	})
}

func (call *call) update(ctx context.Context) error {
	return call.write(ctx, call.args[1], func(_ string, exists bool) (*ctrlpb.Write, error) {
		if !exists {
			return nil, nil
		}
		return &ctrlpb.Write{Value: call.args[0]}, nil
	})
}

func (call *call) add(ctx context.Context) error { return call.increase(ctx, 1) }

func (call *call) subtract(ctx context.Context) error { return call.increase(ctx, -1) }

func (call *call) increase(ctx context.Context, sign int64) error {
	step, err := strconv.ParseInt(call.args[0], 10, 64)
	if err != nil {
		return newError(stateBadValue, "invalid input syntax for type integer: %q", call.args[0])
	}
	return call.write(ctx, call.args[1], func(old string, exists bool) (*ctrlpb.Write, error) {
		if !exists {
			return nil, nil
		}
		number, err := strconv.ParseInt(old, 10, 64)
		if err != nil {
			return nil, newError(stateBadValue, "invalid input syntax for type integer: %q", old)
		}
		return &ctrlpb.Write{Value: strconv.FormatInt(number+sign*step, 10)}, nil
	})
}

func (call *call) remove(ctx context.Context) error {
	return call.write(ctx, call.args[0], func(old string, exists bool) (*ctrlpb.Write, error) {
		if !exists {
			return nil, nil
		}
		return &ctrlpb.Write{Value: old, Delete: true}, nil
	})
}

func (call *call) selectOne(ctx context.Context) error {
	return call.read(ctx, func(instance *Instance) {
		if value, ok := instance.lookup(call.tx, tableKV, call.args[0]); ok {
			call.result.row(value)
		}
	})
}

func (call *call) selectForUpdate(ctx context.Context) error {
	if err := call.locked(func(instance *Instance) error { return instance.writable(call.tx) }); err != nil {
		return err
	}
	if err := call.instance.lockRow(ctx, call.tx, tableKV, call.args[0]); err != nil {
		return err
	}
	return call.selectOne(ctx)
}

// selectLike supports prefixes and exact keys. It does not show rows that the
// transaction itself has inserted.
func (call *call) selectLike(ctx context.Context) error {
	prefix, pattern := strings.CutSuffix(call.args[0], "%")
	return call.read(ctx, func(instance *Instance) {
		keys := []string{prefix}
		if pattern {
			keys = instance.tables.keys(tableKV, prefix)
		}
		for _, key := range keys {
			if value, ok := instance.lookup(call.tx, tableKV, key); ok {
				call.result.row(key, value)
			}
		}
	})
}

func (call *call) read(ctx context.Context, look func(*Instance)) error {
	call.instance.counters.reads.Add(1)
	return call.instance.withSlot(ctx, func() error {
		return call.locked(func(instance *Instance) error {
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

func (call *call) constant(context.Context) error {
	call.result.row(call.args[0])
	return call.locked(func(*Instance) error { return nil })
}

func (call *call) sleep(ctx context.Context) error {
	seconds, err := strconv.ParseFloat(call.args[0], 64)
	if err != nil {
		return newError(stateBadValue, "invalid input syntax for type double precision: %q", call.args[0])
	}
	return call.instance.withSlot(ctx, func() error {
		if err := pause(ctx, time.Duration(seconds*float64(time.Second))); err != nil {
			return err
		}
		call.result.row("")
		return call.locked(func(*Instance) error { return nil })
	})
}

package insta

import (
	"context"

	"almondway.dev/almondway/internal/edge/wire"
	"almondway.dev/almondway/internal/proto/ctrlpb"
)

const tombstone = "tombstone"

// begin guards the transaction with a term and inserts the request's ledger row.
func (call *call) begin(ctx context.Context, term, id, digest string) error {
	guard, err := parseTerm(term)
	if err != nil {
		return err
	}
	if err := call.guard(ctx, guard, id); err != nil {
		return err
	}
	return call.locked(func(instance *Instance) error {
		if err := instance.writable(call.tx); err != nil {
			return err
		}
		switch row, ok := instance.lookup(call.tx, tableLedger, id); {
		case !ok:
			instance.change(call.tx, &ctrlpb.Write{Table: tableLedger, Key: id, Value: digest})
			return nil
		case row == tombstone:
			return newError(wire.SQLStateTombstone, "request %s was settled as not run", id)
		case row == digest:
			return newError(wire.SQLStateReplay, "request %s has run", id)
		default:
			return newError(wire.SQLStateMismatch, "request %s has run with another statement", id)
		}
	})
}

// settle inserts a tombstone unless the ledger has a row of the request.
func (call *call) settle(ctx context.Context, term, id string) error {
	guard, err := parseTerm(term)
	if err != nil {
		return err
	}
	if err := call.guard(ctx, guard, id); err != nil {
		return err
	}
	return call.locked(func(instance *Instance) error {
		if err := instance.writable(call.tx); err != nil {
			return err
		}
		row, ok := instance.lookup(call.tx, tableLedger, id)
		if ok && row != tombstone {
			return newError(wire.SQLStateReplay, "request %s has run", id)
		}
		if !ok {
			instance.change(call.tx, &ctrlpb.Write{Table: tableLedger, Key: id, Value: tombstone})
		}
		return nil
	})
}

// trim deletes the ledger rows whose request id is lower.
func (call *call) trim(term, id string) error {
	guard, err := parseTerm(term)
	if err != nil {
		return err
	}
	call.tx.guard = guard
	return call.locked(func(instance *Instance) error {
		if err := instance.writable(call.tx); err != nil {
			return err
		}
		for _, key := range instance.tables.keys(tableLedger, "") {
			if key < id {
				instance.change(call.tx, &ctrlpb.Write{Table: tableLedger, Key: key, Delete: true})
			}
		}
		return nil
	})
}

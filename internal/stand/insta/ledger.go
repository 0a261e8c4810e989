package insta

import (
	"context"

	"almondway.dev/almondway/internal/edge/wire"
	"almondway.dev/almondway/internal/proto/ctrlpb"
)

const tombstone = "tombstone"

// beginRequest guards the transaction with a term and inserts the request's ledger row.
func (call *execution) beginRequest(ctx context.Context, term, id, digest string) error {
	guard, err := parseTerm(term)
	if err != nil {
		return err
	}
	if err := call.lockLedgerRow(ctx, guard, id); err != nil {
		return err
	}
	return call.withLock(func(instance *Instance) error {
		if err := instance.checkWritable(call.tx); err != nil {
			return err
		}
		switch row, ok := instance.lookup(call.tx, tableLedger, id); {
		case !ok:
			instance.addWrite(call.tx, &ctrlpb.Write{Table: tableLedger, Key: id, Value: digest})
			return nil
		case row == tombstone:
			return newSQLError(wire.SQLStateTombstone, "request %s was settled as not run", id)
		case row == digest:
			return newSQLError(wire.SQLStateReplay, "request %s has run", id)
		default:
			return newSQLError(wire.SQLStateMismatch, "request %s has run with another statement", id)
		}
	})
}

// settleRequest inserts a tombstone unless the ledger has a row of the request.
func (call *execution) settleRequest(ctx context.Context, term, id string) error {
	guard, err := parseTerm(term)
	if err != nil {
		return err
	}
	if err := call.lockLedgerRow(ctx, guard, id); err != nil {
		return err
	}
	return call.withLock(func(instance *Instance) error {
		if err := instance.checkWritable(call.tx); err != nil {
			return err
		}
		row, ok := instance.lookup(call.tx, tableLedger, id)
		if ok && row != tombstone {
			return newSQLError(wire.SQLStateReplay, "request %s has run", id)
		}
		if !ok {
			instance.addWrite(call.tx, &ctrlpb.Write{Table: tableLedger, Key: id, Value: tombstone})
		}
		return nil
	})
}

// trimLedger deletes the ledger rows whose request id is lower.
func (call *execution) trimLedger(term, id string) error {
	guard, err := parseTerm(term)
	if err != nil {
		return err
	}
	call.tx.fencingTerm = guard
	return call.withLock(func(instance *Instance) error {
		if err := instance.checkWritable(call.tx); err != nil {
			return err
		}
		for _, key := range instance.tables.keys(tableLedger, "") {
			if key < id {
				instance.addWrite(call.tx, &ctrlpb.Write{Table: tableLedger, Key: key, Delete: true})
			}
		}
		return nil
	})
}

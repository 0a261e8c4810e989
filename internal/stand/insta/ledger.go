package insta

import (
	"context"

	"almondway.dev/almondway/internal/edge/wire"
	"almondway.dev/almondway/internal/proto/ctrlpb"
)

const tombstone = "tombstone"

// beginRequest sets the transaction's fencing term and inserts the request's
// ledger row. It fails if the ledger already has a row of the request.
func (execution *execution) beginRequest(ctx context.Context, term, id, digest string) error {
	fencingTerm, err := parseTerm(term)
	if err != nil {
		return err
	}
	if err := execution.lockLedgerRow(ctx, fencingTerm, id); err != nil {
		return err
	}
	return execution.withLock(func(instance *Instance) error {
		if err := instance.checkWritable(execution.tx); err != nil {
			return err
		}
		switch row, ok := instance.lookup(execution.tx, tableLedger, id); {
		case !ok:
			instance.addWrite(execution.tx, &ctrlpb.Write{Table: tableLedger, Key: id, Value: digest})
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

// settleRequest inserts a tombstone for a request that has not run. It fails if
// the request has run.
func (execution *execution) settleRequest(ctx context.Context, term, id string) error {
	fencingTerm, err := parseTerm(term)
	if err != nil {
		return err
	}
	if err := execution.lockLedgerRow(ctx, fencingTerm, id); err != nil {
		return err
	}
	return execution.withLock(func(instance *Instance) error {
		if err := instance.checkWritable(execution.tx); err != nil {
			return err
		}
		row, ok := instance.lookup(execution.tx, tableLedger, id)
		if ok && row != tombstone {
			return newSQLError(wire.SQLStateReplay, "request %s has run", id)
		}
		if !ok {
			instance.addWrite(execution.tx, &ctrlpb.Write{Table: tableLedger, Key: id, Value: tombstone})
		}
		return nil
	})
}

// trimLedger deletes the ledger rows whose request id is lower than id.
func (execution *execution) trimLedger(term, id string) error {
	fencingTerm, err := parseTerm(term)
	if err != nil {
		return err
	}
	execution.tx.fencingTerm = fencingTerm
	return execution.withLock(func(instance *Instance) error {
		if err := instance.checkWritable(execution.tx); err != nil {
			return err
		}
		for _, key := range instance.tables.keys(tableLedger, "") {
			if key < id {
				instance.addWrite(execution.tx, &ctrlpb.Write{Table: tableLedger, Key: key, Delete: true})
			}
		}
		return nil
	})
}

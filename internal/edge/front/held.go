package front

import (
	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
)

// Limits on the memory that the proxy holds for a caller: prepared statements,
// portals with their parameters, and rows that were not fetched yet.
const (
	maxHeldObjects = 1000
	maxHeldBytes   = 8 << 20
	// maxHeldBytesTotal is the limit for all callers together.
	maxHeldBytesTotal = 64 << 20
)

// checkHeldLimits returns an error if the proxy may not hold another object of
// size bytes for the caller, which has count objects of the same type.
func (caller *caller) checkHeldLimits(size int, count int) *callerError {
	if count >= maxHeldObjects {
		return callerErrorf(codes.Overloaded, "the caller holds %d prepared statements or portals; close some", count)
	}
	if caller.heldBytes+size > maxHeldBytes {
		return callerErrorf(codes.Overloaded, "prepared statements and parameters of the caller would exceed %d bytes; close some", maxHeldBytes)
	}
	if caller.server.heldBytes.Load()+int64(size) > maxHeldBytesTotal {
		return callerErrorf(codes.Overloaded, "prepared statements and parameters of all callers would exceed %d bytes", maxHeldBytesTotal).withRetryAfter(overloadRetryAfter)
	}
	return nil
}

// addHeldBytes adds to the bytes held for the caller and for all callers. A
// negative size releases bytes.
func (caller *caller) addHeldBytes(size int) {
	caller.heldBytes += size
	caller.server.heldBytes.Add(int64(size))
}

// addPrepared stores a prepared statement. The name has to be unused.
func (caller *caller) addPrepared(name string, statement *preparedStatement) {
	if caller.prepared == nil {
		caller.prepared = make(map[string]*preparedStatement)
	}
	caller.prepared[name] = statement
	caller.addHeldBytes(len(statement.sql))
}

func (caller *caller) closePrepared(name string) {
	if statement, ok := caller.prepared[name]; ok {
		caller.addHeldBytes(-len(statement.sql))
		delete(caller.prepared, name)
	}
}

func (caller *caller) closeAllPrepared() {
	for name := range caller.prepared {
		caller.closePrepared(name)
	}
}

// addPortal stores a portal. The name has to be unused.
func (caller *caller) addPortal(name string, bound *portal) {
	if caller.portals == nil {
		caller.portals = make(map[string]*portal)
	}
	caller.portals[name] = bound
	bound.heldBytes = bound.paramBytes()
	caller.addHeldBytes(bound.heldBytes)
}

func (caller *caller) closePortal(name string) {
	if bound, ok := caller.portals[name]; ok {
		caller.addHeldBytes(-bound.heldBytes)
		delete(caller.portals, name)
	}
}

// chargeRows counts the answer of a suspended portal towards the limits of the
// caller. It returns an error if that exceeds them.
func (caller *caller) chargeRows(bound *portal) *callerError {
	if bound.rowBytes == 0 {
		return nil
	}
	if reason := caller.checkHeldLimits(bound.rowBytes, 0); reason != nil {
		return callerErrorf(codes.AnswerTooLarge, "the statement was executed, but its rows cannot be buffered; %s", reason.detail)
	}
	caller.addHeldBytes(bound.rowBytes)
	bound.heldBytes += bound.rowBytes
	bound.rowBytes = 0
	return nil
}

// closePortalsOutsideTx discards a pending Describe and, if no transaction is
// open, closes all portals.
func (caller *caller) closePortalsOutsideTx() {
	caller.pendingDescribe = nil
	if caller.txState != model.TxNone {
		return
	}
	for name := range caller.portals {
		caller.closePortal(name)
	}
}

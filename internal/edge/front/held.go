package front

import (
	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
)

// The limits on what a caller may leave with the proxy.
const (
	maxHeldObjects = 1000
	maxHeldBytes   = 8 << 20
	// maxHeldBytesTotal bounds the bytes of all callers together.
	maxHeldBytesTotal = 64 << 20
)

// checkHeldLimits returns why the caller may not leave an object of size bytes beside
// count others of its sort.
func (caller *caller) checkHeldLimits(size int, count int) *callerError {
	if count >= maxHeldObjects {
		return callerErrorf(codes.Overloaded, "the caller holds %d prepared statements or portals; close some", count)
	}
	if caller.heldBytes+size > maxHeldBytes {
		return callerErrorf(codes.Overloaded, "prepared statements and parameters of the caller take more than %d bytes; close some", maxHeldBytes)
	}
	if caller.server.heldBytes.Load()+int64(size) > maxHeldBytesTotal {
		return callerErrorf(codes.Overloaded, "prepared statements and parameters of all callers take %d bytes", maxHeldBytesTotal).withRetryAfter(overloadRetryAfter)
	}
	return nil
}

// addHeldBytes counts bytes that the caller leaves with the proxy, or takes back.
func (caller *caller) addHeldBytes(size int) {
	caller.heldBytes += size
	caller.server.heldBytes.Add(int64(size))
}

// addPrepared keeps a prepared statement under a name that is free.
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

// addPortal keeps a portal under a name that is free.
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

// chargeRows charges the caller for the rows of a portal that it has not
// fetched yet. It returns why they cannot be held.
func (caller *caller) chargeRows(bound *portal) *callerError {
	if bound.rowBytes == 0 {
		return nil
	}
	if reason := caller.checkHeldLimits(bound.rowBytes, 0); reason != nil {
		return callerErrorf(codes.AnswerTooLarge, "the statement ran and its rows cannot be held; %s", reason.detail)
	}
	caller.addHeldBytes(bound.rowBytes)
	bound.heldBytes += bound.rowBytes
	bound.rowBytes = 0
	return nil
}

// closePortalsOutsideTx drops what does not outlive the end of a transaction.
func (caller *caller) closePortalsOutsideTx() {
	caller.pendingDescribe = nil
	if caller.txState != model.TxNone {
		return
	}
	for name := range caller.portals {
		caller.closePortal(name)
	}
}

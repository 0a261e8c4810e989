package front

import (
	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
)

// The limits on what a caller may leave with the proxy.
const (
	maxHeldObjects = 1000
	maxHeldBytes   = 8 << 20
	// maxHeldByAll bounds the bytes of all callers together.
	maxHeldByAll = 64 << 20
)

// hold returns why the caller may not leave an object of size bytes beside
// count others of its sort.
func (caller *caller) hold(size int, count int) *fault {
	if count >= maxHeldObjects {
		return faultf(codes.Overloaded, "the caller holds %d prepared statements or portals; close some", count)
	}
	if caller.held+size > maxHeldBytes {
		return faultf(codes.Overloaded, "prepared statements and parameters of the caller take more than %d bytes; close some", maxHeldBytes)
	}
	if caller.server.held.Load()+int64(size) > maxHeldByAll {
		return faultf(codes.Overloaded, "prepared statements and parameters of all callers take %d bytes", maxHeldByAll).after(retryTooMany)
	}
	return nil
}

// addHeld counts bytes that the caller leaves with the proxy, or takes back.
func (caller *caller) addHeld(size int) {
	caller.held += size
	caller.server.held.Add(int64(size))
}

// keepPrepared keeps a prepared statement under a name that is free.
func (caller *caller) keepPrepared(name string, statement *prepared) {
	if caller.prepared == nil {
		caller.prepared = make(map[string]*prepared)
	}
	caller.prepared[name] = statement
	caller.addHeld(len(statement.sql))
}

func (caller *caller) closePrepared(name string) {
	if statement, ok := caller.prepared[name]; ok {
		caller.addHeld(-len(statement.sql))
		delete(caller.prepared, name)
	}
}

func (caller *caller) dropPrepared() {
	for name := range caller.prepared {
		caller.closePrepared(name)
	}
}

// keepPortal keeps a portal under a name that is free.
func (caller *caller) keepPortal(name string, bound *portal) {
	if caller.portals == nil {
		caller.portals = make(map[string]*portal)
	}
	caller.portals[name] = bound
	bound.held = bound.size()
	caller.addHeld(bound.held)
}

func (caller *caller) closePortal(name string) {
	if bound, ok := caller.portals[name]; ok {
		caller.addHeld(-bound.held)
		delete(caller.portals, name)
	}
}

// chargeRows charges the caller for the rows of a portal that it has not
// fetched yet. It returns why they cannot be held.
func (caller *caller) chargeRows(bound *portal) *fault {
	if bound.rowBytes == 0 {
		return nil
	}
	if reason := caller.hold(bound.rowBytes, 0); reason != nil {
		return faultf(codes.AnswerTooLarge, "the statement ran and its rows cannot be held; %s", reason.detail)
	}
	caller.addHeld(bound.rowBytes)
	bound.held += bound.rowBytes
	bound.rowBytes = 0
	return nil
}

// dropPortals drops what does not outlive the end of a transaction.
func (caller *caller) dropPortals() {
	caller.described = nil
	if caller.txState != model.TxNone {
		return
	}
	for name := range caller.portals {
		caller.closePortal(name)
	}
}

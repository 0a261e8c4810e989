package front

import (
	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
)

// The limits on what a caller may leave with the proxy.
const (
	maxHeldObjects = 1000
	maxHeldBytes   = 8 << 20
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
	return nil
}

// keepPrepared keeps a prepared statement under a name that is free.
func (caller *caller) keepPrepared(name string, statement *prepared) {
	if caller.prepared == nil {
		caller.prepared = make(map[string]*prepared)
	}
	caller.prepared[name] = statement
	caller.held += len(statement.sql)
}

func (caller *caller) closePrepared(name string) {
	if statement, ok := caller.prepared[name]; ok {
		caller.held -= len(statement.sql)
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
	caller.held += bound.size()
}

func (caller *caller) closePortal(name string) {
	if bound, ok := caller.portals[name]; ok {
		caller.held -= bound.size()
		delete(caller.portals, name)
	}
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

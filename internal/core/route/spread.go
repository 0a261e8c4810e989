package route

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
)

// SpreadService is the name under which Spread is provided.
const SpreadService = "spread"

// LoadScope says which proxies a load report covers.
type LoadScope int

const (
	// LoadOfProxy covers the sender only.
	LoadOfProxy LoadScope = iota
	// LoadOfReader covers the sender and the proxies that poll it.
	LoadOfReader
	// LoadOfAll covers all data centres.
	LoadOfAll
)

// Spread chooses instances for reads so that the load is even, and exchanges load reports with
// the other proxies.
type Spread interface {
	// Active reports whether the proxies are so many that a choice by the own statements alone
	// says little about the load of a group.
	Active(group *state.Group) bool
	// Choose returns one of the candidates and the reason, or the empty ID if there are none.
	Choose(group *state.Group, candidates []*state.Member) (model.InstanceID, string)
	// Sent records that a statement was sent to an instance.
	Sent(instance model.InstanceID, job *Job) SentStatement
	// Ended records that a statement is no longer outstanding. answered says that the instance
	// ran it.
	Ended(statement SentStatement, answered bool)
	// Refused records that an instance refused a statement for lack of a slot.
	Refused(instance model.InstanceID)
	// Report returns the loads for a report of the given scope.
	Report(scope LoadScope) model.LoadReport
	// Receive takes a report of another proxy.
	Receive(from model.ProxyView, process uint64, scope LoadScope, report model.LoadReport)
}

// SentStatement is an outstanding statement. The zero SentStatement is none.
type SentStatement struct {
	Instance model.InstanceID
	Born     int64
	Work     string // identifies the statements that take the same work
	At       time.Duration
}

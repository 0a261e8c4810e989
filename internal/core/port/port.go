// Package port defines the interfaces between the kernel and the world. Every
// method returns at once; answers come back as events, late, twice, crossed or never.
package port

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// Inbox takes events from the adapters. It may be used by several goroutines.
type Inbox interface {
	// Post hands an event to the kernel's loop.
	Post(received event.Event)
}

// Callers is the callers' side.
type Callers interface {
	Accept(action event.AcceptCaller)
	Refuse(action event.RefuseCaller)
	Close(action event.CloseCaller)
	Answer(action event.AnswerCaller)
}

// Backend is the side of the backend servers: connections for statements, and
// probes and orders for the control of an instance.
type Backend interface {
	Open(action event.OpenConn)
	Close(action event.CloseConn)
	Reset(action event.ResetConn)
	Execute(action event.Execute)
	Cancel(action event.CancelExecute)
	Probe(action event.Probe)
	Order(action event.SendOrder)
}

// Platform is the platform's table service, group list and host list.
type Platform interface {
	Read(action event.ReadStore)
	Write(action event.WriteStore)
	ListGroups(action event.ListGroups)
	ListHosts(action event.ListHosts)
}

// ListStatus is what an adapter tells of a list of the platform that it follows.
type ListStatus struct {
	Name string
	// Age is the time since the list was last known to be up to date, or since the start.
	Age      time.Duration
	Answered uint64 // calls
	Failed   uint64 // calls
}

// Promoter is the side of a platform that carries out promotions itself.
type Promoter interface {
	Promote(action event.PromoteInstance)
}

// Peers is the side of the other proxies.
type Peers interface {
	Send(action event.SendPeerMessage)
}

// Operators is the administration API.
type Operators interface {
	Answer(action event.AnswerOperator)
}

// DecisionLog writes the log lines of decisions.
type DecisionLog interface {
	Decide(decision model.Decision)
}

// Process is the process that the kernel runs in.
type Process interface {
	Stop()
}

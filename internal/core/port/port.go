// Package port defines the interfaces between the kernel and its adapters. Every
// method returns immediately. An answer arrives as an event, which may be late,
// repeated, out of order or missing.
package port

import (
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// Inbox is the kernel's event queue. It is safe for concurrent use.
type Inbox interface {
	// Post adds an event to the queue of the kernel's event loop.
	Post(received event.Event)
}

// Callers controls the callers' connections and sends the answers to their requests.
type Callers interface {
	Accept(action event.AcceptCaller)
	Refuse(action event.RefuseCaller)
	Close(action event.CloseCaller)
	Answer(action event.AnswerCaller)
}

// Backend communicates with the backend servers: it opens connections and runs
// statements on them, and sends probes and orders to control an instance.
type Backend interface {
	Open(action event.OpenConn)
	Close(action event.CloseConn)
	Reset(action event.ResetConn)
	Execute(action event.Execute)
	Cancel(action event.CancelExecute)
	Probe(action event.Probe)
	Order(action event.SendOrder)
}

// Platform gives access to the platform's table service, group list and host list.
type Platform interface {
	Read(action event.ReadStore)
	Write(action event.WriteStore)
	ListGroups(action event.ListGroups)
	ListHosts(action event.ListHosts)
}

// Lists gives access to the lists that the platform keeps as tables of its store.
type Lists interface {
	Read(action event.ReadList)
	Await(action event.AwaitChanges)
	// Apply decodes rows and posts what they say.
	Apply(action event.ApplyList)
}

// Payloads converts statements and answers for messages between proxies. It is safe for
// concurrent use.
type Payloads interface {
	EncodeStatement(statement model.Payload) ([]byte, error)
	// DecodeStatement returns an error for bytes that are no statement.
	DecodeStatement(encoded []byte) (model.Payload, error)
	EncodeAnswer(answer model.Payload) []byte
	DecodeAnswer(encoded []byte) model.Payload
}

// Mesh exchanges polls, loans of tokens, statements and the state of promotions with the other
// proxies.
type Mesh interface {
	Poll(action event.SendPoll)
	AnswerPoll(action event.AnswerPoll)
	RefusePoll(action event.RefusePoll)
	Borrow(action event.Borrow)
	AnswerBorrow(action event.AnswerBorrow)
	RefuseBorrow(action event.RefuseBorrow)
	Forward(action event.Forward)
	AnswerForward(action event.AnswerForward)
	RefuseForward(action event.RefuseForward)
	EndForward(action event.EndForward)
	Settle(action event.Settle)
	AnswerSettle(action event.AnswerSettle)
	RefuseSettle(action event.RefuseSettle)
}

// ListStatus counts the calls to the platform's store for one of its lists.
type ListStatus struct {
	Name     string
	Answered uint64
	Failed   uint64
	// Unreadable is the number of present entries that cannot be decoded.
	Unreadable int
}

// CallCount counts the calls to the platform's store for one purpose.
type CallCount struct {
	Purpose  string // in snake case
	Answered uint64
	Failed   uint64
}

// AnswerCounts counts the answers of instances that were not used.
type AnswerCounts struct {
	Repeated  uint64 // second copies of an answer
	Unmatched uint64 // answers that the statement cannot have; the connection was closed
}

// Promoter orders promotions from a platform that carries them out itself.
type Promoter interface {
	Promote(action event.PromoteInstance)
}

// Peers sends messages to the other proxies.
type Peers interface {
	Send(action event.SendPeerMessage)
}

// Operators returns the results of commands to the clients of the administration API.
type Operators interface {
	Answer(action event.AnswerOperator)
}

// DecisionLog records routing and placement decisions. It is called by the kernel's
// loop and does not wait for the output.
type DecisionLog interface {
	Record(decision model.Decision)
}

// Process controls the process in which the kernel runs.
type Process interface {
	// Stop ends the process. Nothing is in flight any more.
	Stop()
}

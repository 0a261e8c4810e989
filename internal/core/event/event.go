// Package event defines the typed events that go into the kernel and the typed
// actions that come out of it. Both are sealed interfaces. An answer names what
// it answers; it may come late, twice, crossed or never.
package event

// Event is what happened: a message, an answer, or a change that one plug-in
// publishes to the others.
type Event interface{ isEvent() }

// Action is what an adapter shall do.
type Action interface{ isAction() }

// Order is an order to an instance. It carries its term.
type Order interface{ isOrder() }

// PeerMessage is a message between proxies.
type PeerMessage interface{ isPeerMessage() }

// Command is what an operator asks for.
type Command interface{ isCommand() }

// Result is the answer to a Command.
type Result interface{ isResult() }

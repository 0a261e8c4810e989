// Package event defines the typed events that go into the kernel and the typed
// actions that come out of it. Both are sealed interfaces. An answer identifies
// the action that it answers. It may arrive late, twice, out of order or not at all.
// Accessors named after an object, such as Conn and Order, return its identifier,
// and CallID returns that of a call to the platform or of an operator.
package event

// Event is the input of the kernel: a message, an answer, or a change that one plug-in
// publishes to the others.
type Event interface{ isEvent() }

// Action is an output of the kernel, which an adapter carries out.
type Action interface{ isAction() }

// Order is an order to an instance. It carries its term.
type Order interface{ isOrder() }

// PeerMessage is a message between proxies.
type PeerMessage interface{ isPeerMessage() }

// Command is a request of an operator through the administration API.
type Command interface{ isCommand() }

// Result is the answer to a Command.
type Result interface{ isResult() }

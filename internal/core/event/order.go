package event

import (
	"almondway.dev/almondway/internal/core/model"
)

// Fence orders an instance to accept no order and no log entry of a lower term.
type Fence struct {
	term model.Term
}

// NewFence returns a Fence.
func NewFence(term model.Term) Fence {
	return Fence{term: term}
}

// Term returns the lowest term that the instance accepts from then on.
func (fence Fence) Term() model.Term { return fence.term }

func (Fence) isOrder() {}

// Promote orders an instance that is fenced with the term to become its primary. The
// instance appends the term's first log entry.
type Promote struct {
	term model.Term
}

// NewPromote returns a Promote.
func NewPromote(term model.Term) Promote {
	return Promote{term: term}
}

// Term returns the term of the new primary.
func (promote Promote) Term() model.Term { return promote.term }

func (Promote) isOrder() {}

// Follow orders an instance to copy the log of a term's primary and to discard entries
// that are not in that log.
type Follow struct {
	term    model.Term
	primary model.InstanceID
	address string
}

// NewFollow returns a Follow.
func NewFollow(term model.Term, primary model.InstanceID, address string) Follow {
	return Follow{term: term, primary: primary, address: address}
}

// Term returns the term of the primary.
func (follow Follow) Term() model.Term { return follow.term }

// Primary returns the primary of the term.
func (follow Follow) Primary() model.InstanceID { return follow.primary }

// Address returns the "ip:port" of the primary.
func (follow Follow) Address() string { return follow.address }

func (Follow) isOrder() {}

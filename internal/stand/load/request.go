// Package load is the load generator of the measurements: callers that send requests at a
// constant rate, and a history of the writes that checks the answers.
package load

import "time"

// Verdict is the outcome of a request as reported to the caller.
type Verdict int

// The verdicts of a request.
const (
	// VerdictDone means that the request ran.
	VerdictDone Verdict = iota
	// VerdictNotRun means that the request did not run and never will.
	VerdictNotRun
	// VerdictUnknown means that the caller does not know whether the request ran.
	VerdictUnknown
)

// Check is the consistency that a read requires.
type Check int

// The checks of a read.
const (
	// CheckFresh requires every write that was acknowledged before the read was sent.
	CheckFresh Check = iota
	// CheckBounded requires every write that was acknowledged at least Kind.Staleness before the read was sent.
	CheckBounded
)

// Kind is a kind of request of a workload.
type Kind struct {
	// Name is the name of the kind in the deployment.
	Name string
	// Class is the caller class.
	Class string
	// Rate is the number of requests a second.
	Rate float64
	// NoisyShare is the share of the requests that is directed to the first group; the rest is spread over all groups.
	NoisyShare float64
	// Write is set for a kind that increments a key.
	Write bool
	// Check and Staleness are the consistency that a read requires.
	Check     Check
	Staleness time.Duration
}

// Request is one request of a caller.
type Request struct {
	Kind  Kind
	Group string
	Key   string
	ID    string
	SQL   string
}

// Answer is the answer of a request.
type Answer struct {
	Verdict Verdict
	// Values are the columns of the first row.
	Values []string
	// Code is the result code of a refusal, as in "AW204", or a SQLSTATE.
	Code string
	// HasRetryHint is set if a refusal contained a retry delay.
	HasRetryHint bool
	// ConnectionLost is set if the connection was lost while the request was in flight.
	ConnectionLost bool
}

// Target is a system under load.
type Target interface {
	// Session returns a new session of a caller class.
	Session(class string) Session
}

// Session is the session of one caller. It must not be used concurrently.
type Session interface {
	// Do sends a request and returns the answer. The request times out at the deadline.
	Do(request Request, deadline time.Time) Answer
	// Close closes the connections of the session.
	Close()
}

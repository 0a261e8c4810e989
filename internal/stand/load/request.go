// Package load is the load client of the measurements: callers that send
// requests at a constant rate, and a record of what each was told.
package load

import "time"

// Verdict is what a caller was told about a request.
type Verdict int

// The verdicts of a request.
const (
	// VerdictDone means that the request ran.
	VerdictDone Verdict = iota
	// VerdictNotRun means that the request did not run and never will.
	VerdictNotRun
	// VerdictUnknown means that the caller was not told.
	VerdictUnknown
)

// Check tells what a read must show.
type Check int

// The checks of a read.
const (
	// CheckFresh demands every write that was acknowledged before the read was sent.
	CheckFresh Check = iota
	// CheckBounded demands every write that was acknowledged the staleness before the read was sent.
	CheckBounded
)

// Kind is a kind of request of a workload.
type Kind struct {
	// Name is the kind's name in the deployment.
	Name string
	// Class is the class of caller.
	Class string
	// Rate is the number of requests a second.
	Rate float64
	// NoisyShare is the share of the requests that all go to the first group.
	NoisyShare float64
	// Write is set for a kind that counts up a key.
	Write bool
	// Check and Staleness tell what a read must show.
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

// Answer is what a caller got for a request.
type Answer struct {
	Verdict Verdict
	// Values are the columns of the first row.
	Values []string
	// Code is the result code of a refusal, as in "AW204", or a SQLSTATE.
	Code string
	// HasRetryHint is set if a refusal said when to come back.
	HasRetryHint bool
	// ConnectionLost is set if the connection ended with the request in flight.
	ConnectionLost bool
}

// Target takes requests. A session is used by one request at a time.
type Target interface {
	// Session returns a session of a class of caller.
	Session(class string) Session
}

// Session is a caller's session.
type Session interface {
	// Do sends a request and returns the answer. It gives up at the deadline.
	Do(request Request, deadline time.Time) Answer
	// Close ends the session.
	Close()
}

package model

// ConnFailure tells why a probe, an order or an opening of a connection failed.
type ConnFailure int

// The reasons of a failure.
const (
	// ConnFailureTimeout means that no answer came in time.
	ConnFailureTimeout ConnFailure = iota
	// ConnFailureRefused means that nothing listens at the address: the process is gone.
	ConnFailureRefused
	// ConnFailureReset means that the connection broke before the answer.
	ConnFailureReset
	// ConnFailureFull means that the instance has no connection left.
	ConnFailureFull
	// ConnFailureLeaving means that the instance refuses new connections because it is shutting down.
	ConnFailureLeaving
)

// String returns the name of the reason in snake case.
func (reason ConnFailure) String() string {
	switch reason {
	case ConnFailureTimeout:
		return "timeout"
	case ConnFailureRefused:
		return "refused"
	case ConnFailureReset:
		return "reset"
	case ConnFailureFull:
		return "full"
	default:
		return "leaving"
	}
}

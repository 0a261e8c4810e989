package model

// ConnFailure is the reason why a probe, an order or a connection attempt failed.
type ConnFailure int

// The reasons for a connection failure.
const (
	// ConnFailureTimeout means that no answer arrived before the timeout.
	ConnFailureTimeout ConnFailure = iota
	// ConnFailureRefused means that no process listens at the address, so the instance is not running.
	ConnFailureRefused
	// ConnFailureReset means that the connection broke before the answer arrived.
	ConnFailureReset
	// ConnFailureFull means that the instance has reached its connection limit.
	ConnFailureFull
	// ConnFailureLeaving means that the instance refuses new connections because it is shutting down.
	ConnFailureLeaving
)

// String returns the name of the reason in snake case, without the prefix.
func (connFailure ConnFailure) String() string {
	switch connFailure {
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

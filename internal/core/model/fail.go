package model

// FailReason tells why a probe, an order or an opening of a connection failed.
type FailReason int

// The reasons of a failure.
const (
	// FailTimeout means that no answer came in time.
	FailTimeout FailReason = iota
	// FailRefused means that nothing listens at the address: the process is gone.
	FailRefused
	// FailReset means that the connection broke before the answer.
	FailReset
	// FailFull means that the instance has no connection left.
	FailFull
	// FailLeaving means that the instance refuses new connections because it is shutting down.
	FailLeaving
)

// String returns the name of the reason in snake case.
func (reason FailReason) String() string {
	switch reason {
	case FailTimeout:
		return "timeout"
	case FailRefused:
		return "refused"
	case FailReset:
		return "reset"
	case FailFull:
		return "full"
	default:
		return "leaving"
	}
}

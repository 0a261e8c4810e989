package limit

import "time"

// Policy holds the parameters of the admission that experiments vary. The proxy uses
// DefaultPolicy.
type Policy struct {
	// BurstTolerance is how long the queue may be non-empty without interruption before
	// it counts as a standing queue.
	BurstTolerance time.Duration
	// TurnInterval is the number of grants of which one goes to the lane whose turn it is.
	// The others go to the lane with the best rank. With 1, rank has no effect.
	TurnInterval int
	// TargetShare is the share of its target latency within which the answer of a request
	// is to be expected. The rest covers the error of the estimate.
	TargetShare float64
	// MaxRunShare is the share of its target latency above which the expected time to run a
	// request does not count against it. Without it, a request whose target is shorter than
	// its work would always be denied.
	MaxRunShare float64
	// StatementsPerSlot is the maximum number of statements that all proxies together
	// have outstanding at an instance per slot: with 3, one that runs and two that are
	// queued.
	StatementsPerSlot int
	// MinUpperBound is the minimum of the upper bound of an instance limit. With 2, a proxy
	// keeps a slot busy while its next statement is in transit.
	MinUpperBound int
	// CongestionRatio is the ratio of meanHeld to baseHeld above which an instance is
	// congested.
	CongestionRatio float64
	// LateShare is the share of its target latency within which an instance should answer a
	// statement, where the proxies are many. The rest is for the wait in the proxy, where a
	// high priority overtakes.
	LateShare float64
	// BaseRiseSmoothing limits how fast baseHeld rises: by 1/BaseRiseSmoothing of the
	// difference for each sample. It is large, so that a lasting overload does not count as
	// low load.
	BaseRiseSmoothing int
}

// DefaultPolicy returns the parameters that the proxy uses.
func DefaultPolicy() Policy {
	return Policy{
		BurstTolerance:    200 * time.Millisecond,
		TurnInterval:      8,
		TargetShare:       0.85,
		MaxRunShare:       0.5,
		StatementsPerSlot: 3,
		MinUpperBound:     2,
		CongestionRatio:   1.3,
		LateShare:         0.25,
		BaseRiseSmoothing: 2048,
	}
}

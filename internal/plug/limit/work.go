package limit

import (
	"time"

	"almondway.dev/almondway/internal/core/route"
)

const (
	// minSampleWeight is the least weight of a new sample in an average.
	minSampleWeight = 1.0 / 32
	// maxCountedTxs is the number of transactions after which both counts of a workEstimate
	// are halved, so that recent transactions count more.
	maxCountedTxs = 64
)

// laneKey identifies the requests that are expected to take the same work: those of a kind
// of a deployment, single statements apart from transactions.
type laneKey struct {
	deployment string
	kind       string
	inTx       bool
}

func laneOf(request route.SlotRequest) laneKey {
	if request.Job == nil {
		return laneKey{}
	}
	return laneKey{
		deployment: request.Job.Deployment().Name(),
		kind:       request.Job.Kind().Name(),
		inTx:       request.Job.Tx() != nil,
	}
}

// average is a moving average. The first samples have equal weights.
type average struct {
	value   time.Duration
	samples int
}

func (average *average) add(sample time.Duration) {
	average.samples++
	weight := max(minSampleWeight, 1/float64(average.samples))
	average.value += time.Duration(weight * float64(sample-average.value))
}

// workEstimate is the expected work of the requests of a lane, learned from earlier ones.
type workEstimate struct {
	held    average // how long a statement holds a slot
	txs     int     // transactions that were granted their first slot
	resumed int     // further statements of transactions
}

func (workEstimate *workEstimate) addTx() {
	if workEstimate.txs++; workEstimate.txs > maxCountedTxs {
		workEstimate.txs /= 2
		workEstimate.resumed /= 2
	}
}

// statements returns the expected number of statements of a request, at least 1.
func (workEstimate *workEstimate) statements() float64 {
	return 1 + float64(workEstimate.resumed)/float64(max(1, workEstimate.txs))
}

func (limits *Limits) workEstimate(key laneKey) *workEstimate {
	found, ok := limits.workEstimates[key]
	if !ok {
		found = &workEstimate{}
		limits.workEstimates[key] = found
	}
	return found
}

// expectedWork returns the expected time for which a request of a lane holds slots. A
// statement of a lane without samples counts like the mean of all lanes.
func (limits *Limits) expectedWork(key laneKey) time.Duration {
	estimate := limits.workEstimate(key)
	held := estimate.held.value
	if estimate.held.samples == 0 {
		held = limits.meanWork.value
	}
	return time.Duration(float64(held) * estimate.statements())
}

// recordHeld records how long an answered statement held a slot.
func (limits *Limits) recordHeld(request route.SlotRequest, held time.Duration) {
	if request.Job == nil {
		return
	}
	limits.workEstimate(laneOf(request)).held.add(held)
	limits.meanWork.add(held)
}

package spread

import "time"

const (
	// workBatch is the number of statements whose mean is a sample of the expected work.
	workBatch = 32
	// The expected work moves by 1/workFallSmoothing of the difference to a lower sample and by
	// 1/workRiseSmoothing to a higher one, so that a lasting overload does not count as work.
	workFallSmoothing = 4
	workRiseSmoothing = 64
	// Each statement moves the mean work by 1/meanWorkSmoothing of the difference.
	meanWorkSmoothing = 64
	// defaultWork is the expected work before the first statement of a kind has ended.
	defaultWork = 20 * time.Millisecond
)

// expectedWork learns how long the statements of a kind hold a slot under low load.
type expectedWork struct {
	value time.Duration
	sum   time.Duration // of the current batch
	count int
	known bool // the first batch is complete
}

// add records how long a statement was outstanding.
func (work *expectedWork) add(held time.Duration) {
	work.sum += held
	work.count++
	mean := work.sum / time.Duration(work.count)
	if !work.known {
		work.value = mean
	}
	if work.count < workBatch {
		return
	}
	if work.known {
		smoothing := time.Duration(workRiseSmoothing)
		if mean < work.value {
			smoothing = workFallSmoothing
		}
		work.value += (mean - work.value) / smoothing
	}
	work.known, work.sum, work.count = true, 0, 0
}

// expect returns the expected work of the next statement.
func (work *expectedWork) expect() time.Duration {
	if work.value == 0 {
		return defaultWork
	}
	return work.value
}

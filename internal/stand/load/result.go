package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatency               = time.Minute
	latencySignificantDigits = 3
)

type completedRequest struct {
	request    Request
	answer     Answer
	wrong      bool
	dueAt      time.Time
	sentAt     time.Time
	answeredAt time.Time
}

// acknowledgedWrite is an acknowledged write of a group.
type acknowledgedWrite struct {
	sentAt     time.Time
	answeredAt time.Time
}

// Result collects the completed requests of a run.
type Result struct {
	mu                  sync.Mutex
	measuredFrom        time.Time
	reads               *hdrhistogram.Histogram
	writes              *hdrhistogram.Histogram
	counts              Counts
	readsByKind         map[string]int
	codes               map[string]int
	acknowledgedByGroup map[string][]acknowledgedWrite
}

// Counts are numbers of completed requests.
type Counts struct {
	Reads        int
	Writes       int
	WrongAnswers int
	Refused      int
	// RefusedWithoutHint counts the refusals without a retry delay.
	RefusedWithoutHint int
	Unknown            int
	// CutRequests counts the requests whose connection was lost before the answer.
	CutRequests int
}

// NewResult returns an empty Result.
func NewResult() *Result {
	newHistogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxLatency.Microseconds(), latencySignificantDigits)
	}
	return &Result{
		reads:               newHistogram(),
		writes:              newHistogram(),
		readsByKind:         make(map[string]int),
		codes:               make(map[string]int),
		acknowledgedByGroup: make(map[string][]acknowledgedWrite),
	}
}

// MeasureFrom excludes requests that were due before at from the latencies.
func (result *Result) MeasureFrom(at time.Time) {
	result.mu.Lock()
	defer result.mu.Unlock()
	result.measuredFrom = at
}

// add records a completed request. The latency is measured from the scheduled time of the request, so
// that it includes the wait for a free caller.
func (result *Result) add(completed completedRequest) {
	result.mu.Lock()
	defer result.mu.Unlock()
	answer, counts := completed.answer, &result.counts
	if answer.Code != "" {
		result.codes[answer.Code]++
	}
	if answer.ConnectionLost {
		counts.CutRequests++
	}
	switch answer.Verdict {
	case VerdictNotRun:
		counts.Refused++
		if !answer.HasRetryHint {
			counts.RefusedWithoutHint++
		}
		return
	case VerdictUnknown:
		counts.Unknown++
		return
	case VerdictDone:
	}
	if completed.request.Kind.Write {
		counts.Writes++
		result.recordLatency(result.writes, completed)
		group := completed.request.Group
		result.acknowledgedByGroup[group] = append(result.acknowledgedByGroup[group], acknowledgedWrite{sentAt: completed.sentAt, answeredAt: completed.answeredAt})
		return
	}
	counts.Reads++
	result.readsByKind[completed.request.Kind.Name]++
	result.recordLatency(result.reads, completed)
	if completed.wrong {
		counts.WrongAnswers++
	}
}

func (result *Result) recordLatency(histogram *hdrhistogram.Histogram, completed completedRequest) {
	if !completed.dueAt.Before(result.measuredFrom) {
		_ = histogram.RecordValue(min(completed.answeredAt.Sub(completed.dueAt), maxLatency).Microseconds())
	}
}

// Counts returns the counts so far.
func (result *Result) Counts() Counts {
	result.mu.Lock()
	defer result.mu.Unlock()
	return result.counts
}

// ReadsByKind returns the number of answered reads of each kind. It must not be called during
// the run.
func (result *Result) ReadsByKind() map[string]int { return result.readsByKind }

// Codes returns the number of answers with each result code or SQLSTATE. It must not be called
// during the run.
func (result *Result) Codes() map[string]int { return result.codes }

// ReadLatency returns the latency of reads at a percentile.
func (result *Result) ReadLatency(percentile float64) time.Duration {
	return time.Duration(result.reads.ValueAtPercentile(percentile)) * time.Microsecond
}

// WriteLatency returns the latency of writes at a percentile.
func (result *Result) WriteLatency(percentile float64) time.Duration {
	return time.Duration(result.writes.ValueAtPercentile(percentile)) * time.Microsecond
}

// FailoverGap returns the time from the loss of a primary at lostAt to the first acknowledgement
// of a write of the group that was sent after the loss. It reports false if there is none.
func (result *Result) FailoverGap(group string, lostAt time.Time) (time.Duration, bool) {
	result.mu.Lock()
	defer result.mu.Unlock()
	var gap time.Duration
	found := false
	for _, write := range result.acknowledgedByGroup[group] {
		if write.sentAt.Before(lostAt) {
			continue
		}
		if elapsed := write.answeredAt.Sub(lostAt); !found || elapsed < gap {
			gap, found = elapsed, true
		}
	}
	return gap, found
}

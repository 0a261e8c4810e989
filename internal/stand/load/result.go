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

type outcome struct {
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

// Result collects the outcomes of a run.
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

// Counts are the numbers of outcomes.
type Counts struct {
	Reads        int
	Writes       int
	WrongAnswers int
	Refused      int
	// RefusedWithoutHint are the refused that were not told when to come back.
	RefusedWithoutHint int
	Unknown            int
	// CutRequests are the requests whose connection ended before the answer.
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

// MeasureFrom leaves requests that fell due before at out of the latencies.
func (result *Result) MeasureFrom(at time.Time) {
	result.mu.Lock()
	defer result.mu.Unlock()
	result.measuredFrom = at
}

// add counts an outcome. The latency starts when the request fell due, so that
// waiting for a free caller is counted.
func (result *Result) add(outcome outcome) {
	result.mu.Lock()
	defer result.mu.Unlock()
	answer, counts := outcome.answer, &result.counts
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
	if outcome.request.Kind.Write {
		counts.Writes++
		result.recordLatency(result.writes, outcome)
		group := outcome.request.Group
		result.acknowledgedByGroup[group] = append(result.acknowledgedByGroup[group], acknowledgedWrite{sentAt: outcome.sentAt, answeredAt: outcome.answeredAt})
		return
	}
	counts.Reads++
	result.readsByKind[outcome.request.Kind.Name]++
	result.recordLatency(result.reads, outcome)
	if outcome.wrong {
		counts.WrongAnswers++
	}
}

func (result *Result) recordLatency(histogram *hdrhistogram.Histogram, outcome outcome) {
	if !outcome.dueAt.Before(result.measuredFrom) {
		_ = histogram.RecordValue(min(outcome.answeredAt.Sub(outcome.dueAt), maxLatency).Microseconds())
	}
}

// Counts returns the numbers of outcomes.
func (result *Result) Counts() Counts {
	result.mu.Lock()
	defer result.mu.Unlock()
	return result.counts
}

// ReadsByKind returns the number of answered reads of each kind.
func (result *Result) ReadsByKind() map[string]int { return result.readsByKind }

// Codes returns how often each result code or SQLSTATE was met.
func (result *Result) Codes() map[string]int { return result.codes }

// ReadLatency returns the latency of reads at a percentile.
func (result *Result) ReadLatency(percentile float64) time.Duration {
	return time.Duration(result.reads.ValueAtPercentile(percentile)) * time.Microsecond
}

// WriteLatency returns the latency of writes at a percentile.
func (result *Result) WriteLatency(percentile float64) time.Duration {
	return time.Duration(result.writes.ValueAtPercentile(percentile)) * time.Microsecond
}

// FailoverGap returns the time from a loss to the first acknowledgement of a write of
// the group that was sent after it. It reports false if there is none.
func (result *Result) FailoverGap(group string, lostAt time.Time) (time.Duration, bool) {
	result.mu.Lock()
	defer result.mu.Unlock()
	var gap time.Duration
	found := false
	for _, write := range result.acknowledgedByGroup[group] {
		if write.sentAt.Before(lostAt) {
			continue
		}
		if taken := write.answeredAt.Sub(lostAt); !found || taken < gap {
			gap, found = taken, true
		}
	}
	return gap, found
}

package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	longestLatency  = time.Minute
	latencyAccuracy = 3
)

type outcome struct {
	request    Request
	answer     Answer
	wrong      bool
	dueAt      time.Time
	sentAt     time.Time
	answeredAt time.Time
}

// acknowledged is an acknowledged write of a group.
type acknowledged struct {
	sentAt     time.Time
	answeredAt time.Time
}

// Result collects the outcomes of a run.
type Result struct {
	mu      sync.Mutex
	from    time.Time
	reads   *hdrhistogram.Histogram
	writes  *hdrhistogram.Histogram
	counts  Counts
	byKind  map[string]int
	codes   map[string]int
	ackedIn map[string][]acknowledged
}

// Counts are the numbers of outcomes.
type Counts struct {
	Reads   int
	Writes  int
	Wrong   int
	Refused int
	// Unhinted are the refused that were not told when to come back.
	Unhinted int
	Unknown  int
	// Cut are the requests whose connection ended before the answer.
	Cut int
}

// NewResult returns an empty Result.
func NewResult() *Result {
	newHistogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, longestLatency.Microseconds(), latencyAccuracy)
	}
	return &Result{
		reads:   newHistogram(),
		writes:  newHistogram(),
		byKind:  make(map[string]int),
		codes:   make(map[string]int),
		ackedIn: make(map[string][]acknowledged),
	}
}

// MeasureFrom leaves requests that fell due before at out of the latencies.
func (result *Result) MeasureFrom(at time.Time) {
	result.mu.Lock()
	defer result.mu.Unlock()
	result.from = at
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
	if answer.Lost {
		counts.Cut++
	}
	switch answer.Verdict {
	case VerdictNotRun:
		counts.Refused++
		if !answer.Hinted {
			counts.Unhinted++
		}
		return
	case VerdictUnknown:
		counts.Unknown++
		return
	case VerdictDone:
	}
	if outcome.request.Kind.Write {
		counts.Writes++
		result.latency(result.writes, outcome)
		group := outcome.request.Group
		result.ackedIn[group] = append(result.ackedIn[group], acknowledged{sentAt: outcome.sentAt, answeredAt: outcome.answeredAt})
		return
	}
	counts.Reads++
	result.byKind[outcome.request.Kind.Name]++
	result.latency(result.reads, outcome)
	if outcome.wrong {
		counts.Wrong++
	}
}

func (result *Result) latency(histogram *hdrhistogram.Histogram, outcome outcome) {
	if !outcome.dueAt.Before(result.from) {
		_ = histogram.RecordValue(min(outcome.answeredAt.Sub(outcome.dueAt), longestLatency).Microseconds())
	}
}

// Counts returns the numbers of outcomes.
func (result *Result) Counts() Counts {
	result.mu.Lock()
	defer result.mu.Unlock()
	return result.counts
}

// ReadsByKind returns the number of answered reads of each kind.
func (result *Result) ReadsByKind() map[string]int { return result.byKind }

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

// Gap returns the time from a loss to the first acknowledgement of a write of
// the group that was sent after it. It reports false if there is none.
func (result *Result) Gap(group string, lostAt time.Time) (time.Duration, bool) {
	result.mu.Lock()
	defer result.mu.Unlock()
	var gap time.Duration
	found := false
	for _, write := range result.ackedIn[group] {
		if write.sentAt.Before(lostAt) {
			continue
		}
		if taken := write.answeredAt.Sub(lostAt); !found || taken < gap {
			gap, found = taken, true
		}
	}
	return gap, found
}

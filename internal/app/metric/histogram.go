package metric

import (
	"strconv"
	"sync/atomic"
	"time"
)

// bounds are the upper bounds of the buckets of a Histogram, from a fast read to the
// longest deadline of callers.
var bounds = [...]time.Duration{
	time.Millisecond, 2500 * time.Microsecond, 5 * time.Millisecond, 10 * time.Millisecond,
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second, 10 * time.Second,
}

// Histogram counts durations by buckets, so that the histograms of many processes can
// be added. It may be used by several goroutines.
type Histogram struct {
	buckets [len(bounds) + 1]atomic.Uint64
	sum     atomic.Int64 // ns
}

// Update counts a duration.
func (histogram *Histogram) Update(took time.Duration) {
	index := 0
	for index < len(bounds) && took > bounds[index] {
		index++
	}
	histogram.buckets[index].Add(1)
	histogram.sum.Add(int64(took))
}

// Count returns the number of durations.
func (histogram *Histogram) Count() uint64 {
	count := uint64(0)
	for index := range histogram.buckets {
		count += histogram.buckets[index].Load()
	}
	return count
}

// samples returns the lines of the text form, whose buckets count all that is at or
// below their bound.
func (histogram *Histogram) samples(name string) []sample {
	family, labels := split(name)
	samples := make([]sample, 0, len(histogram.buckets)+2)
	count := uint64(0)
	for index := range histogram.buckets {
		count += histogram.buckets[index].Load()
		bound := "+Inf"
		if index < len(bounds) {
			bound = strconv.FormatFloat(bounds[index].Seconds(), 'g', -1, 64)
		}
		samples = append(samples, sample{
			family: family, suffix: "_bucket", kind: "histogram", labels: labels, extra: `le="` + bound + `"`, value: count,
		})
	}
	sum := time.Duration(histogram.sum.Load()).Seconds()
	return append(
		samples,
		sample{family: family, suffix: "_sum", kind: "histogram", labels: labels, value: sum},
		sample{family: family, suffix: "_count", kind: "histogram", labels: labels, value: count},
	)
}

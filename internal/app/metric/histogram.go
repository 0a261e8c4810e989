package metric

import (
	"strconv"
	"sync/atomic"
	"time"
)

// bucketBounds are the upper bounds of the buckets of a Histogram. They range from the
// latency of a fast read to the longest deadline of callers.
var bucketBounds = [...]time.Duration{
	time.Millisecond, 2500 * time.Microsecond, 5 * time.Millisecond, 10 * time.Millisecond,
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second, 10 * time.Second,
}

// Histogram counts durations in fixed buckets, so that the histograms of many processes
// can be added. It is safe for concurrent use.
type Histogram struct {
	buckets [len(bucketBounds) + 1]atomic.Uint64
	sum     atomic.Int64 // ns
}

// Update adds a duration.
func (histogram *Histogram) Update(duration time.Duration) {
	index := 0
	for index < len(bucketBounds) && duration > bucketBounds[index] {
		index++
	}
	histogram.buckets[index].Add(1)
	histogram.sum.Add(int64(duration))
}

// Count returns the number of durations added.
func (histogram *Histogram) Count() uint64 {
	count := uint64(0)
	for index := range histogram.buckets {
		count += histogram.buckets[index].Load()
	}
	return count
}

// samples returns the lines of the Prometheus text format. Its buckets are cumulative: each
// counts the durations at or below its bound.
func (histogram *Histogram) samples(name string) []sample {
	family, labels := splitLabels(name)
	samples := make([]sample, 0, len(histogram.buckets)+2)
	count := uint64(0)
	for index := range histogram.buckets {
		count += histogram.buckets[index].Load()
		bound := "+Inf"
		if index < len(bucketBounds) {
			bound = strconv.FormatFloat(bucketBounds[index].Seconds(), 'g', -1, 64)
		}
		samples = append(samples, sample{
			family: family, suffix: "_bucket", metricType: "histogram", labels: labels, extraLabel: `le="` + bound + `"`, value: count,
		})
	}
	sum := time.Duration(histogram.sum.Load()).Seconds()
	return append(
		samples,
		sample{family: family, suffix: "_sum", metricType: "histogram", labels: labels, value: sum},
		sample{family: family, suffix: "_count", metricType: "histogram", labels: labels, value: count},
	)
}

package metric

import (
	"strconv"
	"sync/atomic"
	"time"
)

// bucketBounds are the upper bounds of the buckets of a Histogram, from a fast read to the
// longest deadline of callers.
var bucketBounds = [...]time.Duration{
	time.Millisecond, 2500 * time.Microsecond, 5 * time.Millisecond, 10 * time.Millisecond,
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second, 10 * time.Second,
}

// Histogram counts durations by buckets, so that the histograms of many processes can
// be added. It may be used by several goroutines.
type Histogram struct {
	buckets [len(bucketBounds) + 1]atomic.Uint64
	sum     atomic.Int64 // ns
}

// Update counts a duration.
func (histogram *Histogram) Update(took time.Duration) {
	index := 0
	for index < len(bucketBounds) && took > bucketBounds[index] {
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

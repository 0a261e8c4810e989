package metric

import (
	"fmt"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

var quantiles = []float64{0.5, 0.99, 1}

// sample is a line of the Prometheus text form.
type sample struct {
	family string
	suffix string
	kind   string
	labels string
	// series are the labels by which lines are in order; those of one series with equal
	// ones stay in the order in which they were made.
	series string
	value  any
}

func samplesOf(name string, metric any) []sample {
	family, labels := split(name)
	switch metric := metric.(type) {
	case metrics.Counter:
		return []sample{{family: family, kind: "counter", labels: labels, series: labels, value: metric.Count()}}
	case metrics.Gauge:
		return []sample{{family: family, kind: "gauge", labels: labels, series: labels, value: metric.Value()}}
	case metrics.GaugeFloat64:
		return []sample{{family: family, kind: "gauge", labels: labels, series: labels, value: metric.Value()}}
	case metrics.Timer:
		return summary(family, labels, metric.Snapshot())
	default:
		return nil
	}
}

func summary(family, labels string, timer metrics.Timer) []sample {
	sum := time.Duration(timer.Sum()).Seconds()
	samples := []sample{
		{family: family, suffix: "_sum", kind: "summary", labels: labels, series: labels, value: sum},
		{family: family, suffix: "_count", kind: "summary", labels: labels, series: labels, value: timer.Count()},
	}
	for index, value := range timer.Percentiles(quantiles) {
		quantile := fmt.Sprintf(`quantile="%v"`, quantiles[index])
		samples = append(samples, sample{
			family: family,
			kind:   "summary",
			labels: join(labels, quantile),
			series: labels,
			value:  value / float64(time.Second),
		})
	}
	return samples
}

// split parts a name from its labels, which keep their braces.
func split(name string) (string, string) {
	index := strings.IndexByte(name, '{')
	if index < 0 {
		return name, ""
	}
	return name[:index], name[index:]
}

func join(labels, added string) string {
	if labels == "" {
		return "{" + added + "}"
	}
	return strings.TrimSuffix(labels, "}") + "," + added + "}"
}

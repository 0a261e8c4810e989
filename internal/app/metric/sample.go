package metric

import (
	"fmt"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

var quantiles = []float64{0.5, 0.99, 1}

// sample is a line of the Prometheus text format.
type sample struct {
	family     string
	suffix     string
	metricType string
	labels     string
	// extraLabel distinguishes the lines of a histogram or summary that have the same
	// labels. These lines keep the order in which they were added.
	extraLabel string
	value      any
}

func samplesOf(name string, metric any) []sample {
	family, labels := splitLabels(name)
	switch metric := metric.(type) {
	case metrics.Counter:
		return []sample{{family: family, metricType: "counter", labels: labels, value: metric.Count()}}
	case metrics.Gauge:
		return []sample{{family: family, metricType: "gauge", labels: labels, value: metric.Value()}}
	case metrics.GaugeFloat64:
		return []sample{{family: family, metricType: "gauge", labels: labels, value: metric.Value()}}
	case metrics.Timer:
		return timerSamples(family, labels, metric.Snapshot())
	default:
		return nil
	}
}

func timerSamples(family, labels string, timer metrics.Timer) []sample {
	sum := time.Duration(timer.Sum()).Seconds()
	samples := []sample{
		{family: family, suffix: "_sum", metricType: "summary", labels: labels, value: sum},
		{family: family, suffix: "_count", metricType: "summary", labels: labels, value: timer.Count()},
	}
	for index, value := range timer.Percentiles(quantiles) {
		quantile := fmt.Sprintf(`quantile="%v"`, quantiles[index])
		samples = append(samples, sample{
			family:     family,
			metricType: "summary",
			labels:     labels,
			extraLabel: quantile,
			value:      value / float64(time.Second),
		})
	}
	return samples
}

// splitLabels splits a series name into the metric name and its labels. The labels keep
// their braces.
func splitLabels(name string) (string, string) {
	index := strings.IndexByte(name, '{')
	if index < 0 {
		return name, ""
	}
	return name[:index], name[index:]
}

// addLabel adds a label to labels in braces; either may be empty.
func addLabel(labels, added string) string {
	switch {
	case added == "":
		return labels
	case labels == "":
		return "{" + added + "}"
	}
	return strings.TrimSuffix(labels, "}") + "," + added + "}"
}

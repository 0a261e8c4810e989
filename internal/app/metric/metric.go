// Package metric collects the metrics of a proxy process and writes them as JSON and in
// the Prometheus text format.
package metric

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

const prefix = "almondway_"

// Label is the name and the value of a metric's label.
type Label struct {
	name  string
	value string
}

// NewLabel returns a Label. The value may be any text; it is escaped on output.
func NewLabel(name, value string) Label { return Label{name: name, value: value} }

// Registry holds metrics by name and labels. It is safe for concurrent use.
type Registry struct {
	metrics    metrics.Registry
	mutex      sync.Mutex
	histograms map[string]*Histogram
}

// NewRegistry returns an empty Registry.
func NewRegistry() *Registry {
	return &Registry{metrics: metrics.NewRegistry(), histograms: make(map[string]*Histogram)}
}

// Counter returns the counter with the given name and labels. Like the other metrics, it
// is created on first use. The name is in snake case and ends in "_total".
func (registry *Registry) Counter(name string, labels ...Label) metrics.Counter {
	return metrics.GetOrRegisterCounter(seriesName(name, labels), registry.metrics)
}

// Gauge returns the integer gauge with the given name and labels.
func (registry *Registry) Gauge(name string, labels ...Label) metrics.Gauge {
	return metrics.GetOrRegisterGauge(seriesName(name, labels), registry.metrics)
}

// FloatGauge returns the floating-point gauge with the given name and labels. Its value is
// a fraction between 0 and 1 or a time in seconds.
func (registry *Registry) FloatGauge(name string, labels ...Label) metrics.GaugeFloat64 {
	return metrics.GetOrRegisterGaugeFloat64(seriesName(name, labels), registry.metrics)
}

// Timer returns the timer with the given name and labels. Its durations are recorded in
// nanoseconds and written in seconds as a Prometheus summary.
func (registry *Registry) Timer(name string, labels ...Label) metrics.Timer {
	return metrics.GetOrRegisterTimer(seriesName(name, labels), registry.metrics)
}

// Histogram returns the histogram of durations with the given name and labels. The name
// ends in "_seconds".
func (registry *Registry) Histogram(name string, labels ...Label) *Histogram {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	series := seriesName(name, labels)
	histogram, ok := registry.histograms[series]
	if !ok {
		histogram = &Histogram{}
		registry.histograms[series] = histogram
	}
	return histogram
}

// eachHistogram calls visit for each histogram in no particular order. visit must not use
// the Registry, which stays locked.
func (registry *Registry) eachHistogram(visit func(name string, histogram *Histogram)) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for name, histogram := range registry.histograms {
		visit(name, histogram)
	}
}

// seriesName returns the prefixed name with its labels in the Prometheus text format.
func seriesName(name string, labels []Label) string {
	if len(labels) == 0 {
		return prefix + name
	}
	var text strings.Builder
	text.WriteString(prefix + name)
	text.WriteByte('{')
	for index, label := range labels {
		if index > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, `%s="%s"`, label.name, escape.Replace(label.value))
	}
	text.WriteByte('}')
	return text.String()
}

var escape = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// WriteJSON writes all metrics as one JSON object.
func (registry *Registry) WriteJSON(output io.Writer) error {
	encoder := json.NewEncoder(output)
	encoder.SetEscapeHTML(false)
	all := registry.metrics.GetAll()
	registry.eachHistogram(func(name string, histogram *Histogram) {
		all[name] = map[string]any{
			"count": histogram.Count(),
			"sum":   time.Duration(histogram.sum.Load()).Seconds(),
		}
	})
	return errors.Wrap(encoder.Encode(all), "write metrics")
}

// WriteText writes all metrics in the Prometheus text format, in ascending order of name
// and labels.
func (registry *Registry) WriteText(output io.Writer) error {
	var samples []sample
	registry.metrics.Each(func(name string, metric any) {
		samples = append(samples, samplesOf(name, metric)...)
	})
	registry.eachHistogram(func(name string, histogram *Histogram) {
		samples = append(samples, histogram.samples(name)...)
	})
	slices.SortStableFunc(samples, func(left, right sample) int {
		if left.family != right.family {
			return strings.Compare(left.family, right.family)
		}
		return strings.Compare(left.labels, right.labels)
	})
	family := ""
	for _, sample := range samples {
		if sample.family != family {
			family = sample.family
			if _, err := fmt.Fprintf(output, "# TYPE %s %s\n", family, sample.metricType); err != nil {
				return errors.Wrap(err, "write metrics")
			}
		}
		if _, err := fmt.Fprintf(output, "%s%s%s %v\n", sample.family, sample.suffix, addLabel(sample.labels, sample.extraLabel), sample.value); err != nil {
			return errors.Wrap(err, "write metrics")
		}
	}
	return nil
}

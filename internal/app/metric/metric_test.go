package metric_test

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/app/metric"
	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/count"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/port"
	"almondway.dev/almondway/internal/core/state"
)

func TestWriteText(t *testing.T) {
	is := is.New(t)
	registry := metric.NewRegistry()
	registry.Counter("b_total", metric.NewLabel("kind", "a\"b\\c\nd")).Inc(2)
	registry.Counter("b_total", metric.NewLabel("kind", "a")).Inc(1)
	registry.Gauge("a").Update(7)
	registry.FloatGauge("c").Update(0.25)
	registry.Timer("d_seconds").Update(500 * time.Millisecond)
	var output bytes.Buffer
	is.NoErr(registry.WriteText(&output))
	is.Equal(output.String(), strings.Join([]string{
		"# TYPE almondway_a gauge",
		"almondway_a 7",
		"# TYPE almondway_b_total counter",
		`almondway_b_total{kind="a"} 1`,
		`almondway_b_total{kind="a\"b\\c\nd"} 2`,
		"# TYPE almondway_c gauge",
		"almondway_c 0.25",
		"# TYPE almondway_d_seconds summary",
		"almondway_d_seconds_sum 0.5",
		"almondway_d_seconds_count 1",
		`almondway_d_seconds{quantile="0.5"} 0.5`,
		`almondway_d_seconds{quantile="0.99"} 0.5`,
		`almondway_d_seconds{quantile="1"} 0.5`,
		"",
	}, "\n"))
	output.Reset()
	is.NoErr(registry.WriteJSON(&output))
	var decoded map[string]map[string]any
	is.NoErr(json.Unmarshal(output.Bytes(), &decoded))
	is.Equal(decoded["almondway_a"]["value"], 7.0)
}

type countingLog struct{ lines int }

func (countingLog *countingLog) Record(model.Decision) { countingLog.lines++ }

func TestDecisionLog(t *testing.T) {
	is := is.New(t)
	shared := state.New(model.NewProxyView("proxy-1", "", "", 0, false, 0))
	shared.SetGroups([]model.Group{model.NewGroup("g", []model.Instance{model.NewInstance("g-a", "", ""), model.NewInstance("g-b", "", "")})})
	shared.Group("g").ObservePrimary(model.NewTerm(1, 0), "g-a")
	registry, next := metric.NewRegistry(), &countingLog{}
	decisionLog := metric.NewDecisionLog(registry, next, shared)
	read := model.Decision{Name: "route_read", Seq: 1, Deployment: "gradski", Kind: "browse", Instance: "g-b"}
	decisionLog.Record(read)
	decisionLog.Record(read)
	decisionLog.Record(read)
	read.Instance = "g-a"
	decisionLog.Record(read)
	decisionLog.Record(model.Decision{Name: "refuse", Seq: 2, Deployment: "gradski", Kind: "any text", Code: codes.UnknownKind})
	decisionLog.Record(model.Decision{Name: "promoted", Group: "g", Instance: "g-b"})
	decisionLog.Record(model.Decision{Name: "promotion_done", Group: "g", Took: 2 * time.Second})
	read.Took, read.Waited = 30*time.Millisecond, 10*time.Millisecond
	decisionLog.Record(read)
	decisionLog.ObserveReadShares()
	is.Equal(next.lines, 8)
	var output bytes.Buffer
	is.NoErr(registry.WriteText(&output))
	for _, line := range []string{
		`almondway_requests_total{event="route_read",code="AW000",deployment="gradski",kind="browse",role="replica"} 3`,
		`almondway_requests_total{event="route_read",code="AW000",deployment="gradski",kind="browse",role="primary"} 2`,
		`almondway_requests_total{event="refuse",code="AW102",deployment="",kind="",role="none"} 1`,
		`almondway_decisions_total{event="promoted",code="AW000"} 1`,
		`almondway_replica_read_share{deployment="gradski"} 0.6`,
		`almondway_phase_seconds_bucket{event="promotion_done",le="1"} 0`,
		`almondway_phase_seconds_bucket{event="promotion_done",le="2.5"} 1`,
		`almondway_request_seconds_sum{role="primary",code="AW000",deployment="gradski",kind="browse"} 0.03`,
		`almondway_wait_seconds_sum{instance="g-a"} 0.01`,
		`almondway_instance_seconds_bucket{instance="g-a",le="0.025"} 1`,
	} {
		is.True(strings.Contains(output.String(), line+"\n"))
	}
}

func TestHistogram(t *testing.T) {
	is := is.New(t)
	registry := metric.NewRegistry()
	for _, took := range []time.Duration{time.Millisecond, 2 * time.Millisecond, time.Hour} {
		registry.Histogram("a_seconds", metric.NewLabel("kind", "x")).Update(took)
	}
	is.Equal(registry.Histogram("a_seconds", metric.NewLabel("kind", "x")).Count(), uint64(3))
	var output bytes.Buffer
	is.NoErr(registry.WriteText(&output))
	lines := strings.Split(output.String(), "\n")
	is.Equal(lines[0], "# TYPE almondway_a_seconds histogram")
	is.Equal(lines[1], `almondway_a_seconds_bucket{kind="x",le="0.001"} 1`)
	is.Equal(lines[2], `almondway_a_seconds_bucket{kind="x",le="0.0025"} 2`)
	is.Equal(lines[13], `almondway_a_seconds_bucket{kind="x",le="10"} 2`)
	is.Equal(lines[14:], []string{
		`almondway_a_seconds_bucket{kind="x",le="+Inf"} 3`,
		`almondway_a_seconds_sum{kind="x"} 3600.003`,
		`almondway_a_seconds_count{kind="x"} 3`,
		"",
	})
}

// Each histogram has many lines, so that the number of labeled histograms is limited and
// further durations share one histogram.
func TestHistogramsAreBounded(t *testing.T) {
	is := is.New(t)
	registry := metric.NewRegistry()
	decisionLog := metric.NewDecisionLog(registry, &countingLog{}, state.New(model.NewProxyView("proxy-1", "", "", 0, false, 0)))
	for index := range 2000 {
		decisionLog.Record(model.Decision{Name: "promotion_" + strconv.Itoa(index), Took: time.Second})
	}
	is.Equal(registry.Histogram("other_phase_seconds").Count(), uint64(1000))
}

func TestObserveLists(t *testing.T) {
	is := is.New(t)
	registry := metric.NewRegistry()
	for range 2 { // the second call must not count anything twice
		metric.ObserveLists(registry, []port.ListStatus{{Name: "instances", Answered: 3, Failed: 1, Unreadable: 2}})
	}
	var output bytes.Buffer
	is.NoErr(registry.WriteText(&output))
	is.Equal(output.String(), strings.Join([]string{
		"# TYPE almondway_list_calls_total counter",
		`almondway_list_calls_total{list="instances",outcome="answered"} 3`,
		`almondway_list_calls_total{list="instances",outcome="failed"} 1`,
		"# TYPE almondway_list_unreadable_entries gauge",
		`almondway_list_unreadable_entries{list="instances"} 2`,
		"",
	}, "\n"))
}

func TestObserveState(t *testing.T) {
	is := is.New(t)
	shared := state.New(model.NewProxyView("proxy-1", "", "", 0, false, 0))
	registry := metric.NewRegistry()
	shared.Counts().Add(count.FencedWrites)
	shared.Counts().AddFailoverGap(300 * time.Millisecond)
	metric.ObserveState(registry, shared, time.Second)
	metric.ObserveState(registry, shared, time.Second) // the second call must not count anything twice
	is.Equal(registry.Counter("fenced_writes_total").Count(), int64(1))
	is.Equal(registry.Timer("failover_gap_seconds").Count(), int64(1))
}

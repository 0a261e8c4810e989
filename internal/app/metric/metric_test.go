package metric_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/app/metric"
	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/count"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
)

func TestWriteText(t *testing.T) {
	is := is.New(t)
	registry := metric.NewRegistry()
	registry.Counter("b_total", metric.NewLabel("kind", "a\"b\\c\nd")).Inc(2)
	registry.Counter("b_total", metric.NewLabel("kind", "a")).Inc(1)
	registry.Gauge("a").Update(7)
	registry.Ratio("c").Update(0.25)
	registry.Seconds("d_seconds").Update(500 * time.Millisecond)
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

type discard struct{ lines int }

func (discard *discard) Decide(model.Decision) { discard.lines++ }

func TestJournal(t *testing.T) {
	is := is.New(t)
	shared := state.New(model.NewProxyView("proxy-1", "", "", 0, false, 0))
	shared.SetGroups([]model.Group{model.NewGroup("g", []model.Instance{model.NewInstance("g-a", "", ""), model.NewInstance("g-b", "", "")})})
	shared.Group("g").Lead(model.NewTerm(1, 0), "g-a")
	registry, next := metric.NewRegistry(), &discard{}
	journal := metric.NewJournal(registry, next, shared)
	read := model.Decision{Name: "route_read", Seq: 1, Deployment: "gradski", Kind: "browse", Instance: "g-b"}
	journal.Decide(read)
	journal.Decide(read)
	journal.Decide(read)
	read.Instance = "g-a"
	journal.Decide(read)
	journal.Decide(model.Decision{Name: "refuse", Seq: 2, Deployment: "gradski", Kind: "any text", Code: codes.UnknownKind})
	journal.Decide(model.Decision{Name: "promoted", Group: "g", Instance: "g-b"})
	journal.Observe()
	is.Equal(next.lines, 6)
	var output bytes.Buffer
	is.NoErr(registry.WriteText(&output))
	for _, line := range []string{
		`almondway_requests_total{event="route_read",code="AW000",deployment="gradski",kind="browse",role="replica"} 3`,
		`almondway_requests_total{event="route_read",code="AW000",deployment="gradski",kind="browse",role="primary"} 1`,
		`almondway_requests_total{event="refuse",code="AW102",deployment="",kind="",role="none"} 1`,
		`almondway_decisions_total{event="promoted",code="AW000"} 1`,
		`almondway_replica_read_share{deployment="gradski"} 0.75`,
	} {
		is.True(strings.Contains(output.String(), line+"\n"))
	}
}

func TestObserveState(t *testing.T) {
	is := is.New(t)
	shared := state.New(model.NewProxyView("proxy-1", "", "", 0, false, 0))
	registry := metric.NewRegistry()
	shared.Counts().Add(count.FencedWrites)
	shared.Counts().AddGap(300 * time.Millisecond)
	metric.ObserveState(registry, shared)
	metric.ObserveState(registry, shared) // a second look counts nothing twice
	is.Equal(registry.Counter("fenced_writes_total").Count(), int64(1))
	is.Equal(registry.Seconds("failover_gap_seconds").Count(), int64(1))
}

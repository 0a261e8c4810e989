package logs_test

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/app/logs"
	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
)

func TestRecord(t *testing.T) {
	tests := []struct {
		name     string
		level    string
		sample   int
		decision model.Decision
		want     map[string]any
	}{
		{
			name: "routing", level: "info", sample: 1,
			decision: model.Decision{Name: "route", Caller: 3, Seq: 7, RequestID: "r-1", Deployment: "gradski", Kind: "browse", Group: "katalog-1", Instance: "katalog-1-b", Reason: "nearest"},
			want:     map[string]any{"event": "route", "level": "info", "caller": 3.0, "seq": 7.0, "request_id": "r-1", "deployment": "gradski", "kind": "browse", "group": "katalog-1", "instance": "katalog-1-b", "reason": "nearest"},
		},
		{
			name: "placement", level: "info",
			decision: model.Decision{Name: "promote", Group: "katalog-1", Instance: "katalog-1-b", Term: 9, Reason: "refused"},
			want:     map[string]any{"event": "promote", "level": "info", "group": "katalog-1", "instance": "katalog-1-b", "term": 9.0, "reason": "refused"},
		},
		{name: "not in the sample", level: "info", sample: 10, decision: model.Decision{Name: "route", Seq: 7}},
		{
			name: "failure that is not in the sample", level: "info", sample: 10,
			decision: model.Decision{Name: "route", Seq: 7, RequestID: "r-7", Code: codes.Overloaded, Waited: 1500 * time.Microsecond, RetryAfter: 40 * time.Millisecond, Outcome: model.OutcomeNotRun},
			want:     map[string]any{"event": "route", "level": "info", "seq": 7.0, "request_id": "r-7", "waited_ms": 1.5, "retry_after_ms": 40.0, "outcome": "not_run", "code": "AW201 overloaded"},
		},
		{name: "sampling off", level: "info", decision: model.Decision{Name: "route", Seq: 10}},
		{
			name: "in the sample", level: "info", sample: 10,
			decision: model.Decision{Name: "route", Seq: 20},
			want:     map[string]any{"event": "route", "level": "info", "seq": 20.0},
		},
		{
			name: "unknown outcome regardless of sampling", level: "warn",
			decision: model.Decision{Name: "answer", Seq: 7, Code: codes.OutcomeUnknown},
			want:     map[string]any{"event": "answer", "level": "warning", "seq": 7.0, "code": "AW301 outcome_unknown"},
		},
		{
			name: "text that needs escaping", level: "info",
			decision: model.Decision{Name: "route", Session: "a\"b\\c\n\x00d\xffe\u2028"},
			want:     map[string]any{"event": "route", "level": "info", "session": "a\"b\\c\n\x00d\ufffde\u2028"},
		},
		{name: "below the level", level: "error", sample: 1, decision: model.Decision{Name: "promote"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var output bytes.Buffer
			log, err := logs.New(&output, test.level, test.sample)
			is.NoErr(err)
			log.Record(test.decision)
			log.Close()
			if test.want == nil {
				is.Equal(output.String(), "")
				return
			}
			is.Equal(strings.Count(output.String(), "\n"), 1)
			var line map[string]any
			is.NoErr(json.Unmarshal(output.Bytes(), &line))
			delete(line, "time")
			is.Equal(line, test.want)
		})
	}
}

// Lines beyond the limit of a second are counted, and the count is written with the next such line.
func TestLinesOfRequestsAreBounded(t *testing.T) {
	tests := []struct {
		name     string
		decision model.Decision
	}{
		{"failures", model.Decision{Name: "route", Seq: 1, Code: codes.Overloaded}},
		{"placement lines that name a request", model.Decision{Name: "conn_spoiled", RequestID: "r-1"}},
		{"placement lines that name a caller", model.Decision{Name: "refuse_caller", Caller: 1, Code: codes.UnknownDeployment}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var output bytes.Buffer
			log, err := logs.New(&output, "info", 1_000_000)
			is.NoErr(err)
			for range 1000 {
				log.Record(test.decision)
			}
			time.Sleep(1100 * time.Millisecond) // the limit applies to a second of the wall clock
			log.Record(test.decision)
			log.Close()
			is.True(strings.Count(output.String(), "\n") < 200)
			is.True(strings.Contains(output.String(), "lines_left_out"))
		})
	}
}

func TestLevelAndSampleChangeAtRunTime(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	log, err := logs.New(&output, "error", 0)
	is.NoErr(err)
	log.Record(model.Decision{Name: "route", Seq: 1})
	is.NoErr(log.SetLevel("info"))
	is.NoErr(log.SetSample(1))
	log.Record(model.Decision{Name: "route", Seq: 1})
	log.Close()
	is.Equal(strings.Count(output.String(), "\n"), 1)
	is.True(log.SetLevel("loud") != nil)
	is.True(log.SetSample(-1) != nil)
	is.Equal(log.Level(), "info")
	is.Equal(log.Sample(), 1)
}

// An output that blocks does not block the kernel. Once the output accepts lines again,
// placement lines do not wait behind many routing lines.
func TestFullQueue(t *testing.T) {
	is := is.New(t)
	reader, blocked := io.Pipe()
	log, err := logs.New(blocked, "info", 1)
	is.NoErr(err)
	const requests = 20000
	for seq := range model.RequestSeq(requests) {
		log.Record(model.Decision{Name: "route", Seq: seq + 1})
	}
	dropped := log.Dropped()
	is.True(dropped > 0 && dropped < requests)
	log.Record(model.Decision{Name: "promoted"})
	is.Equal(log.Dropped(), dropped)
	for range requests {
		log.Record(model.Decision{Name: "promoted"}) // does not block although nothing is read
	}
	is.True(log.Dropped() > dropped)
	read := make(chan []byte)
	go func() {
		content, _ := io.ReadAll(reader)
		read <- content
	}()
	log.Close()
	is.NoErr(blocked.Close())
	is.True(strings.Contains(string(<-read), "promoted"))
}

var routed = model.Decision{Name: "route", Caller: 3, Seq: 7, RequestID: "0197d9a0-0000-7000-8000-000000000001", Deployment: "gradski", Kind: "browse", Group: "katalog-1", Instance: "katalog-1-b", Reason: "replica"}

// BenchmarkRecord measures the cost of a written line in the kernel's loop.
func BenchmarkRecord(b *testing.B) {
	log, err := logs.New(io.Discard, "info", 1)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		log.Record(routed)
	}
	b.ReportMetric(float64(log.Dropped())/float64(b.N), "dropped/op")
	log.Close()
}

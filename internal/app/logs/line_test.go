package logs

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"almondway.dev/almondway/internal/core/model"
)

// countingWriter counts the bytes written to it.
type countingWriter struct{ bytes int }

func (countingWriter *countingWriter) Write(line []byte) (int, error) {
	countingWriter.bytes += len(line)
	return len(line), nil
}

// BenchmarkLine measures the writer's time and bytes per line.
func BenchmarkLine(b *testing.B) {
	var written countingWriter
	log, err := New(&written, "info", 1)
	if err != nil {
		b.Fatal(err)
	}
	queued := &queuedDecision{level: logrus.InfoLevel, at: time.Now(), decision: model.Decision{
		Name: "route_read", Caller: 3, Seq: 7, RequestID: "0197d9a0-0000-7000-8000-000000000001", Session: "desk-3",
		Deployment: "gradski", Kind: "browse", Group: "katalog-1", Instance: "katalog-1-b",
		Term: model.NewTerm(1, 7), Revision: 12, Reason: "replica",
	}}
	lines := 0
	b.ReportAllocs()
	for b.Loop() {
		log.emit(queued)
		lines++
	}
	b.ReportMetric(float64(written.bytes)/float64(lines), "bytes/line")
	log.Close()
}

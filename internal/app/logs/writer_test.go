package logs_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/app/logs"
	"almondway.dev/almondway/internal/core/model"
)

// failingOutput accepts no line.
type failingOutput struct{}

func (failingOutput) Write([]byte) (int, error) { return 0, errors.New("closed") }

// Guards against a process that waits for an output which is not read.
func TestOutputHoldsNothingUp(t *testing.T) {
	const lines = 5000
	tests := []struct {
		name   string
		output func() io.Writer
	}{
		{"not read", func() io.Writer {
			_, blocked := io.Pipe()
			return blocked
		}},
		{"closed", func() io.Writer { return failingOutput{} }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			log, err := logs.New(test.output(), "info", 1)
			is.NoErr(err)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				for range lines {
					log.Logger().Info("shutdown asked")
				}
				log.Record(model.Decision{Name: "drain_finished"})
				log.Close()
				log.Logger().Info("after the end")
				log.Record(model.Decision{Name: "after_the_end"})
				log.Guard("kernel", func(int) {}, func() { panic("failed") })
			}()
			select {
			case <-ended:
			case <-time.After(5 * time.Second):
				t.Fatal("the process waits for its output")
			}
			is.True(log.Dropped() > 0)
		})
	}
}

// Close writes all lines to an output that is read.
func TestCloseWritesQueuedLines(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	log, err := logs.New(&output, "info", 1)
	is.NoErr(err)
	for seq := range model.RequestSeq(100) {
		log.Record(model.Decision{Name: "route", Seq: seq + 1})
		log.Logger().Info("event")
	}
	log.Close()
	is.Equal(strings.Count(output.String(), `"event":"route"`), 100)
	is.Equal(strings.Count(output.String(), `"event":"event"`), 100)
	is.Equal(log.Dropped(), int64(0))
}

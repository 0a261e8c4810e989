// Package logs writes the log of a proxy as JSON lines: one for each routing or
// placement decision, and one for each event of the process.
package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

const (
	queueSize      = 8192 // lines
	eventQueueSize = 1024 // lines
	// closeTimeout is how long the end of the process may wait for the output.
	closeTimeout = 200 * time.Millisecond
)

// Log is the log of one process. Its level and its sampling may be changed at any time
// by any goroutine. A goroutine of its own writes the lines, so that nothing waits for an
// output that is slow or not read.
type Log struct {
	logger *logrus.Logger
	output io.Writer
	sample atomic.Int64
	// failures, requests and callers are used only by Record, which the kernel's loop calls.
	failures lineLimiter
	requests lineLimiter // placement lines that name a request
	callers  lineLimiter // placement lines that name a caller
	dropped  atomic.Int64

	eventQueue     chan []byte // formatted lines of events of the process
	placementQueue chan queuedDecision
	routingQueue   chan queuedDecision
	closing        chan struct{}
	closeOnce      sync.Once
	writerDone     chan struct{}
}

// New returns a Log that writes to output. level is the minimum level written. With
// sample n the routing lines of one in n requests are written; 0 turns sampling off.
func New(output io.Writer, level string, sample int) (*Log, error) {
	logger := logrus.New()
	logger.SetFormatter(newFormatter())
	log := &Log{
		logger:         logger,
		output:         output,
		eventQueue:     make(chan []byte, eventQueueSize),
		placementQueue: make(chan queuedDecision, queueSize),
		routingQueue:   make(chan queuedDecision, queueSize),
		closing:        make(chan struct{}),
		writerDone:     make(chan struct{}),
	}
	logger.SetOutput(eventWriter{log})
	if err := log.SetLevel(level); err != nil {
		return nil, err
	}
	if err := log.SetSample(sample); err != nil {
		return nil, err
	}
	go log.writeQueued()
	return log, nil
}

// Close writes the queued lines and returns when all are written, or after closeTimeout.
// Later lines are not written.
func (log *Log) Close() {
	log.closeOnce.Do(func() { close(log.closing) })
	log.awaitOutput(log.writerDone)
}

// awaitOutput waits until done is closed, but not longer than closeTimeout.
func (log *Log) awaitOutput(done <-chan struct{}) {
	select {
	case <-done:
	case <-time.After(closeTimeout):
	}
}

// Logger returns the logger for lines other than decisions.
func (log *Log) Logger() logrus.FieldLogger { return log.logger }

// Level returns the minimum level written.
func (log *Log) Level() string {
	level := log.logger.GetLevel()
	if level == logrus.WarnLevel {
		return "warn"
	}
	return level.String()
}

// SetLevel sets the minimum level written: error, warn, info or debug.
func (log *Log) SetLevel(text string) error {
	switch text {
	case "error", "warn", "info", "debug":
	default:
		return errors.Errorf("invalid log level %q: must be error, warn, info or debug", text)
	}
	level, err := logrus.ParseLevel(text)
	if err != nil {
		return errors.Wrapf(err, "parse log level %q", text)
	}
	log.logger.SetLevel(level)
	return nil
}

// Sample returns n if the routing lines of one in n requests are written, or 0 if
// sampling is off.
func (log *Log) Sample() int { return int(log.sample.Load()) }

// SetSample sets the sampling of routing lines as New does. A negative sample is an error.
func (log *Log) SetSample(sample int) error {
	if sample < 0 {
		return errors.Errorf("invalid log sample %d: must not be negative", sample)
	}
	log.sample.Store(int64(sample))
	return nil
}

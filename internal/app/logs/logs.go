// Package logs writes the log of a proxy as JSON lines, one for each routing
// and placement decision and for what happens to the process.
package logs

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

const queueSize = 8192

// Log is the log of one process. Its level and its sampling may be changed at
// any time and from any goroutine.
type Log struct {
	logger *logrus.Logger
	sample atomic.Int64
	// failures is used by Decide alone, which the kernel's loop calls.
	failures failureLimiter
	dropped  atomic.Int64

	placementQueue chan record
	routingQueue   chan record
	writerDone     chan struct{}
	closeOnce      sync.Once
}

// New returns a Log that writes to output. level is the least level written;
// sample is n where the routing lines of one in n requests are written, or 0 for none.
func New(output io.Writer, level string, sample int) (*Log, error) {
	logger := logrus.New()
	logger.SetOutput(output)
	logger.SetFormatter(newFormatter())
	log := &Log{
		logger:         logger,
		placementQueue: make(chan record, queueSize),
		routingQueue:   make(chan record, queueSize),
		writerDone:     make(chan struct{}),
	}
	if err := log.SetLevel(level); err != nil {
		return nil, err
	}
	if err := log.SetSample(sample); err != nil {
		return nil, err
	}
	go log.writeQueued()
	return log, nil
}

// Close waits until the lines in the queues are written. Decide must not be called after it.
func (log *Log) Close() {
	log.closeOnce.Do(func() {
		close(log.placementQueue)
		close(log.routingQueue)
	})
	<-log.writerDone
}

// Logger returns the logger for lines that are no decisions.
func (log *Log) Logger() logrus.FieldLogger { return log.logger }

// Level returns the least level that is written.
func (log *Log) Level() string {
	level := log.logger.GetLevel()
	if level == logrus.WarnLevel {
		return "warn"
	}
	return level.String()
}

// SetLevel changes the least level that is written: error, warn, info or debug.
func (log *Log) SetLevel(text string) error {
	switch text {
	case "error", "warn", "info", "debug":
	default:
		return errors.Errorf("log level %q is none of error, warn, info and debug", text)
	}
	level, err := logrus.ParseLevel(text)
	if err != nil {
		return errors.Wrapf(err, "parse log level %q", text)
	}
	log.logger.SetLevel(level)
	return nil
}

// Sample returns n where the routing lines of one in n requests are written, or 0 for none.
func (log *Log) Sample() int { return int(log.sample.Load()) }

// SetSample changes the sampling of routing lines.
func (log *Log) SetSample(sample int) error {
	if sample < 0 {
		return errors.Errorf("log sample %d is negative", sample)
	}
	log.sample.Store(int64(sample))
	return nil
}

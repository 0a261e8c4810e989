package logs

import (
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
)

// minAlwaysLoggedCode is the lowest code whose routing lines are written
// whatever the sampling is, since each needs attention.
const minAlwaysLoggedCode = codes.OutcomeUnknown

// maxFailureLinesPerSecond bounds the lines of failed requests that are not in the sample.
const maxFailureLinesPerSecond = 50

// failureLimiter counts the lines of failed requests in one second.
type failureLimiter struct {
	second  int64
	written int
	leftOut int
}

// allow reports whether one more line fits, and how many were left out in the
// second that has ended with it.
func (window *failureLimiter) allow(now time.Time) (bool, int) {
	leftOut := 0
	if second := now.Unix(); second != window.second {
		leftOut = window.leftOut
		window.second, window.written, window.leftOut = second, 0, 0
	}
	if window.written >= maxFailureLinesPerSecond {
		window.leftOut++
		return false, leftOut
	}
	window.written++
	return true, leftOut
}

// record is a decision on its way to the writer.
type record struct {
	decision model.Decision
	level    logrus.Level
	at       time.Time
}

// Decide implements port.Journal. A routing line is written if its request is
// in the sample or failed, up to a number of failures a second, or if its outcome
// needs attention; a placement line always is. The
// line is written by another goroutine. Each sort has a queue, so that routing
// lines cannot crowd placement lines out; while its queue is full, because the
// output does not take lines as fast as they come, a line is dropped and counted.
func (log *Log) Decide(decision model.Decision) {
	level := levelOf(decision)
	if !log.logger.IsLevelEnabled(level) || !log.shouldWrite(decision) {
		return
	}
	queue := log.placementQueue
	if decision.IsRouting() {
		queue = log.routingQueue
	}
	select {
	case queue <- record{decision: decision, level: level, at: time.Now()}:
	default:
		log.dropped.Add(1)
	}
}

// Dropped returns how many lines were dropped.
func (log *Log) Dropped() int64 { return log.dropped.Load() }

// writeQueued writes lines until both queues are closed and empty.
func (log *Log) writeQueued() {
	defer close(log.writerDone)
	placements, routings := log.placementQueue, log.routingQueue
	for placements != nil || routings != nil {
		select {
		case queued, ok := <-placements:
			if !ok {
				placements = nil
				continue
			}
			log.emit(&queued)
		case queued, ok := <-routings:
			if !ok {
				routings = nil
				continue
			}
			log.emit(&queued)
		}
	}
}

func (log *Log) emit(queued *record) {
	entry := logrus.NewEntry(log.logger)
	entry.Data[decisionField] = &queued.decision
	entry.Time = queued.at
	entry.Log(queued.level, queued.decision.Name)
}

// shouldWrite selects all lines of a request or none.
func (log *Log) shouldWrite(decision model.Decision) bool {
	if !decision.IsRouting() || decision.Code >= minAlwaysLoggedCode {
		return true
	}
	sample := log.sample.Load()
	if sample > 0 && uint64(decision.Seq)%uint64(sample) == 0 {
		return true
	}
	return decision.Code != codes.OK && sample > 0 && log.allowFailureLine()
}

// allowFailureLine admits the line of a failed request and tells how many were left out.
func (log *Log) allowFailureLine() bool {
	admitted, leftOut := log.failures.allow(time.Now())
	if leftOut > 0 {
		left := model.Decision{Name: "lines_left_out", Reason: strconv.Itoa(leftOut) + " failed requests in one second"}
		select {
		case log.placementQueue <- record{decision: left, level: logrus.WarnLevel, at: time.Now()}:
		default:
			log.dropped.Add(1)
		}
	}
	return admitted
}

func levelOf(decision model.Decision) logrus.Level {
	switch {
	case decision.Code >= codes.Internal:
		return logrus.ErrorLevel
	case decision.Code >= minAlwaysLoggedCode:
		return logrus.WarnLevel
	default:
		return logrus.InfoLevel
	}
}

package logs

import (
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
)

// firstAlwaysWritten is the lowest code whose routing lines are written
// whatever the sampling is, since each needs attention.
const firstAlwaysWritten = codes.OutcomeUnknown

// failuresPerSecond bounds the lines of failed requests that are not in the sample.
const failuresPerSecond = 50

// window counts the lines of failed requests in one second.
type window struct {
	second  int64
	written int
	leftOut int
}

// admit reports whether one more line fits, and how many were left out in the
// second that has ended with it.
func (window *window) admit(now time.Time) (bool, int) {
	leftOut := 0
	if second := now.Unix(); second != window.second {
		leftOut = window.leftOut
		window.second, window.written, window.leftOut = second, 0, 0
	}
	if window.written >= failuresPerSecond {
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
	if !log.logger.IsLevelEnabled(level) || !log.sampled(decision) {
		return
	}
	queue := log.placements
	if decision.IsRouting() {
		queue = log.routings
	}
	select {
	case queue <- record{decision: decision, level: level, at: time.Now()}:
	default:
		log.dropped.Add(1)
	}
}

// Dropped returns how many lines were dropped.
func (log *Log) Dropped() int64 { return log.dropped.Load() }

// write writes lines until both queues are closed and empty.
func (log *Log) write() {
	defer close(log.written)
	placements, routings := log.placements, log.routings
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

// sampled selects all lines of a request or none.
func (log *Log) sampled(decision model.Decision) bool {
	if !decision.IsRouting() || decision.Code >= firstAlwaysWritten {
		return true
	}
	sample := log.sample.Load()
	if sample > 0 && uint64(decision.Seq)%uint64(sample) == 0 {
		return true
	}
	return decision.Code != codes.OK && sample > 0 && log.failed()
}

// failed admits the line of a failed request and tells how many were left out.
func (log *Log) failed() bool {
	admitted, leftOut := log.failures.admit(time.Now())
	if leftOut > 0 {
		left := model.Decision{Name: "lines_left_out", Reason: strconv.Itoa(leftOut) + " failed requests in one second"}
		select {
		case log.placements <- record{decision: left, level: logrus.WarnLevel, at: time.Now()}:
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
	case decision.Code >= firstAlwaysWritten:
		return logrus.WarnLevel
	default:
		return logrus.InfoLevel
	}
}

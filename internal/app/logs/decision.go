package logs

import (
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
)

// minAlwaysLoggedCode is the lowest code whose routing lines are written regardless of
// the sampling, since each of them needs attention.
const minAlwaysLoggedCode = codes.OutcomeUnknown

// maxLinesPerSecond limits the lines of failed requests outside the sample, the placement lines
// that name a request, and those that name a caller.
const maxLinesPerSecond = 50

// lineLimiter limits the lines in each second of the wall clock.
type lineLimiter struct {
	second  int64
	written int
	leftOut int
}

// allow reports whether a line may be written. With the first line of a new second it
// also returns how many lines were left out in the last second with such lines; otherwise
// that number is 0.
func (lineLimiter *lineLimiter) allow(now time.Time) (bool, int) {
	leftOut := 0
	if second := now.Unix(); second != lineLimiter.second {
		leftOut = lineLimiter.leftOut
		lineLimiter.second, lineLimiter.written, lineLimiter.leftOut = second, 0, 0
	}
	if lineLimiter.written >= maxLinesPerSecond {
		lineLimiter.leftOut++
		return false, leftOut
	}
	lineLimiter.written++
	return true, leftOut
}

// queuedDecision is a decision that waits for the writer.
type queuedDecision struct {
	decision model.Decision
	level    logrus.Level
	at       time.Time
}

// Record implements port.DecisionLog. Lines below the minimum level are not written. Other
// placement lines are always written, but those that name a request or a caller are limited to a
// number per second. A routing line is written if its request is in the sample, if its outcome needs
// attention, or if its request failed; failures outside the sample are limited to a number of
// lines per second and are not written while sampling is off.
//
// Placement lines and routing lines have separate queues, so that routing lines cannot
// displace placement lines. While a queue is full because the output is slower than the
// decisions, its lines are dropped and counted.
func (log *Log) Record(decision model.Decision) {
	level := levelOf(decision)
	if !log.logger.IsLevelEnabled(level) || !log.shouldWrite(decision) {
		return
	}
	queue := log.placementQueue
	if decision.IsRouting() {
		queue = log.routingQueue
	}
	select {
	case queue <- queuedDecision{decision: decision, level: level, at: time.Now()}:
	default:
		log.dropped.Add(1)
	}
}

// Dropped returns the number of lines dropped because a queue was full or the output failed.
func (log *Log) Dropped() int64 { return log.dropped.Load() }

// shouldWrite reports whether the decision is written. The sample holds either all lines
// of a request or none.
func (log *Log) shouldWrite(decision model.Decision) bool {
	switch {
	case decision.Code >= minAlwaysLoggedCode:
		return true
	case !decision.IsRouting() && decision.RequestID != "":
		return log.allowLine(&log.requests, "lines that name a request")
	case !decision.IsRouting() && decision.Caller != 0:
		return log.allowLine(&log.callers, "lines that name a caller")
	case !decision.IsRouting():
		return true
	}
	sample := log.sample.Load()
	if sample > 0 && uint64(decision.Seq)%uint64(sample) == 0 {
		return true
	}
	return decision.Code != codes.OK && sample > 0 && log.allowLine(&log.failures, "failed requests")
}

// allowLine reports whether the limiter allows a line. It also queues a line with the number of
// lines left out before, if there are any.
func (log *Log) allowLine(limiter *lineLimiter, lines string) bool {
	allowed, leftOut := limiter.allow(time.Now())
	if leftOut > 0 {
		summary := model.Decision{Name: "lines_left_out", Reason: strconv.Itoa(leftOut) + " " + lines + " in one second"}
		select {
		case log.placementQueue <- queuedDecision{decision: summary, level: logrus.WarnLevel, at: time.Now()}:
		default:
			log.dropped.Add(1)
		}
	}
	return allowed
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

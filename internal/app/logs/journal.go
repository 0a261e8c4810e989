package logs

import (
	"time"

	"github.com/sirupsen/logrus"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
)

// firstAlwaysWritten is the lowest code whose routing lines are written
// whatever the sampling is, since each needs attention.
const firstAlwaysWritten = codes.OutcomeUnknown

// record is a decision on its way to the writer.
type record struct {
	decision model.Decision
	level    logrus.Level
	at       time.Time
}

// Decide implements port.Journal. A routing line is written if its request is
// in the sample or its outcome needs attention; a placement line always is. The
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
	return sample > 0 && uint64(decision.Seq)%uint64(sample) == 0
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

package logs

import (
	"bytes"

	"github.com/sirupsen/logrus"
)

// eventWriter queues the lines that logrus has formatted. It never blocks or fails.
type eventWriter struct{ log *Log }

// Write implements io.Writer.
func (eventWriter eventWriter) Write(line []byte) (int, error) {
	select {
	case eventWriter.log.eventQueue <- bytes.Clone(line):
	default:
		eventWriter.log.dropped.Add(1)
	}
	return len(line), nil
}

// writeQueued writes the queued lines until Close, and then those that are left.
func (log *Log) writeQueued() {
	defer close(log.writerDone)
	for {
		select {
		case line := <-log.eventQueue:
			log.write(line)
		case queued := <-log.placementQueue:
			log.emit(&queued)
		case queued := <-log.routingQueue:
			log.emit(&queued)
		case <-log.closing:
			log.writeRest()
			return
		}
	}
}

// writeRest writes the lines in the queues, the routing lines last.
func (log *Log) writeRest() {
	for len(log.eventQueue) > 0 {
		log.write(<-log.eventQueue)
	}
	for len(log.placementQueue) > 0 {
		queued := <-log.placementQueue
		log.emit(&queued)
	}
	for len(log.routingQueue) > 0 {
		queued := <-log.routingQueue
		log.emit(&queued)
	}
}

func (log *Log) emit(queued *queuedDecision) {
	log.writeEntry(&logrus.Entry{
		Logger:  log.logger,
		Data:    logrus.Fields{decisionField: &queued.decision},
		Time:    queued.at,
		Level:   queued.level,
		Message: queued.decision.Name,
	})
}

func (log *Log) writeEntry(entry *logrus.Entry) {
	line, err := log.logger.Formatter.Format(entry)
	if err != nil {
		log.dropped.Add(1)
		return
	}
	log.write(line)
}

// write writes a line. One that the output does not accept counts as dropped.
func (log *Log) write(line []byte) {
	if _, err := log.output.Write(line); err != nil {
		log.dropped.Add(1)
	}
}

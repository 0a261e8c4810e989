package logs

import (
	"github.com/sirupsen/logrus"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
)

const maxFields = 14

// firstAlwaysWritten is the lowest code whose routing lines are written
// whatever the sampling is, since each needs attention.
const firstAlwaysWritten = codes.OutcomeUnknown

// Decide implements port.Journal. A routing line is written if its request is
// in the sample or its outcome needs attention; a placement line always is.
func (log *Log) Decide(decision model.Decision) {
	level := levelOf(decision)
	if !log.logger.IsLevelEnabled(level) || !log.sampled(decision) {
		return
	}
	log.logger.WithFields(fieldsOf(decision)).Log(level, decision.Name)
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

// fieldsOf returns the fields that are not empty.
func fieldsOf(decision model.Decision) logrus.Fields {
	fields := make(logrus.Fields, maxFields)
	addNumber(fields, "caller", uint64(decision.Caller))
	addNumber(fields, "seq", uint64(decision.Seq))
	addText(fields, "request_id", decision.RequestID)
	addText(fields, "deployment", decision.Deployment)
	addText(fields, "kind", decision.Kind)
	addText(fields, "group", string(decision.Group))
	addText(fields, "instance", string(decision.Instance))
	addText(fields, "proxy", string(decision.Proxy))
	addNumber(fields, "term", uint64(decision.Term))
	addNumber(fields, "revision", decision.Revision)
	addText(fields, "reason", decision.Reason)
	if decision.Code != codes.OK {
		fields["code"] = decision.Code.String()
	}
	return fields
}

func addText(fields logrus.Fields, name, text string) {
	if text != "" {
		fields[name] = text
	}
}

func addNumber(fields logrus.Fields, name string, number uint64) {
	if number != 0 {
		fields[name] = number
	}
}

package logs

import (
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/sirupsen/logrus"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
)

const (
	timeFormat = "2006-01-02T15:04:05.000000Z07:00"
	// decisionField is the key of the *model.Decision in an entry of logrus. The fields of
	// the decision become the fields of the line.
	decisionField    = "decision"
	typicalLineBytes = 512
	hexDigits        = "0123456789abcdef"
)

// formatter implements logrus.Formatter. It formats decisions without reflection and
// other lines with the JSON formatter of logrus.
type formatter struct {
	fallback logrus.JSONFormatter
}

func newFormatter() *formatter {
	return &formatter{fallback: logrus.JSONFormatter{
		TimestampFormat:   timeFormat,
		DisableHTMLEscape: true,
		FieldMap:          logrus.FieldMap{logrus.FieldKeyMsg: "event"},
	}}
}

// Format implements logrus.Formatter.
func (formatter *formatter) Format(entry *logrus.Entry) ([]byte, error) {
	decision, ok := entry.Data[decisionField].(*model.Decision)
	if !ok {
		return formatter.fallback.Format(entry)
	}
	line := make([]byte, 0, typicalLineBytes)
	line = append(line, `{"time":"`...)
	line = entry.Time.AppendFormat(line, timeFormat)
	line = append(line, `","level":"`...)
	line = append(line, entry.Level.String()...)
	line = append(line, '"')
	line = appendText(line, "event", decision.Name)
	return append(appendDecision(line, decision), "}\n"...), nil
}

// appendDecision appends the fields of the decision that are not empty.
func appendDecision(line []byte, decision *model.Decision) []byte {
	line = appendNumber(line, "caller", uint64(decision.Caller))
	line = appendNumber(line, "seq", uint64(decision.Seq))
	line = appendText(line, "request_id", decision.RequestID)
	line = appendText(line, "session", decision.Session)
	line = appendText(line, "deployment", decision.Deployment)
	line = appendText(line, "team", string(decision.Team))
	line = appendText(line, "kind", decision.Kind)
	line = appendText(line, "group", string(decision.Group))
	line = appendText(line, "instance", string(decision.Instance))
	line = appendText(line, "proxy", string(decision.Proxy))
	line = appendText(line, "list", string(decision.List))
	line = appendNumber(line, "term", uint64(decision.Term))
	line = appendNumber(line, "revision", decision.Revision)
	if !decision.After.IsZero() {
		line = appendText(line, "after", decision.After.String())
		line = appendDuration(line, "after_age_ms", decision.Age)
	}
	line = appendDuration(line, "waited_ms", decision.Waited)
	line = appendDuration(line, "took_ms", decision.Took)
	line = appendDuration(line, "retry_after_ms", decision.RetryAfter)
	if decision.Outcome != model.OutcomeDone {
		line = appendText(line, "outcome", decision.Outcome.String())
	}
	line = appendText(line, "reason", decision.Reason)
	if decision.Code != codes.OK {
		line = appendText(line, "code", decision.Code.String())
	}
	return line
}

func appendNumber(line []byte, name string, number uint64) []byte {
	if number == 0 {
		return line
	}
	line = appendName(line, name)
	return strconv.AppendUint(line, number, 10)
}

// appendDuration appends the duration in milliseconds with one decimal.
func appendDuration(line []byte, name string, duration time.Duration) []byte {
	if duration == 0 {
		return line
	}
	line = appendName(line, name)
	return strconv.AppendFloat(line, float64(duration)/float64(time.Millisecond), 'f', 1, 64)
}

func appendText(line []byte, name, text string) []byte {
	if text == "" {
		return line
	}
	line = appendName(line, name)
	return appendQuoted(line, text)
}

func appendName(line []byte, name string) []byte {
	line = append(line, ',', '"')
	line = append(line, name...)
	return append(line, '"', ':')
}

// appendQuoted appends text as a JSON string. Invalid UTF-8 bytes become U+FFFD.
func appendQuoted(line []byte, text string) []byte {
	line = append(line, '"')
	for _, char := range text {
		switch {
		case char == '"' || char == '\\':
			line = append(line, '\\', byte(char))
		case char < ' ':
			line = append(line, '\\', 'u', '0', '0', hexDigits[char>>4], hexDigits[char&0xf])
		default:
			line = utf8.AppendRune(line, char)
		}
	}
	return append(line, '"')
}

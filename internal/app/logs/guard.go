package logs

import (
	"fmt"
	"runtime/debug"

	"github.com/sirupsen/logrus"
)

// panicExitCode is the exit code of a process that failed, as the runtime ends it.
const panicExitCode = 2

// Guard runs a part of the process without which it cannot go on. If it panics, the
// reason and the stack are the last line of the log, where those who look for them see
// the end of the log alone, and end is called with the exit code.
func (log *Log) Guard(part string, end func(code int), run func()) {
	defer func() {
		reason := recover()
		if reason == nil {
			return
		}
		log.logger.WithFields(logrus.Fields{
			"part": part, "reason": fmt.Sprint(reason), "stack": string(debug.Stack()),
		}).Error("process failed")
		end(panicExitCode)
	}()
	run()
}

package logs

import (
	"fmt"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"
)

// panicExitCode is the exit code with which the Go runtime ends a process that panicked.
const panicExitCode = 2

// Guard calls run, a part of the process that the process cannot continue without. If
// run panics, Guard writes the reason and the stack as the last line of the log, since
// operators may see only the end of the log, and calls exit with the exit code.
func (log *Log) Guard(part string, exit func(code int), run func()) {
	defer func() {
		reason := recover()
		if reason == nil {
			return
		}
		log.writeLast(logrus.Fields{"part": part, "reason": fmt.Sprint(reason), "stack": string(debug.Stack())})
		exit(panicExitCode)
	}()
	run()
}

// writeLast writes the queued lines and then the line of a process that fails. Both together wait
// no longer for the output than twice closeTimeout.
func (log *Log) writeLast(fields logrus.Fields) {
	log.Close()
	written := make(chan struct{})
	go func() {
		defer close(written)
		<-log.writerDone
		log.writeEntry(&logrus.Entry{Logger: log.logger, Data: fields, Time: time.Now(), Level: logrus.ErrorLevel, Message: "process failed"})
	}()
	log.awaitOutput(written)
}

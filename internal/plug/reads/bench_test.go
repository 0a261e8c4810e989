package reads

import (
	"testing"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/tune"
	"almondway.dev/almondway/internal/stand/script"
)

// BenchmarkStatement measures the kernel's work for one read with a staleness bound: from
// the request to the execution and from the answer to the reply.
func BenchmarkStatement(b *testing.B) {
	testScript := script.New(deployment(model.LagWait), tune.Default())
	testScript.OpenCaller(student, "student")
	testScript.Advance(2 * time.Second) // opens the warm connections
	kernel := testScript.Kernel()
	request := model.NewRequest(model.RequestSpec{Seq: 1, Caller: student, Kind: "browse", Statement: script.TextPayload("statement")})
	var received event.Event = event.NewRequestReceived(request)
	now := testScript.Now()
	b.ReportAllocs()
	for b.Loop() {
		var execute event.Execute
		for _, action := range kernel.Handle(now, received) {
			if found, ok := action.(event.Execute); ok {
				execute = found
			}
		}
		replied := false
		for _, action := range kernel.Handle(now, event.NewExecuteDone(execute.Exec(), execute.Conn(), script.Mark(1, 1), answer)) {
			if _, ok := action.(event.AnswerCaller); ok {
				replied = true
			}
		}
		if !replied {
			b.Fatal("no reply")
		}
	}
}

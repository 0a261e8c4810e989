package writes

import (
	"testing"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/stand/script"
)

// A driver describes a statement before it executes it, both under the kind and
// the request id of the statement. The description must touch no ledger row.
func TestDescribeOfWriteExecutesNothing(t *testing.T) {
	is := is.New(t)
	started := start()
	const requestID = "0193a3c0-0000-7000-8000-000000000001"
	started.Send(model.RequestSpec{Caller: registrar, Op: model.OpDescribe, Kind: "enrol", RequestID: requestID, Session: "desk-3"})
	execution := started.Execution()
	is.True(!execution.Work.Write())
	is.Equal(execution.Work.Step(), model.StepDescribe)
	is.Equal(execution.Work.LedgerID(), "")
	started.Done(execution, script.Mark(1, 1), nil)
	reply := started.Reply()
	is.True(reply != nil)
	is.Equal(reply.Code(), codes.OK)
	var decisions []model.Decision
	for _, action := range started.Actions() {
		if logged, ok := action.(event.LogDecision); ok {
			decisions = append(decisions, logged.Decision())
		}
	}
	is.Equal(len(decisions), 1)
	is.Equal(decisions[0].Name, "route_describe") // counts neither as a read nor as a write
	is.Equal(decisions[0].Session, "desk-3")
}

package writes

import (
	"testing"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/stand/script"
)

// Database drivers describe a statement before they execute it, under the same kind and
// request id. A describe request that used the ledger would make the execution look like a
// replay.
func TestDescribeOfWriteExecutesNothing(t *testing.T) {
	is := is.New(t)
	testScript := newScript()
	const requestID = "0193a3c0-0000-7000-8000-000000000001"
	testScript.Send(model.RequestSpec{Caller: registrar, Op: model.OpDescribe, Kind: "enrol", RequestID: requestID, Session: "desk-3"})
	execution := testScript.Execution()
	is.True(!execution.Work.Write())
	is.Equal(execution.Work.Step(), model.StepDescribe)
	is.Equal(execution.Work.LedgerID(), "")
	testScript.CompleteExecution(execution, script.Mark(1, 1), nil)
	reply := testScript.Reply()
	is.True(reply != nil)
	is.Equal(reply.Code(), codes.OK)
	var decisions []model.Decision
	for _, action := range testScript.Actions() {
		if logged, ok := action.(event.LogDecision); ok {
			decisions = append(decisions, logged.Decision())
		}
	}
	is.Equal(len(decisions), 1)
	is.Equal(decisions[0].Name, "route_describe") // counted neither as a read nor as a write
	is.Equal(decisions[0].Session, "desk-3")
}

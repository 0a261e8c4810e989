package script

import (
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// TextPayload is a Payload of plain text.
type TextPayload string

// Size implements model.Payload.
func (text TextPayload) Size() int { return len(text) }

// OpenCaller lets a caller of the given class connect.
func (script *Script) OpenCaller(caller model.CallerID, class string) {
	script.Handle(event.NewCallerOpened(caller, Deployment, class))
}

// Send sends a request, whose number and statement are filled in.
func (script *Script) Send(spec model.RequestSpec) model.RequestSeq {
	script.lastSeq++
	spec.Seq = script.lastSeq
	if spec.Op == model.OpStatement {
		spec.Statement = TextPayload("statement")
	}
	script.Handle(event.NewRequestReceived(model.NewRequest(spec)))
	return spec.Seq
}

// Replies returns the replies since the last call.
func (script *Script) Replies() []*model.Reply {
	replies := script.replies
	script.replies = nil
	return replies
}

// Reply returns the only reply since the last call, or nil.
func (script *Script) Reply() *model.Reply {
	replies := script.Replies()
	if len(replies) != 1 {
		return nil
	}
	return replies[0]
}

// Execution is a Work that an instance was asked to execute.
type Execution struct {
	Instance model.InstanceID
	Exec     model.ExecID
	Conn     model.ConnID
	Work     *model.Work
}

// Executions returns what the instances were asked to execute since the last call.
func (script *Script) Executions() []Execution {
	var executions []Execution
	for _, execute := range script.executes {
		executions = append(executions, Execution{
			Instance: script.conns[execute.Conn()],
			Exec:     execute.Exec(),
			Conn:     execute.Conn(),
			Work:     execute.Work(),
		})
	}
	script.executes = nil
	return executions
}

// Execution returns the only execution since the last call, or the zero Execution.
func (script *Script) Execution() Execution {
	executions := script.Executions()
	if len(executions) != 1 {
		return Execution{}
	}
	return executions[0]
}

// CompleteExecution answers an execution.
func (script *Script) CompleteExecution(execution Execution, mark model.Mark, answer model.Payload) {
	script.Handle(event.NewExecuteDone(execution.Exec, execution.Conn, mark, answer))
}

// FailExecution answers an execution with a failure, after which the connection is
// usable unless the answer was lost.
func (script *Script) FailExecution(execution Execution, class model.FailureClass, mark model.Mark) {
	usable := class != model.FailureLost
	script.Handle(event.NewExecuteFailed(execution.Exec, execution.Conn, class, usable, mark, nil))
}

// Actions returns the actions since the last call that the script does not
// answer, such as closings, cancellations and log lines.
func (script *Script) Actions() []event.Action {
	actions := script.otherActions
	script.otherActions = nil
	return actions
}

// Resets returns the connections that were reset since the last call.
func (script *Script) Resets() []model.ConnID {
	resets := script.resets
	script.resets = nil
	return resets
}

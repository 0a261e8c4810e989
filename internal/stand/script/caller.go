package script

import (
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// TextPayload is a plain-text Payload.
type TextPayload string

// Size implements model.Payload.
func (text TextPayload) Size() int { return len(text) }

// OpenCaller connects a caller of the given class.
func (script *Script) OpenCaller(caller model.CallerID, class string) {
	script.Handle(event.NewCallerOpened(caller, Deployment, class))
}

// Send sends a request with the next sequence number, which it returns. A
// statement request gets a placeholder statement.
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

// Reply returns the reply since the last call, or nil if there is not exactly one.
func (script *Script) Reply() *model.Reply {
	replies := script.Replies()
	if len(replies) != 1 {
		return nil
	}
	return replies[0]
}

// Execution is a Work that the kernel sent to an instance.
type Execution struct {
	Instance model.InstanceID
	Exec     model.ExecID
	Conn     model.ConnID
	Work     *model.Work
}

// Executions returns the executions that the kernel requested since the last call.
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

// Execution returns the execution since the last call, or the zero Execution if
// there is not exactly one.
func (script *Script) Execution() Execution {
	executions := script.Executions()
	if len(executions) != 1 {
		return Execution{}
	}
	return executions[0]
}

// CompleteExecution reports the success of an execution.
func (script *Script) CompleteExecution(execution Execution, mark model.Mark, answer model.Payload) {
	script.Handle(event.NewExecuteDone(execution.Exec, execution.Conn, mark, answer))
}

// FailExecution reports the failure of an execution. The connection remains
// usable unless the class is FailureLost.
func (script *Script) FailExecution(execution Execution, class model.FailureClass, mark model.Mark) {
	usable := class != model.FailureLost
	script.Handle(event.NewExecuteFailed(execution.Exec, execution.Conn, class, usable, mark, nil))
}

// Actions returns the actions since the last call that the Script does not
// handle, such as closed connections, cancellations and log lines.
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

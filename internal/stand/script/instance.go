package script

import (
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// Instance is the simulated state of an instance. If Silent is set it does not
// answer probes; if RefusesConns is set it rejects new connections.
type Instance struct {
	Fence        model.Term
	Primary      bool
	Tail         model.Mark
	Upstream     model.InstanceID
	Leaving      bool
	Silent       bool
	RefusesConns bool
}

func (instance *Instance) status() model.Status {
	role := model.RoleReplica
	upstream := instance.Upstream
	if instance.Primary {
		role = model.RolePrimary
		upstream = ""
	}
	return model.NewStatus(instance.Fence, role, instance.Tail, upstream, 0, instance.Leaving)
}

// collect stores the actions of the kernel by type.
func (script *Script) collect(actions []event.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case event.Probe:
			script.probes = append(script.probes, action)
		case event.Execute:
			script.executes = append(script.executes, action)
		case event.AnswerCaller:
			script.replies = append(script.replies, action.Reply())
		default:
			script.otherActions = append(script.otherActions, action)
		}
	}
}

// answerPending answers probes and requests to open or reset connections, on
// behalf of the instances, until none is left that they answer.
func (script *Script) answerPending() {
	for {
		answer := script.nextAnswer()
		if answer == nil {
			return
		}
		script.collect(script.kernel.Handle(script.now, answer))
	}
}

func (script *Script) nextAnswer() event.Event {
	for index, probe := range script.probes {
		instance := script.instances[probe.Instance()]
		if !instance.Silent {
			script.probes = append(script.probes[:index:index], script.probes[index+1:]...)
			return event.NewStatusReported(probe.Probe(), probe.Instance(), instance.status())
		}
	}
	for index, action := range script.otherActions {
		if answer := script.answerAction(action); answer != nil {
			script.otherActions = append(script.otherActions[:index:index], script.otherActions[index+1:]...)
			return answer
		}
	}
	return nil
}

func (script *Script) answerAction(action event.Action) event.Event {
	switch action := action.(type) {
	case event.OpenConn:
		script.conns[action.Conn()] = action.Instance()
		if script.instances[action.Instance()].RefusesConns {
			return event.NewConnFailed(action.Conn(), model.ConnFailureRefused)
		}
		return event.NewConnOpened(action.Conn())
	case event.ResetConn:
		script.resets = append(script.resets, action.Conn())
		return event.NewResetDone(action.Conn(), true)
	default:
		return nil
	}
}

// Package daemon runs a kernel's event loop on a real clock and dispatches its actions to
// the adapters.
package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/port"
	"almondway.dev/almondway/internal/core/state"
)

const (
	inboxSize = 4096 // events
	// idleWait is the wait of the loop when the kernel has no timer.
	idleWait = time.Second
)

// Ports are the adapters that execute the kernel's actions.
type Ports struct {
	Callers     port.Callers
	Backend     port.Backend
	Platform    port.Platform
	Lists       port.Lists
	Mesh        port.Mesh
	Promoter    port.Promoter
	Peers       port.Peers
	Operators   port.Operators
	DecisionLog port.DecisionLog
	Process     port.Process
}

// Loop is the event loop of a kernel. A single goroutine, that of Run, uses the kernel
// and its state.
type Loop struct {
	kernel      *kern.Kernel
	now         func() time.Duration
	inbox       chan event.Event
	inspections chan func(shared *state.State)
	ports       Ports
}

// New returns a Loop for the kernel; now reads the kernel's clock. SetPorts must be
// called before Run.
func New(kernel *kern.Kernel, now func() time.Duration) *Loop {
	return &Loop{
		kernel:      kernel,
		now:         now,
		inbox:       make(chan event.Event, inboxSize),
		inspections: make(chan func(shared *state.State)),
	}
}

// SetPorts sets the adapters. It must not be called after Run has started.
func (loop *Loop) SetPorts(ports Ports) { loop.ports = ports }

// Now returns the current time of the kernel's clock.
func (loop *Loop) Now() time.Duration { return loop.now() }

// Post implements port.Inbox. It blocks while the inbox is full.
func (loop *Loop) Post(received event.Event) { loop.inbox <- received }

// Inspect calls read with the shared state in the loop's goroutine and waits until it
// returns. read must not change the state. If Inspect returns an error, read was not
// called.
func (loop *Loop) Inspect(ctx context.Context, read func(shared *state.State)) error {
	done := make(chan struct{})
	task := func(shared *state.State) {
		read(shared)
		close(done)
	}
	select {
	case loop.inspections <- task:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "inspect state")
	}
	<-done
	return nil
}

// Run handles events and timers until the context ends. It reads the clock once for each event,
// since that is a system call, and sets the wake-up timer only if the next due time has changed.
func (loop *Loop) Run(ctx context.Context) {
	wake := time.NewTimer(0)
	defer wake.Stop()
	armed := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case received := <-loop.inbox:
			loop.dispatchAll(loop.kernel.Handle(loop.now(), received))
			if next := loop.nextDue(); next != armed {
				armed = next
				wake.Reset(next - loop.kernel.Now())
			}
		case inspect := <-loop.inspections:
			inspect(loop.kernel.State())
		case <-wake.C:
			loop.dispatchAll(loop.kernel.Tick(loop.now()))
			armed = loop.nextDue()
			wake.Reset(armed - loop.kernel.Now())
		}
	}
}

// nextDue returns the time at which the kernel's next timer is due. If it has none, that is
// idleWait after its last event.
func (loop *Loop) nextDue() time.Duration {
	next, ok := loop.kernel.Next()
	if !ok {
		return loop.kernel.Now() + idleWait
	}
	return max(next, loop.kernel.Now())
}

func (loop *Loop) dispatchAll(actions []event.Action) {
	for _, action := range actions {
		loop.dispatch(action)
	}
}

func (loop *Loop) dispatch(action event.Action) {
	ports := &loop.ports
	switch action := action.(type) {
	case event.AcceptCaller:
		ports.Callers.Accept(action)
	case event.RefuseCaller:
		ports.Callers.Refuse(action)
	case event.CloseCaller:
		ports.Callers.Close(action)
	case event.AnswerCaller:
		ports.Callers.Answer(action)
	case event.OpenConn:
		ports.Backend.Open(action)
	case event.CloseConn:
		ports.Backend.Close(action)
	case event.ResetConn:
		ports.Backend.Reset(action)
	case event.Execute:
		ports.Backend.Execute(action)
	case event.CancelExecute:
		ports.Backend.Cancel(action)
	case event.Probe:
		ports.Backend.Probe(action)
	case event.SendOrder:
		ports.Backend.Order(action)
	case event.SendPeerMessage:
		ports.Peers.Send(action)
	case event.AnswerOperator:
		ports.Operators.Answer(action)
	case event.LogDecision:
		ports.DecisionLog.Record(action.Decision())
	case event.StopProxy:
		ports.Process.Stop()
	default:
		if !loop.dispatchToMesh(action) {
			loop.dispatchToPlatform(action)
		}
	}
}

// dispatchToMesh dispatches the actions that concern other proxies of a hosting platform. It
// reports false for any other action.
func (loop *Loop) dispatchToMesh(action event.Action) bool {
	mesh := loop.ports.Mesh
	switch action := action.(type) {
	case event.SendPoll:
		mesh.Poll(action)
	case event.AnswerPoll:
		mesh.AnswerPoll(action)
	case event.RefusePoll:
		mesh.RefusePoll(action)
	case event.Borrow:
		mesh.Borrow(action)
	case event.AnswerBorrow:
		mesh.AnswerBorrow(action)
	case event.RefuseBorrow:
		mesh.RefuseBorrow(action)
	case event.Forward:
		mesh.Forward(action)
	case event.AnswerForward:
		mesh.AnswerForward(action)
	case event.RefuseForward:
		mesh.RefuseForward(action)
	case event.EndForward:
		mesh.EndForward(action)
	case event.Settle:
		mesh.Settle(action)
	case event.AnswerSettle:
		mesh.AnswerSettle(action)
	case event.RefuseSettle:
		mesh.RefuseSettle(action)
	default:
		return false
	}
	return true
}

// dispatchToPlatform dispatches the actions that the platform's services execute.
func (loop *Loop) dispatchToPlatform(action event.Action) {
	ports := &loop.ports
	switch action := action.(type) {
	case event.ReadStore:
		ports.Platform.Read(action)
	case event.WriteStore:
		ports.Platform.Write(action)
	case event.ListGroups:
		ports.Platform.ListGroups(action)
	case event.ListHosts:
		ports.Platform.ListHosts(action)
	case event.ReadList:
		ports.Lists.Read(action)
	case event.AwaitChanges:
		ports.Lists.Await(action)
	case event.ApplyList:
		ports.Lists.Apply(action)
	case event.PromoteInstance:
		ports.Promoter.Promote(action)
	}
}

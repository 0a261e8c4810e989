// Package deploy manages the deployments. It puts revisions in force, confirms that the
// revision in force is current, executes the changes of operators, and propagates
// revisions to the other proxies.
package deploy

import (
	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/table"
)

// ServiceName is the name of the service that the plug-in provides.
const ServiceName = "deploy"

func init() {
	kern.Register("deploy", kern.RankDeployments, func(context *kern.Context) kern.Plugin {
		return New(context)
	})
}

// Deployments is the plug-in. Only its kernel and the plug-ins of that kernel may use it.
type Deployments struct {
	context        *kern.Context
	client         *table.Client
	confirmation   *confirmation
	loader         *loader
	propagator     *propagator
	pendingChanges int // changes that are not yet written or rejected
}

// New returns the plug-in. It starts on the first tick of the kernel's clock.
func New(context *kern.Context) *Deployments {
	client := table.New(context)
	confirmation := newConfirmation(context)
	propagator := newPropagator(context, confirmation)
	deployments := &Deployments{
		context:      context,
		client:       client,
		confirmation: confirmation,
		loader:       newLoader(context, client, confirmation, propagator),
		propagator:   propagator,
	}
	context.ProvideService(ServiceName, deployments)
	context.Timers().After(0, deployments.start)
	return deployments
}

// InFlight returns the number of changes by operators that are not yet answered.
func (deployments *Deployments) InFlight() int {
	return deployments.pendingChanges + len(deployments.propagator.pendingCalls)
}

// Handle implements kern.Plugin.
func (deployments *Deployments) Handle(received event.Event) {
	deployments.client.Handle(received)
	switch received := received.(type) {
	case event.PeerMessageReceived:
		deployments.handlePeerMessage(received)
	case event.CommandReceived:
		deployments.handleCommand(received)
	}
}

func (deployments *Deployments) start() {
	deployments.confirmation.start()
	deployments.loader.start()
	deployments.propagator.start()
}

func (deployments *Deployments) handlePeerMessage(received event.PeerMessageReceived) {
	switch message := received.Message().(type) {
	case event.Heartbeat:
		deployments.confirmation.observeProxy(message.Proxy(), message.Revision())
		deployments.propagator.handleHeartbeat(message)
		if revision, _ := deployments.context.State().Revision(); message.Revision() > revision {
			deployments.loader.refresh()
		}
	case event.CatalogPush:
		deployments.loader.putInForce(message.Revision(), message.Deployments(), "pushed by "+string(message.Proxy()))
		deployments.propagator.sendAck(message.Proxy())
	case event.CatalogAck:
		deployments.confirmation.observeProxy(message.Proxy(), message.Revision())
		deployments.propagator.answerPending()
	}
}

func (deployments *Deployments) handleCommand(received event.CommandReceived) {
	switch command := received.Command().(type) {
	case event.ApplyDeployment:
		deployments.applyDeployment(received.CallID(), command)
	case event.DeleteDeployment:
		deployments.deleteDeployment(received.CallID(), command)
	case event.GetDeployments:
		deployments.listDeployments(received.CallID())
	case event.GetHistory:
		deployments.listHistory(received.CallID(), command.Name())
	}
}

func (deployments *Deployments) listDeployments(commandID model.AdminCallID) {
	state := deployments.context.State()
	revision, known := state.Revision()
	if !known {
		deployments.answerFailure(commandID, codes.StoreUnavailable, "no revision of the deployments is known yet")
		return
	}
	deployments.answer(commandID, event.NewDeployments(revision, state.Deployments()))
}

func (deployments *Deployments) answer(commandID model.AdminCallID, result event.Result) {
	deployments.context.Emit(event.NewAnswerOperator(commandID, result))
}

func (deployments *Deployments) answerFailure(commandID model.AdminCallID, code codes.Code, detail string) {
	deployments.answer(commandID, event.NewCommandFailed(code, detail, retryAfter(code)))
}

// Package deploy is the plug-in that keeps the deployments: it puts revisions in
// force, confirms that the one in force is current, carries out operators'
// changes and spreads them to the other proxies.
package deploy

import (
	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/table"
)

// ServiceName is the name under which the plug-in offers itself.
const ServiceName = "deploy"

func init() {
	kern.Register("deploy", kern.RankDeployments, func(context *kern.Context) kern.Plugin {
		return New(context)
	})
}

// Deployments is the plug-in.
type Deployments struct {
	context        *kern.Context
	client         *table.Client
	confirmation   *confirmation
	loader         *loader
	propagator     *propagator
	pendingChanges int // the changes that are being made
}

// New returns the plug-in of the kernel that context belongs to. It starts with
// the kernel's clock.
func New(context *kern.Context) *Deployments {
	client := table.New(context)
	lease := newConfirmation(context)
	spread := newPropagator(context, lease)
	deploy := &Deployments{
		context:      context,
		client:       client,
		confirmation: lease,
		loader:       newLoader(context, client, lease, spread),
		propagator:   spread,
	}
	context.ProvideService(ServiceName, deploy)
	context.Timers().After(0, deploy.start)
	return deploy
}

// InFlight returns how many operators' changes are not answered yet.
func (deploy *Deployments) InFlight() int {
	return deploy.pendingChanges + len(deploy.propagator.pendingCalls)
}

// Handle implements kern.Plugin.
func (deploy *Deployments) Handle(received event.Event) {
	deploy.client.Handle(received)
	switch received := received.(type) {
	case event.PeerMessageReceived:
		deploy.handlePeerMessage(received)
	case event.CommandReceived:
		deploy.handleCommand(received)
	}
}

func (deploy *Deployments) start() {
	deploy.confirmation.start()
	deploy.loader.start()
	deploy.propagator.start()
}

func (deploy *Deployments) handlePeerMessage(received event.PeerMessageReceived) {
	switch message := received.Message().(type) {
	case event.Heartbeat:
		deploy.confirmation.observeProxy(message.Proxy(), message.Revision())
		deploy.propagator.handleHeartbeat(message)
		if revision, _ := deploy.context.State().Revision(); message.Revision() > revision {
			deploy.loader.refresh()
		}
	case event.CatalogPush:
		deploy.loader.putInForce(message.Revision(), message.Deployments(), "pushed by "+string(message.Proxy()))
		deploy.propagator.sendAck(message.Proxy())
	case event.CatalogAck:
		deploy.confirmation.observeProxy(message.Proxy(), message.Revision())
		deploy.propagator.answerPending()
	}
}

func (deploy *Deployments) handleCommand(asked event.CommandReceived) {
	switch command := asked.Command().(type) {
	case event.ApplyDeployment:
		deploy.applyDeployment(asked.CommandID(), command)
	case event.DeleteDeployment:
		deploy.deleteDeployment(asked.CommandID(), command)
	case event.GetDeployments:
		deploy.listDeployments(asked.CommandID())
	case event.GetHistory:
		deploy.listHistory(asked.CommandID(), command.Name())
	}
}

func (deploy *Deployments) listDeployments(ask model.AdminCallID) {
	state := deploy.context.State()
	revision, known := state.Revision()
	if !known {
		deploy.answerFailure(ask, codes.StoreUnavailable, "no revision of the deployments is known yet")
		return
	}
	deploy.answer(ask, event.NewDeployments(revision, state.Deployments()))
}

func (deploy *Deployments) answer(ask model.AdminCallID, result event.Result) {
	deploy.context.Emit(event.NewAnswerOperator(ask, result))
}

func (deploy *Deployments) answerFailure(ask model.AdminCallID, code codes.Code, detail string) {
	deploy.answer(ask, event.NewCommandFailed(code, detail, retryAfter(code)))
}

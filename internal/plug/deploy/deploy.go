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

// Deploy is the plug-in.
type Deploy struct {
	context *kern.Context
	client  *table.Client
	lease   *lease
	loader  *loader
	spread  *spread
	changes int // the changes that are being made
}

// New returns the plug-in of the kernel that context belongs to. It starts with
// the kernel's clock.
func New(context *kern.Context) *Deploy {
	client := table.New(context)
	lease := newLease(context)
	spread := newSpread(context, lease)
	deploy := &Deploy{
		context: context,
		client:  client,
		lease:   lease,
		loader:  newLoader(context, client, lease, spread),
		spread:  spread,
	}
	context.ProvideService(ServiceName, deploy)
	context.Timers().After(0, deploy.start)
	return deploy
}

// InFlight returns how many operators' changes are not answered yet.
func (deploy *Deploy) InFlight() int { return deploy.changes + len(deploy.spread.waits) }

// Handle implements kern.Plugin.
func (deploy *Deploy) Handle(received event.Event) {
	deploy.client.Handle(received)
	switch received := received.(type) {
	case event.PeerMessageReceived:
		deploy.receive(received)
	case event.CommandReceived:
		deploy.command(received)
	}
}

func (deploy *Deploy) start() {
	deploy.lease.start()
	deploy.loader.start()
	deploy.spread.start()
}

func (deploy *Deploy) receive(received event.PeerMessageReceived) {
	switch message := received.Message().(type) {
	case event.Heartbeat:
		deploy.lease.hear(message.Proxy(), message.Revision())
		deploy.spread.hear(message)
		if revision, _ := deploy.context.State().Revision(); message.Revision() > revision {
			deploy.loader.hurry()
		}
	case event.CatalogPush:
		deploy.loader.put(message.Revision(), message.Deployments(), "pushed by "+string(message.Proxy()))
		deploy.spread.acknowledge(message.Proxy())
	case event.CatalogAck:
		deploy.lease.hear(message.Proxy(), message.Revision())
		deploy.spread.check()
	}
}

func (deploy *Deploy) command(asked event.CommandReceived) {
	switch command := asked.Command().(type) {
	case event.ApplyDeployment:
		deploy.apply(asked.CommandID(), command)
	case event.DeleteDeployment:
		deploy.remove(asked.CommandID(), command)
	case event.GetDeployments:
		deploy.list(asked.CommandID())
	case event.GetHistory:
		deploy.history(asked.CommandID(), command.Name())
	}
}

func (deploy *Deploy) list(ask model.AdminCallID) {
	state := deploy.context.State()
	revision, known := state.Revision()
	if !known {
		deploy.refuse(ask, codes.StoreUnavailable, "no revision of the deployments is known yet")
		return
	}
	deploy.answer(ask, event.NewDeployments(revision, state.Deployments()))
}

func (deploy *Deploy) answer(ask model.AdminCallID, result event.Result) {
	deploy.context.Emit(event.NewAnswerOperator(ask, result))
}

func (deploy *Deploy) refuse(ask model.AdminCallID, code codes.Code, detail string) {
	deploy.answer(ask, event.NewCommandFailed(code, detail, retryAfter(code)))
}

package fuzz

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/tune"
)

const browseStaleness = 2 * time.Second

func callerOpened(caller *caller) event.Event {
	deployment := "gradski"
	if caller.class == "hotel" || caller.class == "kitchen" {
		deployment = "morning-table"
	}
	return event.NewCallerOpened(caller.id, deployment, caller.class)
}

func callerClosed(caller *caller) event.Event { return event.NewCallerClosed(caller.id) }

func requestReceived(request *model.Request) event.Event { return event.NewRequestReceived(request) }

// newDeployment returns a deployment of all groups. The weight distinguishes
// its versions.
func (simulation *simulation) newDeployment(name string, weight int) *model.Deployment {
	policy := model.LagWait
	if name == "morning-table" {
		policy = model.LagPrimary
	}
	var groups []model.GroupID
	for _, group := range simulation.groups {
		groups = append(groups, group.ID())
	}
	return model.NewDeployment(model.DeploymentSpec{
		Name:   name,
		Groups: groups,
		Kinds: []model.Kind{
			model.NewKind(model.KindSpec{Name: "browse", Access: model.AccessRead, Staleness: browseStaleness}),
			model.NewKind(model.KindSpec{Name: "seat_count", Access: model.AccessRead}),
			model.NewKind(model.KindSpec{Name: "edit_listing", Access: model.AccessWrite}),
		},
		Classes: []model.CallerClass{
			model.NewCallerClass(model.CallerClassSpec{Name: "registrar", ReadYourWrites: true}),
			model.NewCallerClass(model.CallerClassSpec{Name: "student"}),
			model.NewCallerClass(model.CallerClassSpec{Name: "hotel", ReadYourWrites: true}),
			model.NewCallerClass(model.CallerClassSpec{Name: "kitchen"}),
		},
		LagPolicy: policy,
		Weight:    weight,
	})
}

// applyInitialDeployments applies the initial version of both deployments
// through the first proxy and waits for each result.
func (simulation *simulation) applyInitialDeployments() {
	simulation.applyNamed("morning-table", simulation.proxies[0], 1, 0, "change-0")
	simulation.runUntil(10*time.Second, func() bool { return len(simulation.oracle.answeredCommands) > 0 })
	simulation.apply(simulation.proxies[0], 1, 0, "change-1")
	simulation.runUntil(10*time.Second, func() bool { return len(simulation.oracle.answeredCommands) > 1 })
}

// apply sends a proxy the command to apply the deployment "gradski" with the given weight.
func (simulation *simulation) apply(proxy *proxy, weight int, expectedRevision uint64, changeID string) {
	simulation.applyNamed("gradski", proxy, weight, expectedRevision, changeID)
}

func (simulation *simulation) applyNamed(name string, proxy *proxy, weight int, expectedRevision uint64, changeID string) {
	simulation.oracle.lastCommandID++
	commandID := simulation.oracle.lastCommandID
	simulation.oracle.commands[commandID] = commandRecord{proxy: proxy, weight: weight, changeID: changeID, deployment: name, expectedRevision: expectedRevision}
	proxy.post(event.NewCommandReceived(commandID, event.NewApplyDeployment(simulation.newDeployment(name, weight), expectedRevision, changeID, "operator")))
}

func shutdownRequested() event.Event { return event.NewShutdownRequested(tune.Default().DrainLimit) }

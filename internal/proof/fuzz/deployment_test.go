package fuzz

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
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

// newDeployment returns the deployment of the given name over the world's
// groups; weight tells versions apart.
func (world *simulation) newDeployment(name string, weight int) *model.Deployment {
	policy := model.LagWait
	if name == "morning-table" {
		policy = model.LagPrimary
	}
	var groups []model.GroupID
	for _, group := range world.groups {
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

// applyInitialDeployments has the first deployments accepted through the first proxy.
func (world *simulation) applyInitialDeployments() {
	world.applyNamed("morning-table", world.nodes[0], 1, 0, "change-0")
	world.runUntil(10*time.Second, func() bool { return len(world.oracle.answeredCommands) > 0 })
	world.apply(world.nodes[0], 1, 0, "change-1")
	world.runUntil(10*time.Second, func() bool { return len(world.oracle.answeredCommands) > 1 })
}

// apply asks a proxy to accept the deployment "gradski" with the given weight.
func (world *simulation) apply(node *node, weight int, expected uint64, changeID string) {
	world.applyNamed("gradski", node, weight, expected, changeID)
}

func (world *simulation) applyNamed(name string, node *node, weight int, expected uint64, changeID string) {
	world.oracle.lastCommandID++
	ask := world.oracle.lastCommandID
	world.oracle.commands[ask] = commandRecord{node: node, weight: weight, changeID: changeID, deployment: name, expectedRevision: expected}
	node.post(event.NewCommandReceived(ask, event.NewApplyDeployment(world.newDeployment(name, weight), expected, changeID, "operator")))
}

func shutdownRequested() event.Event { return event.NewShutdownRequested() }

package fuzz

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

const browseStaleness = 2 * time.Second

func callerOpened(caller *caller) event.Event {
	return event.NewCallerOpened(caller.id, "gradski", caller.class)
}

func callerClosed(caller *caller) event.Event { return event.NewCallerClosed(caller.id) }

func requestReceived(request *model.Request) event.Event { return event.NewRequestReceived(request) }

// newDeployment returns the deployment of the world's groups; weight tells versions apart.
func (world *world) newDeployment(weight int) *model.Deployment {
	var groups []model.GroupID
	for _, group := range world.groups {
		groups = append(groups, group.ID())
	}
	return model.NewDeployment(model.DeploymentSpec{
		Name:   "gradski",
		Groups: groups,
		Kinds: []model.Kind{
			model.NewKind(model.KindSpec{Name: "browse", Access: model.AccessRead, Staleness: browseStaleness}),
			model.NewKind(model.KindSpec{Name: "seat_count", Access: model.AccessRead}),
			model.NewKind(model.KindSpec{Name: "edit_listing", Access: model.AccessWrite}),
		},
		Classes: []model.Class{
			model.NewClass(model.ClassSpec{Name: "registrar", ReadYourWrites: true}),
			model.NewClass(model.ClassSpec{Name: "student"}),
		},
		LagPolicy: model.LagWait,
		Weight:    weight,
	})
}

// seedDeployment has the first deployment accepted through the first proxy.
func (world *world) seedDeployment() {
	world.apply(world.nodes[0], 1, 0, "change-1")
	world.runUntil(10*time.Second, func() bool { return len(world.oracle.operators) > 0 })
}

// apply asks a proxy to accept the deployment of the given weight.
func (world *world) apply(node *node, weight int, expected uint64, changeID string) {
	world.oracle.lastAsk++
	ask := world.oracle.lastAsk
	world.oracle.asked[ask] = askRecord{node: node, weight: weight, changeID: changeID}
	node.post(event.NewOperatorAsked(ask, event.NewApplyDeployment(world.newDeployment(weight), expected, changeID, "operator")))
}

func shutdownAsked() event.Event { return event.NewShutdownAsked() }

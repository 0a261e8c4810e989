package member_test

import (
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/tune"
	_ "almondway.dev/almondway/internal/plug/member"
	_ "almondway.dev/almondway/internal/plug/probe"
	"almondway.dev/almondway/internal/stand/shelf"
)

const step = 10 * time.Millisecond

// fixture is one kernel with a fake platform; the test plays the other proxies and
// the instances.
type fixture struct {
	now            time.Duration
	kernel         *kern.Kernel
	shelf          *shelf.Shelf
	platformSilent bool // the platform answers nothing at all
	hosts          []model.Host
	status         map[model.InstanceID]model.Status
	sent           []event.SendPeerMessage
	writes         []time.Duration
	results        map[model.AdminCallID]event.Result
	queue          []event.Event
}

func newFixture() *fixture {
	desk := &fixture{
		shelf:   shelf.New(),
		status:  make(map[model.InstanceID]model.Status),
		results: make(map[model.AdminCallID]event.Result),
	}
	return desk
}

func (desk *fixture) start() *fixture {
	self := model.NewProxyView("proxy-1", "127.0.0.1:8001", "trnje-hall", 0, false, 0)
	desk.kernel = kern.New(self, tune.New(tune.Default()), time.Time{}, 1)
	desk.run(time.Second)
	return desk
}

func (desk *fixture) run(duration time.Duration) {
	for end := desk.now + duration; desk.now < end; desk.now += step {
		desk.dispatchAll(desk.kernel.Tick(desk.now))
		queue := desk.queue
		desk.queue = nil
		for _, received := range queue {
			desk.handle(received)
		}
	}
}

func (desk *fixture) handle(received event.Event) {
	desk.dispatchAll(desk.kernel.Handle(desk.now, received))
}

func (desk *fixture) dispatchAll(actions []event.Action) {
	for _, action := range slices.Clone(actions) {
		desk.dispatch(action)
	}
}

func (desk *fixture) dispatch(action event.Action) {
	switch action := action.(type) {
	case event.SendPeerMessage:
		desk.sent = append(desk.sent, action)
	case event.AnswerOperator:
		desk.results[action.CommandID()] = action.Result()
	case event.Probe:
		desk.queue = append(desk.queue, desk.probeResult(action))
	default:
		desk.callPlatform(action)
	}
}

func (desk *fixture) probeResult(probe event.Probe) event.Event {
	status, ok := desk.status[probe.Instance()]
	if !ok {
		return event.NewProbeFailed(probe.Probe(), probe.Instance(), model.ConnFailureTimeout)
	}
	return event.NewStatusReported(probe.Probe(), probe.Instance(), status)
}

func (desk *fixture) callPlatform(action event.Action) {
	if desk.platformSilent {
		return
	}
	switch action := action.(type) {
	case event.ReadStore:
		desk.queue = append(desk.queue, desk.shelf.Read(action))
	case event.WriteStore:
		desk.writes = append(desk.writes, desk.now)
		desk.queue = append(desk.queue, desk.shelf.Write(action))
	case event.ListGroups:
		desk.queue = append(desk.queue, event.NewGroupsListed([]model.Group{model.NewGroup("katalog-1", []model.Instance{
			model.NewInstance("katalog-1-a", "127.0.0.1:7001", "trnje-hall"),
			model.NewInstance("katalog-1-b", "127.0.0.1:7002", "trnje-hall"),
		})}))
	case event.ListHosts:
		desk.queue = append(desk.queue, event.NewHostsListed(desk.hosts))
	}
}

// receiveHeartbeat plays a heartbeat of another proxy.
func (desk *fixture) receiveHeartbeat(id model.ProxyID, draining bool, leaving ...model.InstanceID) {
	heartbeat := event.NewHeartbeat(id, string(id)+":8000", 0, true, draining, leaving, nil)
	desk.handle(event.NewPeerMessageReceived(id, heartbeat))
}

func (desk *fixture) isLeaving(instance model.InstanceID) bool {
	group := desk.kernel.State().Group("katalog-1")
	return group != nil && group.Member(instance).Leaving()
}

// heartbeats returns the last heartbeat to each address.
func (desk *fixture) heartbeats() map[string]event.Heartbeat {
	last := make(map[string]event.Heartbeat)
	for _, sent := range desk.sent {
		if heartbeat, ok := sent.Message().(event.Heartbeat); ok {
			last[sent.Address()] = heartbeat
		}
	}
	return last
}

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

// fixture is a kernel with a fake platform. The test simulates the other proxies and the
// instances.
type fixture struct {
	now            time.Duration
	kernel         *kern.Kernel
	shelf          *shelf.Store
	platformSilent bool // the platform answers no calls
	hosts          []model.Host
	status         map[model.InstanceID]model.Status
	sent           []event.SendPeerMessage
	writes         []time.Duration
	results        map[model.AdminCallID]event.Result
	queue          []event.Event
}

func newFixture() *fixture {
	fixture := &fixture{
		shelf:   shelf.New(),
		status:  make(map[model.InstanceID]model.Status),
		results: make(map[model.AdminCallID]event.Result),
	}
	return fixture
}

func (fixture *fixture) start() *fixture {
	self := model.NewProxyView("proxy-1", "127.0.0.1:8001", "trnje-hall", 0, false, 0)
	fixture.kernel = kern.New(self, tune.New(tune.Default()), time.Time{}, 1)
	fixture.run(time.Second)
	return fixture
}

func (fixture *fixture) run(duration time.Duration) {
	for end := fixture.now + duration; fixture.now < end; fixture.now += step {
		fixture.dispatchAll(fixture.kernel.Tick(fixture.now))
		queue := fixture.queue
		fixture.queue = nil
		for _, received := range queue {
			fixture.handle(received)
		}
	}
}

func (fixture *fixture) handle(received event.Event) {
	fixture.dispatchAll(fixture.kernel.Handle(fixture.now, received))
}

func (fixture *fixture) dispatchAll(actions []event.Action) {
	for _, action := range slices.Clone(actions) {
		fixture.dispatch(action)
	}
}

func (fixture *fixture) dispatch(action event.Action) {
	switch action := action.(type) {
	case event.SendPeerMessage:
		fixture.sent = append(fixture.sent, action)
	case event.AnswerOperator:
		fixture.results[action.CallID()] = action.Result()
	case event.Probe:
		fixture.queue = append(fixture.queue, fixture.probeResult(action))
	default:
		fixture.callPlatform(action)
	}
}

func (fixture *fixture) probeResult(probe event.Probe) event.Event {
	status, ok := fixture.status[probe.Instance()]
	if !ok {
		return event.NewProbeFailed(probe.Probe(), probe.Instance(), model.ConnFailureTimeout)
	}
	return event.NewStatusReported(probe.Probe(), probe.Instance(), status)
}

func (fixture *fixture) callPlatform(action event.Action) {
	if fixture.platformSilent {
		return
	}
	switch action := action.(type) {
	case event.ReadStore:
		fixture.queue = append(fixture.queue, fixture.shelf.Read(action))
	case event.WriteStore:
		fixture.writes = append(fixture.writes, fixture.now)
		fixture.queue = append(fixture.queue, fixture.shelf.Write(action))
	case event.ListGroups:
		fixture.queue = append(fixture.queue, event.NewGroupsListed([]model.Group{model.NewGroup("katalog-1", []model.Instance{
			model.NewInstance("katalog-1-a", "127.0.0.1:7001", "trnje-hall"),
			model.NewInstance("katalog-1-b", "127.0.0.1:7002", "trnje-hall"),
		})}))
	case event.ListHosts:
		fixture.queue = append(fixture.queue, event.NewHostsListed(fixture.hosts))
	}
}

// receiveHeartbeat delivers a heartbeat of another proxy.
func (fixture *fixture) receiveHeartbeat(id model.ProxyID, draining bool, leaving ...model.InstanceID) {
	heartbeat := event.NewHeartbeat(id, string(id)+":8000", 0, true, draining, leaving, nil)
	fixture.handle(event.NewPeerMessageReceived(id, heartbeat))
}

func (fixture *fixture) isLeaving(instance model.InstanceID) bool {
	group := fixture.kernel.State().Group("katalog-1")
	return group != nil && group.Member(instance).Leaving()
}

// heartbeats returns the last heartbeat to each address.
func (fixture *fixture) heartbeats() map[string]event.Heartbeat {
	last := make(map[string]event.Heartbeat)
	for _, sent := range fixture.sent {
		if heartbeat, ok := sent.Message().(event.Heartbeat); ok {
			last[sent.Address()] = heartbeat
		}
	}
	return last
}

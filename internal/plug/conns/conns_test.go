package conns

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/tune"
	"almondway.dev/almondway/internal/plug/limit"
)

const instance model.InstanceID = "katalog-1-b"

// fakeUser records the callbacks that it receives.
type fakeUser struct {
	conn   model.ConnID
	code   codes.Code
	done   int
	failed int
	lost   int
}

func (fakeUser *fakeUser) ConnGranted(conn model.ConnID) { fakeUser.conn = conn }

func (fakeUser *fakeUser) ConnDenied(denial route.Denial) { fakeUser.code = denial.Code }

func (fakeUser *fakeUser) ExecuteDone(event.ExecuteDone) { fakeUser.done++ }

func (fakeUser *fakeUser) ExecuteFailed(event.ExecuteFailed) { fakeUser.failed++ }

func (fakeUser *fakeUser) ConnLost(model.ConnID) { fakeUser.lost++ }

// fixture is a kernel with the connection pools and one listed instance.
type fixture struct {
	kernel  *kern.Kernel
	pools   *Pools
	now     time.Duration
	actions []event.Action
}

func newFixture(proxies int) *fixture {
	fixture := &fixture{}
	capture := func(context *kern.Context) kern.Plugin {
		fixture.pools = New(context).(*Pools)
		return fixture.pools
	}
	spec := tune.Default()
	spec.SlotsPerInstance = 1000
	fixture.kernel = kern.NewWithFactories(model.ProxyView{}, tune.New(spec), time.Time{}, 1, limit.New, capture)
	state := fixture.kernel.State()
	state.SetGroups([]model.Group{model.NewGroup("katalog-1", []model.Instance{model.NewInstance(instance, "127.0.0.1:1", "")})})
	state.SetProxies(make([]model.ProxyView, proxies))
	return fixture
}

func (fixture *fixture) acquire() *fakeUser {
	user := &fakeUser{}
	fixture.run(func() { fixture.pools.Acquire(route.SlotRequest{Instance: instance}, user) })
	return user
}

// run runs a call to the plug-in within the kernel.
func (fixture *fixture) run(call func()) {
	fixture.pools.context.Timers().After(0, call)
	fixture.tick(0)
}

func (fixture *fixture) release(conn model.ConnID, dirty bool) {
	fixture.run(func() { fixture.pools.Release(conn, dirty) })
}

func (fixture *fixture) tick(delay time.Duration) {
	fixture.now += delay
	fixture.actions = append(fixture.actions, fixture.kernel.Tick(fixture.now)...)
}

func (fixture *fixture) handle(received event.Event) {
	fixture.actions = append(fixture.actions, fixture.kernel.Handle(fixture.now, received)...)
}

// takeOpenings removes the pending OpenConn actions and returns their connections.
func (fixture *fixture) takeOpenings() []model.ConnID {
	var opens []model.ConnID
	var others []event.Action
	for _, action := range fixture.actions {
		if open, ok := action.(event.OpenConn); ok {
			opens = append(opens, open.Conn())
			continue
		}
		others = append(others, action)
	}
	fixture.actions = others
	return opens
}

// completeOpenings lets every OpenConn action succeed until none is pending.
func (fixture *fixture) completeOpenings() {
	for opens := fixture.takeOpenings(); len(opens) > 0; opens = fixture.takeOpenings() {
		for _, conn := range opens {
			fixture.handle(event.NewConnOpened(conn))
		}
	}
}

// wasClosed reports whether the pool closed the connection.
func (fixture *fixture) wasClosed(conn model.ConnID) bool {
	for _, action := range fixture.actions {
		if closing, ok := action.(event.CloseConn); ok && closing.Conn() == conn {
			return true
		}
	}
	return false
}

// lastExec returns the ID of the last execution, or 0.
func (fixture *fixture) lastExec() model.ExecID {
	var exec model.ExecID
	for _, action := range fixture.actions {
		if execute, ok := action.(event.Execute); ok {
			exec = execute.Exec()
		}
	}
	return exec
}

func TestConnectionShare(t *testing.T) {
	tests := []struct {
		name    string
		proxies int
		conns   int
	}{
		{"alone", 1, 35},
		{"six proxies", 6, 5},
		{"eight proxies", 8, 4},
		{"more proxies than connections", 100, 1},
		{"proxies not known yet", 0, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture(test.proxies)
			granted := 0
			var users []*fakeUser
			for range 50 {
				users = append(users, fixture.acquire())
			}
			is.True(len(fixture.pools.conns) <= maxOpening) // bounded number of concurrent openings
			fixture.completeOpenings()
			for _, user := range users {
				if user.conn != 0 {
					granted++
				}
			}
			is.Equal(granted, test.conns)
			is.Equal(users[0].conn != 0, true) // granted in the order of arrival
		})
	}
}

// A proxy that does not know how many others there are takes few of the connections of an
// instance, however many it accepts.
func TestConnectionsWhileProxiesAreUnknown(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(0)
	state := fixture.kernel.State()
	listed := model.NewInstance(instance, "127.0.0.1:1", "").WithCapacity(0, 117)
	state.SetGroups([]model.Group{model.NewGroup("katalog-1", []model.Instance{listed})})
	var users []*fakeUser
	for range 50 {
		users = append(users, fixture.acquire())
	}
	fixture.completeOpenings()
	is.Equal(len(fixture.pools.conns), borrowLimit)
	for _, user := range users {
		if user.conn != 0 {
			fixture.release(user.conn, false)
		}
	}
	fixture.tick(time.Second)
	is.True(len(fixture.pools.conns) <= 1)
}

func TestReuse(t *testing.T) {
	done := func(fixture *fixture, conn model.ConnID) {
		fixture.handle(event.NewExecuteDone(fixture.lastExec(), conn, model.Mark{}, nil))
		fixture.release(conn, false)
	}
	tests := []struct {
		name   string
		end    func(fixture *fixture, conn model.ConnID)
		closed bool
		reused bool
	}{
		{"clean", done, false, true},
		{"answer lost", func(fixture *fixture, conn model.ConnID) {
			fixture.handle(event.NewExecuteFailed(fixture.lastExec(), conn, model.FailureLost, false, model.Mark{}, nil))
		}, true, false},
		{"answer abandoned", func(fixture *fixture, conn model.ConnID) {
			fixture.run(func() { fixture.pools.Discard(conn) })
		}, true, false},
		{"after a transaction, not reset yet", func(fixture *fixture, conn model.ConnID) {
			fixture.handle(event.NewExecuteDone(fixture.lastExec(), conn, model.Mark{}, nil))
			fixture.release(conn, true)
		}, false, false},
		{"after a transaction, reset", func(fixture *fixture, conn model.ConnID) {
			fixture.handle(event.NewExecuteDone(fixture.lastExec(), conn, model.Mark{}, nil))
			fixture.release(conn, true)
			fixture.handle(event.NewResetDone(conn, true))
		}, false, true},
		{"after a transaction, reset failed", func(fixture *fixture, conn model.ConnID) {
			fixture.handle(event.NewExecuteDone(fixture.lastExec(), conn, model.Mark{}, nil))
			fixture.release(conn, true)
			fixture.handle(event.NewResetDone(conn, false))
		}, false, false},
		{"closed by the instance", func(fixture *fixture, conn model.ConnID) {
			done(fixture, conn)
			fixture.handle(event.NewConnClosed(conn))
		}, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture(35) // one connection
			first := fixture.acquire()
			fixture.completeOpenings()
			fixture.run(func() { fixture.pools.Execute(first.conn, model.NewWork(model.WorkSpec{})) })
			test.end(fixture, first.conn)
			fixture.tick(0)
			is.Equal(fixture.wasClosed(first.conn), test.closed)
			second := fixture.acquire()
			is.Equal(second.conn == first.conn, test.reused)
			fixture.handle(event.NewExecuteDone(fixture.lastExec(), first.conn, model.Mark{}, nil)) // late answer
			is.True(first.done+first.failed <= 1)
			is.Equal(second.done, 0)
		})
	}
}

func TestOpenFails(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(35)
	user := fixture.acquire()
	for _, conn := range fixture.takeOpenings() {
		fixture.handle(event.NewConnFailed(conn, model.ConnFailureRefused))
	}
	is.Equal(user.code, codes.NoReplica)
	is.Equal(fixture.acquire().code, codes.NoReplica) // denied immediately
	is.Equal(len(fixture.takeOpenings()), 0)          // back-off
	fixture.tick(2 * initialBackoff)
	is.Equal(len(fixture.takeOpenings()), 1)
}

func TestProbeAnswerEndsBackOff(t *testing.T) {
	tests := []struct {
		name   string
		reason model.ConnFailure
		opens  int
	}{
		{"refused before", model.ConnFailureRefused, 1},
		{"full before", model.ConnFailureFull, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture(35)
			fixture.acquire()
			for _, conn := range fixture.takeOpenings() {
				fixture.handle(event.NewConnFailed(conn, test.reason))
			}
			status := model.NewStatus(1, model.RoleReplica, model.NewMark(1, 1), "", 0, false)
			fixture.kernel.State().Group("katalog-1").Observe(instance, status, time.Millisecond)
			fixture.handle(event.NewGroupObserved("katalog-1"))
			is.Equal(len(fixture.takeOpenings()), test.opens)
			fixture.handle(event.NewGroupObserved("katalog-1"))
			is.Equal(len(fixture.takeOpenings()), 0) // one attempt per probe answer
		})
	}
}

func TestOpenWhileInstanceIsFull(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(35)
	user := fixture.acquire()
	for _, conn := range fixture.takeOpenings() {
		fixture.handle(event.NewConnFailed(conn, model.ConnFailureFull))
	}
	is.Equal(user.code, codes.OK) // the request still waits
	fixture.tick(2 * initialBackoff)
	fixture.completeOpenings()
	is.True(user.conn != 0)
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(1)
	var users []*fakeUser
	for range 35 {
		users = append(users, fixture.acquire())
	}
	fixture.completeOpenings()
	for _, user := range users {
		fixture.release(user.conn, false)
	}
	fixture.tick(6 * time.Minute)
	is.Equal(len(fixture.pools.conns), 35/minOpenDivisor)
}

func TestConnectionLostInTransaction(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(35)
	user := fixture.acquire()
	fixture.completeOpenings()
	fixture.pools.Park(user.conn)
	fixture.handle(event.NewConnClosed(user.conn))
	is.Equal(user.lost, 1)
	is.True(!fixture.pools.Resume(user.conn, user))
}

func TestUnlistedInstance(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(1)
	user := fixture.acquire()
	fixture.completeOpenings()
	fixture.kernel.State().SetGroups(nil)
	fixture.tick(2 * time.Second)
	is.Equal(len(fixture.pools.conns), 1) // the connection in use
	fixture.release(user.conn, false)
	fixture.tick(2 * time.Second)
	is.Equal(len(fixture.pools.conns), 0)
	is.Equal(len(fixture.pools.pools), 0)
	is.Equal(fixture.acquire().code, codes.NoReplica)
}

// A proxy that knows only a few of many others takes its share of the connections for a large
// one. It does not open so many ahead of demand.
func TestFewConnectionsAreOpenedAhead(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(5)
	instances := []model.Instance{model.NewInstance(instance, "127.0.0.1:1", "").WithCapacity(100, 1275)}
	fixture.kernel.State().SetGroups([]model.Group{model.NewGroup("katalog-1", instances)})
	for range 20 {
		fixture.run(func() { fixture.pools.pool(instance).fill() })
		fixture.completeOpenings()
	}
	is.Equal(len(fixture.pools.conns), maxOpenAhead)
}

// A proxy before many instances keeps connections open to those that it uses only.
func TestConnectionsAheadOfManyInstances(t *testing.T) {
	tests := []struct {
		name      string
		instances int
		wanted    int // connections that are open without a request
	}{
		{name: "few", instances: maxInstancesAhead, wanted: maxInstancesAhead},
		{name: "many", instances: maxInstancesAhead + 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture(0) // the other proxies are not known yet
			state := fixture.kernel.State()
			var listed []model.Instance
			for index := range test.instances {
				id := model.InstanceID(fmt.Sprintf("i-%d", index))
				listed = append(listed, model.NewInstance(id, "127.0.0.1:1", "").WithCapacity(5, 34))
			}
			state.SetGroups([]model.Group{model.NewGroup("katalog-1", listed)})
			fill := func() {
				for _, instance := range listed {
					fixture.pools.pool(instance.ID())
				}
				for _, instance := range listed {
					fixture.pools.pool(instance.ID()).fill()
				}
			}
			fixture.run(fill)
			fixture.completeOpenings()
			is.Equal(len(fixture.pools.conns), test.wanted)
			user := &fakeUser{}
			fixture.run(func() { fixture.pools.Acquire(route.SlotRequest{Instance: "i-7"}, user) })
			fixture.completeOpenings()
			is.True(user.conn != 0)
			fixture.release(user.conn, false)
			fixture.run(fill)
			fixture.completeOpenings()
			is.True(!fixture.wasClosed(user.conn))
		})
	}
}

// Guards against statements that are sent to a process that no longer runs, over connections that
// have been silent since a cut, and against a back-off that outlives the process that caused it.
func TestRestartedInstance(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(1)
	fixture.tick(time.Second)
	fixture.completeOpenings()
	user := fixture.acquire()
	fixture.completeOpenings()
	is.True(user.conn != 0)
	idle := fixture.pools.pools[instance].idle[0].id
	fixture.pools.pools[instance].failures = 3
	fixture.pools.pools[instance].blockedUntil = time.Hour
	fixture.handle(event.NewInstanceRestarted(instance))
	is.True(fixture.wasClosed(idle))
	is.True(!fixture.wasClosed(user.conn)) // its statement may still be answered
	is.Equal(fixture.pools.pools[instance].failures, 0)
	is.True(len(fixture.takeOpenings()) > 0)
	fixture.handle(event.NewInstanceRestarted("unknown"))
}

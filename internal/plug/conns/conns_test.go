package conns

import (
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

// fakeUser records what it was told.
type fakeUser struct {
	conn   model.ConnID
	code   codes.Code
	done   int
	failed int
	lost   int
}

func (taker *fakeUser) ConnGranted(conn model.ConnID) { taker.conn = conn }

func (taker *fakeUser) ConnDenied(code codes.Code, _ time.Duration) { taker.code = code }

func (taker *fakeUser) ExecuteDone(event.ExecuteDone) { taker.done++ }

func (taker *fakeUser) ExecuteFailed(event.ExecuteFailed) { taker.failed++ }

func (taker *fakeUser) ConnLost(model.ConnID) { taker.lost++ }

// fixture is a kernel with the pools of one instance.
type fixture struct {
	kernel  *kern.Kernel
	pools   *Pools
	now     time.Duration
	actions []event.Action
}

func newFixture(proxies int) *fixture {
	bench := &fixture{}
	catch := func(context *kern.Context) kern.Plugin {
		bench.pools = New(context).(*Pools)
		return bench.pools
	}
	spec := tune.Default()
	spec.SlotsPerInstance = 1000
	bench.kernel = kern.NewWithFactories(model.ProxyView{}, tune.New(spec), time.Time{}, 1, limit.New, catch)
	state := bench.kernel.State()
	state.SetGroups([]model.Group{model.NewGroup("katalog-1", []model.Instance{model.NewInstance(instance, "127.0.0.1:1", "")})})
	state.SetProxies(make([]model.ProxyView, proxies))
	return bench
}

func (bench *fixture) acquire() *fakeUser {
	asked := &fakeUser{}
	bench.run(func() { bench.pools.Acquire(route.SlotRequest{Instance: instance}, asked) })
	return asked
}

// run runs a call of a plug-in within the kernel.
func (bench *fixture) run(call func()) {
	bench.pools.context.Timers().After(0, call)
	bench.tick(0)
}

func (bench *fixture) release(conn model.ConnID, dirty bool) {
	bench.run(func() { bench.pools.Release(conn, dirty) })
}

func (bench *fixture) tick(delay time.Duration) {
	bench.now += delay
	bench.actions = append(bench.actions, bench.kernel.Tick(bench.now)...)
}

func (bench *fixture) handle(received event.Event) {
	bench.actions = append(bench.actions, bench.kernel.Handle(bench.now, received)...)
}

// takeOpenings takes the openings that were asked for.
func (bench *fixture) takeOpenings() []model.ConnID {
	var opens []model.ConnID
	var others []event.Action
	for _, action := range bench.actions {
		if open, ok := action.(event.OpenConn); ok {
			opens = append(opens, open.Conn())
			continue
		}
		others = append(others, action)
	}
	bench.actions = others
	return opens
}

// completeOpenings answers every opening until none is asked for.
func (bench *fixture) completeOpenings() {
	for opens := bench.takeOpenings(); len(opens) > 0; opens = bench.takeOpenings() {
		for _, conn := range opens {
			bench.handle(event.NewConnOpened(conn))
		}
	}
}

// wasClosed reports whether the connection was wasClosed.
func (bench *fixture) wasClosed(conn model.ConnID) bool {
	for _, action := range bench.actions {
		if closing, ok := action.(event.CloseConn); ok && closing.Conn() == conn {
			return true
		}
	}
	return false
}

// lastExec returns the last execution.
func (bench *fixture) lastExec() model.ExecID {
	var exec model.ExecID
	for _, action := range bench.actions {
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
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			bench := newFixture(test.proxies)
			granted := 0
			var takers []*fakeUser
			for range 50 {
				takers = append(takers, bench.acquire())
			}
			is.True(len(bench.pools.conns) <= maxOpening) // no storm
			bench.completeOpenings()
			for _, taker := range takers {
				if taker.conn != 0 {
					granted++
				}
			}
			is.Equal(granted, test.conns)
			is.Equal(takers[0].conn != 0, true) // the longest wait first
		})
	}
}

func TestReuse(t *testing.T) {
	done := func(bench *fixture, conn model.ConnID) {
		bench.handle(event.NewExecuteDone(bench.lastExec(), conn, model.Mark{}, nil))
		bench.release(conn, false)
	}
	tests := []struct {
		name   string
		end    func(bench *fixture, conn model.ConnID)
		closed bool
		reused bool
	}{
		{"clean", done, false, true},
		{"answer lost", func(bench *fixture, conn model.ConnID) {
			bench.handle(event.NewExecuteFailed(bench.lastExec(), conn, model.FailureLost, false, model.Mark{}, nil))
		}, true, false},
		{"answer abandoned", func(bench *fixture, conn model.ConnID) {
			bench.run(func() { bench.pools.Discard(conn) })
		}, true, false},
		{"after a transaction, not reset yet", func(bench *fixture, conn model.ConnID) {
			bench.handle(event.NewExecuteDone(bench.lastExec(), conn, model.Mark{}, nil))
			bench.release(conn, true)
		}, false, false},
		{"after a transaction, reset", func(bench *fixture, conn model.ConnID) {
			bench.handle(event.NewExecuteDone(bench.lastExec(), conn, model.Mark{}, nil))
			bench.release(conn, true)
			bench.handle(event.NewResetDone(conn, true))
		}, false, true},
		{"after a transaction, reset failed", func(bench *fixture, conn model.ConnID) {
			bench.handle(event.NewExecuteDone(bench.lastExec(), conn, model.Mark{}, nil))
			bench.release(conn, true)
			bench.handle(event.NewResetDone(conn, false))
		}, false, false},
		{"closed by the instance", func(bench *fixture, conn model.ConnID) {
			done(bench, conn)
			bench.handle(event.NewConnClosed(conn))
		}, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			bench := newFixture(35) // one connection
			first := bench.acquire()
			bench.completeOpenings()
			bench.run(func() { bench.pools.Execute(first.conn, model.NewWork(model.WorkSpec{})) })
			test.end(bench, first.conn)
			bench.tick(0)
			is.Equal(bench.wasClosed(first.conn), test.closed)
			second := bench.acquire()
			is.Equal(second.conn == first.conn, test.reused)
			bench.handle(event.NewExecuteDone(bench.lastExec(), first.conn, model.Mark{}, nil)) // late
			is.True(first.done+first.failed <= 1)
			is.Equal(second.done, 0)
		})
	}
}

func TestOpenFails(t *testing.T) {
	is := is.New(t)
	bench := newFixture(35)
	asked := bench.acquire()
	for _, conn := range bench.takeOpenings() {
		bench.handle(event.NewConnFailed(conn, model.ConnFailureRefused))
	}
	is.Equal(asked.code, unreachable)
	is.Equal(bench.acquire().code, unreachable) // at once
	is.Equal(len(bench.takeOpenings()), 0)      // held back
	bench.tick(2 * initialBackoff)
	is.Equal(len(bench.takeOpenings()), 1)
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
			bench := newFixture(35)
			bench.acquire()
			for _, conn := range bench.takeOpenings() {
				bench.handle(event.NewConnFailed(conn, test.reason))
			}
			status := model.NewStatus(1, model.RoleReplica, model.NewMark(1, 1), "", 0, false)
			bench.kernel.State().Group("katalog-1").Observe(instance, status, time.Millisecond)
			bench.handle(event.NewGroupObserved("katalog-1"))
			is.Equal(len(bench.takeOpenings()), test.opens)
			bench.handle(event.NewGroupObserved("katalog-1"))
			is.Equal(len(bench.takeOpenings()), 0) // one try for each report
		})
	}
}

func TestOpenWhileInstanceIsFull(t *testing.T) {
	is := is.New(t)
	bench := newFixture(35)
	asked := bench.acquire()
	for _, conn := range bench.takeOpenings() {
		bench.handle(event.NewConnFailed(conn, model.ConnFailureFull))
	}
	is.Equal(asked.code, codes.OK) // still waits
	bench.tick(2 * initialBackoff)
	bench.completeOpenings()
	is.True(asked.conn != 0)
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	bench := newFixture(1)
	var takers []*fakeUser
	for range 35 {
		takers = append(takers, bench.acquire())
	}
	bench.completeOpenings()
	for _, taker := range takers {
		bench.release(taker.conn, false)
	}
	bench.tick(6 * time.Minute)
	is.Equal(len(bench.pools.conns), 35/minOpenDivisor)
}

func TestConnectionLostInATransaction(t *testing.T) {
	is := is.New(t)
	bench := newFixture(35)
	asked := bench.acquire()
	bench.completeOpenings()
	bench.pools.Park(asked.conn)
	bench.handle(event.NewConnClosed(asked.conn))
	is.Equal(asked.lost, 1)
	is.True(!bench.pools.Resume(asked.conn, asked))
}

func TestUnlistedInstance(t *testing.T) {
	is := is.New(t)
	bench := newFixture(1)
	asked := bench.acquire()
	bench.completeOpenings()
	bench.kernel.State().SetGroups(nil)
	bench.tick(2 * time.Second)
	is.Equal(len(bench.pools.conns), 1) // the one in use
	bench.release(asked.conn, false)
	bench.tick(2 * time.Second)
	is.Equal(len(bench.pools.conns), 0)
	is.Equal(len(bench.pools.pools), 0)
	is.Equal(bench.acquire().code, unreachable)
}

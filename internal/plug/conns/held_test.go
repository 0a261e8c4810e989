package conns

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// newHeldFixture returns a fixture of a proxy that is one of two holders of nine connections, three
// of which are in reserve.
func newHeldFixture() *fixture {
	fixture := newTeamFixture()
	state := fixture.kernel.State()
	var instances []model.Instance
	instances = append(instances, model.NewInstance(instance, "127.0.0.1:1", "").WithCapacity(100, 9))
	state.SetGroups([]model.Group{model.NewGroup("katalog-1", instances)})
	state.EnableHolders()
	views := []model.ProxyView{model.NewProxyView(state.Self().ID(), "10.0.0.1:1", "", 0, false, 0).WithCores(1e12)}
	for index := range 10 {
		views = append(views, model.NewProxyView(model.ProxyID(fmt.Sprintf("q-%d", index)), "10.0.0.1:1", "", 0, false, 0))
	}
	state.SetProxies(views)
	return fixture
}

// A holder keeps the connections of teams for their next statements.
func TestHolderKeepsConnections(t *testing.T) {
	is := is.New(t)
	fixture := newHeldFixture()
	is.True(fixture.kernel.State().Holds(instance))
	first := fixture.acquireForTeam("a")
	fixture.completeOpenings()
	fixture.release(first.conn, false)
	again := fixture.acquireForTeam("a")
	is.Equal(again.conn, first.conn)
}

// A full instance accepts a connection for a waiting team once that of another one, the longest
// idle, was closed.
func TestHolderMakesRoom(t *testing.T) {
	is := is.New(t)
	fixture := newHeldFixture()
	first := fixture.acquireForTeam("a")
	second := fixture.acquireForTeam("b")
	fixture.completeOpenings()
	fixture.release(first.conn, false)
	fixture.release(second.conn, false)
	fixture.actions = nil
	waiting := fixture.acquireForTeam("c")
	for _, action := range fixture.actions {
		if open, ok := action.(event.OpenConn); ok {
			fixture.handle(event.NewConnFailed(open.Conn(), model.ConnFailureFull))
		}
	}
	var closed []model.ConnID
	for _, action := range fixture.actions {
		if action, ok := action.(event.CloseConn); ok {
			closed = append(closed, action.Conn())
		}
	}
	is.Equal(closed, []model.ConnID{first.conn})
	is.Equal(waiting.conn, model.ConnID(0))
}

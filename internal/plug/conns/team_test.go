package conns

import (
	"testing"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

// newTeamFixture returns a fixture with teams and one listed instance, of whose connections the
// proxy may open four.
func newTeamFixture() *fixture {
	fixture := newFixture(1)
	state := fixture.kernel.State()
	teams, err := model.NewTeams([]*model.Team{model.NewTeam(model.TeamSpec{Name: "a"}), model.NewTeam(model.TeamSpec{Name: "b"})})
	if err != nil {
		panic(err)
	}
	state.SetTeams(teams)
	instances := []model.Instance{model.NewInstance(instance, "127.0.0.1:1", "").WithCapacity(100, 4)}
	state.SetGroups([]model.Group{model.NewGroup("katalog-1", instances)})
	return fixture
}

func (fixture *fixture) acquireForTeam(team model.TeamName) *fakeUser {
	user := &fakeUser{}
	job := route.NewJob(route.JobSpec{
		Request:    model.NewRequest(model.RequestSpec{}),
		Deployment: model.NewDeployment(model.DeploymentSpec{Name: "d"}),
		Group:      "katalog-1",
		Team:       model.NewTeam(model.TeamSpec{Name: team}),
	})
	fixture.run(func() { fixture.pools.Acquire(route.SlotRequest{Instance: instance, Job: job}, user) })
	return user
}

// teamOf returns the team as which a connection was opened.
func (fixture *fixture) teamOf(conn model.ConnID) model.TeamName {
	return fixture.pools.conns[conn].team
}

// Interleaved requests of several teams run on connections of their own team only.
func TestConnectionsBelongToATeam(t *testing.T) {
	is := is.New(t)
	fixture := newTeamFixture()
	for round := range 30 {
		var users []*fakeUser
		var teams []model.TeamName
		for index := range 3 {
			team := model.TeamName([]string{"a", "b", ""}[(round+index*index)%3])
			teams = append(teams, team)
			users = append(users, fixture.acquireForTeam(team))
		}
		fixture.completeOpenings()
		for index, user := range users {
			is.True(user.conn != 0)
			is.Equal(fixture.teamOf(user.conn), teams[index])
		}
		for index, user := range users {
			fixture.release(user.conn, index == 1)
		}
		fixture.resetDone()
	}
}

// resetDone answers all resets.
func (fixture *fixture) resetDone() {
	for _, action := range fixture.actions {
		if reset, ok := action.(event.ResetConn); ok {
			fixture.handle(event.NewResetDone(reset.Conn(), true))
		}
	}
	fixture.actions = nil
}

// Where all connections are open, one that is idle makes room for another team. The waiters are
// served in the order of their arrival.
func TestIdleConnectionMakesRoom(t *testing.T) {
	is := is.New(t)
	fixture := newTeamFixture()
	var users []*fakeUser
	for range 4 {
		users = append(users, fixture.acquireForTeam("a"))
	}
	fixture.completeOpenings()
	other, same := fixture.acquireForTeam("b"), fixture.acquireForTeam("a")
	fixture.completeOpenings()
	is.Equal(other.conn, model.ConnID(0)) // the connections of the other team are all busy
	fixture.release(users[0].conn, false)
	is.True(fixture.wasClosed(users[0].conn))
	fixture.completeOpenings()
	is.Equal(fixture.teamOf(other.conn), model.TeamName("b"))
	is.Equal(same.conn, model.ConnID(0))
	fixture.release(users[1].conn, false)
	is.Equal(same.conn, users[1].conn) // used again
	is.Equal(len(fixture.pools.conns), 4)
}

// Where more proxies than connections share an instance, a connection of a team is closed as soon
// as nothing waits for it. Without teams, or with connections enough, it is kept.
func TestScarceConnectionsAreNotHeld(t *testing.T) {
	tests := []struct {
		name    string
		proxies int
		teams   bool
		closed  bool
	}{
		{name: "scarce, with teams", proxies: 5, teams: true, closed: true},
		{name: "scarce, without teams", proxies: 5},
		{name: "enough, with teams", proxies: 4, teams: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newTeamFixture()
			state := fixture.kernel.State()
			state.SetProxies(make([]model.ProxyView, test.proxies))
			if !test.teams {
				state.SetTeams(nil)
			}
			user := fixture.acquireForTeam("")
			fixture.completeOpenings()
			fixture.release(user.conn, false)
			is.Equal(fixture.wasClosed(user.conn), test.closed)
		})
	}
}

// What the proxy sends itself may use any connection.
func TestPingUsesAnyConnection(t *testing.T) {
	is := is.New(t)
	fixture := newTeamFixture()
	user := fixture.acquireForTeam("a")
	fixture.completeOpenings()
	fixture.release(user.conn, false)
	is.Equal(fixture.acquire().conn, user.conn)
}

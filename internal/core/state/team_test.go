package state

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
)

func newTeams(count int) *model.Teams {
	var list []*model.Team
	for index := range count {
		name := strconv.Itoa(index)
		list = append(list, model.NewTeam(model.TeamSpec{Name: model.TeamName(name), Keys: []model.KeyDigest{model.DigestKey(name)}}))
	}
	teams, err := model.NewTeams(list)
	if err != nil {
		panic(err)
	}
	return teams
}

func TestIdentify(t *testing.T) {
	const maxAge = 5 * time.Second
	tests := []struct {
		name   string
		teams  *model.Teams
		public bool
		key    string
		now    time.Duration // the configuration was current at 10 s
		team   model.TeamName
		code   codes.Code
	}{
		{name: "no teams", key: "x", now: time.Hour},
		{name: "held", teams: newTeams(3), key: "2", now: 15 * time.Second, team: "2"},
		{name: "held, too old", teams: newTeams(3), key: "2", now: 16 * time.Second, team: "2", code: codes.RevisionUnconfirmed},
		{name: "unknown", teams: newTeams(3), key: "x", now: 11 * time.Second, code: codes.UnknownKey},
		{name: "unknown, public", teams: newTeams(3), public: true, key: "x", now: 11 * time.Second},
		{name: "held, public", teams: newTeams(3), public: true, key: "1", now: 11 * time.Second, team: "1"},
		{name: "held, public, too old", teams: newTeams(3), public: true, key: "1", now: 16 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			state := New(model.ProxyView{})
			state.SetTeams(test.teams)
			state.SetListCheckedAt(model.ListConfiguration, 10*time.Second)
			deployment := model.NewDeployment(model.DeploymentSpec{Name: "d", Public: test.public})
			team, code := state.Identify(deployment, model.DigestKey(test.key), test.now, maxAge)
			is.Equal(team.Name(), test.team)
			is.Equal(code, test.code)
		})
	}
}

func BenchmarkIdentify(b *testing.B) {
	state := New(model.ProxyView{})
	state.SetTeams(newTeams(1000))
	state.SetListCheckedAt(model.ListConfiguration, time.Second)
	deployment := model.NewDeployment(model.DeploymentSpec{Name: "d"})
	key := model.DigestKey("17")
	b.ReportAllocs()
	for b.Loop() {
		state.Identify(deployment, key, 2*time.Second, 5*time.Second)
	}
}

package state

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/model"
)

func newHolderState(t *testing.T, proxies, maxConns int) *State {
	view := func(index int) model.ProxyView {
		return model.NewProxyView(model.ProxyID(fmt.Sprintf("p-%02d", index)), "10.0.0.1:1", model.DataCenter(fmt.Sprintf("z-%d", index%3)), 0, false, 0)
	}
	state := New(view(0))
	state.EnableHolders()
	teams, err := model.NewTeams([]*model.Team{model.NewTeam(model.TeamSpec{Name: "a"})})
	if err != nil {
		t.Fatal(err)
	}
	state.SetTeams(teams)
	var instances []model.Instance
	for index := range 30 {
		id := model.InstanceID(fmt.Sprintf("i-%02d", index))
		instances = append(instances, model.NewInstance(id, "10.0.0.2:1", model.DataCenter(fmt.Sprintf("z-%d", index%3))).WithCapacity(5, maxConns))
	}
	state.SetGroups([]model.Group{model.NewGroup("g", instances)})
	var views []model.ProxyView
	for index := range proxies {
		views = append(views, view(index))
	}
	state.SetProxies(views)
	return state
}

// Holders apply only where the setting is on, connections belong to teams and there are fewer of
// them than live proxies. Everywhere else each proxy has its share as before.
func TestHoldersApply(t *testing.T) {
	tests := []struct {
		name              string
		proxies, maxConns int
		change            func(state *State)
		want              bool
	}{
		{"fewer connections than proxies", 20, 19, func(*State) {}, true},
		{"as many connections as proxies", 20, 20, func(*State) {}, false},
		{"no listed maximum", 20, 0, func(*State) {}, false},
		{"two proxies", 2, 1, func(*State) {}, false},
		{"no teams", 20, 19, func(state *State) { state.SetTeams(nil) }, false},
		{"off", 20, 19, func(state *State) { state.holdersEnabled = false }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			state := newHolderState(t, test.proxies, test.maxConns)
			test.change(state)
			is.Equal(len(state.HoldersOf("i-00")) > 0, test.want)
			held := 0
			for _, member := range state.Group("g").Members() {
				if state.Holds(member.ID()) {
					held++
					is.Equal(state.SharersOf(member.ID()), 2)
				} else {
					is.Equal(state.SharersOf(member.ID()), test.proxies)
				}
			}
			is.Equal(held > 0, test.want)
		})
	}
}

// All proxies compute the same two holders, in the data centre of the instance, and few instances
// change theirs when a proxy leaves.
func TestHoldersAgree(t *testing.T) {
	is := is.New(t)
	state := newHolderState(t, 21, 10)
	before := make(map[model.InstanceID]model.ProxyID)
	for _, member := range state.Group("g").Members() {
		holders := state.HoldersOf(member.ID())[:2]
		is.True(holders[0].ID() != holders[1].ID())
		for _, holder := range holders {
			is.Equal(holder.DataCenter(), member.Instance().DataCenter())
		}
		before[member.ID()] = holders[0].ID()
	}
	lost := state.Proxies()[5].ID()
	var left []model.ProxyView
	for _, proxy := range state.Proxies() {
		if proxy.ID() != lost {
			left = append(left, proxy)
		}
	}
	state.SetProxies(left)
	for _, member := range state.Group("g").Members() {
		if before[member.ID()] != lost {
			is.Equal(state.HoldersOf(member.ID())[0].ID(), before[member.ID()])
		}
	}
}

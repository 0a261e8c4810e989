package fleet

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"almondway.dev/almondway/internal/core/model"
)

// TestChangesGiveTheWhole guards against members that differ from those of the proxy that sent
// the changes: a member that is missed would get a share of the connections twice.
func TestChangesGiveTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := func(label string) []model.ProxyView {
			cores := rapid.SliceOfN(rapid.IntRange(0, 2), 12, 12).Draw(t, label) // 0 is no member
			var views []model.ProxyView
			for index, count := range cores {
				if count > 0 {
					views = append(views, model.NewProxyView(model.ProxyID(fmt.Sprintf("proxy-%02d", index)), "10.0.0.1:1", "dc", 0, false, 0).WithCores(float64(count)))
				}
			}
			return views
		}
		before, after := state("before"), state("after")
		var states history
		states.add(4, before)
		changes, ok := states.changesSince(model.NewMembersVersion(1, 4), after)
		if !ok {
			return // the whole is sent
		}
		got := withChanges(before, changes)
		if fmt.Sprint(got) != fmt.Sprint(after) && len(got)+len(after) > 0 {
			t.Fatalf("got %v, want %v", got, after)
		}
	})
}

// TestHistoryIsBounded guards against states that are kept forever, and against changes from a
// state that is not known any more.
func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	var states history
	members := []model.ProxyView{model.NewProxyView("a", "", "dc", 0, false, 0)}
	for version := range uint64(maxKeptStates + 3) {
		states.add(version, members)
		states.add(version, members)
	}
	is.Equal(len(states), maxKeptStates)
	_, ok := states.changesSince(model.NewMembersVersion(1, 2), members)
	is.True(!ok)
	_, ok = states.changesSince(model.NewMembersVersion(1, 3), members)
	is.True(ok)
}

// TestChangesFromAnotherState guards against members that are mixed from two states.
func TestChangesFromAnotherState(t *testing.T) {
	is := is.New(t)
	known := []model.ProxyView{model.NewProxyView("a", "", "dc", 0, false, 0)}
	added := model.NewProxyView("b", "", "dc", 0, false, 0)
	since := model.NewMembersVersion(1, 4)
	reply := model.NewPollReply(model.PollReplySpec{
		Version: model.NewMembersVersion(1, 5), Changed: true, Partial: true,
		Changes: model.NewMemberChanges(since, []model.ProxyView{added}, nil),
	})
	source := &source{members: known, version: since}
	source.record(reply)
	is.Equal(source.members, []model.ProxyView{known[0], added})
	source.record(reply)
	is.Equal(source.version, model.MembersVersion{}) // the next poll asks for all members
	is.Equal(len(source.members), 2)
}

// TestOnlyCallersThatKnowChangesGetThem guards against an answer that a proxy of an earlier version
// takes for one without changes, and against changes from the state of another process.
func TestOnlyCallersThatKnowChangesGetThem(t *testing.T) {
	const process = 7
	tests := []struct {
		name  string
		poll  model.PollSpec
		whole bool
	}{
		{"knows them", model.PollSpec{TakesChanges: true, Members: model.NewMembersVersion(process, 4)}, false},
		{"earlier version", model.PollSpec{Members: model.NewMembersVersion(process, 4)}, true},
		{"state of another process", model.PollSpec{TakesChanges: true, Members: model.NewMembersVersion(8, 4)}, true},
		{"no state", model.PollSpec{TakesChanges: true}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var before, after []model.ProxyView
			for index := range 5 {
				after = append(after, model.NewProxyView(model.ProxyID(fmt.Sprint(index)), "", "dc", 0, false, 0))
			}
			before = after[:4]
			fleet := &Fleet{process: process}
			fleet.announced.live = after
			fleet.announced.liveStates.add(4, before)
			fleet.announced.liveStates.add(5, after)
			var spec model.PollReplySpec
			fleet.addMembers(&spec, model.NewPoll(test.poll))
			is.Equal(spec.Partial, !test.whole)
			if test.whole {
				is.Equal(spec.Members, after)
				return
			}
			is.Equal(spec.Changes.Changed(), after[4:])
			is.Equal(len(spec.Members), 0)
		})
	}
}

package elect_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

// settlement asks the proxy whether the group is settled.
func (fixture *fixture) settlement(is *is.I) model.Settlement {
	is.Helper()
	actions := slices.Clone(fixture.kernel.Handle(fixture.now, event.NewSettleReceived(1, "self", []model.GroupTerm{model.NewGroupTerm(group, 1, "i-1")})))
	fixture.answer(actions)
	for _, action := range actions {
		if answer, ok := action.(event.AnswerSettle); ok {
			return answer.Settlement()
		}
	}
	is.Fail()
	return model.Settlement{}
}

func primaryAt(position model.Position) model.Status {
	return model.NewStatus(1, model.RolePrimary, model.NewMark(1, position), "", 0, false)
}

// losePrimary starts an attempt to promote i-3, if both replicas answer.
func (fixture *fixture) losePrimary() {
	fixture.kernel.State().Group(group).RefutePrimary("i-1", fixture.now)
}

// When a group is settled, and what is said of its term.
func TestSettlement(t *testing.T) {
	ordered := storedLease{Holder: "other", Token: 32, Ordered: map[model.GroupID]string{group: "i-3"}, Led: map[model.GroupID]primaryOf{group: {Instance: "i-1", Term: 4}}}
	leader := model.NewStatus(1, model.RolePrimary, model.NewMark(1, 9), "", 0, false)
	tests := []struct {
		name      string
		play      func(fixture *fixture)
		wantHeld  bool
		want      []model.GroupID
		wantTerms []model.GroupTerm
	}{
		{"no lease", func(fixture *fixture) {
			fixture.put("promoter", storedLease{Holder: "other", Token: 32})
			fixture.run(time.Second)
		}, false, nil, nil},
		{"lease", func(fixture *fixture) {
			fixture.statuses["i-1"] = leader
			fixture.run(time.Second)
		}, true, nil, []model.GroupTerm{model.NewGroupTerm(group, 1, "i-1")}},
		{"lease, and replicas of this term and of an older one", func(fixture *fixture) {
			fixture.statuses["i-1"], fixture.statuses["i-2"] = leader, replicaAt(9)
			fixture.statuses["i-3"] = model.NewStatus(0, model.RoleReplica, model.NewMark(0, 9), "", 0, false)
			fixture.run(time.Second)
		}, true, nil, []model.GroupTerm{model.NewGroupTerm(group, 1, "i-1", "i-2")}},
		{"no report of a primary", func(fixture *fixture) { fixture.run(time.Second) }, true, []model.GroupID{group}, nil},
		{"the primary reported to an earlier holder", func(fixture *fixture) {
			fixture.put("promoter", storedLease{Holder: "other", Token: 32, Led: map[model.GroupID]primaryOf{group: {Instance: "i-1", Term: 4, Only: true}}})
			fixture.run(5 * time.Second)
		}, true, nil, []model.GroupTerm{model.NewGroupTerm(group, 4)}},
		{"an earlier holder ordered another one since the primary reported", func(fixture *fixture) {
			fixture.put("promoter", storedLease{Holder: "other", Token: 32, Led: map[model.GroupID]primaryOf{group: {Instance: "i-1", Term: 4}}})
			fixture.run(5 * time.Second)
		}, true, []model.GroupID{group}, nil},
		{"an instance that the row lacks", func(fixture *fixture) {
			fixture.statuses["i-1"] = leader
			fixture.run(time.Second)
			fixture.writesFail = true
			fixture.answer(fixture.kernel.Handle(fixture.now, event.NewInstanceListed(listingOf("i-4"))))
			fixture.run(200 * time.Millisecond)
		}, true, []model.GroupID{group}, nil},
		{"an instance that the row has got", func(fixture *fixture) {
			fixture.statuses["i-1"] = leader
			fixture.run(time.Second)
			fixture.answer(fixture.kernel.Handle(fixture.now, event.NewInstanceListed(listingOf("i-4"))))
			fixture.run(200 * time.Millisecond)
		}, true, nil, []model.GroupTerm{model.NewGroupTerm(group, 1, "i-1")}},
		{"the lease has ended", func(fixture *fixture) {
			fixture.run(time.Second)
			fixture.now += 2600 * time.Millisecond
		}, false, nil, nil},
		{"an attempt", func(fixture *fixture) {
			fixture.run(time.Second)
			fixture.losePrimary()
			fixture.run(800 * time.Millisecond)
		}, true, []model.GroupID{group}, []model.GroupTerm{model.NewGroupTerm(group, 0)}},
		{"an order of an earlier holder", func(fixture *fixture) {
			fixture.put("promoter", ordered)
			fixture.run(6 * time.Second)
		}, true, []model.GroupID{group}, []model.GroupTerm{model.NewGroupTerm(group, 4)}},
		{"an order of an earlier holder that can no longer be carried out", func(fixture *fixture) {
			fixture.put("promoter", ordered)
			fixture.statuses["i-1"] = model.NewStatus(4, model.RolePrimary, model.NewMark(4, 9), "", 0, false)
			fixture.run(21 * time.Second)
		}, true, nil, []model.GroupTerm{model.NewGroupTerm(group, 4, "i-1")}},
		{"orders lost with a restore", func(fixture *fixture) {
			fixture.put("promoter", storedLease{Token: 32, OrdersLost: true})
			fixture.run(time.Second)
		}, true, []model.GroupID{group}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture(true)
			test.play(fixture)
			settlement := fixture.settlement(is)
			is.Equal(settlement.Held(), test.wantHeld)
			is.Equal(settlement.Unsettled(), test.want)
			if test.wantHeld {
				is.Equal(settlement.Terms(), test.wantTerms)
			}
		})
	}
}

func TestSettleForAnotherProxy(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(true)
	actions := fixture.kernel.Handle(fixture.now, event.NewSettleReceived(1, "other", nil))
	is.Equal(actions, []event.Action{event.NewRefuseSettle(1, codes.WrongProxy)})
}

// Guards against an order that the next promoter does not know, which undoes commits that it confirms.
func TestOrderAwaitsRecord(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(true)
	fixture.statuses["i-2"], fixture.statuses["i-3"] = replicaAt(7), replicaAt(9)
	fixture.run(2 * time.Second)
	fixture.losePrimary()
	fixture.writesFail = true
	fixture.run(1500 * time.Millisecond)
	is.Equal(fixture.promoted, model.InstanceID(""))
	fixture.writesFail = false
	fixture.run(200 * time.Millisecond)
	is.Equal(fixture.promoted, model.InstanceID("i-3"))
	is.Equal(fixture.lease("promoter").Ordered[group], "i-3")
}

// Guards against the promotion of an instance that lacks a commit which was confirmed after the list was read.
func TestOrderAwaitsListAfterConfirmation(t *testing.T) {
	tests := []struct {
		name   string
		listed time.Duration // when the list was last up to date, from the confirmation
		want   model.InstanceID
	}{
		{"before the confirmation", -time.Millisecond, ""},
		{"right after it", time.Millisecond, ""},
		{"later", 150 * time.Millisecond, "i-3"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			mirror := &fakeMirror{}
			fixture := newFixtureWith(true, func(context *kern.Context) kern.Plugin {
				context.ProvideService(route.MirrorService, mirror)
				return mirror
			})
			fixture.statuses["i-1"], fixture.statuses["i-2"], fixture.statuses["i-3"] = primaryAt(9), replicaAt(7), replicaAt(9)
			fixture.run(2 * time.Second)
			delete(fixture.statuses, "i-1")
			fixture.losePrimary()
			is.Equal(len(fixture.settlement(is).Unsettled()), 0)
			fixture.kernel.State().SetListCheckedAt(model.ListInstances, fixture.now+test.listed)
			fixture.run(1900 * time.Millisecond)
			is.Equal(fixture.promoted, test.want)
		})
	}
}

package affirm_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

// Without the holder, the log of a replica confirms a commit only if every later promotion waits for it.
func TestReplicaConfirms(t *testing.T) {
	status := func(term model.Term, tail model.Mark) model.Status {
		return model.NewStatus(term, model.RoleReplica, tail, "", 0, false)
	}
	covering := status(3, model.NewMark(3, 8))
	unchanged := func(*fixture) {}
	tests := []struct {
		name   string
		before func(fixture *fixture) // after the last answer of the holder
		status model.Status
		want   []route.Confirmation
	}{
		{"it has the commit", unchanged, covering, []route.Confirmation{route.CommitConfirmed}},
		{"it lacks the commit", unchanged, status(3, model.NewMark(3, 7)), nil},
		{"its log is of an older term", unchanged, status(3, model.NewMark(2, 9)), nil},
		{"it follows a newer term", unchanged, status(4, model.NewMark(4, 9)), []route.Confirmation{route.CommitSuperseded}},
		{"it knows a newer term", unchanged, status(4, model.NewMark(3, 9)), []route.Confirmation{route.CommitSuperseded}},
		{"it leads", unchanged, model.NewStatus(3, model.RolePrimary, model.NewMark(3, 8), "", 0, false), nil},
		{"the primary has restarted since", func(fixture *fixture) { fixture.list("i-1", 2) }, covering, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture(1)
			fixture.commit(model.NewMark(3, 7))
			fixture.settle()
			fixture.ended = nil
			fixture.commit(model.NewMark(3, 8))
			fixture.fail()
			probes := fixture.probes()
			is.Equal(len(probes), 1) // of i-2: the primary is not asked
			test.before(fixture)
			fixture.handle(event.NewStatusReported(probes[0].Probe(), "i-2", test.status))
			is.Equal(fixture.ended, test.want)
		})
	}
}

// Guards against confirmation by a replica that no promotion need wait for.
func TestUnknownReplicaConfirmsNothing(t *testing.T) {
	tests := []struct {
		name   string
		change func(fixture *fixture)
	}{
		{"no holder was asked before", func(*fixture) {}},
		{"it restarted", func(fixture *fixture) {
			fixture.commit(model.NewMark(3, 7))
			fixture.settle()
			fixture.list("i-2", 2)
		}},
		{"it was not listed for a time", func(fixture *fixture) {
			fixture.commit(model.NewMark(3, 7))
			fixture.settle()
			fixture.handle(event.NewInstanceUnlisted("i-2"))
			fixture.list("i-2", 1)
		}},
		{"it joined", func(fixture *fixture) {
			fixture.handle(event.NewInstanceUnlisted("i-2"))
			fixture.commit(model.NewMark(3, 7))
			fixture.settle()
			fixture.list("i-3", 1)
		}},
		{"it did not follow the term", func(fixture *fixture) {
			fixture.commit(model.NewMark(3, 7))
			fixture.settleWith(model.NewGroupTerm(group, 3, "i-1"))
		}},
		{"another term was settled", func(fixture *fixture) {
			fixture.commit(model.NewMark(2, 7))
			fixture.settleWith(model.NewGroupTerm(group, 2, "i-1", "i-2"))
		}},
		{"the primary did not count", func(fixture *fixture) {
			fixture.commit(model.NewMark(3, 7))
			fixture.settleWith(model.NewGroupTerm(group, 3, "i-2"))
		}},
		{"the group was not settled", func(fixture *fixture) {
			id := fixture.commit(model.NewMark(3, 7))
			fixture.settle(group)
			fixture.confirmations.EndWait(id, "deadline")
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture(1)
			test.change(fixture)
			fixture.ended = nil
			fixture.commit(model.NewMark(3, 8))
			fixture.fail()
			fixture.run(300 * time.Millisecond)
			is.Equal(len(fixture.probes()), 0)
			is.Equal(len(fixture.ended), 0)
		})
	}
}

// A call that takes long is not waited for: replicas are asked meanwhile.
func TestSlowHolder(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(1)
	fixture.commit(model.NewMark(3, 7))
	fixture.settle()
	fixture.commit(model.NewMark(3, 8))
	fixture.run(110 * time.Millisecond)
	probes := fixture.probes()
	is.Equal(len(probes), 1)
	fixture.handle(event.NewProbeFailed(probes[0].Probe(), "i-2", model.ConnFailureTimeout))
	fixture.run(60 * time.Millisecond)
	is.Equal(len(fixture.probes()), 1)
}

// A holder that cannot say whether the group is settled leaves the commits to the replicas.
func TestHolderThatCannotSay(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(1)
	fixture.commit(model.NewMark(3, 7))
	fixture.settle()
	fixture.commit(model.NewMark(3, 8))
	for _, call := range fixture.calls() {
		fixture.handle(event.NewSettleAnswered(call.ID(), model.NewSettlement("holder", []model.GroupID{group}, nil)))
	}
	probes := fixture.probes()
	is.Equal(len(probes), 1)
	fixture.handle(event.NewStatusReported(probes[0].Probe(), "i-2", model.NewStatus(3, model.RoleReplica, model.NewMark(3, 8), "", 0, false)))
	is.Equal(len(fixture.ended), 2)
}

// Guards against a commit that waits for a question that was sent before it, to a holder that is silent.
func TestCommitDuringSilentRefresh(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(1)
	fixture.commit(model.NewMark(3, 7))
	fixture.settle()
	for len(fixture.calls()) == 0 {
		fixture.run(time.Millisecond)
	}
	fixture.run(150 * time.Millisecond)
	is.Equal(len(fixture.probes()), 0)
	fixture.kernel.State().SetListCheckedAt(model.ListInstances, fixture.now)
	fixture.commit(model.NewMark(3, 8))
	is.Equal(len(fixture.probes()), 1)
}

// Guards against commits that wait for the next holder at a proxy that has not asked one before.
func TestReplicaOfRecordConfirms(t *testing.T) {
	tests := []struct {
		name     string
		recorded model.GroupTerm
		restarts bool
		want     int
	}{
		{"recorded", model.NewGroupTerm(group, 3, "i-1", "i-2"), false, 1},
		{"recorded in an older term", model.NewGroupTerm(group, 2, "i-1", "i-2"), false, 0},
		{"not recorded as following", model.NewGroupTerm(group, 3, "i-1"), false, 0},
		{"recorded before it restarted", model.NewGroupTerm(group, 3, "i-1", "i-2"), true, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture(1)
			fixture.now += time.Second
			fixture.promoter.recorded, fixture.promoter.recordedAt = []model.GroupTerm{test.recorded}, fixture.now
			fixture.now += time.Second
			if test.restarts {
				fixture.list("i-2", 2)
			}
			fixture.kernel.State().SetListCheckedAt(model.ListInstances, fixture.now)
			fixture.commit(model.NewMark(3, 8))
			fixture.fail()
			is.Equal(len(fixture.probes()), test.want)
		})
	}
}

// Guards against replicas that confirm commits of a proxy which nobody has answered lately.
func TestIsolatedProxyAsksNoReplica(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(1)
	fixture.commit(model.NewMark(3, 7))
	fixture.settle()
	fixture.run(time.Second)
	fixture.commit(model.NewMark(3, 8))
	fixture.fail()
	fixture.run(50 * time.Millisecond)
	is.Equal(len(fixture.probes()), 0)
	fixture.run(100 * time.Millisecond)
	for _, call := range fixture.calls() {
		fixture.handle(event.NewSettleAnswered(call.ID(), model.NewReferral("")))
	}
	fixture.run(20 * time.Millisecond)
	is.Equal(len(fixture.probes()), 1)
}

// Guards against proxies that take the last connections of a full instance with their questions.
func TestFullReplicaIsAskedLess(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(1)
	fixture.commit(model.NewMark(3, 7))
	fixture.settle()
	fixture.commit(model.NewMark(3, 8))
	asked := 0
	for until := fixture.now + 2*time.Second; fixture.now < until; fixture.run(5 * time.Millisecond) {
		fixture.kernel.State().SetListCheckedAt(model.ListInstances, fixture.now)
		for _, probe := range fixture.probes() {
			asked++
			fixture.handle(event.NewProbeFailed(probe.Probe(), "i-2", model.ConnFailureFull))
		}
	}
	is.True(asked >= 3)
	is.True(asked <= 6)
}

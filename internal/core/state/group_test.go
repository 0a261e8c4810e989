package state

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/model"
)

const (
	a model.InstanceID = "a"
	b model.InstanceID = "b"
	c model.InstanceID = "c"
)

func term(count uint64) model.Term { return model.NewTerm(count, 1) }

func mark(count uint64, position model.Position) model.Mark {
	return model.NewMark(term(count), position)
}

func newGroup(ids ...model.InstanceID) *Group {
	var instances []model.Instance
	for _, id := range ids {
		instances = append(instances, model.NewInstance(id, "", ""))
	}
	return NewGroup(model.NewGroup("katalog-1", instances))
}

// report is a status report of an instance.
type report struct {
	instance model.InstanceID
	fence    uint64
	role     model.Role
	tail     model.Mark
}

func (report report) observe(group *Group, sentAt time.Duration) {
	status := model.NewStatus(term(report.fence), report.role, report.tail, "", 0, false)
	group.Observe(report.instance, status, sentAt)
}

func TestAcknowledged(t *testing.T) {
	const (
		replica = model.RoleReplica
		primary = model.RolePrimary
	)
	tests := []struct {
		name         string
		reports      []report
		mark         model.Mark
		acknowledged bool
		stable       bool
	}{
		{"primary alone", []report{{a, 1, primary, mark(1, 2)}, {b, 1, replica, mark(1, 1)}}, mark(1, 2), false, false},
		{"majority", []report{{a, 1, primary, mark(1, 2)}, {b, 1, replica, mark(1, 2)}}, mark(1, 2), true, true},
		{"replica that copied the entry, older report of the primary", []report{{a, 1, primary, mark(1, 1)}, {b, 1, replica, mark(1, 2)}}, mark(1, 2), false, true},
		{"replica that is fenced with another term", []report{{a, 1, primary, mark(1, 2)}, {b, 2, replica, mark(1, 2)}}, mark(1, 2), false, false},
		{"majority that was fenced later", []report{
			{a, 1, primary, mark(1, 2)},
			{b, 1, replica, mark(1, 2)},
			{b, 2, replica, mark(1, 2)},
		}, mark(1, 2), true, true},
		{"Raft figure 8: tombstone of a primary that is lost", []report{
			{a, 1, primary, mark(1, 2)},
			{b, 2, primary, mark(2, 3)},
			{c, 2, replica, mark(1, 1)},
			{a, 3, primary, mark(3, 3)},
			{c, 3, replica, mark(1, 1)},
		}, mark(2, 3), false, false},
		{"Raft figure 8: first entry of the current term on a majority", []report{
			{a, 1, primary, mark(1, 2)},
			{b, 2, primary, mark(2, 2)},
			{a, 3, primary, mark(3, 3)},
			{c, 3, replica, mark(3, 3)},
		}, mark(3, 3), true, true},
		{"mirror of Raft figure 8: older entry copied in a later term", []report{
			{a, 1, primary, mark(1, 2)},
			{b, 2, primary, mark(2, 2)},
			{a, 3, primary, mark(3, 3)},
			{c, 3, replica, mark(1, 2)},
		}, mark(1, 2), false, false},
		{"mirror of Raft figure 8: older entry, promotions unknown", []report{
			{a, 1, primary, mark(1, 2)},
			{c, 3, replica, mark(1, 2)},
		}, mark(1, 2), false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			group := newGroup(a, b, c)
			for index, report := range test.reports {
				report.observe(group, time.Duration(index))
			}
			is.Equal(group.Acknowledged(test.mark), test.acknowledged)
			is.Equal(group.Stable(test.mark), test.stable)
		})
	}
}

func TestReadIndex(t *testing.T) {
	const since = 10
	tests := []struct {
		name   string
		tails  map[model.InstanceID]model.Mark
		sentAt map[model.InstanceID]time.Duration
		index  model.Mark
		ok     bool
	}{
		{"no majority", map[model.InstanceID]model.Mark{a: mark(1, 9), b: mark(1, 7)}, map[model.InstanceID]time.Duration{a: since, b: since - 1}, model.Mark{}, false},
		{"primary and replica", map[model.InstanceID]model.Mark{a: mark(1, 9), b: mark(1, 7)}, map[model.InstanceID]time.Duration{a: since, b: since}, mark(1, 9), true},
		{"lowest majority", map[model.InstanceID]model.Mark{a: mark(1, 9), b: mark(1, 7), c: mark(1, 8)}, map[model.InstanceID]time.Duration{a: since, b: since, c: since}, mark(1, 8), true},
		{"equal tails", map[model.InstanceID]model.Mark{a: mark(1, 9), b: mark(1, 9), c: mark(1, 9)}, map[model.InstanceID]time.Duration{a: since, b: since, c: since}, mark(1, 9), true},
		{"cut-off primary of an older term", map[model.InstanceID]model.Mark{a: mark(1, 9), b: mark(2, 5), c: mark(2, 4)}, map[model.InstanceID]time.Duration{a: since, b: since, c: since}, mark(2, 4), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			group := newGroup(a, b, c)
			for _, id := range []model.InstanceID{a, b, c} {
				if tail, reported := test.tails[id]; reported {
					report{id, 2, model.RoleReplica, tail}.observe(group, test.sentAt[id])
				}
			}
			index, ok := group.ReadIndex(since)
			is.Equal(ok, test.ok)
			if ok {
				is.Equal(index, test.index)
			}
		})
	}
}

func TestWithinStaleness(t *testing.T) {
	is := is.New(t)
	group := newGroup(a, b, c)
	for step := 1; step <= 100; step++ {
		sentAt := time.Duration(step) * 50 * time.Millisecond
		for _, id := range []model.InstanceID{a, b} {
			report{id, 1, model.RoleReplica, mark(1, model.Position(step))}.observe(group, sentAt)
		}
	}
	now := 5 * time.Second
	is.True(group.WithinStaleness(mark(1, 100), time.Millisecond, now))
	is.True(group.WithinStaleness(mark(1, 60), 2*time.Second, now))
	is.True(!group.WithinStaleness(mark(1, 59), 2*time.Second, now))
	is.True(!group.WithinStaleness(mark(1, 100), time.Millisecond, now+time.Second)) // no report since
}

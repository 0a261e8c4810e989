package state

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/model"
)

func TestPrimaryFromReports(t *testing.T) {
	tests := []struct {
		name     string
		role     model.Role
		fence    uint64
		tail     model.Mark
		upstream model.InstanceID
		primary  model.InstanceID
	}{
		{name: "the primary of its term", role: model.RolePrimary, fence: 2, tail: mark(2, 5), primary: b},
		{name: "a primary that was fenced", role: model.RolePrimary, fence: 3, tail: mark(2, 5)},
		{name: "a replica that copied entries of its term", fence: 2, tail: mark(2, 5), upstream: c, primary: c},
		{name: "a replica that has not copied any entry", fence: 2, tail: mark(1, 4), upstream: c},
		{name: "a replica that was fenced later", fence: 3, tail: mark(2, 5), upstream: c},
		{name: "a replica that was restarted", fence: 2, tail: mark(2, 5)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			group := newGroup(a, b, c)
			status := model.NewStatus(term(test.fence), test.role, test.tail, test.upstream, 0, false)
			is.Equal(group.Observe(b, status, time.Second), test.primary != "")
			if test.primary != "" {
				is.Equal(group.Primary().ID(), test.primary)
				is.Equal(group.Term(), term(2))
			}
		})
	}
}

func TestLostLog(t *testing.T) {
	const replica = model.RoleReplica
	tests := []struct {
		name        string
		reports     []report // one a second
		recovering  bool
		logComplete bool // whether a log that ends at 1/9 counts towards a majority
	}{
		{name: "a log that grows", reports: []report{{c, 1, replica, mark(1, 8)}, {c, 1, replica, mark(1, 9)}}, logComplete: true},
		{name: "a log of a higher term with fewer entries", reports: []report{{c, 1, replica, mark(1, 9)}, {c, 2, replica, mark(2, 7)}}},
		{name: "an empty log", reports: []report{{c, 1, replica, mark(1, 9)}, {c, 0, replica, model.Mark{}}}, recovering: true},
		{
			name: "caught up according to reports from before the loss",
			reports: []report{
				{a, 1, model.RolePrimary, mark(1, 9)},
				{b, 1, replica, mark(1, 5)},
				{c, 1, replica, mark(1, 9)},
				{c, 1, replica, mark(1, 2)},
				{c, 1, replica, mark(1, 9)},
			},
			recovering: true,
		},
		{
			name: "caught up with one of the others",
			reports: []report{
				{c, 1, replica, mark(1, 9)},
				{c, 1, replica, mark(1, 2)},
				{c, 1, replica, mark(1, 3)},
				{b, 1, replica, mark(1, 5)},
				{c, 1, replica, mark(1, 9)},
			},
			recovering: true,
		},
		{
			name: "caught up with both others",
			reports: []report{
				{c, 1, replica, mark(1, 9)},
				{c, 1, replica, mark(1, 2)},
				{c, 1, replica, mark(1, 3)},
				{a, 1, model.RolePrimary, mark(1, 9)},
				{b, 1, replica, mark(1, 5)},
				{c, 1, replica, mark(1, 9)},
			},
			logComplete: true,
		},
		{
			name: "the others advanced after a read index was taken",
			reports: []report{
				{c, 1, replica, mark(1, 9)},
				{c, 1, replica, mark(1, 2)},
				{c, 1, replica, mark(1, 3)},
				{a, 1, model.RolePrimary, mark(1, 9)},
				{b, 1, replica, mark(1, 9)},
				{a, 1, model.RolePrimary, mark(1, 12)},
				{b, 1, replica, mark(1, 12)},
				{c, 1, replica, mark(1, 9)},
			},
			logComplete: true,
		},
		{
			name: "lost again during recovery",
			reports: []report{
				{c, 1, replica, mark(1, 9)},
				{c, 1, replica, mark(1, 2)},
				{c, 1, replica, mark(1, 3)},
				{a, 1, model.RolePrimary, mark(1, 9)},
				{b, 1, replica, mark(1, 9)},
				{c, 0, replica, model.Mark{}},
				{c, 1, replica, mark(1, 9)},
				{c, 1, replica, mark(1, 10)},
			},
			recovering: true,
		},
		{name: "empty in the first report", reports: []report{{c, 0, replica, model.Mark{}}}, recovering: true},
		{
			name: "still behind the others",
			reports: []report{
				{c, 1, replica, mark(1, 9)},
				{c, 1, replica, mark(1, 2)},
				{c, 1, replica, mark(1, 3)},
				{a, 1, model.RolePrimary, mark(1, 12)},
				{b, 1, replica, mark(1, 5)},
				{c, 1, replica, mark(1, 11)},
			},
			recovering: true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			group := newGroup(a, b, c)
			for second, report := range test.reports {
				report.observe(group, time.Duration(second+1)*time.Second)
			}
			member := group.Member(c)
			is.Equal(member.Recovering(), test.recovering)
			is.Equal(member.LogCompleteAt(mark(1, 9)), test.logComplete)
			is.Equal(member.reportedSince(0), !test.recovering)
		})
	}
}

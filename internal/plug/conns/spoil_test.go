package conns

import (
	"testing"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

// requestUser is a ConnUser that runs a statement of a caller's request.
type requestUser struct{ fakeUser }

func (*requestUser) RequestID() string { return "r-1" }

// lastSpoiled returns the last decision about a connection that cannot be used again.
func (fixture *fixture) lastSpoiled() model.Decision {
	var last model.Decision
	for _, action := range fixture.actions {
		if logged, ok := action.(event.LogDecision); ok && logged.Decision().Name == "conn_spoiled" {
			last = logged.Decision()
		}
	}
	return last
}

// The log tells a lost answer from a statement that was never sent or was refused.
func TestSpoiledConnectionNamesReasonAndRequest(t *testing.T) {
	fail := func(class model.FailureClass) func(*fixture, model.ConnID) {
		return func(fixture *fixture, conn model.ConnID) {
			fixture.handle(event.NewExecuteFailed(fixture.lastExec(), conn, class, false, model.Mark{}, nil))
		}
	}
	tests := []struct {
		name   string
		end    func(fixture *fixture, conn model.ConnID)
		reason string
	}{
		{"not sent", fail(model.FailureNotSent), "nothing was sent"},
		{"lost", fail(model.FailureLost), "the answer was lost"},
		{"shut down", fail(model.FailureLeaving), "the instance is shutting down"},
		{"failed", fail(model.FailureStatement), "the statement failed"},
		{"refused", fail(model.FailureFenced), "the instance refused the statement"},
		{"abandoned", func(fixture *fixture, conn model.ConnID) {
			fixture.run(func() { fixture.pools.Discard(conn) })
		}, "the answer was abandoned"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture(1)
			user := &requestUser{}
			fixture.run(func() { fixture.pools.Acquire(route.SlotRequest{Instance: instance}, user) })
			fixture.completeOpenings()
			fixture.run(func() { fixture.pools.Execute(user.conn, model.NewWork(model.WorkSpec{})) })
			test.end(fixture, user.conn)
			is.Equal(fixture.lastSpoiled(), model.Decision{Name: "conn_spoiled", Instance: instance, RequestID: "r-1", Reason: test.reason})
		})
	}
}

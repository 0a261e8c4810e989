package affirm_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// Guards against a foreign answer (HTTP 404) that passes commits on as if the holder were an old proxy.
func TestUnsupportedAnswerConfirmsNothingAfterSettlement(t *testing.T) {
	tests := []struct {
		name   string
		before func(fixture *fixture)
	}{
		{"the same holder has answered the call before", func(fixture *fixture) {
			fixture.commit(model.NewMark(3, 7))
			fixture.settle()
		}},
		{"the holder has said that a promotion is under way", func(fixture *fixture) {
			fixture.commit(model.NewMark(3, 7))
			fixture.settle(group)
			fixture.run(60 * time.Millisecond)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture(1)
			test.before(fixture)
			fixture.ended = nil
			if len(fixture.actions) == 0 {
				fixture.commit(model.NewMark(3, 8))
			}
			calls := fixture.calls()
			is.True(len(calls) > 0)
			for _, call := range calls {
				fixture.handle(event.NewSettleFailed(call.ID(), true, "unimplemented: 404 Not Found"))
			}
			is.Equal(len(fixture.ended), 0) // a commit was passed on
		})
	}
}

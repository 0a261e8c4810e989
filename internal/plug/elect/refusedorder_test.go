package elect_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// answerPromotions answers each promotion call that has been sent and not answered.
func (fixture *fixture) answerPromotions(outcome model.PromotionOutcome) {
	for call := range model.PlatformCallID(20000) {
		fixture.answer(fixture.kernel.Handle(fixture.now, event.NewPromotionAnswered(call, outcome)))
	}
}

// Guards against an order without an answer that is forgotten when the one after it is refused.
func TestRefusalOfRepeatedOrderLeavesFirstOutstanding(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(true)
	fixture.statuses["i-1"] = model.NewStatus(1, model.RolePrimary, model.NewMark(1, 9), "", 0, false)
	fixture.statuses["i-2"], fixture.statuses["i-3"] = replicaAt(7), replicaAt(9)
	fixture.run(2 * time.Second)
	leader := fixture.statuses["i-1"]
	delete(fixture.statuses, "i-1")
	fixture.losePrimary()
	for until := fixture.now + 3*time.Second; len(fixture.tokens) < 1 && fixture.now < until; {
		fixture.run(50 * time.Millisecond)
	}
	is.Equal(len(fixture.tokens), 1)
	fixture.answerPromotions(model.PromotionUnanswered)
	for until := fixture.now + 3*time.Second; len(fixture.tokens) < 2 && fixture.now < until; {
		fixture.run(50 * time.Millisecond)
	}
	is.Equal(len(fixture.tokens), 2)
	sentAt := fixture.now
	delete(fixture.statuses, "i-3")
	fixture.answerPromotions(model.PromotionRefused) // the instance does not run at that moment
	fixture.statuses["i-1"] = leader                 // the primary is back
	fixture.statuses["i-2"] = replicaAt(9)           // it has restarted, so that it is not paused
	for fixture.now < sentAt+3*time.Second {
		fixture.run(50 * time.Millisecond)
		is.Equal(fixture.lease("promoter").Ordered[group], "i-3") // the next holder must know the first order
	}
}

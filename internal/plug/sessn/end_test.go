package sessn

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

// endRequests ends the requests as the drain plug-in does.
func (fixture *fixture) endRequests() {
	fixture.state().SetDraining()
	fixture.sessions.context.Timers().After(0, fixture.sessions.EndRequests)
	fixture.recordAnswers(fixture.kernel.Tick(fixture.now))
}

func (fixture *fixture) lastCode() codes.Code { return fixture.replies[len(fixture.replies)-1].Code() }

func TestEndOfDrainLeavesNoRequestUnanswered(t *testing.T) {
	begin, statement, commit := model.RequestSpec{Op: model.OpBegin}, model.RequestSpec{Kind: "edit"}, model.RequestSpec{Op: model.OpCommit}
	tests := []struct {
		name       string
		answered   []model.RequestSpec // before the end
		running    []model.RequestSpec
		rolledBack int
		next       model.RequestSpec // after the end
		nextCode   codes.Code
	}{
		{name: "idle", next: statement, nextCode: codes.Draining},
		{name: "single statement", running: []model.RequestSpec{statement}, next: statement, nextCode: codes.Draining},
		{name: "statements in a row", running: []model.RequestSpec{statement, statement, begin}, next: statement, nextCode: codes.Draining},
		{name: "statement of a transaction", answered: []model.RequestSpec{begin, statement}, running: []model.RequestSpec{statement}, next: statement, nextCode: codes.TransactionLost},
		{name: "commit", answered: []model.RequestSpec{begin, statement}, running: []model.RequestSpec{commit}, next: statement, nextCode: codes.Draining},
		{name: "open transaction", answered: []model.RequestSpec{begin, statement}, rolledBack: 1, next: statement, nextCode: codes.TransactionLost},
		{name: "commit after the end", answered: []model.RequestSpec{begin, statement}, rolledBack: 1, next: commit, nextCode: codes.TransactionState},
		{name: "transaction without statements", answered: []model.RequestSpec{begin}, next: statement, nextCode: codes.TransactionLost},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture("katalog-1")
			fixture.open()
			for _, spec := range test.answered {
				fixture.send(spec)
				if spec.Op != model.OpBegin {
					fixture.finish(fixture.writer, route.ResultSpec{})
				}
			}
			before := len(fixture.replies)
			for _, spec := range test.running {
				fixture.send(spec)
			}
			fixture.endRequests()
			is.Equal(len(fixture.replies), before+len(test.running))
			fixture.send(test.next)
			is.Equal(len(fixture.replies), before+len(test.running)+1)
			is.Equal(fixture.lastCode(), test.nextCode)
			is.Equal(fixture.writer.rolledBack, test.rolledBack)
		})
	}
}

func TestDeadlineEndsWithDrain(t *testing.T) {
	is := is.New(t)
	fixture := newFixture("katalog-1")
	fixture.open()
	fixture.send(model.RequestSpec{Op: model.OpBegin})
	fixture.handle(event.NewDrainStarted(100 * time.Millisecond))
	fixture.send(model.RequestSpec{Kind: "browse"})
	is.Equal(fixture.reader.jobs[0].Deadline(), 100*time.Millisecond)
}

package table_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/table"
	"almondway.dev/almondway/internal/core/tune"
	"almondway.dev/almondway/internal/plug/eras"
)

// caller is a plug-in that makes calls through a table.Client.
type caller struct {
	client *table.Client
}

// Handle implements kern.Plugin.
func (caller *caller) Handle(received event.Event) { caller.client.Handle(received) }

// TestAnswersAfterRestore checks that an answer counts only if the store was not restored
// since the call was made. What was written before may be gone, and what was read too.
func TestAnswersAfterRestore(t *testing.T) {
	tests := []struct {
		name        string
		answerEra   model.StoreEra
		newEra      model.StoreEra // seen between the call and its answer, or 0
		wantOutcome table.Outcome
		wantRead    bool
	}{
		{name: "no restore", answerEra: 4, wantOutcome: table.Written, wantRead: true},
		{name: "answer of the new era", answerEra: 5, newEra: 5, wantOutcome: table.Failed, wantRead: true},
		{name: "late answer of the era before", answerEra: 4, newEra: 5, wantOutcome: table.Failed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			calls := &caller{}
			self := model.NewProxyView("p", "", "trnje-hall", 0, false, 0)
			kernel := kern.NewWithFactories(self, tune.New(tune.Default()), time.Unix(0, 0), 1, eras.New, func(context *kern.Context) kern.Plugin {
				calls.client = table.New(context)
				return calls
			})
			kernel.Handle(0, event.NewStoreEraSeen(4))
			var outcomes []table.Outcome
			var reads []bool
			calls.client.Write(nil, func(outcome table.Outcome) { outcomes = append(outcomes, outcome) })
			calls.client.Read("almondway", "", func(_ []model.Row, ok bool) { reads = append(reads, ok) })
			if test.newEra > 0 {
				kernel.Handle(1, event.NewStoreEraSeen(test.newEra))
			}
			kernel.Handle(2, event.NewStoreWritten(1).WithEra(test.answerEra))
			kernel.Handle(3, event.NewStoreRead(2, nil).WithEra(test.answerEra))
			kernel.Tick(10 * time.Second) // ends the calls without an answer
			is.Equal(outcomes, []table.Outcome{test.wantOutcome})
			is.Equal(reads, []bool{test.wantRead})
		})
	}
}

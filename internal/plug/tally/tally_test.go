package tally

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/count"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/tune"
	_ "almondway.dev/almondway/internal/plug/probe"
	"almondway.dev/almondway/internal/stand/script"
)

func newScript() *script.Script {
	deployment := model.NewDeployment(model.DeploymentSpec{Name: script.Deployment, Groups: []model.GroupID{script.Group}})
	return script.New(deployment, tune.Default())
}

func TestCounters(t *testing.T) {
	tests := []struct {
		name     string
		received event.Event
		want     count.Name
	}{
		{"fenced write", event.NewExecuteFailed(1, 1, model.FailureFenced, true, model.Mark{}, nil), count.FencedWrites},
		{"lost answer", event.NewExecuteFailed(1, 1, model.FailureLost, false, model.Mark{}, nil), count.LostAnswers},
		{"refused order", event.NewOrderAnswered(1, script.A, false, model.Status{}), count.OrdersRefused},
		{"store failure", event.NewStoreFailed(1), count.StoreFailures},
		{"store conflict", event.NewStoreConflict(1), count.StoreConflicts},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			script := newScript()
			before := script.State().Counts().Value(test.want)
			script.Handle(test.received)
			is.Equal(script.State().Counts().Value(test.want), before+1)
		})
	}
}

func TestNamesAreDistinct(t *testing.T) {
	is := is.New(t)
	seen := make(map[string]bool)
	for _, name := range count.Names() {
		is.True(name.String() != "" && !seen[name.String()])
		seen[name.String()] = true
	}
}

// The gap lasts from the last report of the lost primary until a majority has the first
// entry of the new term. A gap that ended as soon as the new primary is known would be too
// short.
func TestFailoverGap(t *testing.T) {
	is := is.New(t)
	script := newScript()
	script.Advance(time.Second)
	is.Equal(len(script.State().Counts().TakeFailoverGaps()), 0)
	script.Instance("katalog-1-a").Silent = true
	script.Advance(time.Second)
	script.Promote("katalog-1-b", 2)
	script.Advance(500 * time.Millisecond)
	is.Equal(script.GroupState().Term(), model.NewTerm(2, 1))
	is.Equal(len(script.State().Counts().TakeFailoverGaps()), 0) // no replica has the entry yet
	script.Promote("katalog-1-b", 2, "katalog-1-c")
	script.Advance(500 * time.Millisecond)
	gaps := script.State().Counts().TakeFailoverGaps()
	is.Equal(len(gaps), 1)
	is.True(gaps[0] > 1500*time.Millisecond && gaps[0] < 1700*time.Millisecond)
	script.Advance(time.Second)
	is.Equal(len(script.State().Counts().TakeFailoverGaps()), 0)
}

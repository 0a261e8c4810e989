package reads

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/tune"
	_ "almondway.dev/almondway/internal/plug/conns"
	_ "almondway.dev/almondway/internal/plug/limit"
	_ "almondway.dev/almondway/internal/plug/probe"
	_ "almondway.dev/almondway/internal/plug/sessn"
	"almondway.dev/almondway/internal/stand/script"
)

const student model.CallerID = 1

func deployment(policy model.LagPolicy) *model.Deployment {
	return model.NewDeployment(model.DeploymentSpec{
		Name:   script.Deployment,
		Groups: []model.GroupID{script.Group},
		Kinds: []model.Kind{
			model.NewKind(model.KindSpec{Name: "seat_count", Access: model.AccessRead, Timeout: time.Second}),
			model.NewKind(model.KindSpec{Name: "browse", Access: model.AccessRead, Staleness: 300 * time.Millisecond, Timeout: time.Second}),
		},
		Classes:   []model.Class{model.NewClass(model.ClassSpec{Name: "student"})},
		LagPolicy: policy,
	})
}

func start(policy model.LagPolicy) *script.Script {
	started := script.New(deployment(policy), tune.Default())
	started.Open(student, "student")
	started.Executions()
	started.Actions()
	return started
}

func TestReadGoesToAReplica(t *testing.T) {
	tests := []struct {
		name string
		kind string
	}{
		{"fresh", "seat_count"},
		{"bounded staleness", "browse"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			mark := script.Mark(1, 1)
			script := start(model.LagWait)
			script.Send(model.RequestSpec{Caller: student, Kind: test.kind})
			execution := script.Execution()
			is.True(execution.Instance != "katalog-1-a") // not the primary
			is.True(!execution.Work.Write())
			script.Done(execution, mark, nil)
			script.Advance(10 * time.Millisecond)
			reply := script.Reply()
			is.True(reply != nil)
			is.Equal(reply.Code(), codes.OK)
			is.Equal(reply.Token().Mark("katalog-1"), mark)
		})
	}
}

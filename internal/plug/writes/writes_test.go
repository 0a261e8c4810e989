package writes

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
	_ "almondway.dev/almondway/internal/plug/reads"
	_ "almondway.dev/almondway/internal/plug/sessn"
	"almondway.dev/almondway/internal/stand/script"
)

const registrar model.CallerID = 1

func deployment() *model.Deployment {
	return model.NewDeployment(model.DeploymentSpec{
		Name:   script.Deployment,
		Groups: []model.GroupID{script.Group},
		Kinds: []model.Kind{
			model.NewKind(model.KindSpec{Name: "edit", Access: model.AccessWrite, Idempotent: true, Timeout: time.Second}),
			model.NewKind(model.KindSpec{Name: "enrol", Access: model.AccessWrite, Timeout: time.Second}),
			model.NewKind(model.KindSpec{Name: "seat_count", Access: model.AccessRead, Timeout: time.Second}),
		},
		Classes:   []model.Class{model.NewClass(model.ClassSpec{Name: "registrar", ReadYourWrites: true})},
		LagPolicy: model.LagWait,
	})
}

func start() *script.Script {
	started := script.New(deployment(), tune.Default())
	started.Open(registrar, "registrar")
	started.Executions()
	started.Actions()
	return started
}

func TestWriteNeedsAMajority(t *testing.T) {
	is := is.New(t)
	mark := script.Mark(1, 2)
	script := start()
	script.Send(model.RequestSpec{Caller: registrar, Kind: "edit"})
	execution := script.Execution()
	is.Equal(execution.Instance, model.InstanceID("katalog-1-a")) // the primary
	is.True(execution.Work.Write())
	script.Done(execution, mark, nil)
	is.Equal(len(script.Replies()), 0) // the primary's answer alone proves nothing
	script.Instance("katalog-1-b").Tail = mark
	script.Advance(100 * time.Millisecond)
	reply := script.Reply()
	is.True(reply != nil)
	is.Equal(reply.Code(), codes.OK)
	is.Equal(reply.Outcome(), model.OutcomeDone)
	is.Equal(reply.Token().Mark("katalog-1"), mark)
}

func TestWriteWaitsWhileThePrimaryIsMoved(t *testing.T) {
	is := is.New(t)
	script := start()
	view := script.View()
	view.Hold(time.Minute, true)
	script.Send(model.RequestSpec{Caller: registrar, Kind: "edit"})
	script.Advance(100 * time.Millisecond)
	is.Equal(len(script.Executions()), 0)
	view.Release()
	script.Advance(100 * time.Millisecond)
	is.Equal(script.Execution().Instance, model.InstanceID("katalog-1-a"))
}

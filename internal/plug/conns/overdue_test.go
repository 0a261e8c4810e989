package conns

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

const overdueTarget = 200 * time.Millisecond

// overdueUser is a fakeUser that counts the calls of ExecuteOverdue.
type overdueUser struct {
	fakeUser
	overdue int
}

func (overdueUser *overdueUser) ExecuteOverdue() { overdueUser.overdue++ }

// send sends a statement of a caller class with the given limit.
func (fixture *fixture) send(maxConcurrent int) (*overdueUser, model.ExecID) {
	user := &overdueUser{}
	request := route.SlotRequest{Instance: instance, Job: route.NewJob(route.JobSpec{
		Request:    model.NewRequest(model.RequestSpec{}),
		Deployment: model.NewDeployment(model.DeploymentSpec{Name: "katalog"}),
		Kind:       model.NewKind(model.KindSpec{TargetLatency: overdueTarget}),
		Class:      model.NewCallerClass(model.CallerClassSpec{MaxConcurrent: maxConcurrent}),
		Arrived:    fixture.now,
		Deadline:   time.Hour,
	})}
	fixture.run(func() { fixture.pools.Acquire(request, user) })
	fixture.completeOpenings()
	fixture.run(func() { fixture.pools.Execute(user.conn, model.NewWork(model.WorkSpec{Step: model.StepSingle})) })
	return user, fixture.lastExec()
}

// A statement that hangs while the instance answers later ones gives its slot back after half its
// target, and one that nothing overtakes after two targets. Otherwise the hung statements of a
// proxy keep it from sending others until they time out. A class with a limit keeps its slots.
func TestOverdueSlot(t *testing.T) {
	tests := []struct {
		name          string
		maxConcurrent int
		overtaken     bool
		ran           time.Duration
		load          int
		overdue       int
	}{
		{"overtaken", 0, true, overdueTarget, 0, 1},
		{"not yet", 0, true, overdueTarget / 4, 1, 0},
		{"the instance answers nothing", 0, false, overdueTarget, 1, 0},
		{"the instance answers nothing for long", 0, false, 3 * overdueTarget, 0, 1},
		{"class with a limit", 5, true, overdueTarget, 1, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture(1)
			user, _ := fixture.send(test.maxConcurrent)
			fixture.tick(10 * time.Millisecond)
			if test.overtaken {
				later, exec := fixture.send(0)
				fixture.tick(5 * time.Millisecond)
				fixture.handle(event.NewExecuteDone(exec, later.conn, model.Mark{}, nil))
				fixture.release(later.conn, false)
			}
			fixture.tick(test.ran)
			is.Equal(fixture.pools.admission.Load(instance), test.load)
			is.Equal(user.overdue, test.overdue)
		})
	}
}

// The answer of an overdue statement is delivered, and its slot is not returned twice.
func TestOverdueAnswer(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(1)
	user, exec := fixture.send(0)
	fixture.tick(3 * overdueTarget)
	is.Equal(fixture.pools.admission.Load(instance), 0)
	fixture.handle(event.NewExecuteDone(exec, user.conn, model.Mark{}, nil))
	fixture.release(user.conn, false)
	is.Equal(user.done, 1)
	is.Equal(fixture.pools.admission.Load(instance), 0)
}

// Overdue statements without a slot hold a part of the connections only.
func TestOverdueShare(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(1)
	maxOpen := fixture.pools.pool(instance).maxOpen()
	for range maxOpen {
		fixture.send(0)
	}
	fixture.tick(3 * overdueTarget)
	is.Equal(fixture.pools.admission.Load(instance), maxOpen-maxOpen/overdueDivisor)
}

// Guards against a check of overdue statements that comes only once a second, because the upkeep of
// the connections has nothing else to do.
func TestOverdueInTime(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(1)
	fixture.tick(5 * time.Second)
	user, _ := fixture.send(0)
	for range 50 {
		fixture.tick(10 * time.Millisecond)
	}
	is.Equal(user.overdue, 1) // due after two targets, 400 ms
}

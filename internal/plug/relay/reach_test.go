package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/tune"
)

// reachConns is a fake whose instance unreachable cannot be connected to.
type reachConns struct {
	fakeConns
	unreachable model.InstanceID
}

// Unreachable implements route.Conns.
func (conns *reachConns) Unreachable(instance model.InstanceID) bool {
	return instance == conns.unreachable
}

// busyAdmission is a fake in which the statements of all instances but idle wait.
type busyAdmission struct {
	route.Admission
	idle model.InstanceID
}

// ExpectedDelay implements route.Admission.
func (admission busyAdmission) ExpectedDelay(instance model.InstanceID) time.Duration {
	if instance == admission.idle {
		return 0
	}
	return 80 * time.Millisecond
}

// Guards against reads that wait for an instance that does not exist because all others are busy.
func TestReadsAvoidUnreachableInstance(t *testing.T) {
	tests := []struct {
		name        string
		unreachable model.InstanceID
		avoids      bool
	}{
		{"reachable", "", false},
		{"unreachable", "x-1", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			kernel, relay := newTestRelay(tune.Default(), &reachConns{unreachable: test.unreachable}, &fakeSessions{})
			relay.admission = busyAdmission{idle: "x-1"}
			instances := []model.Instance{model.NewInstance("i-1", "", ""), model.NewInstance("x-1", "", "")}
			kernel.State().SetGroups([]model.Group{model.NewGroup("g", instances)})
			group := kernel.State().Group("g")
			chosen := relay.cheapestInstance(group, &task{relay: relay})
			is.Equal(chosen != "x-1", test.avoids)
			is.Equal(len(relay.candidates(group, &task{relay: relay})) == 1, test.avoids)
		})
	}
}

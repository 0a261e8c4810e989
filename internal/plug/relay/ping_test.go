package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/tune"
)

// pingConns counts the requests for a connection.
type pingConns struct {
	keyConns
	requests int
}

// Acquire implements route.Conns.
func (conns *pingConns) Acquire(route.SlotRequest, route.ConnUser) route.WaitID {
	conns.requests++
	return 1
}

// A proxy that starts before many groups does not ask each primary for a mark: all proxies start
// at the same time after a loss of power.
func TestPingsAtTheStart(t *testing.T) {
	tests := []struct {
		groups int
		pings  int
	}{
		{groups: maxGroupsAhead, pings: maxGroupsAhead},
		{groups: maxGroupsAhead + 1},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.groups), func(t *testing.T) {
			is := is.New(t)
			conns := &pingConns{}
			kernel, _ := newTestRelay(tune.Default(), conns, &keySessions{})
			var groups []model.Group
			for index := range test.groups {
				id := fmt.Sprintf("g-%d", index)
				groups = append(groups, model.NewGroup(model.GroupID(id), []model.Instance{model.NewInstance(model.InstanceID(id), "", "")}))
			}
			kernel.State().SetGroups(groups)
			kernel.Tick(refreshInterval)
			is.Equal(conns.requests, test.pings)
			kernel.Tick(400 * time.Millisecond)
			is.Equal(conns.requests, test.pings)
		})
	}
}

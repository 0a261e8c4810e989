package deploy_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// resultCode returns OK for an accepted change or the code of a refusal.
func resultCode(result event.Result) codes.Code {
	switch result := result.(type) {
	case event.ChangeAccepted:
		return codes.OK
	case event.CommandFailed:
		return result.Code()
	default:
		return codes.Internal
	}
}

func TestChangesUnderFaults(t *testing.T) {
	tests := []struct {
		name    string
		attack  func(fleet *cluster)
		want    []codes.Code // of the calls 1, 2, …, wherever they were made
		inForce uint64       // on every proxy that is not cut off
	}{
		{
			name: "one operator",
			attack: func(fleet *cluster) {
				fleet.proxies[0].call(1, applyCommand(1, 0, "c1", "ana"))
			},
			want:    []codes.Code{codes.OK},
			inForce: 1,
		},
		{
			name: "two operators race",
			attack: func(fleet *cluster) {
				fleet.proxies[0].call(1, applyCommand(1, 0, "c1", "ana"))
				fleet.proxies[1].call(2, applyCommand(2, 0, "c2", "ivo"))
			},
			want:    []codes.Code{codes.OK, codes.RevisionConflict},
			inForce: 1,
		},
		{
			name: "the answer of the store is lost after the change took effect",
			attack: func(fleet *cluster) {
				fleet.shelf.LoseAnswers(1)
				fleet.proxies[0].call(1, applyCommand(1, 0, "c1", "ana"))
			},
			want:    []codes.Code{codes.OK},
			inForce: 1,
		},
		{
			name: "the write is lost before it took effect",
			attack: func(fleet *cluster) {
				fleet.shelf.DropWrites(2)
				fleet.proxies[0].call(1, applyCommand(1, 0, "c1", "ana"))
			},
			want:    []codes.Code{codes.OK},
			inForce: 1,
		},
		{
			name: "the same change comes twice, through two proxies",
			attack: func(fleet *cluster) {
				fleet.proxies[0].call(1, applyCommand(1, 0, "c1", "ana"))
				fleet.proxies[1].call(2, applyCommand(1, 0, "c1", "ana"))
			},
			want:    []codes.Code{codes.OK, codes.OK},
			inForce: 1,
		},
		{
			name: "the change id of another change",
			attack: func(fleet *cluster) {
				fleet.proxies[0].call(1, applyCommand(1, 0, "c1", "ana"))
				fleet.run(time.Second)
				fleet.proxies[1].call(2, applyCommand(7, 0, "c1", "ivo"))
			},
			want:    []codes.Code{codes.OK, codes.ChangeIDReused},
			inForce: 1,
		},
		{
			name: "the store goes down right after the acceptance",
			attack: func(fleet *cluster) {
				fleet.proxies[0].call(1, applyCommand(1, 0, "c1", "ana"))
				for fleet.shelf.Row("catalog", "head").Version() == 0 {
					fleet.run(step)
				}
				fleet.shelf.SetDown(true)
			},
			want:    []codes.Code{codes.OK},
			inForce: 1,
		},
		{
			name: "the store is down",
			attack: func(fleet *cluster) {
				fleet.shelf.SetDown(true)
				fleet.proxies[0].call(1, applyCommand(1, 0, "c1", "ana"))
			},
			want:    []codes.Code{codes.StoreUnavailable},
			inForce: 0,
		},
		{
			name: "an unknown group",
			attack: func(fleet *cluster) {
				spec := model.DeploymentSpec{Name: "katalog-db", Groups: []model.GroupID{"katalog-9"}}
				fleet.proxies[0].call(1, event.NewApplyDeployment(model.NewDeployment(spec), 0, "c1", "ana"))
			},
			want:    []codes.Code{codes.InvalidDeployment},
			inForce: 0,
		},
		{
			name: "a deployment that does not exist is deleted",
			attack: func(fleet *cluster) {
				fleet.proxies[0].call(1, event.NewDeleteDeployment("katalog-db", 0, "c1", "ana"))
			},
			want:    []codes.Code{codes.DeploymentNotFound},
			inForce: 0,
		},
		{
			name: "a majority is cut off from the store and the rest",
			attack: func(fleet *cluster) {
				for _, proxy := range fleet.proxies[1:] {
					proxy.partitioned = true
				}
				fleet.proxies[0].call(1, applyCommand(1, 0, "c1", "ana"))
			},
			want:    []codes.Code{codes.AcceptanceUnknown},
			inForce: 1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fleet := newCluster(3)
			test.attack(fleet)
			fleet.run(8 * time.Second)
			for index, want := range test.want {
				ask := model.AdminCallID(index + 1)
				var got event.Result
				for _, proxy := range fleet.proxies {
					if result, ok := proxy.results[ask]; ok {
						got = result
					}
				}
				code := resultCode(got)
				is.Equal(code, want)
			}
			for _, proxy := range fleet.proxies {
				if !proxy.partitioned {
					is.Equal(proxy.revision(), test.inForce)
				}
				is.Equal(proxy.kernel.State().Confirmed(), !proxy.partitioned)
				is.Equal(proxy.inFlight(), 0)
			}
		})
	}
}

func TestConflictNamesTheOtherOperator(t *testing.T) {
	is := is.New(t)
	fleet := newCluster(2)
	fleet.proxies[0].call(1, applyCommand(1, 0, "c1", "ana"))
	is.Equal(fleet.proxies[0].inFlight(), 1)
	fleet.run(time.Second)
	fleet.proxies[1].call(2, applyCommand(2, 0, "c2", "ivo"))
	fleet.run(time.Second)
	refused, ok := fleet.proxies[1].results[2].(event.CommandFailed)
	is.True(ok)
	is.True(strings.Contains(refused.Detail(), `revision 1 was set by "ana"`))
}

func TestRevisionNeverReverts(t *testing.T) {
	tests := []struct {
		name      string
		attack    func(fleet *cluster) *proxy
		revision  uint64
		confirmed bool
	}{
		{
			name: "a lower revision is pushed",
			attack: func(fleet *cluster) *proxy {
				push := event.NewCatalogPush("proxy-2", 1, []*model.Deployment{testDeployment(1)})
				fleet.proxies[0].enqueue(event.NewPeerMessageReceived("proxy-2", push))
				return fleet.proxies[0]
			},
			revision:  2,
			confirmed: true,
		},
		{
			name: "a proxy starts from nothing while the store is down",
			attack: func(fleet *cluster) *proxy {
				fleet.shelf.SetDown(true)
				return fleet.start("proxy-1")
			},
			revision:  2,
			confirmed: true,
		},
		{
			name: "a proxy starts from nothing beside one that is cut off",
			attack: func(fleet *cluster) *proxy {
				fleet.shelf.SetDown(true)
				fleet.run(6 * time.Second)
				fleet.proxies[1].partitioned = true
				fleet.proxies[2].partitioned = true
				return fleet.start("proxy-1")
			},
			revision:  2,
			confirmed: false,
		},
		{
			name: "a proxy wakes up cut off, with what the others said before the pause",
			attack: func(fleet *cluster) *proxy {
				fleet.proxies[2].paused = true
				fleet.run(time.Second)
				fleet.proxies[0].call(1, applyCommand(3, 2, "c3", "ana"))
				fleet.run(20 * time.Second)
				fleet.proxies[2].partitioned = true
				fleet.proxies[2].pausedEvents = fleet.proxies[2].pausedEvents[:6]
				fleet.proxies[2].resume()
				return fleet.proxies[2]
			},
			revision:  2,
			confirmed: false,
		},
		{
			name: "a proxy wakes up and hears the others",
			attack: func(fleet *cluster) *proxy {
				fleet.proxies[2].paused = true
				fleet.proxies[0].call(1, applyCommand(3, 2, "c3", "ana"))
				fleet.run(20 * time.Second)
				fleet.shelf.SetDown(true)
				fleet.proxies[2].resume()
				return fleet.proxies[2]
			},
			revision:  3,
			confirmed: true,
		},
		{
			name: "a proxy that is cut off stops serving",
			attack: func(fleet *cluster) *proxy {
				fleet.proxies[2].partitioned = true
				fleet.run(5 * time.Second)
				return fleet.proxies[2]
			},
			revision:  2,
			confirmed: false,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fleet := newCluster(3)
			fleet.proxies[0].call(101, applyCommand(1, 0, "c1", "ana"))
			fleet.run(time.Second)
			fleet.proxies[1].call(102, applyCommand(2, 1, "c2", "ivo"))
			fleet.run(time.Second)
			proxy := test.attack(fleet)
			fleet.run(2 * time.Second)
			is.Equal(proxy.revision(), test.revision)
			is.Equal(proxy.kernel.State().Confirmed(), test.confirmed)
			for _, proxy := range fleet.proxies {
				is.True(!proxy.reverted)
			}
		})
	}
}

func TestChangeIsInForceEverywhereAtOnce(t *testing.T) {
	is := is.New(t)
	fleet := newCluster(6)
	fleet.proxies[0].call(1, applyCommand(1, 0, "c1", "ana"))
	for fleet.shelf.Row("catalog", "head").Version() == 0 {
		fleet.run(step)
	}
	fleet.shelf.SetDown(true)
	fleet.run(4 * step)
	for _, proxy := range fleet.proxies {
		is.Equal(proxy.revision(), uint64(1))
	}
	code := resultCode(fleet.proxies[0].results[1])
	is.Equal(code, codes.OK)
}

func TestProxyOnOldRevisionLosesConfirmation(t *testing.T) {
	is := is.New(t)
	fleet := newCluster(3)
	behind := fleet.proxies[2]
	behind.paused = true
	fleet.run(time.Second)
	fleet.proxies[0].call(1, applyCommand(1, 0, "c1", "ana"))
	fleet.run(time.Second)
	fleet.shelf.SetDown(true)
	fleet.dropPushes = true
	behind.pausedEvents = nil
	behind.resume()
	fleet.run(10 * time.Second)
	is.Equal(behind.revision(), uint64(0))
	is.True(!behind.kernel.State().Confirmed())
	is.True(fleet.proxies[0].kernel.State().Confirmed())
}

func TestResumedProxyIsUnconfirmedUntilRevisionIsCurrent(t *testing.T) {
	is := is.New(t)
	fleet := newCluster(3)
	fleet.proxies[0].call(1, applyCommand(1, 0, "c1", "ana"))
	fleet.run(time.Second)
	woken := fleet.proxies[2]
	woken.paused = true
	fleet.run(time.Second)
	fleet.proxies[0].call(2, applyCommand(2, 1, "c2", "ana"))
	fleet.run(10 * time.Second)
	for _, received := range woken.pausedEvents {
		woken.kernel.Handle(fleet.now, received)
		is.True(woken.revision() == 2 || !woken.kernel.State().Confirmed())
	}
}

func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	fleet := newCluster(1)
	proxy := fleet.proxies[0]
	const changes = 60
	for index := range uint64(changes) {
		proxy.call(model.AdminCallID(index+1), applyCommand(int(index), index, fmt.Sprintf("c%d", index), "ana"))
		fleet.run(100 * time.Millisecond)
	}
	proxy.call(1000, event.NewDeleteDeployment("katalog-db", changes, "gone", "ivo"))
	fleet.run(100 * time.Millisecond)
	proxy.call(1001, event.NewGetHistory("katalog-db"))
	fleet.run(100 * time.Millisecond)
	history, ok := proxy.results[1001].(event.History)
	is.True(ok)
	is.Equal(len(history.Changes()), 50)
	is.Equal(history.Changes()[0].Revision(), uint64(changes+1))
	is.True(history.Changes()[0].Deleted())
	is.Equal(history.Changes()[1].Deployment().Weight(), changes-1)
	is.Equal(len(proxy.kernel.State().Deployments()), 0)
	is.Equal(len(fleet.shelf.Rows("catalog", "change/")), 50)
}

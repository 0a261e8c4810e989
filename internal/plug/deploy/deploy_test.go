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

// resultCode returns OK for an accepted change, the code of a failed command, or Internal for
// any other result.
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
		inject  func(cluster *cluster)
		want    []codes.Code // of calls 1, 2, …, made through any proxy
		inForce uint64       // on every proxy that is not partitioned
	}{
		{
			name: "one operator",
			inject: func(cluster *cluster) {
				cluster.proxies[0].call(1, applyCommand(1, 0, "c1", "ana"))
			},
			want:    []codes.Code{codes.OK},
			inForce: 1,
		},
		{
			name: "concurrent changes by two operators",
			inject: func(cluster *cluster) {
				cluster.proxies[0].call(1, applyCommand(1, 0, "c1", "ana"))
				cluster.proxies[1].call(2, applyCommand(2, 0, "c2", "ivo"))
			},
			want:    []codes.Code{codes.OK, codes.RevisionConflict},
			inForce: 1,
		},
		{
			name: "the answer of the store is lost after the change took effect",
			inject: func(cluster *cluster) {
				cluster.shelf.LoseAnswers(1)
				cluster.proxies[0].call(1, applyCommand(1, 0, "c1", "ana"))
			},
			want:    []codes.Code{codes.OK},
			inForce: 1,
		},
		{
			name: "the write is lost before it took effect",
			inject: func(cluster *cluster) {
				cluster.shelf.DropWrites(2)
				cluster.proxies[0].call(1, applyCommand(1, 0, "c1", "ana"))
			},
			want:    []codes.Code{codes.OK},
			inForce: 1,
		},
		{
			name: "the same change is made twice, through two proxies",
			inject: func(cluster *cluster) {
				cluster.proxies[0].call(1, applyCommand(1, 0, "c1", "ana"))
				cluster.proxies[1].call(2, applyCommand(1, 0, "c1", "ana"))
			},
			want:    []codes.Code{codes.OK, codes.OK},
			inForce: 1,
		},
		{
			name: "a change id is reused for another change",
			inject: func(cluster *cluster) {
				cluster.proxies[0].call(1, applyCommand(1, 0, "c1", "ana"))
				cluster.run(time.Second)
				cluster.proxies[1].call(2, applyCommand(7, 0, "c1", "ivo"))
			},
			want:    []codes.Code{codes.OK, codes.ChangeIDReused},
			inForce: 1,
		},
		{
			name: "the store goes down right after the acceptance",
			inject: func(cluster *cluster) {
				cluster.proxies[0].call(1, applyCommand(1, 0, "c1", "ana"))
				for cluster.shelf.Row("catalog", "head").Version() == 0 {
					cluster.run(step)
				}
				cluster.shelf.SetDown(true)
			},
			want:    []codes.Code{codes.OK},
			inForce: 1,
		},
		{
			name: "the store is down",
			inject: func(cluster *cluster) {
				cluster.shelf.SetDown(true)
				cluster.proxies[0].call(1, applyCommand(1, 0, "c1", "ana"))
			},
			want:    []codes.Code{codes.StoreUnavailable},
			inForce: 0,
		},
		{
			name: "an unknown group",
			inject: func(cluster *cluster) {
				spec := model.DeploymentSpec{Name: "katalog-db", Groups: []model.GroupID{"katalog-9"}}
				cluster.proxies[0].call(1, event.NewApplyDeployment(model.NewDeployment(spec), 0, "c1", "ana"))
			},
			want:    []codes.Code{codes.InvalidDeployment},
			inForce: 0,
		},
		{
			name: "deletion of a deployment that does not exist",
			inject: func(cluster *cluster) {
				cluster.proxies[0].call(1, event.NewDeleteDeployment("katalog-db", 0, "c1", "ana"))
			},
			want:    []codes.Code{codes.DeploymentNotFound},
			inForce: 0,
		},
		{
			name: "a majority is partitioned from the store and the other proxies",
			inject: func(cluster *cluster) {
				for _, proxy := range cluster.proxies[1:] {
					proxy.partitioned = true
				}
				cluster.proxies[0].call(1, applyCommand(1, 0, "c1", "ana"))
			},
			want:    []codes.Code{codes.AcceptanceUnknown},
			inForce: 1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			cluster := newCluster(3)
			test.inject(cluster)
			cluster.run(8 * time.Second)
			for index, want := range test.want {
				commandID := model.AdminCallID(index + 1)
				var got event.Result
				for _, proxy := range cluster.proxies {
					if result, ok := proxy.results[commandID]; ok {
						got = result
					}
				}
				code := resultCode(got)
				is.Equal(code, want)
			}
			for _, proxy := range cluster.proxies {
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
	cluster := newCluster(2)
	cluster.proxies[0].call(1, applyCommand(1, 0, "c1", "ana"))
	is.Equal(cluster.proxies[0].inFlight(), 1)
	cluster.run(time.Second)
	cluster.proxies[1].call(2, applyCommand(2, 0, "c2", "ivo"))
	cluster.run(time.Second)
	failed, ok := cluster.proxies[1].results[2].(event.CommandFailed)
	is.True(ok)
	is.True(strings.Contains(failed.Detail(), `revision 1 was set by "ana"`))
}

func TestRevisionNeverReverts(t *testing.T) {
	tests := []struct {
		name      string
		inject    func(cluster *cluster) *proxy
		revision  uint64
		confirmed bool
	}{
		{
			name: "a lower revision is pushed",
			inject: func(cluster *cluster) *proxy {
				push := event.NewCatalogPush("proxy-2", 1, []*model.Deployment{testDeployment(1)})
				cluster.proxies[0].enqueue(event.NewPeerMessageReceived("proxy-2", push))
				return cluster.proxies[0]
			},
			revision:  2,
			confirmed: true,
		},
		{
			name: "a proxy starts without state while the store is down",
			inject: func(cluster *cluster) *proxy {
				cluster.shelf.SetDown(true)
				return cluster.startProxy("proxy-1")
			},
			revision:  2,
			confirmed: true,
		},
		{
			name: "a proxy starts without state while a majority is partitioned",
			inject: func(cluster *cluster) *proxy {
				cluster.shelf.SetDown(true)
				cluster.run(6 * time.Second)
				cluster.proxies[1].partitioned = true
				cluster.proxies[2].partitioned = true
				return cluster.startProxy("proxy-1")
			},
			revision:  2,
			confirmed: false,
		},
		{
			name: "a paused proxy resumes partitioned, with queued messages from before the pause",
			inject: func(cluster *cluster) *proxy {
				cluster.proxies[2].paused = true
				cluster.run(time.Second)
				cluster.proxies[0].call(1, applyCommand(3, 2, "c3", "ana"))
				cluster.run(20 * time.Second)
				cluster.proxies[2].partitioned = true
				cluster.proxies[2].pausedEvents = cluster.proxies[2].pausedEvents[:6]
				cluster.proxies[2].resume()
				return cluster.proxies[2]
			},
			revision:  2,
			confirmed: false,
		},
		{
			name: "a paused proxy resumes and receives messages of the others",
			inject: func(cluster *cluster) *proxy {
				cluster.proxies[2].paused = true
				cluster.proxies[0].call(1, applyCommand(3, 2, "c3", "ana"))
				cluster.run(20 * time.Second)
				cluster.shelf.SetDown(true)
				cluster.proxies[2].resume()
				return cluster.proxies[2]
			},
			revision:  3,
			confirmed: true,
		},
		{
			name: "a partitioned proxy loses its confirmation",
			inject: func(cluster *cluster) *proxy {
				cluster.proxies[2].partitioned = true
				cluster.run(5 * time.Second)
				return cluster.proxies[2]
			},
			revision:  2,
			confirmed: false,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			cluster := newCluster(3)
			cluster.proxies[0].call(101, applyCommand(1, 0, "c1", "ana"))
			cluster.run(time.Second)
			cluster.proxies[1].call(102, applyCommand(2, 1, "c2", "ivo"))
			cluster.run(time.Second)
			proxy := test.inject(cluster)
			cluster.run(2 * time.Second)
			is.Equal(proxy.revision(), test.revision)
			is.Equal(proxy.kernel.State().Confirmed(), test.confirmed)
			for _, proxy := range cluster.proxies {
				is.True(!proxy.reverted)
			}
		})
	}
}

func TestChangeIsInForceEverywhereAtOnce(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(6)
	cluster.proxies[0].call(1, applyCommand(1, 0, "c1", "ana"))
	for cluster.shelf.Row("catalog", "head").Version() == 0 {
		cluster.run(step)
	}
	cluster.shelf.SetDown(true)
	cluster.run(4 * step)
	for _, proxy := range cluster.proxies {
		is.Equal(proxy.revision(), uint64(1))
	}
	code := resultCode(cluster.proxies[0].results[1])
	is.Equal(code, codes.OK)
}

func TestProxyOnOldRevisionLosesConfirmation(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(3)
	behind := cluster.proxies[2]
	behind.paused = true
	cluster.run(time.Second)
	cluster.proxies[0].call(1, applyCommand(1, 0, "c1", "ana"))
	cluster.run(time.Second)
	cluster.shelf.SetDown(true)
	cluster.dropPushes = true
	behind.pausedEvents = nil
	behind.resume()
	cluster.run(10 * time.Second)
	is.Equal(behind.revision(), uint64(0))
	is.True(!behind.kernel.State().Confirmed())
	is.True(cluster.proxies[0].kernel.State().Confirmed())
}

func TestResumedProxyIsUnconfirmedUntilRevisionIsCurrent(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(3)
	cluster.proxies[0].call(1, applyCommand(1, 0, "c1", "ana"))
	cluster.run(time.Second)
	resumed := cluster.proxies[2]
	resumed.paused = true
	cluster.run(time.Second)
	cluster.proxies[0].call(2, applyCommand(2, 1, "c2", "ana"))
	cluster.run(10 * time.Second)
	for _, received := range resumed.pausedEvents {
		resumed.kernel.Handle(cluster.now, received)
		is.True(resumed.revision() == 2 || !resumed.kernel.State().Confirmed())
	}
}

func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(1)
	proxy := cluster.proxies[0]
	const changes = 60
	for index := range uint64(changes) {
		proxy.call(model.AdminCallID(index+1), applyCommand(int(index), index, fmt.Sprintf("c%d", index), "ana"))
		cluster.run(100 * time.Millisecond)
	}
	proxy.call(1000, event.NewDeleteDeployment("katalog-db", changes, "gone", "ivo"))
	cluster.run(100 * time.Millisecond)
	proxy.call(1001, event.NewGetHistory("katalog-db"))
	cluster.run(100 * time.Millisecond)
	history, ok := proxy.results[1001].(event.History)
	is.True(ok)
	is.Equal(len(history.Changes()), 50)
	is.Equal(history.Changes()[0].Revision(), uint64(changes+1))
	is.True(history.Changes()[0].Deleted())
	is.Equal(history.Changes()[1].Deployment().Weight(), changes-1)
	is.Equal(len(proxy.kernel.State().Deployments()), 0)
	is.Equal(len(cluster.shelf.Rows("catalog", "change/")), 50)
}

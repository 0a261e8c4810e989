package meas

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"almondway.dev/almondway/internal/proto/ctrlpb"
)

const (
	steadyDuration   = 10 * time.Second
	lagDuration      = 8 * time.Second
	lagOfAllReplicas = 2 * time.Second
	lagOfOneReplica  = 20 * time.Second
	pauseDuration    = 500 * time.Millisecond
	pauseInterval    = 1200 * time.Millisecond
	pausesPerRun     = 7
	lossesPerGroup   = 7
)

// scenario is a load with injected faults.
type scenario struct {
	name         string
	surge        bool
	switchovers  int // expected promotions without the loss of a primary
	naive        bool
	injectFaults func(*run, context.Context) error
}

var scenarios = []scenario{
	{name: "steady", naive: true, injectFaults: (*run).steady},
	{name: "surge", surge: true, naive: true, injectFaults: (*run).steady},
	{name: "replicas_lag", injectFaults: (*run).replicasLag},
	{name: "one_replica_far_behind", naive: true, injectFaults: (*run).oneReplicaFarBehind},
	{name: "kill", naive: true, injectFaults: (*run).killPrimaries},
	{name: "kill_store_down", injectFaults: withStoreDown((*run).killPrimaries)},
	{name: "cut", naive: true, injectFaults: (*run).cutPrimaries},
	{name: "cut_store_down", injectFaults: withStoreDown((*run).cutPrimaries)},
	{name: "pauses", naive: true, injectFaults: (*run).pausePrimaries},
	{name: "leaving", switchovers: 1, injectFaults: (*run).leaveHosts},
	{name: "rolling_replacement", injectFaults: (*run).replaceProxies},
}

func (*run) steady(ctx context.Context) error {
	sleep(ctx, steadyDuration)
	return nil
}

// replicasLag delays replication on all replicas.
func (run *run) replicasLag(ctx context.Context) error {
	return run.withLag(ctx, lagOfAllReplicas, func(primary bool, _ int) bool { return !primary })
}

// oneReplicaFarBehind delays replication on one replica of each group by lagOfOneReplica.
func (run *run) oneReplicaFarBehind(ctx context.Context) error {
	return run.withLag(ctx, lagOfOneReplica, func(_ bool, replica int) bool { return replica == 1 })
}

// withLag sets the replication lag of the chosen instances and waits for lagDuration. Replicas
// are numbered from 1 in each group; the number of the primary is 0.
func (run *run) withLag(ctx context.Context, lag time.Duration, chosen func(primary bool, replica int) bool) error {
	for _, group := range run.fleet.Topology().Groups {
		replica := 0
		for _, instance := range group.Instances {
			number := 0
			if !instance.Primary {
				replica++
				number = replica
			}
			if !chosen(instance.Primary, number) {
				continue
			}
			faults := &ctrlpb.SetInstanceFaultsRequest{Lag: durationpb.New(lag)}
			if err := run.fleet.SetInstanceFaults(ctx, instance.ID, faults); err != nil {
				return err
			}
		}
	}
	sleep(ctx, lagDuration)
	return nil
}

// withStoreDown injects the faults while the platform, which hosts the store, refuses all calls.
func withStoreDown(injectFaults func(*run, context.Context) error) func(*run, context.Context) error {
	return func(run *run, ctx context.Context) error {
		if err := run.fleet.SetPlatformFaults(ctx, &ctrlpb.SetPlatformFaultsRequest{Outage: true}); err != nil {
			return err
		}
		return injectFaults(run, ctx)
	}
}

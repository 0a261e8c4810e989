package meas

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"almondway.dev/almondway/internal/proto/ctrlpb"
)

const (
	calmTime      = 10 * time.Second
	faultTime     = 8 * time.Second
	lagOfAll      = 2 * time.Second
	lagOfOne      = 20 * time.Second
	pauseTime     = 500 * time.Millisecond
	pauseInterval = 1200 * time.Millisecond
	pausesPerRun  = 7
	lossesInGroup = 7
)

// scenario is a load with faults.
type scenario struct {
	name        string
	surge       bool
	switchovers int // promotions that are wanted without a loss
	naive       bool
	disturb     func(*run, context.Context) error
}

var scenarios = []scenario{
	{name: "steady", naive: true, disturb: (*run).calm},
	{name: "surge", surge: true, naive: true, disturb: (*run).calm},
	{name: "replicas_lag", disturb: (*run).replicasLag},
	{name: "one_replica_far_behind", naive: true, disturb: (*run).oneFarBehind},
	{name: "kill", naive: true, disturb: (*run).kills},
	{name: "kill_store_down", disturb: withStoreDown((*run).kills)},
	{name: "cut", naive: true, disturb: (*run).cuts},
	{name: "cut_store_down", disturb: withStoreDown((*run).cuts)},
	{name: "pauses", naive: true, disturb: (*run).pauses},
	{name: "leaving", switchovers: 1, disturb: (*run).leaving},
	{name: "rolling_replacement", disturb: (*run).rolling},
}

func (*run) calm(ctx context.Context) error {
	sleep(ctx, calmTime)
	return nil
}

// replicasLag lets all replicas lag.
func (run *run) replicasLag(ctx context.Context) error {
	return run.withLag(ctx, lagOfAll, func(primary bool, _ int) bool { return !primary })
}

// oneFarBehind lets one replica of each group lag far.
func (run *run) oneFarBehind(ctx context.Context) error {
	return run.withLag(ctx, lagOfOne, func(_ bool, replica int) bool { return replica == 1 })
}

// withLag sets the lag of the chosen instances for a while; replicas are
// numbered from 1 in each group, the primary is 0.
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
	sleep(ctx, faultTime)
	return nil
}

// withStoreDown runs the faults while the platform refuses all calls.
func withStoreDown(disturb func(*run, context.Context) error) func(*run, context.Context) error {
	return func(run *run, ctx context.Context) error {
		if err := run.fleet.SetPlatformFaults(ctx, &ctrlpb.SetPlatformFaultsRequest{Outage: true}); err != nil {
			return err
		}
		return disturb(run, ctx)
	}
}

package meas

import (
	"context"
	"syscall"
	"time"

	"almondway.dev/almondway/internal/proto/ctrlpb"
)

const (
	leaveGrace  = 3 * time.Second
	leaveWatch  = 3 * time.Second
	rollRest    = 500 * time.Millisecond
	rollTimeout = 20 * time.Second
)

// leaving lets the primary of the first group and a replica of the second leave
// and counts the work that they still get after the grace.
func (run *run) leaving(ctx context.Context) error {
	groups := run.groups()
	primary, err := run.primary(ctx, groups[0])
	if err != nil {
		return err
	}
	ids := []string{primary, run.replica(ctx, groups[1])}
	for _, id := range ids {
		if err := run.fleet.MarkHost(ctx, id, true); err != nil {
			return err
		}
		if err := run.fleet.SetInstanceFaults(ctx, id, &ctrlpb.SetInstanceFaultsRequest{Leaving: true}); err != nil {
			return err
		}
	}
	sleep(ctx, leaveGrace)
	before, err := run.work(ctx, ids)
	if err != nil {
		return err
	}
	sleep(ctx, leaveWatch)
	after, err := run.work(ctx, ids)
	run.lateWork = int(after - before)
	return err
}

func (run *run) replica(ctx context.Context, group string) string {
	for _, listed := range run.fleet.Topology().Groups {
		for _, instance := range listed.Instances {
			state, err := run.fleet.State(ctx, instance.ID)
			if listed.ID == group && err == nil && !state.GetPrimary() {
				return instance.ID
			}
		}
	}
	return ""
}

func (run *run) work(ctx context.Context, ids []string) (uint64, error) {
	var sum uint64
	for _, id := range ids {
		state, err := run.fleet.State(ctx, id)
		if err != nil {
			return 0, err
		}
		sum += state.GetReads() + state.GetCommits()
	}
	return sum, nil
}

// rolling replaces every proxy, one after the other.
func (run *run) rolling(ctx context.Context) error {
	for place, old := range run.fleet.Proxies() {
		centers := run.profile.site.DataCenters()
		fresh, err := run.fleet.StartProxy(centers[place%len(centers)])
		if err != nil {
			return err
		}
		if err := run.fleet.AwaitProxy(ctx, fresh); err != nil {
			return err
		}
		run.fleet.RemoveProxy(old)
		old.Process().Signal(syscall.SIGTERM)
		run.useProxies()
		if err := run.awaitEnd(ctx, old.Process().Done()); err != nil {
			return err
		}
		sleep(ctx, rollRest)
	}
	return nil
}

func (run *run) awaitEnd(ctx context.Context, done <-chan struct{}) error {
	ctx, cancel := context.WithTimeout(ctx, rollTimeout)
	defer cancel()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

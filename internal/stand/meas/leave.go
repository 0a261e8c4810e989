package meas

import (
	"context"
	"syscall"
	"time"

	"almondway.dev/almondway/internal/proto/ctrlpb"
)

const (
	leavingGrace             = 3 * time.Second
	leavingWindow            = 3 * time.Second
	proxyReplacementInterval = 500 * time.Millisecond
	proxyExitTimeout         = 20 * time.Second
)

// leaveHosts marks the hosts of the primary of the first group and of a replica of the second
// group as leaving. After a grace period it counts the reads and commits that these instances
// still execute.
func (run *run) leaveHosts(ctx context.Context) error {
	groups := run.groupIDs()
	primary, err := run.primaryID(ctx, groups[0])
	if err != nil {
		return err
	}
	ids := []string{primary, run.replicaID(ctx, groups[1])}
	for _, id := range ids {
		if err := run.fleet.MarkHost(ctx, id, true); err != nil {
			return err
		}
		if err := run.fleet.SetInstanceFaults(ctx, id, &ctrlpb.SetInstanceFaultsRequest{Leaving: true}); err != nil {
			return err
		}
	}
	sleep(ctx, leavingGrace)
	before, err := run.countWork(ctx, ids)
	if err != nil {
		return err
	}
	sleep(ctx, leavingWindow)
	after, err := run.countWork(ctx, ids)
	run.workAfterLeaving = int(after - before)
	return err
}

func (run *run) replicaID(ctx context.Context, group string) string {
	for _, groupSpec := range run.fleet.Topology().Groups {
		for _, instance := range groupSpec.Instances {
			state, err := run.fleet.InstanceState(ctx, instance.ID)
			if groupSpec.ID == group && err == nil && !state.GetPrimary() {
				return instance.ID
			}
		}
	}
	return ""
}

func (run *run) countWork(ctx context.Context, ids []string) (uint64, error) {
	var sum uint64
	for _, id := range ids {
		state, err := run.fleet.InstanceState(ctx, id)
		if err != nil {
			return 0, err
		}
		sum += state.GetReads() + state.GetCommits()
	}
	return sum, nil
}

// replaceProxies replaces all proxies one by one: it starts a proxy and then shuts an old one down.
func (run *run) replaceProxies(ctx context.Context) error {
	for index, outgoing := range run.fleet.Proxies() {
		centers := run.profile.site.DataCenters()
		replacement, err := run.fleet.StartProxy(centers[index%len(centers)])
		if err != nil {
			return err
		}
		if err := run.fleet.AwaitProxy(ctx, replacement); err != nil {
			return err
		}
		run.fleet.RemoveProxy(outgoing)
		outgoing.Process().Signal(syscall.SIGTERM)
		run.updateAddresses()
		if err := run.awaitExit(ctx, outgoing.Process().Done()); err != nil {
			return err
		}
		sleep(ctx, proxyReplacementInterval)
	}
	return nil
}

func (run *run) awaitExit(ctx context.Context, done <-chan struct{}) error {
	ctx, cancel := context.WithTimeout(ctx, proxyExitTimeout)
	defer cancel()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

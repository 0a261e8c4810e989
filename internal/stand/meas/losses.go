package meas

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"almondway.dev/almondway/internal/proto/ctrlpb"
	"almondway.dev/almondway/internal/stand/procs"
)

const (
	failoverTimeout = 8 * time.Second
	rejoinTimeout   = 10 * time.Second
	lossInterval    = 300 * time.Millisecond
	lossJitter      = 300 * time.Millisecond
)

// killPrimaries repeatedly kills the primary of each group and starts a replacement. The groups
// run concurrently.
func (run *run) killPrimaries(ctx context.Context) error {
	return run.losePrimaries(ctx, func(ctx context.Context, id string, _ int) (func() error, error) {
		state, err := run.fleet.InstanceState(ctx, id)
		if err != nil {
			return nil, err
		}
		run.fleet.InstanceProcess(id).Kill()
		run.mu.Lock()
		run.killedTotals.add(state.GetPromotions(), state.GetPrimaryReads())
		run.mu.Unlock()
		return func() error {
			run.mu.Lock()
			defer run.mu.Unlock()
			return run.fleet.ReplaceInstance(id)
		}, nil
	})
}

// cutPrimaries repeatedly isolates the primary of each group: alternately from the group only,
// and from the group and the proxies.
func (run *run) cutPrimaries(ctx context.Context) error {
	return run.losePrimaries(ctx, func(ctx context.Context, id string, number int) (func() error, error) {
		faults := &ctrlpb.SetInstanceFaultsRequest{CutFromGroup: true, CutFromProxies: number%2 == 1}
		heal := func() error { return run.fleet.SetInstanceFaults(ctx, id, &ctrlpb.SetInstanceFaultsRequest{}) }
		return heal, run.fleet.SetInstanceFaults(ctx, id, faults)
	})
}

type loseFunc func(ctx context.Context, id string, number int) (heal func() error, err error)

func (run *run) losePrimaries(ctx context.Context, lose loseFunc) error {
	groups, ctx := errgroup.WithContext(ctx)
	for index, group := range run.groupIDs() {
		random := rand.New(rand.NewPCG(run.options.Seed, uint64(index)))
		groups.Go(func() error {
			for number := range lossesPerGroup {
				sleep(ctx, lossInterval+time.Duration(random.Int64N(int64(lossJitter))))
				if err := run.losePrimary(ctx, group, lose, number); err != nil {
					return err
				}
			}
			return nil
		})
	}
	return groups.Wait()
}

// losePrimary injects one loss of the primary of a group, records the failover gap, heals the
// loss and waits until the instance has rejoined as a replica of the current term.
func (run *run) losePrimary(ctx context.Context, group string, lose loseFunc, number int) error {
	primary, err := run.primaryID(ctx, group)
	if err != nil {
		return err
	}
	heal, err := lose(ctx, primary, number)
	if err != nil {
		return err
	}
	run.recordFailoverGap(ctx, group, time.Now())
	if err := heal(); err != nil {
		return err
	}
	return run.awaitRejoin(ctx, group, primary)
}

func (run *run) recordFailoverGap(ctx context.Context, group string, lostAt time.Time) {
	ctx, cancel := context.WithTimeout(ctx, failoverTimeout)
	defer cancel()
	var gap time.Duration
	err := procs.Poll(ctx, func() error {
		found, ok := run.result.FailoverGap(group, lostAt)
		if !ok {
			return errors.Errorf("group %s has acknowledged no write since the loss", group)
		}
		gap = found
		return nil
	})
	run.mu.Lock()
	defer run.mu.Unlock()
	if err != nil {
		run.unfinishedFailovers++
		return
	}
	run.failoverGaps = append(run.failoverGaps, gap)
}

func (run *run) primaryID(ctx context.Context, group string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, rejoinTimeout)
	defer cancel()
	var id string
	err := procs.Poll(ctx, func() error {
		run.mu.Lock()
		defer run.mu.Unlock()
		primary, err := run.fleet.Primary(ctx, group)
		id = primary.ID
		return err
	})
	return id, err
}

// awaitRejoin waits until an instance is a replica whose log ends in the term of the primary of
// its group. An instance that does not get there within rejoinTimeout counts as a failed rejoin.
func (run *run) awaitRejoin(ctx context.Context, group, id string) error {
	primary, err := run.primaryID(ctx, group)
	if err != nil {
		return err
	}
	if primary == id {
		return nil // no failover took place
	}
	ctx, cancel := context.WithTimeout(ctx, rejoinTimeout)
	defer cancel()
	err = procs.Poll(ctx, func() error {
		primaryState, err := run.fleet.InstanceState(ctx, primary)
		if err != nil {
			return err
		}
		state, err := run.fleet.InstanceState(ctx, id)
		if err != nil {
			return err
		}
		if state.GetTailTerm() != primaryState.GetTailTerm() || state.GetPrimary() {
			return errors.Errorf("instance %s has not joined the term of primary %s", id, primary)
		}
		return nil
	})
	if err != nil {
		run.mu.Lock()
		defer run.mu.Unlock()
		run.failedRejoins++
	}
	return nil
}

// pausePrimaries suspends primaries for a time that must not cause a promotion. It records the
// longest pause, since a busy machine may resume them late.
func (run *run) pausePrimaries(ctx context.Context) error {
	for range pausesPerRun {
		for _, group := range run.groupIDs() {
			id, err := run.primaryID(ctx, group)
			if err != nil {
				return err
			}
			proc := run.fleet.InstanceProcess(id)
			stoppedAt := time.Now()
			proc.Signal(syscall.SIGSTOP)
			time.AfterFunc(pauseDuration, func() {
				proc.Signal(syscall.SIGCONT)
				run.recordPause(time.Since(stoppedAt))
			})
		}
		sleep(ctx, pauseInterval)
	}
	return nil
}

func (run *run) recordPause(elapsed time.Duration) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.longestPause = max(run.longestPause, elapsed)
}

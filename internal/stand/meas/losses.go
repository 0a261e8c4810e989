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
	gapLimit    = 8 * time.Second
	rejoinLimit = 10 * time.Second
	restTime    = 300 * time.Millisecond
	restSpread  = 300 * time.Millisecond
)

// kills kills primaries and replaces them, in all groups side by side.
func (run *run) kills(ctx context.Context) error {
	return run.losePrimaries(ctx, func(ctx context.Context, id string, _ int) (func() error, error) {
		state, err := run.fleet.State(ctx, id)
		if err != nil {
			return nil, err
		}
		run.fleet.Instance(id).Kill()
		run.mu.Lock()
		run.ended.add(state.GetPromotions(), state.GetPrimaryReads())
		run.mu.Unlock()
		return func() error {
			run.mu.Lock()
			defer run.mu.Unlock()
			return run.fleet.ReplaceInstance(id)
		}, nil
	})
}

// cuts cuts primaries off, by turns from their group alone and from the proxies too.
func (run *run) cuts(ctx context.Context) error {
	return run.losePrimaries(ctx, func(ctx context.Context, id string, number int) (func() error, error) {
		faults := &ctrlpb.SetInstanceFaultsRequest{CutFromGroup: true, CutFromProxies: number%2 == 1}
		heal := func() error { return run.fleet.SetInstanceFaults(ctx, id, &ctrlpb.SetInstanceFaultsRequest{}) }
		return heal, run.fleet.SetInstanceFaults(ctx, id, faults)
	})
}

type loss func(ctx context.Context, id string, number int) (heal func() error, err error)

func (run *run) losePrimaries(ctx context.Context, lose loss) error {
	groups, ctx := errgroup.WithContext(ctx)
	for place, group := range run.groups() {
		random := rand.New(rand.NewPCG(run.options.Seed, uint64(place)))
		groups.Go(func() error {
			for number := range lossesInGroup {
				sleep(ctx, restTime+time.Duration(random.Int64N(int64(restSpread))))
				if err := run.loseOne(ctx, group, lose, number); err != nil {
					return err
				}
			}
			return nil
		})
	}
	return groups.Wait()
}

// loseOne loses the primary of a group, notes the gap, and waits until the lost
// instance is a replica that has caught up.
func (run *run) loseOne(ctx context.Context, group string, lose loss, number int) error {
	primary, err := run.primary(ctx, group)
	if err != nil {
		return err
	}
	heal, err := lose(ctx, primary, number)
	if err != nil {
		return err
	}
	run.noteGap(ctx, group, time.Now())
	if err := heal(); err != nil {
		return err
	}
	return run.awaitRejoin(ctx, group, primary)
}

func (run *run) noteGap(ctx context.Context, group string, lostAt time.Time) {
	ctx, cancel := context.WithTimeout(ctx, gapLimit)
	defer cancel()
	var gap time.Duration
	err := procs.Poll(ctx, func() error {
		found, ok := run.result.FailoverGap(group, lostAt)
		if !ok {
			return errors.Errorf("group %s acknowledges no write", group)
		}
		gap = found
		return nil
	})
	run.mu.Lock()
	defer run.mu.Unlock()
	if err != nil {
		run.unfinished++
		return
	}
	run.gaps = append(run.gaps, gap)
}

func (run *run) primary(ctx context.Context, group string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, rejoinLimit)
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

// awaitRejoin waits until an instance follows the primary of its group and
// holds its log, and notes it if it does not within the limit.
func (run *run) awaitRejoin(ctx context.Context, group, id string) error {
	leader, err := run.primary(ctx, group)
	if err != nil {
		return err
	}
	if leader == id {
		return nil // nothing took its place
	}
	ctx, cancel := context.WithTimeout(ctx, rejoinLimit)
	defer cancel()
	err = procs.Poll(ctx, func() error {
		leading, err := run.fleet.State(ctx, leader)
		if err != nil {
			return err
		}
		state, err := run.fleet.State(ctx, id)
		if err != nil {
			return err
		}
		if state.GetTailTerm() != leading.GetTailTerm() || state.GetPrimary() {
			return errors.Errorf("instance %s has not joined the term of %s", id, leader)
		}
		return nil
	})
	if err != nil {
		run.mu.Lock()
		defer run.mu.Unlock()
		run.unjoined++
	}
	return nil
}

// pauses stops primaries for a time that must not cause a promotion, and notes
// the longest time, since a busy machine may wake them late.
func (run *run) pauses(ctx context.Context) error {
	for range pausesPerRun {
		for _, group := range run.groups() {
			id, err := run.primary(ctx, group)
			if err != nil {
				return err
			}
			proc := run.fleet.Instance(id)
			stoppedAt := time.Now()
			proc.Signal(syscall.SIGSTOP)
			time.AfterFunc(pauseTime, func() {
				proc.Signal(syscall.SIGCONT)
				run.notePause(time.Since(stoppedAt))
			})
		}
		sleep(ctx, pauseInterval)
	}
	return nil
}

func (run *run) notePause(taken time.Duration) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.longestPause = max(run.longestPause, taken)
}

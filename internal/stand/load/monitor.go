package load

import (
	"context"
	"fmt"
	"time"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/wire"
)

const naiveProbeInterval = 100 * time.Millisecond

// Monitor starts a background health check of the primary of each group. A primary that does
// not answer is replaced. The checks stop when the context is cancelled.
func (naive *Naive) Monitor(ctx context.Context) {
	for group := range naive.groups {
		go naive.monitorGroup(ctx, group)
	}
}

func (naive *Naive) monitorGroup(ctx context.Context, group string) {
	for ctx.Err() == nil {
		instance, _ := naive.primary(group)
		if runControlSQL(ctx, instance.Address, wire.StatusSQL) != nil && ctx.Err() == nil {
			naive.promoteNext(ctx, group)
		}
		naive.sendFollow(ctx, group)
		time.Sleep(naiveProbeInterval)
	}
}

// sendFollow instructs all other instances of a group to replicate from its primary. It does
// not wait for the answers.
func (naive *Naive) sendFollow(ctx context.Context, group string) {
	naive.mu.Lock()
	found := naive.groups[group]
	primary := found.spec.Instances[found.primaryIndex]
	term := model.NewTerm(found.termCount, 0)
	naive.mu.Unlock()
	for _, other := range found.spec.Instances {
		if other.ID != primary.ID {
			go func() {
				_ = runControlSQL(ctx, other.Address, fmt.Sprintf(wire.FollowSQL, term, primary.ID, primary.Address))
			}()
		}
	}
}

// promoteNext fences and promotes the next instance of a group. The instance is regarded as
// the primary even if the promotion fails.
func (naive *Naive) promoteNext(ctx context.Context, group string) {
	naive.mu.Lock()
	found := naive.groups[group]
	found.termCount++
	term := model.NewTerm(found.termCount, 0)
	next := (found.primaryIndex + 1) % len(found.spec.Instances)
	naive.mu.Unlock()
	promoted := found.spec.Instances[next]
	_ = runControlSQL(ctx, promoted.Address, fmt.Sprintf(wire.FenceSQL+"; "+wire.PromoteSQL, term, term))
	naive.mu.Lock()
	defer naive.mu.Unlock()
	found.primaryIndex = next
}

// runControlSQL runs platform functions of an instance over a new control connection.
func runControlSQL(ctx context.Context, address, sql string) error {
	ctx, cancel := context.WithTimeout(ctx, naiveTimeout)
	defer cancel()
	conn, err := Connect(ctx, address, wire.ControlUser, "platform", 0)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	_, err = conn.Exec(ctx, sql).ReadAll()
	return err
}

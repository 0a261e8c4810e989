package insta

import (
	"context"
	"net/url"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/wire"
)

const fetchFenceTimeout = 2 * time.Second

// adoptHighestFence reads the fences of all other instances of the group, retrying until
// each has answered, and adopts the highest. The instance may have lost a fence
// of its own, but any majority that it belonged to has another member that holds
// this fence.
func (instance *Instance) adoptHighestFence() {
	for {
		highest, err := instance.highestFence()
		if err == nil {
			instance.mu.Lock()
			instance.fence = max(instance.fence, highest)
			instance.mu.Unlock()
			return
		}
		time.Sleep(reconnectInterval)
	}
}

func (instance *Instance) highestFence() (model.Term, error) {
	var highest model.Term
	for _, other := range instance.group.Instances {
		if other.ID == instance.self.ID {
			continue
		}
		fence, err := fetchFence(other.Address)
		if err != nil {
			return 0, err
		}
		highest = max(highest, fence)
	}
	return highest, nil
}

func fetchFence(address string) (model.Term, error) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchFenceTimeout)
	defer cancel()
	target := url.URL{Scheme: "postgres", User: url.User(wire.ControlUser), Host: address, Path: "/platform", RawQuery: "sslmode=disable"}
	conn, err := pgconn.Connect(ctx, target.String())
	if err != nil {
		return 0, errors.Wrapf(err, "connect to %s", address)
	}
	defer func() { _ = conn.Close(ctx) }()
	results, err := conn.Exec(ctx, wire.StatusSQL).ReadAll()
	if err != nil {
		return 0, errors.Wrapf(err, "query status of %s", address)
	}
	fence, err := strconv.ParseUint(string(results[0].Rows[0][wire.StatusFence]), 10, 64)
	if err != nil || fence == 0 {
		return 0, errors.Errorf("instance at %s has no fence", address)
	}
	return model.Term(fence), nil
}

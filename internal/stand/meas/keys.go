package meas

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/stand/load"
)

const (
	auditTimeout     = 10 * time.Second
	tailPollInterval = 10 * time.Millisecond
)

// writeKeys inserts the keys directly on the initial primaries and waits until they are replicated.
func (run *run) writeKeys(ctx context.Context) error {
	for _, group := range run.fleet.Topology().Groups {
		conn, err := connectDirect(ctx, group.Primary().Address)
		if err != nil {
			return err
		}
		sql := "BEGIN"
		for number := range keysPerGroup {
			sql += fmt.Sprintf("; INSERT INTO kv (key, value) VALUES ('%s', '0')", load.KeyName(group.ID, number))
		}
		_, err = conn.Exec(ctx, sql+"; COMMIT").ReadAll()
		_ = conn.Close(ctx)
		if err != nil {
			return errors.Wrapf(err, "insert keys of group %s", group.ID)
		}
	}
	return run.awaitReplicas(ctx)
}

// awaitReplicas waits until every replica has the keys. Entries that a majority does not have
// yet are not acknowledged; a promotion early in the run could lose them.
func (run *run) awaitReplicas(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, auditTimeout)
	defer cancel()
	for _, group := range run.fleet.Topology().Groups {
		primary, err := run.fleet.InstanceState(ctx, group.Primary().ID)
		if err != nil {
			return err
		}
		for _, instance := range group.Instances {
			if err := run.awaitTailPosition(ctx, instance.ID, primary.GetTailPosition()); err != nil {
				return err
			}
		}
	}
	return nil
}

func (run *run) awaitTailPosition(ctx context.Context, id string, position uint64) error {
	for {
		state, err := run.fleet.InstanceState(ctx, id)
		if err != nil {
			return err
		}
		if state.GetTailPosition() >= position {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Errorf("instance %s has replicated the keys up to position %d of %d", id, state.GetTailPosition(), position)
		}
		sleep(ctx, tailPollInterval)
	}
}

// readFinalValues reads the values of all keys directly from the primaries.
func (run *run) readFinalValues(ctx context.Context) (map[string]int, error) {
	ctx, cancel := context.WithTimeout(ctx, auditTimeout)
	defer cancel()
	values := make(map[string]int)
	for _, group := range run.groupIDs() {
		primary, err := run.fleet.Primary(ctx, group)
		if err != nil {
			return nil, err
		}
		conn, err := connectDirect(ctx, primary.Address)
		if err != nil {
			return nil, err
		}
		results, err := conn.Exec(ctx, "SELECT key, value FROM kv WHERE key LIKE '%'").ReadAll()
		_ = conn.Close(ctx)
		if err != nil {
			return nil, errors.Wrapf(err, "read keys of group %s", group)
		}
		for _, row := range results[0].Rows {
			value, err := strconv.Atoi(string(row[1]))
			if err != nil {
				return nil, errors.Wrapf(err, "parse value of key %s", row[0])
			}
			values[string(row[0])] = value
		}
	}
	return values, nil
}

func connectDirect(ctx context.Context, address string) (*pgconn.PgConn, error) {
	conn, err := pgconn.Connect(ctx, "postgres://measure@"+address+"/kv?sslmode=disable")
	return conn, errors.Wrapf(err, "connect to %s", address)
}

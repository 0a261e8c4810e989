package demo

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/stand/fleet"
)

const (
	upsertSQL     = "INSERT INTO kv (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = EXCLUDED.value"
	addSQL        = "UPDATE kv SET value = value + $1 WHERE key = $2"
	readSQL       = "SELECT value FROM kv WHERE key = $1"
	retryInterval = 100 * time.Millisecond
)

// request is a statement of a caller. Each request opens its own connection.
type request struct {
	proxy    *fleet.Proxy
	database string
	user     string
	kind     string
	group    string
	id       string
	token    string
}

func (request request) tag() string {
	tag := fmt.Sprintf("/*kind='%s',group='%s'", request.kind, request.group)
	if request.id != "" {
		tag += fmt.Sprintf(",request_id='%s'", request.id)
	}
	if request.token != "" {
		tag += fmt.Sprintf(",token='%s'", url.QueryEscape(request.token))
	}
	return tag + "*/ "
}

// execute runs a statement and returns the value of its one-column result, or an
// empty string without rows, and the session token.
func (request request) execute(ctx context.Context, sql string, args ...any) (string, string, error) {
	target := url.URL{Scheme: "postgres", User: url.User(request.user), Host: request.proxy.Address(), Path: "/" + request.database, RawQuery: "sslmode=disable"}
	config, err := pgx.ParseConfig(target.String())
	if err != nil {
		return "", "", errors.Wrap(err, "parse proxy address")
	}
	config.DefaultQueryExecMode = pgx.QueryExecModeExec
	conn, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		return "", "", errors.Wrapf(err, "connect to %s", request.proxy.ID())
	}
	defer func() { _ = conn.Close(ctx) }()
	rows, err := conn.Query(ctx, request.tag()+sql, args...)
	if err != nil {
		return "", "", errors.Wrapf(err, "%s through %s", request.kind, request.proxy.ID())
	}
	var value string
	for rows.Next() {
		if err := rows.Scan(&value); err != nil {
			return "", "", errors.Wrapf(err, "read rows of %s", request.kind)
		}
	}
	err = rows.Err()
	return value, conn.PgConn().ParameterStatus("almondway.token"), errors.Wrapf(err, "%s through %s", request.kind, request.proxy.ID())
}

// executeWithRetry retries a write with the same request id until it succeeds or
// writeTimeout passes. It returns the session token.
func (request request) executeWithRetry(ctx context.Context, sql string, args ...any) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	request.id = uuid.Must(uuid.NewV7()).String()
	for {
		_, token, err := request.execute(ctx, sql, args...)
		if err == nil {
			return token, nil
		}
		select {
		case <-ctx.Done():
			return "", err
		case <-time.After(retryInterval):
		}
	}
}

// addSeats adds to the seats of the course as a registrar and returns the session token.
func (demo *demo) addSeats(ctx context.Context, proxy *fleet.Proxy, seats int) (string, error) {
	edit := request{proxy: proxy, database: gradskiDeployment, user: "registrar", kind: "edit_listing", group: catalogueGroup}
	return edit.executeWithRetry(ctx, addSQL, seats, courseKey)
}

func (demo *demo) registrarWrites(ctx context.Context) (string, error) {
	edit := request{proxy: demo.proxy(0), database: gradskiDeployment, user: "registrar", kind: "edit_listing", group: catalogueGroup}
	if _, err := edit.executeWithRetry(ctx, upsertSQL, courseKey, "40"); err != nil {
		return "", err
	}
	token, err := demo.addSeats(ctx, demo.proxy(0), 2)
	demo.token = token
	return courseKey + " has 42 seats, written through " + demo.proxy(0).ID(), err
}

func (demo *demo) registrarReadsThroughOtherProxy(ctx context.Context) (string, error) {
	for _, token := range []string{demo.token, ""} {
		read := request{proxy: demo.proxy(1), database: gradskiDeployment, user: "registrar", kind: "seat_count", group: catalogueGroup, token: token}
		if err := read.expectValue(ctx, courseKey, "42"); err != nil {
			return "", err
		}
	}
	return "reads its own write through " + demo.proxy(1).ID() + ", with and without its session token", nil
}

func (request request) expectValue(ctx context.Context, key, expected string) error {
	value, _, err := request.execute(ctx, readSQL, key)
	if err == nil && value != expected {
		err = errors.Errorf("%s of %s returned %q, expected %q", request.kind, key, value, expected)
	}
	return err
}

func (demo *demo) studentReads(ctx context.Context) (string, error) {
	before, err := demo.readCounts(ctx)
	if err != nil {
		return "", err
	}
	browse := request{proxy: demo.proxy(2), database: gradskiDeployment, user: "student", kind: "browse", group: catalogueGroup}
	value, _, err := browse.execute(ctx, readSQL, courseKey)
	if err != nil {
		return "", err
	}
	after, err := demo.readCounts(ctx)
	if err != nil {
		return "", err
	}
	for id, count := range after {
		if count > before[id] {
			return fmt.Sprintf("%s served %q", id, value), nil
		}
	}
	return "", errors.New("no replica served the read")
}

// readCounts returns the number of reads served by each replica of the catalogue group, by instance id.
func (demo *demo) readCounts(ctx context.Context) (map[string]uint64, error) {
	counts := make(map[string]uint64)
	for _, group := range demo.fleet.Topology().Groups {
		for _, instance := range group.Instances {
			state, err := demo.fleet.InstanceState(ctx, instance.ID)
			if err != nil {
				return nil, err
			}
			if group.ID == catalogueGroup && !state.GetPrimary() {
				counts[instance.ID] = state.GetReads()
			}
		}
	}
	return counts, nil
}

func (demo *demo) hotelCounts(ctx context.Context) (string, error) {
	count := request{proxy: demo.proxy(1), database: morningTableDeployment, user: "hotel", kind: "head_count", group: breakfastGroup}
	if _, err := count.executeWithRetry(ctx, upsertSQL, hotelKey, "31"); err != nil {
		return "", err
	}
	tally := request{proxy: demo.proxy(2), database: morningTableDeployment, user: "kitchen", kind: "tally", group: breakfastGroup}
	return "a kitchen tablet sees 31 guests through " + demo.proxy(2).ID(), tally.expectValue(ctx, hotelKey, "31")
}

func (demo *demo) writeAfterFailover(ctx context.Context) (string, error) {
	if _, err := demo.addSeats(ctx, demo.proxy(1), 1); err != nil {
		return "", err
	}
	gap := time.Since(demo.killedAt).Round(time.Millisecond)
	read := request{proxy: demo.proxy(2), database: gradskiDeployment, user: "lecturer", kind: "seat_count", group: catalogueGroup}
	if err := read.expectValue(ctx, courseKey, strconv.Itoa(43)); err != nil {
		return "", err
	}
	primary, err := demo.fleet.Primary(ctx, catalogueGroup)
	return fmt.Sprintf("%s is the primary; a write was acknowledged %s after the kill", primary.ID, gap), err
}

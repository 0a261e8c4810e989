package slope

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	staleness = 5 * time.Second
	// statementCallers is the number of connections that send statements.
	statementCallers = 32
	// concurrentConnects is the number of callers that connect concurrently.
	concurrentConnects = 16
	keyCount           = 100
)

// statementKind is a request kind and the statement that callers send for it.
type statementKind struct {
	name string
	sql  string
}

var (
	statementStale = statementKind{name: "stale", sql: "SELECT value FROM kv WHERE key = 'key-%d'"}
	statementFresh = statementKind{name: "fresh", sql: "SELECT value FROM kv WHERE key = 'key-%d'"}
	statementWrite = statementKind{name: "write", sql: "INSERT INTO kv(key,value) VALUES ('key-%d','v') ON CONFLICT (key) DO UPDATE SET value=EXCLUDED.value"}
)

func (statementKind statementKind) taggedSQL(number int) string {
	return fmt.Sprintf("/*kind='%s'*/ ", statementKind.name) + fmt.Sprintf(statementKind.sql, number%keyCount)
}

func runCallers(ctx context.Context, runner *runner, size int) (float64, observation, error) {
	system, err := runner.newDeployedSystem(ctx, 1, 1)
	if err != nil {
		return 0, observation{}, err
	}
	defer system.stop()
	conns, err := system.connectCallers(ctx, size)
	defer closeAll(conns)
	if err != nil {
		return 0, observation{}, err
	}
	observed, err := system.observe(settleTime, windowTime, nil, nil)
	return float64(size), observed, err
}

// runStatements sends statements at a constant rate and returns the rate of successful answers
// as the size.
func runStatements(ctx context.Context, runner *runner, kind statementKind, size int) (float64, observation, error) {
	limits := []string{"--slots-per-instance", fmt.Sprint(slots), "--conns-per-instance", fmt.Sprint(connections)}
	system, err := runner.newDeployedSystem(ctx, 1, 1, limits...)
	if err != nil {
		return 0, observation{}, err
	}
	defer system.stop()
	conns, err := system.connectCallers(ctx, statementCallers)
	defer closeAll(conns)
	if err != nil {
		return 0, observation{}, err
	}
	if err := writeKeys(ctx, conns[0]); err != nil {
		return 0, observation{}, err
	}
	interval := time.Second * statementCallers / time.Duration(size)
	sendAtRate(ctx, conns, kind, interval, time.Now().Add(time.Second)) // opens the backend connections
	var answered int64
	work := func(until time.Time) { answered = sendAtRate(ctx, conns, kind, interval, until) }
	counters := []string{"probes_sent_total", "executions_sent_total"}
	observed, err := system.observe(settleTime, windowTime, counters, work)
	return float64(answered) / windowTime.Seconds(), observed, err
}

func writeKeys(ctx context.Context, conn *pgconn.PgConn) error {
	for number := range keyCount {
		if _, err := conn.Exec(ctx, statementWrite.taggedSQL(number)).ReadAll(); err != nil {
			return errors.Wrap(err, "insert keys")
		}
	}
	return nil
}

// sendAtRate sends a statement on each connection once per interval until the given time and
// returns the number of successful answers.
func sendAtRate(ctx context.Context, conns []*pgconn.PgConn, kind statementKind, interval time.Duration, until time.Time) int64 {
	var answered atomic.Int64
	var running sync.WaitGroup
	for index, conn := range conns {
		running.Go(func() {
			next := time.Now().Add(interval * time.Duration(index) / time.Duration(len(conns)))
			for number := index; next.Before(until) && ctx.Err() == nil; number++ {
				time.Sleep(time.Until(next))
				next = next.Add(interval)
				if _, err := conn.Exec(ctx, kind.taggedSQL(number)).ReadAll(); err == nil {
					answered.Add(1)
				}
			}
		})
	}
	running.Wait()
	return answered.Load()
}

// connectCallers connects callers to the first proxy. With an error, the returned connections
// may include nil.
func (system *system) connectCallers(ctx context.Context, count int) ([]*pgconn.PgConn, error) {
	url := fmt.Sprintf("postgres://caller@%s/deployment-0?sslmode=disable", system.proxies[0].address)
	conns := make([]*pgconn.PgConn, count)
	var group errgroup.Group
	group.SetLimit(concurrentConnects)
	for index := range conns {
		group.Go(func() error {
			conn, err := pgconn.Connect(ctx, url)
			conns[index] = conn
			return errors.Wrap(err, "connect caller")
		})
	}
	return conns, group.Wait()
}

func closeAll(conns []*pgconn.PgConn) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, conn := range conns {
		if conn != nil {
			_ = conn.Close(ctx)
		}
	}
}

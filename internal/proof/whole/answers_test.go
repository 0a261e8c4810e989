package whole

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

const (
	isolationCallers = 16
	isolationRounds  = 40
)

// Each caller queries numbers that no other caller uses and must receive its own. Meanwhile other
// statements exceed their timeout or lose their caller, so late answers arrive on the shared
// backend connections.
func TestAnswersReachTheirCaller(t *testing.T) {
	system := newSystem(t)
	failures := make(chan error, isolationCallers)
	var callers sync.WaitGroup
	for caller := range isolationCallers {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(20261203, uint64(caller)))
			if err := queryOwnNumbers(system.context(t), system.url("student"), caller, random); err != nil {
				failures <- err
			}
		})
	}
	callers.Wait()
	close(failures)
	for err := range failures {
		t.Error(err)
	}
}

func queryOwnNumbers(ctx context.Context, url string, caller int, random *rand.Rand) error {
	conn, err := pgconn.Connect(ctx, url)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	answered := 0
	for round := range isolationRounds {
		switch random.IntN(4) {
		case 0: // the statement exceeds its timeout in the proxy
			err := conn.Exec(ctx, "SELECT pg_sleep(1) /*timeout='5ms'*/").Close()
			if !isRefusal(err) {
				return errors.Errorf("statement beyond its timeout returned %v", err)
			}
		case 1: // the caller closes its connection before the answer
			_ = conn.Exec(ctx, "SELECT pg_sleep(0.01)")
			_ = conn.Conn().Close()
			if conn, err = pgconn.Connect(ctx, url); err != nil {
				return err
			}
		default:
			own := strconv.Itoa(caller*isolationRounds + round)
			result := conn.ExecParams(ctx, "SELECT $1", [][]byte{[]byte(own)}, nil, nil, nil).Read()
			if isRefusal(result.Err) {
				continue
			}
			if result.Err != nil {
				return result.Err
			}
			answered++
			if len(result.Rows) != 1 || string(result.Rows[0][0]) != own {
				return errors.Errorf("caller %d queried %s and received %q", caller, own, result.Rows)
			}
		}
	}
	if answered == 0 {
		return errors.Errorf("caller %d received no answer", caller)
	}
	return nil
}

// isRefusal reports whether an error comes from the proxy, with one of its result codes.
func isRefusal(err error) bool {
	var refusal *pgconn.PgError
	return errors.As(err, &refusal) && strings.HasPrefix(refusal.Routine, "AW")
}

func TestBatch(t *testing.T) {
	is := is.New(t)
	system := newSystem(t)
	ctx := system.context(t)
	conn, err := pgx.Connect(ctx, system.url("registrar"))
	is.NoErr(err)
	defer func() { _ = conn.Close(ctx) }()
	batch := &pgx.Batch{}
	for seats := range 3 {
		batch.Queue(writeSQL, "course-17", strconv.Itoa(seats))
		batch.Queue(readSQL, "course-17")
	}
	results := conn.SendBatch(ctx, batch)
	for seats := range 3 {
		_, err := results.Exec()
		is.NoErr(err)
		var value string
		is.NoErr(results.QueryRow().Scan(&value))
		is.Equal(value, strconv.Itoa(seats))
	}
	is.NoErr(results.Close())
}

package whole

import (
	"context"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/app/config"
	"almondway.dev/almondway/internal/proto/ctrlpb"
)

// arrivalTime is the time after which a statement has arrived at its instance.
const arrivalTime = 300 * time.Millisecond

// freeze stops all traffic of the instances.
func (system *system) freeze(t *testing.T) {
	t.Helper()
	for _, instance := range system.instances {
		_, err := instance.SetInstanceFaults(context.Background(), connect.NewRequest(&ctrlpb.SetInstanceFaultsRequest{Frozen: true}))
		is.New(t).NoErr(err)
	}
}

// The end of a drain answers what still runs, and tells the other callers why it disconnects them.
func TestShutdownAnswersCallers(t *testing.T) {
	const (
		write  = "INSERT INTO kv(key, value) VALUES ('course-1', '2') ON CONFLICT (key) DO UPDATE SET value = excluded.value /*kind='edit'*/"
		asleep = "SELECT pg_sleep(60) /*timeout='60s'*/"
	)
	tests := []struct {
		name   string
		first  []string // answered before the shutdown
		slow   string   // sent before the instances are frozen
		frozen string   // sent while the instances are frozen
		state  string
	}{
		{name: "statement", slow: asleep, state: "57014"},
		{name: "statement of a transaction", first: []string{"BEGIN", "SELECT pg_sleep(0)"}, slow: asleep, state: "57014"},
		{name: "commit", first: []string{"BEGIN", write}, frozen: "COMMIT", state: "40003"},
		{name: "open transaction", first: []string{"BEGIN", "SELECT pg_sleep(0)"}, state: "57P01"},
		{name: "idle", first: []string{"SELECT pg_sleep(0)"}, state: "57P01"},
		{name: "never used", state: "57P01"},
	}
	system := newSystemWith(t, func(spec *config.Spec) { spec.Kernel.DrainLimit = time.Second })
	ctx := system.context(t)
	results := make([]chan error, len(tests))
	frozen := make(chan struct{})
	for index, test := range tests {
		is := is.New(t)
		conn, err := pgconn.Connect(ctx, system.url("student"))
		is.NoErr(err)
		defer func() { _ = conn.Close(ctx) }()
		for _, sql := range test.first {
			_, err := conn.Exec(ctx, sql).ReadAll()
			is.NoErr(err)
		}
		results[index] = make(chan error, 1)
		go func() {
			if test.frozen != "" {
				<-frozen
			}
			if sql := test.slow + test.frozen; sql != "" {
				_, err := conn.Exec(ctx, sql).ReadAll()
				results[index] <- err
				return
			}
			results[index] <- conn.WaitForNotification(ctx)
		}()
	}
	time.Sleep(arrivalTime) // the statements run
	system.freeze(t)
	close(frozen)
	time.Sleep(arrivalTime) // the commit is sent
	system.signals <- syscall.SIGTERM
	<-system.stopped
	for index, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var reason *pgconn.PgError
			if err := <-results[index]; !errors.As(err, &reason) {
				t.Fatalf("disconnected without an answer: %v", err)
			}
			is.New(t).Equal(reason.Code, test.state)
		})
	}
}

// A second signal ends a drain at once, and with answers as well.
func TestSecondSignalAnswersCallers(t *testing.T) {
	is := is.New(t)
	system := newSystem(t)
	ctx := system.context(t)
	conn, err := pgconn.Connect(ctx, system.url("student"))
	is.NoErr(err)
	defer func() { _ = conn.Close(ctx) }()
	result := make(chan error, 1)
	go func() {
		_, err := conn.Exec(ctx, "SELECT pg_sleep(60) /*timeout='60s'*/").ReadAll()
		result <- err
	}()
	time.Sleep(arrivalTime) // the statement runs
	system.signals <- syscall.SIGTERM
	time.Sleep(arrivalTime) // the drain begins
	system.signals <- syscall.SIGTERM
	<-system.stopped
	var reason *pgconn.PgError
	if err := <-result; !errors.As(err, &reason) {
		t.Fatalf("disconnected without an answer: %v", err)
	}
	is.Equal(reason.Code, "57014")
}

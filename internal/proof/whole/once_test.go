package whole

import (
	"fmt"
	"testing"

	"github.com/google/uuid"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"
)

// newRequestID returns a version 7 UUID, which is the format of a request ID.
func newRequestID(t *testing.T) string {
	t.Helper()
	id, err := uuid.NewV7()
	is.New(t).NoErr(err)
	return id.String()
}

// A retry under the same request ID is not executed again. It returns no affected rows and a notice.
// The same request ID with other parameters is an error.
func TestRetryRunsOnce(t *testing.T) {
	is := is.New(t)
	system := newSystem(t)
	ctx := system.context(t)
	notices := 0
	settings, err := pgx.ParseConfig(system.url("registrar"))
	is.NoErr(err)
	settings.OnNotice = func(*pgconn.PgConn, *pgconn.Notice) { notices++ }
	conn, err := pgx.ConnectConfig(ctx, settings)
	is.NoErr(err)
	defer func() { _ = conn.Close(ctx) }()
	_, err = conn.Exec(ctx, writeSQL, "course-40", "10")
	is.NoErr(err)
	id := newRequestID(t)
	enrol := fmt.Sprintf("UPDATE kv SET value = value - $1 WHERE key = $2 /*kind='edit',request_id='%s'*/", id)
	for _, affected := range []int64{1, 0} {
		tag, err := conn.Exec(ctx, enrol, 1, "course-40")
		is.NoErr(err)
		is.True(tag.Update())
		is.Equal(tag.RowsAffected(), affected)
	}
	is.Equal(notices, 1)
	var value string
	is.NoErr(conn.QueryRow(ctx, readSQL, "course-40").Scan(&value))
	is.Equal(value, "9")
	_, err = conn.Exec(ctx, enrol, 2, "course-40") // same request ID, other parameters
	is.Equal(sqlState(err), "23505")
	transaction, err := conn.BeginTx(ctx, pgx.TxOptions{BeginQuery: "BEGIN /*kind='edit',request_id='" + newRequestID(t) + "'*/"})
	is.NoErr(err)
	_, err = transaction.Exec(ctx, writeSQL, "course-40", "8")
	is.NoErr(err)
	is.NoErr(transaction.Commit(ctx))
	is.NoErr(conn.QueryRow(ctx, readSQL, "course-40").Scan(&value))
	is.Equal(value, "8")
}

// A caller disconnects in an open transaction. The transaction is rolled back: its row and its
// locks are gone.
func TestCallerLostInTransaction(t *testing.T) {
	is := is.New(t)
	system := newSystem(t)
	ctx := system.context(t)
	lost, err := pgx.Connect(ctx, system.url("registrar"))
	is.NoErr(err)
	transaction, err := lost.BeginTx(ctx, pgx.TxOptions{BeginQuery: "BEGIN /*kind='edit'*/"})
	is.NoErr(err)
	_, err = transaction.Exec(ctx, writeSQL, "course-50", "1")
	is.NoErr(err)
	is.NoErr(lost.PgConn().Conn().Close())
	conn, err := pgx.Connect(ctx, system.url("registrar"))
	is.NoErr(err)
	defer func() { _ = conn.Close(ctx) }()
	_, err = conn.Exec(ctx, "INSERT INTO kv(key, value) VALUES ($1, $2) /*kind='edit'*/", "course-50", "2")
	is.NoErr(err)
	var value string
	is.NoErr(conn.QueryRow(ctx, readSQL, "course-50").Scan(&value))
	is.Equal(value, "2")
}

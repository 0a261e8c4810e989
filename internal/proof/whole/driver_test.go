package whole

import (
	"context"
	"database/sql"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	_ "github.com/jackc/pgx/v5/stdlib" // registers the driver "pgx"
	"github.com/lib/pq"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

const (
	writeSQL = "INSERT INTO kv(key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = excluded.value /*kind='edit'*/"
	readSQL  = "SELECT value FROM kv WHERE key = $1 /*kind='seat_count'*/"
)

// sqlState returns the SQLSTATE of an error from either driver, or the empty string.
func sqlState(err error) string {
	var pgxError *pgconn.PgError
	if errors.As(err, &pgxError) {
		return pgxError.Code
	}
	var pqError *pq.Error
	if errors.As(err, &pqError) {
		return string(pqError.Code)
	}
	return ""
}

func TestPgx(t *testing.T) {
	is := is.New(t)
	system := newSystem(t)
	ctx := system.context(t)
	modes := []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	}
	for _, mode := range modes {
		t.Run(mode.String(), func(t *testing.T) {
			is := is.New(t)
			settings, err := pgx.ParseConfig(system.url("registrar"))
			is.NoErr(err)
			settings.DefaultQueryExecMode = mode
			conn, err := pgx.ConnectConfig(ctx, settings)
			is.NoErr(err)
			defer func() { _ = conn.Close(ctx) }()
			for _, seats := range []string{"42", "41"} {
				tag, err := conn.Exec(ctx, writeSQL, "course-17", seats)
				is.NoErr(err)
				is.Equal(tag.RowsAffected(), int64(1))
				var value string
				is.NoErr(conn.QueryRow(ctx, readSQL, "course-17").Scan(&value))
				is.Equal(value, seats)
			}
			is.True(conn.PgConn().ParameterStatus("almondway.token") != "")
			_, err = conn.Exec(ctx, "DELETE FROM kv WHERE key = $1", "course-17") // the default kind, browse, is read-only
			is.Equal(sqlState(err), "25006")
			transaction, err := conn.BeginTx(ctx, pgx.TxOptions{BeginQuery: "BEGIN /*kind='edit'*/"})
			is.NoErr(err)
			_, err = transaction.Exec(ctx, writeSQL, "course-18", "7")
			is.NoErr(err)
			var value string
			is.NoErr(transaction.QueryRow(ctx, "SELECT value FROM kv WHERE key = $1 /*kind='edit'*/", "course-18").Scan(&value))
			is.Equal(value, "7")
			is.NoErr(transaction.Rollback(ctx))
			err = conn.QueryRow(ctx, readSQL, "course-18").Scan(&value)
			is.True(errors.Is(err, pgx.ErrNoRows))
		})
	}
	is.NoErr(ctx.Err())
}

func TestDatabaseSQL(t *testing.T) {
	for _, driver := range []string{"postgres", "pgx"} {
		t.Run(driver, func(t *testing.T) { testDatabaseSQL(t, driver) })
	}
}

// testDatabaseSQL tests database/sql and its connection pool with lib/pq or pgx.
func testDatabaseSQL(t *testing.T, driver string) {
	is := is.New(t)
	system := newSystem(t)
	database, err := sql.Open(driver, system.url("registrar"))
	is.NoErr(err)
	defer func() { _ = database.Close() }()
	database.SetMaxOpenConns(4)
	for _, seats := range []string{"42", "41"} {
		result, err := database.Exec(writeSQL, "course-17", seats)
		is.NoErr(err)
		affected, err := result.RowsAffected()
		is.NoErr(err)
		is.Equal(affected, int64(1))
		var value string
		is.NoErr(database.QueryRow(readSQL, "course-17").Scan(&value))
		is.Equal(value, seats)
	}
	_, err = database.Exec("DELETE FROM kv WHERE key = 'course-17'") // the default kind, browse, is read-only
	is.Equal(sqlState(err), "25006")
	_, err = database.Exec("SELECT 1 /*kind='none'*/")
	is.Equal(sqlState(err), "22023")
	conn, err := database.Conn(context.Background())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = conn.ExecContext(context.Background(), "SET almondway.kind = 'edit'")
	is.NoErr(err)
	transaction, err := conn.BeginTx(context.Background(), nil)
	is.NoErr(err)
	statement, err := transaction.Prepare("INSERT INTO kv(key, value) VALUES ($1, $2)")
	is.NoErr(err)
	for _, course := range []string{"course-20", "course-21"} {
		_, err = statement.Exec(course, "1")
		is.NoErr(err)
	}
	is.NoErr(transaction.Commit())
	var value string
	is.NoErr(database.QueryRow(readSQL, "course-21").Scan(&value))
	is.Equal(value, "1")
	_, err = conn.ExecContext(context.Background(), "INSERT INTO kv(key, value) VALUES ('course-21', '2')")
	is.Equal(sqlState(err), "23505")
}

// A cancel request ends the running statement and keeps the connection. It may arrive before the
// statement does, so the attempt is repeated.
func TestCancel(t *testing.T) {
	is := is.New(t)
	system := newSystem(t)
	ctx := system.context(t)
	conn, err := pgx.Connect(ctx, system.url("student"))
	is.NoErr(err)
	defer func() { _ = conn.Close(ctx) }()
	for range 100 {
		canceled := time.AfterFunc(50*time.Millisecond, func() { _ = conn.PgConn().CancelRequest(ctx) })
		_, err = conn.Exec(ctx, "SELECT pg_sleep(4)")
		if !canceled.Stop() && err != nil {
			break
		}
	}
	is.Equal(sqlState(err), "57014")
	_, err = conn.Exec(ctx, "SELECT 1")
	is.NoErr(err) // the connection remains usable
}

// The proxy describes a statement at the backend. This must not execute the statement.
func TestDescribeRunsNothing(t *testing.T) {
	is := is.New(t)
	system := newSystem(t)
	ctx := system.context(t)
	conn, err := pgx.Connect(ctx, system.url("registrar"))
	is.NoErr(err)
	defer func() { _ = conn.Close(ctx) }()
	_, err = conn.Prepare(ctx, "enrol", "INSERT INTO kv(key, value) VALUES ('course-30', '1') /*kind='edit'*/")
	is.NoErr(err)
	var value string
	err = conn.QueryRow(ctx, readSQL, "course-30").Scan(&value)
	is.True(errors.Is(err, pgx.ErrNoRows))
}

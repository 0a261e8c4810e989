package front

import (
	"context"
	"database/sql"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/lib/pq"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// client is a connection through one of the drivers, so that a test makes the
// same calls with each.
type client interface {
	query(text string, args ...any) ([][]string, error)
	exec(text string, args ...any) (int64, error)
	begin() (clientTx, error)
}

type clientTx interface {
	exec(text string, args ...any) (int64, error)
	commit() error
	rollback() error
}

var clients = []struct {
	name string
	open func(t testing.TB, url string) client
}{
	{"pgx", openPgx},
	{"pq", openPq},
}

// sqlState returns the SQLSTATE of an error of either driver.
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

type pgxClient struct{ conn *pgx.Conn }

func openPgx(t testing.TB, url string) client {
	t.Helper()
	is := is.New(t)
	conn, err := pgx.Connect(context.Background(), url)
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return pgxClient{conn: conn}
}

func (pgxClient pgxClient) query(text string, args ...any) ([][]string, error) {
	rows, err := pgxClient.conn.Query(context.Background(), text, args...)
	if err != nil {
		return nil, err
	}
	return pgx.CollectRows(rows, func(row pgx.CollectableRow) ([]string, error) {
		return scanTexts(len(row.FieldDescriptions()), row.Scan)
	})
}

func (pgxClient pgxClient) exec(text string, args ...any) (int64, error) {
	tag, err := pgxClient.conn.Exec(context.Background(), text, args...)
	return tag.RowsAffected(), err
}

func (pgxClient pgxClient) begin() (clientTx, error) {
	transaction, err := pgxClient.conn.Begin(context.Background())
	return pgxTx{transaction: transaction}, err
}

type pgxTx struct{ transaction pgx.Tx }

func (pgxTx pgxTx) exec(text string, args ...any) (int64, error) {
	tag, err := pgxTx.transaction.Exec(context.Background(), text, args...)
	return tag.RowsAffected(), err
}

func (pgxTx pgxTx) commit() error { return pgxTx.transaction.Commit(context.Background()) }

func (pgxTx pgxTx) rollback() error { return pgxTx.transaction.Rollback(context.Background()) }

type pqClient struct{ database *sql.DB }

func openPq(t testing.TB, url string) client {
	t.Helper()
	is := is.New(t)
	database, err := sql.Open("postgres", url)
	is.NoErr(err)
	t.Cleanup(func() { _ = database.Close() })
	return pqClient{database: database}
}

func (pqClient pqClient) query(text string, args ...any) ([][]string, error) {
	rows, err := pqClient.database.Query(text, args...)
	if err != nil {
		return nil, err
	}
	defer func() { _ = rows.Close() }()
	columns, err := rows.Columns()
	if err != nil {
		return nil, err
	}
	var collected [][]string
	for rows.Next() {
		row, err := scanTexts(len(columns), rows.Scan)
		if err != nil {
			return nil, err
		}
		collected = append(collected, row)
	}
	return collected, rows.Err()
}

func (pqClient pqClient) exec(text string, args ...any) (int64, error) {
	return affected(pqClient.database.Exec(text, args...))
}

func (pqClient pqClient) begin() (clientTx, error) {
	transaction, err := pqClient.database.Begin()
	return pqTx{transaction: transaction}, err
}

type pqTx struct{ transaction *sql.Tx }

func (pqTx pqTx) exec(text string, args ...any) (int64, error) {
	return affected(pqTx.transaction.Exec(text, args...))
}

func (pqTx pqTx) commit() error { return pqTx.transaction.Commit() }

func (pqTx pqTx) rollback() error { return pqTx.transaction.Rollback() }

func affected(result sql.Result, err error) (int64, error) {
	if err != nil {
		return 0, err
	}
	return result.RowsAffected()
}

func scanTexts(columns int, scan func(targets ...any) error) ([]string, error) {
	texts := make([]sql.NullString, columns)
	targets := make([]any, columns)
	for index := range texts {
		targets[index] = &texts[index]
	}
	if err := scan(targets...); err != nil {
		return nil, err
	}
	row := make([]string, columns)
	for index, text := range texts {
		row[index] = text.String
	}
	return row, nil
}

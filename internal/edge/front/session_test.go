package front

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/model"
)

func TestTagsReachTheRequest(t *testing.T) {
	const id = "01939b1e-7c3a-7000-8000-000000000001"
	tests := []struct {
		name     string
		before   []string
		sql      string
		kind     string
		key      string
		id       string
		timeout  time.Duration
		position model.Position
	}{
		{"trailing comment", nil, "SELECT 1 /*key='course-17',kind='seat_count',request_id='" + id + "',timeout='250ms',token='v1,g=1%2F7'*/", "seat_count", "course-17", id, 250 * time.Millisecond, 7},
		{"leading comment", nil, "/* kind = 'seat_count', key = 'a%20b' */ SELECT 1", "seat_count", "a b", "", 0, 0},
		{"settings", []string{"SET almondway.kind = 'browse'", "SET almondway.timeout TO '2s'"}, "SELECT 1", "browse", "", "", 2 * time.Second, 0},
		{"comment before setting", []string{"SET almondway.kind = 'browse'"}, "SELECT 1 /*kind='seat_count'*/", "seat_count", "", "", 0, 0},
		{"statement_timeout", []string{"SET statement_timeout = 1500"}, "SELECT 1", "", "", "", 1500 * time.Millisecond, 0},
		{"statement_timeout with unit", []string{"SET statement_timeout TO '2min'"}, "SELECT 1", "", "", "", 2 * time.Minute, 0},
		{"no statement_timeout", []string{"SET statement_timeout = 9", "SET statement_timeout = 0"}, "SELECT 1", "", "", "", 0, 0},
		{"reset", []string{"SET almondway.kind = 'browse'", "RESET almondway.kind"}, "SELECT 1", "", "", "", 0, 0},
		{"request id is used up", []string{"SET almondway.request_id = '" + id + "'", "UPDATE x"}, "SELECT 1", "", "", "", 0, 0},
		{"request id of a setting", []string{"SET almondway.request_id = '" + id + "'"}, "UPDATE x", "", "", id, 0, 0},
		{"discard", []string{"SET almondway.kind = 'browse'", "DISCARD ALL"}, "SELECT 1", "", "", "", 0, 0},
	}
	for _, driver := range clients {
		for _, test := range tests {
			t.Run(driver.name+" "+test.name, func(t *testing.T) {
				is := is.New(t)
				fakeKernel := newFakeKernel(t, Spec{}, echo)
				client := driver.open(t, fakeKernel.url(""))
				for _, sql := range test.before {
					_, err := client.exec(sql)
					is.NoErr(err)
				}
				_, err := client.exec(test.sql)
				is.NoErr(err)
				request := fakeKernel.lastRequest()
				is.Equal(request.Kind(), test.kind)
				is.Equal(request.Key(), test.key)
				is.Equal(request.RequestID(), test.id)
				is.Equal(request.Timeout(), test.timeout)
				is.Equal(request.Token().Mark("g").Position(), test.position)
			})
		}
	}
}

func TestDigest(t *testing.T) {
	is := is.New(t)
	fakeKernel := newFakeKernel(t, Spec{}, echo)
	client := openPgx(t, fakeKernel.url(""))
	digests := func(texts ...string) map[uint64]bool {
		found := make(map[uint64]bool)
		for _, text := range texts {
			_, err := client.exec(text)
			is.NoErr(err)
			found[fakeKernel.lastRequest().Digest()] = true
		}
		return found
	}
	is.Equal(len(digests("UPDATE x", "UPDATE x; ", "UPDATE x /*kind='a'*/", "/*kind='b',request_id='1'*/ UPDATE x", "UPDATE x /*traceparent='2'*/;")), 1)
	is.Equal(len(digests("UPDATE x", "UPDATE y", "UPDATE x /* plain */")), 3)
	is.True(digest("a", [][]byte{nil}) != digest("a", [][]byte{{}}))
	is.True(digest("a", [][]byte{{1}, {2}}) != digest("a", [][]byte{{1, 2}}))
}

func TestStartUpTags(t *testing.T) {
	for _, driver := range clients {
		t.Run(driver.name, func(t *testing.T) {
			is := is.New(t)
			fakeKernel := newFakeKernel(t, Spec{}, echo)
			client := driver.open(t, fakeKernel.url("&almondway.kind=browse&options=-c%20almondway.key%3Dcourse-17"))
			_, err := client.exec("SELECT 1")
			is.NoErr(err)
			is.Equal(fakeKernel.lastRequest().Kind(), "browse")
			is.Equal(fakeKernel.lastRequest().Key(), "course-17")
		})
	}
}

func TestRejectedInput(t *testing.T) {
	tests := []struct {
		name  string
		sql   string
		state string
	}{
		{"malformed token", "SELECT 1 /*token='seven'*/", "22023"},
		{"malformed tag", "SELECT 1 /*kind='seat_count',key*/", "22023"},
		{"malformed timeout", "SELECT 1 /*timeout='12'*/", "22023"},
		{"malformed token setting", "SET almondway.token = 'seven'", "22023"},
		{"malformed statement_timeout", "SET statement_timeout = 'soon'", "22023"},
		{"unknown setting", "SET almondway.speed = 'high'", "22023"},
		{"setting of the database", "SET search_path = 'public'", "0A000"},
		{"transaction control among others", "BEGIN; UPDATE x; COMMIT", "0A000"},
		{"listen", "LISTEN seats", "0A000"},
		{"copy", "COPY seats FROM STDIN", "0A000"},
	}
	for _, driver := range clients {
		for _, test := range tests {
			t.Run(driver.name+" "+test.name, func(t *testing.T) {
				is := is.New(t)
				fakeKernel := newFakeKernel(t, Spec{}, echo)
				client := driver.open(t, fakeKernel.url(""))
				_, err := client.exec(test.sql)
				is.Equal(sqlState(err), test.state)
				is.Equal(fakeKernel.operations(), "") // no request was sent
				_, err = client.exec("UPDATE x")
				is.NoErr(err) // the connection stays open
			})
		}
	}
}

func TestTokenIsReported(t *testing.T) {
	is := is.New(t)
	position := model.Position(0)
	fakeKernel := newFakeKernel(t, Spec{}, func(*model.Request) model.ReplySpec {
		position++
		mark := model.NewMark(model.NewTerm(1, 0), position)
		return model.ReplySpec{Token: model.Token{}.With("katalog-1", mark)}
	})
	conn, err := pgconn.Connect(context.Background(), fakeKernel.url(""))
	is.NoErr(err)
	defer func() { _ = conn.Close(context.Background()) }()
	for _, token := range []string{"v1,katalog-1=16777216/1", "v1,katalog-1=16777216/2"} {
		_, err = conn.Exec(context.Background(), "UPDATE x").ReadAll()
		is.NoErr(err)
		is.Equal(conn.ParameterStatus("almondway.token"), token)
	}
	is.Equal(fakeKernel.lastRequest().Token().Mark("katalog-1").Position(), model.Position(1)) // the second request has the token of the first reply
}

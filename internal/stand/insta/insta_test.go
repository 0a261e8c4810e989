package insta_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/wire"
	"almondway.dev/almondway/internal/proto/ctrlpb"
	"almondway.dev/almondway/internal/stand/insta"
	"almondway.dev/almondway/internal/stand/topol"
)

// fixture is a group of instances that run in the test process.
type fixture struct {
	t         *testing.T
	spec      topol.Spec
	instances []*insta.Instance
	cancels   []context.CancelFunc
}

func newFixture(t *testing.T, size int) *fixture {
	t.Helper()
	fixture := &fixture{t: t, spec: topol.Spec{Slots: 2, Connections: 4}}
	group := topol.GroupSpec{ID: "katalog-1"}
	listeners := make([]net.Listener, size)
	for index := range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[index] = listener
		group.Instances = append(group.Instances, topol.InstanceSpec{
			ID:      fmt.Sprintf("katalog-1-%c", 'a'+index),
			Address: listener.Addr().String(),
			Primary: index == 0,
		})
	}
	fixture.spec.Groups = []topol.GroupSpec{group}
	for index, listener := range listeners {
		instance, err := insta.New(fixture.spec, group.Instances[index].ID, insta.Options{})
		if err != nil {
			t.Fatal(err)
		}
		fixture.instances = append(fixture.instances, instance)
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		fixture.cancels = append(fixture.cancels, cancel)
		instance.Start()
		go func() { _ = instance.Serve(ctx, listener) }()
	}
	return fixture
}

// connect opens a connection to the instance with the given index.
func (fixture *fixture) connect(index int, user string) *pgconn.PgConn {
	fixture.t.Helper()
	address := fixture.spec.Groups[0].Instances[index].Address
	conn, err := pgconn.Connect(context.Background(), "postgres://"+user+"@"+address+"/catalogue?sslmode=disable")
	if err != nil {
		fixture.t.Fatal(err)
	}
	fixture.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// runQuery runs a simple query and returns the first column of the last result
// and the SQLSTATE of the error, if any.
func runQuery(conn *pgconn.PgConn, sql string) ([]string, string) {
	results, err := conn.Exec(context.Background(), sql).ReadAll()
	var rows []string
	if len(results) > 0 {
		for _, row := range results[len(results)-1].Rows {
			rows = append(rows, string(row[0]))
		}
	}
	return rows, sqlStateOf(err)
}

func sqlStateOf(err error) string {
	var refused *pgconn.PgError
	if errors.As(err, &refused) {
		return refused.Code
	}
	return ""
}

// runControlSQL runs a platform function over a control connection and returns the
// status row.
func (fixture *fixture) runControlSQL(index int, format string, args ...any) []string {
	fixture.t.Helper()
	conn := fixture.connect(index, wire.ControlUser)
	results, err := conn.Exec(context.Background(), fmt.Sprintf(format, args...)).ReadAll()
	if err != nil {
		fixture.t.Fatal(err)
	}
	_ = conn.Close(context.Background())
	row := make([]string, wire.StatusColumnCount)
	for column, value := range results[0].Rows[0] {
		row[column] = string(value)
	}
	return row
}

// awaitMark polls an instance until its log tail equals mark.
func (fixture *fixture) awaitMark(index int, mark model.Mark) {
	fixture.t.Helper()
	conn := fixture.connect(index, wire.ControlUser)
	for range 5000 {
		results, err := conn.Exec(context.Background(), wire.StatusSQL).ReadAll()
		if err != nil {
			fixture.t.Fatal(err)
		}
		row := results[0].Rows[0]
		term, _ := strconv.ParseUint(string(row[wire.StatusTailTerm]), 10, 64)
		position, _ := strconv.ParseUint(string(row[wire.StatusTailPosition]), 10, 64)
		if model.NewMark(model.Term(term), model.Position(position)) == mark {
			_ = conn.Close(context.Background())
			return
		}
	}
	fixture.t.Fatalf("instance %d did not reach %s", index, mark)
}

func (fixture *fixture) setFaults(index int, faults *ctrlpb.SetInstanceFaultsRequest) {
	fixture.t.Helper()
	if _, err := fixture.instances[index].SetInstanceFaults(context.Background(), connect.NewRequest(faults)); err != nil {
		fixture.t.Fatal(err)
	}
}

func reportedMark(conn *pgconn.PgConn) model.Mark {
	mark, _ := model.ParseMark(conn.ParameterStatus(wire.MarkParameter))
	return mark
}

const (
	firstTerm = insta.FirstTerm
	nextTerm  = model.Term(2<<24 | 7)
	lastTerm  = model.Term(3<<24 | 9)
)

func TestStatements(t *testing.T) {
	is := is.New(t)
	conn := newFixture(t, 1).connect(0, "registrar")
	cases := []struct {
		sql   string
		rows  []string
		state string
	}{
		{"/*kind='edit'*/ INSERT INTO kv (key, value) VALUES ('course-1', 'It''s 5')", nil, ""},
		{"INSERT INTO kv (key, value) VALUES ('course-1', '6')", nil, "23505"},
		{"SELECT value FROM kv WHERE key = 'course-1' -- trailing", []string{"It's 5"}, ""},
		{"INSERT INTO kv (key, value) VALUES ('course-1', '7') ON CONFLICT (key) DO UPDATE SET value = EXCLUDED.value", nil, ""},
		{"UPDATE kv SET value = value + 3 WHERE key = 'course-1' RETURNING value", []string{"10"}, ""},
		{"UPDATE kv SET value = 'x' WHERE key = 'course-2' RETURNING value", nil, ""},
		{"SELECT key, value FROM kv WHERE key LIKE 'course-%'", []string{"course-1"}, ""},
		{"BEGIN; UPDATE kv SET value = '1' WHERE key = 'course-1'; ROLLBACK", nil, ""},
		{"UPDATE kv SET value = '2' WHERE key = 'course-1'; SELECT nonsense", nil, "42601"},
		{"SELECT value FROM kv WHERE key = 'course-1'", []string{"10"}, ""},
		{"BEGIN READ ONLY; DELETE FROM kv WHERE key = 'course-1'", nil, "25006"},
		{"SELECT 1", nil, "25P02"},
		{"COMMIT", nil, ""},
		{"DELETE FROM kv WHERE key = 'course-1'", nil, ""},
		{"SELECT value FROM kv WHERE key = 'course-1'", nil, ""},
		{"SELECT * FROM platform_status()", nil, "42501"},
	}
	for _, c := range cases {
		rows, state := runQuery(conn, c.sql)
		t.Log(c.sql)
		is.Equal(state, c.state)
		is.Equal(rows, c.rows)
	}
}

func TestExtendedProtocol(t *testing.T) {
	is := is.New(t)
	conn := newFixture(t, 1).connect(0, "hotel")
	ctx := context.Background()
	insert := "INSERT INTO kv (key, value) VALUES ($1, $2)"
	is.NoErr(conn.ExecParams(ctx, insert, [][]byte{[]byte("count-1"), []byte("4")}, nil, nil, nil).Read().Err)
	mark := reportedMark(conn)
	is.Equal(mark, model.NewMark(firstTerm, 2))

	description, err := conn.Prepare(ctx, "add", "UPDATE kv SET value = value + $1 WHERE key = $2 RETURNING value", nil)
	is.NoErr(err)
	is.Equal(description.ParamOIDs, []uint32{20, 25})
	binary := [][]byte{{0, 0, 0, 0, 0, 0, 0, 2}, []byte("count-1")}
	read := conn.ExecPrepared(ctx, "add", binary, []int16{1, 0}, nil).Read()
	is.NoErr(read.Err)
	is.Equal(string(read.Rows[0][0]), "6")

	var batch pgconn.Batch
	batch.ExecParams(insert, [][]byte{[]byte("count-2"), []byte("1")}, nil, nil, nil)
	batch.ExecParams(insert, [][]byte{[]byte("count-1"), []byte("1")}, nil, nil, nil)
	batch.ExecParams(insert, [][]byte{[]byte("count-3"), []byte("1")}, nil, nil, nil)
	_, err = conn.ExecBatch(ctx, &batch).ReadAll()
	is.Equal(sqlStateOf(err), "23505") // the three statements form one implicit transaction
	rows, _ := runQuery(conn, "SELECT key, value FROM kv WHERE key LIKE 'count-%'")
	is.Equal(rows, []string{"count-1"})
}

func TestLedger(t *testing.T) {
	is := is.New(t)
	conn := newFixture(t, 1).connect(0, "registrar")
	begin := func(term model.Term, id string, digest int) string {
		_, state := runQuery(conn, fmt.Sprintf("BEGIN; "+wire.BeginSQL+"; INSERT INTO kv (key, value) VALUES ('%s', '1'); COMMIT", term, id, digest, id))
		_, _ = runQuery(conn, "ROLLBACK")
		return state
	}
	settle := func(term model.Term, id string) string {
		_, state := runQuery(conn, fmt.Sprintf(wire.SettleSQL, term, id))
		return state
	}
	is.Equal(begin(nextTerm, "id-1", 5), wire.SQLStateFenced)
	is.Equal(begin(firstTerm, "id-1", 5), "")
	is.Equal(begin(firstTerm, "id-1", 5), wire.SQLStateReplay)
	is.Equal(begin(firstTerm, "id-1", 6), wire.SQLStateMismatch)
	is.Equal(settle(firstTerm, "id-1"), wire.SQLStateReplay)
	is.Equal(settle(firstTerm, "id-2"), "")
	settled := reportedMark(conn)
	is.Equal(settled, model.NewMark(firstTerm, 3)) // the tombstone is a log entry of its own
	is.Equal(settle(firstTerm, "id-2"), "")
	is.Equal(begin(firstTerm, "id-2", 5), wire.SQLStateTombstone)
	_, state := runQuery(conn, fmt.Sprintf(wire.TrimSQL, firstTerm, "id-2"))
	is.Equal(state, "")
	is.Equal(settle(firstTerm, "id-1"), "")
}

func TestPromotionDropsDivergedTail(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(t, 3)
	primary := fixture.connect(0, "registrar")
	_, state := runQuery(primary, "INSERT INTO kv (key, value) VALUES ('kept', '1')")
	is.Equal(state, "")
	fixture.awaitMark(1, reportedMark(primary))
	fixture.awaitMark(2, reportedMark(primary))
	fixture.setFaults(0, &ctrlpb.SetInstanceFaultsRequest{CutFromGroup: true})
	_, state = runQuery(primary, "INSERT INTO kv (key, value) VALUES ('lost', '1')")
	is.Equal(state, "")

	is.Equal(fixture.runControlSQL(1, wire.PromoteSQL, nextTerm)[wire.StatusAccepted], "f") // not fenced
	is.Equal(fixture.runControlSQL(1, wire.FenceSQL, nextTerm)[wire.StatusAccepted], "t")
	is.Equal(fixture.runControlSQL(1, wire.FenceSQL, nextTerm)[wire.StatusAccepted], "t")
	is.Equal(fixture.runControlSQL(1, wire.FenceSQL, firstTerm)[wire.StatusAccepted], "f")
	is.Equal(fixture.runControlSQL(2, wire.FenceSQL, nextTerm)[wire.StatusAccepted], "t")
	promoted := fixture.runControlSQL(1, wire.PromoteSQL, nextTerm)
	is.Equal(promoted[wire.StatusAccepted], "t")
	is.Equal(promoted[wire.StatusRole], "primary")
	again := fixture.runControlSQL(1, wire.PromoteSQL, nextTerm)
	is.Equal(again[wire.StatusTailPosition], promoted[wire.StatusTailPosition])
	newPrimary := fixture.spec.Groups[0].Instances[1]
	is.Equal(fixture.runControlSQL(2, wire.FollowSQL, nextTerm, newPrimary.ID, newPrimary.Address)[wire.StatusAccepted], "t")
	fixture.awaitMark(2, model.NewMark(nextTerm, 3))

	fixture.setFaults(0, &ctrlpb.SetInstanceFaultsRequest{})
	is.Equal(fixture.runControlSQL(0, wire.FollowSQL, nextTerm, newPrimary.ID, newPrimary.Address)[wire.StatusAccepted], "t")
	fixture.awaitMark(0, model.NewMark(nextTerm, 3))
	rows, _ := runQuery(fixture.connect(0, "student"), "SELECT key, value FROM kv WHERE key LIKE '%'")
	is.Equal(rows, []string{"kept"})
	is.Equal(fixture.runControlSQL(0, wire.PromoteSQL, nextTerm)[wire.StatusAccepted], "f") // the term already has a primary
}

func TestFenceKillsOpenTransaction(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(t, 1)
	conn := fixture.connect(0, "registrar")
	_, state := runQuery(conn, fmt.Sprintf("BEGIN; "+wire.BeginSQL+"; INSERT INTO kv (key, value) VALUES ('a', '1')", firstTerm, "id-1", 5))
	is.Equal(state, "")
	is.Equal(fixture.runControlSQL(0, wire.FenceSQL, nextTerm)[wire.StatusRole], "replica")
	is.Equal(fixture.runControlSQL(0, wire.PromoteSQL, nextTerm)[wire.StatusAccepted], "t")
	_, state = runQuery(conn, "COMMIT")
	is.Equal(state, wire.SQLStateFenced)
	rows, _ := runQuery(conn, "SELECT value FROM kv WHERE key = 'a'")
	is.Equal(len(rows), 0)
	is.Equal(fixture.runControlSQL(0, wire.FenceSQL, lastTerm)[wire.StatusFence], strconv.FormatUint(uint64(lastTerm), 10))
}

func TestLaggingReplicaReportsItsMark(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(t, 2)
	fixture.awaitMark(1, model.NewMark(firstTerm, 1))
	fixture.setFaults(1, &ctrlpb.SetInstanceFaultsRequest{Lag: durationpb.New(time.Hour)})
	primary, replica := fixture.connect(0, "registrar"), fixture.connect(1, "student")
	_, _ = runQuery(primary, "INSERT INTO kv (key, value) VALUES ('a', '1')")
	rows, _ := runQuery(replica, "SELECT value FROM kv WHERE key = 'a'")
	is.Equal(len(rows), 0)
	is.Equal(reportedMark(replica), model.NewMark(firstTerm, 1))
	_, state := runQuery(replica, "INSERT INTO kv (key, value) VALUES ('b', '1')")
	is.Equal(state, "25006")
	fixture.setFaults(1, &ctrlpb.SetInstanceFaultsRequest{Lag: durationpb.New(0)})
	fixture.awaitMark(1, reportedMark(primary))
}

func TestConnectionLimitAndLeaving(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(t, 1)
	first := fixture.connect(0, "student")
	for range fixture.spec.Connections - 1 {
		fixture.connect(0, "student")
	}
	address := fixture.spec.Groups[0].Instances[0].Address
	_, err := pgconn.Connect(context.Background(), "postgres://student@"+address+"/catalogue?sslmode=disable")
	is.Equal(sqlStateOf(err), wire.SQLStateTooManyConnections)
	fixture.setFaults(0, &ctrlpb.SetInstanceFaultsRequest{Leaving: true})
	_, state := runQuery(first, "SELECT 1")
	is.Equal(state, wire.SQLStateAdminShutdown)
	is.Equal(fixture.runControlSQL(0, wire.StatusSQL)[wire.StatusLeaving], "t")
}

func TestCancelAndLockOrder(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(t, 1)
	holder, waiter := fixture.connect(0, "hotel"), fixture.connect(0, "hotel")
	_, _ = runQuery(holder, "INSERT INTO kv (key, value) VALUES ('a', '1')")
	_, _ = runQuery(holder, "BEGIN; UPDATE kv SET value = value + 1 WHERE key = 'a'")
	waited := make(chan string)
	go func() {
		_, state := runQuery(waiter, "UPDATE kv SET value = value + 1 WHERE key = 'a'")
		waited <- state
	}()
	_, _ = runQuery(holder, "COMMIT")
	is.Equal(<-waited, "")
	rows, _ := runQuery(holder, "SELECT value FROM kv WHERE key = 'a'")
	is.Equal(rows, []string{"3"})

	go func() {
		_, state := runQuery(waiter, "SELECT pg_sleep(60)")
		waited <- state
	}()
	state := ""
	for state == "" { // a cancel request that arrives before the statement has no effect
		is.NoErr(waiter.CancelRequest(context.Background()))
		select {
		case state = <-waited:
		default:
		}
	}
	is.Equal(state, "57014")
}

func TestEmptyInstanceJoins(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(t, 3)
	primary := fixture.connect(0, "registrar")
	_, _ = runQuery(primary, "INSERT INTO kv (key, value) VALUES ('a', '1')")
	mark := reportedMark(primary)
	fixture.awaitMark(1, mark)
	fixture.cancels[2]()
	empty, err := insta.New(fixture.spec, "katalog-1-c", insta.Options{Empty: true})
	is.NoErr(err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	fixture.spec.Groups[0].Instances[2].Address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = empty.Serve(ctx, listener) }()
	status := fixture.runControlSQL(2, wire.FenceSQL, nextTerm)
	is.Equal(status[wire.StatusAccepted], "f") // the instance may have lost a fence
	is.Equal(status[wire.StatusTailPosition], "0")
	is.Equal(fixture.connect(2, "student").ParameterStatus(wire.MarkParameter), "")
	empty.Start()
	primarySpec := fixture.spec.Groups[0].Instances[0]
	for fixture.runControlSQL(2, wire.FollowSQL, firstTerm, primarySpec.ID, primarySpec.Address)[wire.StatusAccepted] != "t" {
		continue
	}
	fixture.awaitMark(2, mark)
	for fixture.runControlSQL(2, wire.FenceSQL, nextTerm)[wire.StatusAccepted] != "t" {
		continue
	}
}

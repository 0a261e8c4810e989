package back

import (
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/peek"
	"almondway.dev/almondway/internal/edge/wire"
)

// FuzzAnswer sends arbitrary bytes as the answer of an instance. The execution
// must post exactly one event, and a write may be reported as done only if the
// instance reported a mark and ReadyForQuery outside of a transaction.
func FuzzAnswer(f *testing.F) {
	answers := [][]pgproto3.BackendMessage{
		{&pgproto3.CommandComplete{CommandTag: []byte("UPDATE 1")}, &pgproto3.ReadyForQuery{TxStatus: txIdle}},
		{
			&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("a")}}},
			&pgproto3.DataRow{Values: [][]byte{nil, []byte("x")}},
			&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")},
			&pgproto3.ParameterStatus{Name: wire.MarkParameter, Value: "1/2"},
			&pgproto3.ReadyForQuery{TxStatus: txIdle},
		},
		{&pgproto3.ErrorResponse{Code: wire.SQLStateFenced}, &pgproto3.ReadyForQuery{TxStatus: txFailed}},
		{&pgproto3.CopyInResponse{}},
	}
	for _, messages := range answers {
		var encoded []byte
		for _, message := range messages {
			encoded, _ = message.Encode(encoded)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, answer []byte) {
		near, far := net.Pipe()
		defer func() { _ = near.Close() }()
		frontend := pgproto3.NewFrontend(near, near)
		frontend.SetMaxBodyLen(1 << 10)
		posted := make(events, 4)
		conn := &conn{
			backend:  &Backend{spec: withDefaults(Spec{ExecuteTimeout: time.Second}), inbox: posted},
			id:       1,
			hijacked: &pgconn.HijackedConn{Conn: near, Frontend: frontend, TxStatus: txIdle},
			peeker:   peek.New(near),
		}
		go func() {
			defer func() { _ = far.Close() }()
			if _, err := far.Read(make([]byte, 1<<10)); err == nil {
				_, _ = far.Write(answer)
			}
		}()
		work := model.NewWork(model.WorkSpec{Write: true, Statement: simple("UPDATE x")})
		conn.execute(event.NewExecute(7, 1, work))
		if len(posted) != 1 {
			t.Fatalf("%d answers to one execution", len(posted))
		}
		if done, ok := (<-posted).(event.ExecuteDone); ok && (done.Mark().IsZero() || conn.hijacked.TxStatus != txIdle) {
			t.Fatalf("write reported as done with mark %s in transaction state %c", done.Mark(), conn.hijacked.TxStatus)
		}
	})
}

package back

import (
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/edge/query"
	"almondway.dev/almondway/internal/edge/wire"
)

const testTimeout = 10 * time.Second

// reply is the answer of the fake instance to a statement.
type reply struct {
	rows  [][][]byte
	tag   string
	state string
	fatal bool
	// closeConn closes the connection instead of answering.
	closeConn bool
	// stray sends an unsolicited row after the answer.
	stray bool
	// hold waits until the connection is closed or the statement is canceled.
	hold bool
}

// instance is a fake database instance. It tracks the transaction state of each
// connection and answers statements with the reply that script returns.
type instance struct {
	listener     net.Listener
	script       func(sql string) reply
	canceled     chan struct{}
	startupReply reply
	mark         string

	mutex      sync.Mutex
	statements []string
	batches    int
	conns      []net.Conn
}

func newInstance(t testing.TB, script func(sql string) reply) *instance {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	instance := &instance{listener: listener, script: script, canceled: make(chan struct{}, 1), mark: "16777216/7"}
	go instance.accept()
	t.Cleanup(func() { _ = listener.Close() })
	return instance
}

func (instance *instance) address() string { return instance.listener.Addr().String() }

// received returns the statements in order of arrival and the number of round
// trips, counted as ReadyForQuery messages.
func (instance *instance) received() ([]string, int) {
	instance.mutex.Lock()
	defer instance.mutex.Unlock()
	return append([]string(nil), instance.statements...), instance.batches
}

func (instance *instance) accept() {
	for {
		conn, err := instance.listener.Accept()
		if err != nil {
			return
		}
		instance.mutex.Lock()
		instance.conns = append(instance.conns, conn)
		instance.mutex.Unlock()
		go instance.serve(conn)
	}
}

// closeConns closes every connection.
func (instance *instance) closeConns() {
	instance.mutex.Lock()
	defer instance.mutex.Unlock()
	for _, conn := range instance.conns {
		_ = conn.Close()
	}
}

// session is one connection to the fake instance.
type session struct {
	instance      *instance
	backend       *pgproto3.Backend
	status        byte
	prepared      string
	skipUntilSync bool
	stray         bool
}

func (instance *instance) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	backend := pgproto3.NewBackend(conn, conn)
	message, err := backend.ReceiveStartupMessage()
	if err != nil {
		return
	}
	if _, ok := message.(*pgproto3.CancelRequest); ok {
		instance.canceled <- struct{}{}
		return
	}
	session := &session{instance: instance, backend: backend, status: txIdle}
	if instance.startupReply.state != "" {
		session.sendError(instance.startupReply)
		_ = backend.Flush()
		return
	}
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}})
	session.sendReady()
	for {
		message, err := backend.Receive()
		if err != nil || !session.handle(message) {
			return
		}
	}
}

func (session *session) handle(message pgproto3.FrontendMessage) bool {
	if _, ok := message.(*pgproto3.Sync); !ok && session.skipUntilSync {
		return true
	}
	switch message := message.(type) {
	case *pgproto3.Query:
		for _, sql := range query.Split(message.String) {
			if !session.run(sql, true) {
				return false
			}
			if session.skipUntilSync {
				break
			}
		}
		session.skipUntilSync = false
		session.sendReady()
	case *pgproto3.Parse:
		session.prepared = message.Query
		session.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		session.backend.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		if message.ObjectType == 'S' {
			session.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: []uint32{25}})
		}
		session.backend.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("name"), DataTypeOID: 25}}})
	case *pgproto3.Execute:
		return session.run(session.prepared, false)
	case *pgproto3.Sync:
		session.skipUntilSync = false
		session.sendReady()
	}
	return true
}

func (session *session) run(sql string, describe bool) bool {
	sql = strings.TrimSpace(sql)
	instance := session.instance
	instance.mutex.Lock()
	instance.statements = append(instance.statements, sql)
	instance.mutex.Unlock()
	answer := instance.script(sql)
	session.stray = answer.stray
	switch {
	case answer.closeConn:
		return false
	case answer.hold:
		<-instance.canceled
		answer = reply{state: "57014"}
	}
	if answer.state != "" {
		session.sendError(answer)
		return !answer.fatal
	}
	switch {
	case strings.HasPrefix(sql, "BEGIN"):
		session.status = txOpen
	case sql == "COMMIT", sql == "ROLLBACK":
		if session.status == txFailed {
			answer.tag = "ROLLBACK"
		}
		session.status = txIdle
	}
	if describe && answer.rows != nil {
		session.backend.Send(&pgproto3.RowDescription{Fields: make([]pgproto3.FieldDescription, len(answer.rows[0]))})
	}
	for _, row := range answer.rows {
		session.backend.Send(&pgproto3.DataRow{Values: row})
	}
	if answer.tag == "" {
		answer.tag, _ = query.Keyword(sql)
	}
	session.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(answer.tag)})
	return true
}

func (session *session) sendError(answer reply) {
	severity := "ERROR"
	if answer.fatal {
		severity = "FATAL"
	}
	session.backend.Send(&pgproto3.ErrorResponse{Severity: severity, Code: answer.state, Message: "refused"})
	if answer.fatal {
		_ = session.backend.Flush()
	}
	session.skipUntilSync = true
	if session.status == txOpen {
		session.status = txFailed
	}
}

func (session *session) sendReady() {
	session.instance.mutex.Lock()
	session.instance.batches++
	session.instance.mutex.Unlock()
	session.backend.Send(&pgproto3.ParameterStatus{Name: wire.MarkParameter, Value: session.instance.mark})
	session.backend.Send(&pgproto3.ReadyForQuery{TxStatus: session.status})
	if session.stray {
		session.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte("of another caller")}})
	}
	_ = session.backend.Flush()
}

// events is an inbox that collects the events that a Backend posts.
type events chan event.Event

// Post implements port.Inbox.
func (events events) Post(received event.Event) { events <- received }

func (events events) next(t testing.TB) event.Event {
	t.Helper()
	select {
	case received := <-events:
		return received
	case <-time.After(testTimeout):
		t.Fatal("no event within the timeout")
		return nil
	}
}

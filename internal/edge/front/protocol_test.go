package front

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/wire"
)

const testTimeout = 10 * time.Second

// rawCaller is a caller that sends and receives single protocol messages.
type rawCaller struct {
	conn     net.Conn
	frontend *pgproto3.Frontend
	pid      uint32
	secret   []byte
}

func dialRaw(t testing.TB, fakeKernel *fakeKernel) *rawCaller {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("tcp", fakeKernel.server.Address())
	is.NoErr(err)
	is.NoErr(conn.SetDeadline(time.Now().Add(testTimeout)))
	t.Cleanup(func() { _ = conn.Close() })
	return &rawCaller{conn: conn, frontend: pgproto3.NewFrontend(conn, conn)}
}

// openRaw returns a rawCaller that has finished its start-up.
func openRaw(t testing.TB, fakeKernel *fakeKernel) *rawCaller {
	t.Helper()
	rawCaller := dialRaw(t, fakeKernel)
	rawCaller.startUp(map[string]string{"user": "student", "database": "katalog"})
	rawCaller.readUntilReady(t)
	return rawCaller
}

func (rawCaller *rawCaller) startUp(parameters map[string]string) {
	rawCaller.send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: parameters})
}

func (rawCaller *rawCaller) send(messages ...pgproto3.FrontendMessage) {
	for _, message := range messages {
		rawCaller.frontend.Send(message)
	}
	_ = rawCaller.frontend.Flush()
}

// readUntilReady reads up to ReadyForQuery or a fatal error and returns one word
// for each message.
func (rawCaller *rawCaller) readUntilReady(t testing.TB) string {
	t.Helper()
	is := is.New(t)
	var words []string
	for {
		message, err := rawCaller.frontend.Receive()
		is.NoErr(err)
		switch message := message.(type) {
		case *pgproto3.BackendKeyData:
			rawCaller.pid, rawCaller.secret = message.ProcessID, message.SecretKey
		case *pgproto3.ErrorResponse:
			words = append(words, message.Severity+":"+message.Code+":"+message.Routine)
			if message.Severity == severityFatal {
				return strings.Join(words, " ")
			}
		case *pgproto3.DataRow:
			words = append(words, "row")
		case *pgproto3.RowDescription:
			words = append(words, "fields")
		case *pgproto3.NoData:
			words = append(words, "no-fields")
		case *pgproto3.CommandComplete:
			words = append(words, string(message.CommandTag))
		case *pgproto3.EmptyQueryResponse:
			words = append(words, "empty")
		case *pgproto3.PortalSuspended:
			words = append(words, "suspended")
		case *pgproto3.ParameterDescription:
			words = append(words, "params")
		case *pgproto3.NoticeResponse:
			words = append(words, message.Severity)
		case *pgproto3.ReadyForQuery:
			return strings.Join(append(words, string(message.TxStatus)), " ")
		}
	}
}

func TestSimpleProtocol(t *testing.T) {
	tests := []struct {
		sql  string
		want string
	}{
		{"SELECT 1", "fields row row row SELECT 3 I"},
		{"", "empty I"},
		{" ; -- nothing\n", "empty I"},
		{"COMMIT", "WARNING COMMIT I"},
		{"SET almondway.kind = 'browse'; SHOW almondway.kind", "SET fields row SHOW I"},
		{"SHOW server_version", "fields row SHOW I"},
		{"SHOW work_mem", "UPDATE 1 I"}, // sent to an instance
		{"SHOW almondway.key /*kind='browse'*/", "fields row SHOW I"},
		{"SET application_name = 'tablet'; SET extra_float_digits = 3", "SET SET I"},
		{"SET TIME ZONE 'UTC'", "SET I"},
		{"SET client_encoding TO latin1", "ERROR:0A000:AW116 I"},
		{"DEALLOCATE ALL", "DEALLOCATE I"},
		{"SET almondway.kind = 'browse'; UPDATE x", "ERROR:0A000:AW116 I"},
		{"ROLLBACK TO SAVEPOINT a", "UPDATE 1 I"},
		{"COMMIT AND CHAIN", "ERROR:0A000:AW116 I"},
		{"UPDATE fail", "ERROR:23505: I"},
		{"UPDATE 'a;COMMIT;' ; UPDATE \";ABORT\"", "UPDATE 1 I"},
	}
	fakeKernel := newFakeKernel(t, Spec{}, echo)
	for _, test := range tests {
		t.Run(test.sql, func(t *testing.T) {
			is := is.New(t)
			rawCaller := openRaw(t, fakeKernel)
			rawCaller.send(&pgproto3.Query{String: test.sql})
			is.Equal(rawCaller.readUntilReady(t), test.want)
		})
	}
}

func TestTransactionProtocol(t *testing.T) {
	is := is.New(t)
	fakeKernel := newFakeKernel(t, Spec{}, echo)
	rawCaller := openRaw(t, fakeKernel)
	steps := []struct{ sql, want string }{
		{"BEGIN ISOLATION LEVEL SERIALIZABLE", "BEGIN T"},
		{"BEGIN", "WARNING BEGIN T"},
		{"SET LOCAL almondway.kind = 'browse'", "SET T"},
		{"SET LOCAL lock_timeout = '1s'", "UPDATE 1 T"},
		{"SET TRANSACTION READ WRITE", "ERROR:0A000:AW116 T"},
		{"SET LOCAL transaction_read_only = off", "ERROR:0A000:AW116 T"},
		{"SET LOCAL statement_timeout = '1s'", "SET T"},
		{"SELECT 1", "fields row row row SELECT 3 T"},
		{"DISCARD ALL", "ERROR:25P02:AW112 T"},
		{"UPDATE fail", "ERROR:23505: E"},
		{"SET almondway.kind = 'a'", "ERROR:25P02:AW112 E"},
		{"COMMIT", "ROLLBACK I"},
		{"SHOW almondway.kind", "fields row SHOW I"},
		{"BEGIN SNAPSHOT", "ERROR:0A000:AW116 I"},
	}
	for _, step := range steps {
		rawCaller.send(&pgproto3.Query{String: step.sql})
		is.Equal(rawCaller.readUntilReady(t), step.want)
	}
	is.Equal(fakeKernel.operations(), "begin statement statement statement commit")
	first := fakeKernel.requests[2]
	is.Equal(first.Kind(), "browse")
	is.Equal(first.Timeout(), time.Second)
	is.Equal(first.Statement().(*wire.Statement).BeginModes(), "ISOLATION LEVEL SERIALIZABLE")
}

func TestExtendedProtocol(t *testing.T) {
	read := &pgproto3.Parse{Query: "SELECT 1"}
	write := &pgproto3.Parse{Query: "UPDATE x"}
	fail := &pgproto3.Parse{Query: "UPDATE fail"}
	bind, run, sync := &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{}
	portal, statement := &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Describe{ObjectType: 'S'}
	tests := []struct {
		name string
		send []pgproto3.FrontendMessage
		want string
		ops  string
	}{
		{"execute", []pgproto3.FrontendMessage{read, bind, run, sync}, "row row row SELECT 3 I", "statement"},
		{"described portal takes no request", []pgproto3.FrontendMessage{read, bind, portal, run, sync}, "fields row row row SELECT 3 I", "statement"},
		{"described portal alone", []pgproto3.FrontendMessage{read, bind, portal, sync}, "fields I", "describe"},
		{"description is kept", []pgproto3.FrontendMessage{read, statement, statement, bind, portal, run, sync}, "params fields params fields fields row row row SELECT 3 I", "describe statement"},
		{"write has no fields", []pgproto3.FrontendMessage{write, bind, portal, run, sync}, "no-fields UPDATE 1 I", "statement"},
		{"row limit", []pgproto3.FrontendMessage{read, bind, &pgproto3.Execute{MaxRows: 2}, &pgproto3.Execute{MaxRows: 2}, sync}, "row row suspended row SELECT 3 I", "statement"},
		{"pipeline", []pgproto3.FrontendMessage{write, bind, run, read, bind, run, sync}, "UPDATE 1 row row row SELECT 3 I", "statement statement"},
		{"error ends the pipeline", []pgproto3.FrontendMessage{write, bind, run, fail, bind, run, write, bind, run, sync}, "UPDATE 1 ERROR:23505: I", "statement statement"},
		{"unknown portal", []pgproto3.FrontendMessage{&pgproto3.Execute{Portal: "a"}, sync}, "ERROR:08P01:AW106 I", ""},
		{"unknown statement", []pgproto3.FrontendMessage{&pgproto3.Bind{PreparedStatement: "a"}, sync}, "ERROR:08P01:AW106 I", ""},
		{"closed statement", []pgproto3.FrontendMessage{read, &pgproto3.Close{ObjectType: 'S'}, bind, sync}, "ERROR:08P01:AW106 I", ""},
		{"two statements", []pgproto3.FrontendMessage{&pgproto3.Parse{Query: "SELECT 1; SELECT 2"}, sync}, "ERROR:0A000:AW116 I", ""},
		{"transaction", []pgproto3.FrontendMessage{&pgproto3.Parse{Query: "begin"}, bind, portal, run, write, bind, run, sync}, "no-fields BEGIN UPDATE 1 T", "begin statement"},
		{"setting", []pgproto3.FrontendMessage{&pgproto3.Parse{Query: "SHOW almondway.kind"}, bind, portal, run, sync}, "fields row SHOW I", ""},
		{"setting of the database", []pgproto3.FrontendMessage{&pgproto3.Parse{Query: "SHOW work_mem"}, statement, bind, portal, run, sync}, "params no-fields no-fields UPDATE 1 I", "describe statement"},
		{"empty", []pgproto3.FrontendMessage{&pgproto3.Parse{Query: "--"}, bind, portal, run, sync}, "no-fields empty I", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fakeKernel := newFakeKernel(t, Spec{}, echo)
			rawCaller := openRaw(t, fakeKernel)
			rawCaller.send(test.send...)
			is.Equal(rawCaller.readUntilReady(t), test.want)
			is.Equal(fakeKernel.operations(), test.ops)
		})
	}
}

func TestCancelAndClose(t *testing.T) {
	is := is.New(t)
	fakeKernel := newFakeKernel(t, Spec{}, echo)
	rawCaller := openRaw(t, fakeKernel)
	dialRaw(t, fakeKernel).send(&pgproto3.CancelRequest{ProcessID: rawCaller.pid, SecretKey: []byte("none")})
	dialRaw(t, fakeKernel).send(&pgproto3.CancelRequest{ProcessID: rawCaller.pid, SecretKey: rawCaller.secret})
	is.Equal(<-fakeKernel.canceled, model.CallerID(rawCaller.pid))
	is.Equal(len(fakeKernel.canceled), 0)
	fakeKernel.server.Close(event.NewCloseCaller(model.CallerID(rawCaller.pid), codes.Draining))
	is.Equal(rawCaller.readUntilReady(t), "FATAL:57P01:AW205")
	is.Equal(<-fakeKernel.closed, model.CallerID(rawCaller.pid))
}

// A FATAL error between an Execute and its Sync would be taken for the answer of the Execute.
func TestCloseWaitsForEndOfSequence(t *testing.T) {
	tests := []struct {
		name   string
		closed func(fakeKernel *fakeKernel, id model.CallerID)
	}{
		{"one caller", func(fakeKernel *fakeKernel, id model.CallerID) {
			fakeKernel.server.Close(event.NewCloseCaller(id, codes.Draining))
		}},
		{"all callers", func(fakeKernel *fakeKernel, _ model.CallerID) { fakeKernel.server.CloseAll() }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fakeKernel := newFakeKernel(t, Spec{}, echo)
			rawCaller := openRaw(t, fakeKernel)
			rawCaller.send(&pgproto3.Parse{Query: "UPDATE x"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Flush{})
			for range 3 { // the answers to Parse, Bind and Execute
				_, err := rawCaller.frontend.Receive()
				is.NoErr(err)
			}
			test.closed(fakeKernel, model.CallerID(rawCaller.pid))
			time.Sleep(20 * time.Millisecond) // the read is interrupted
			rawCaller.send(&pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{})
			is.Equal(rawCaller.readUntilReady(t), "UPDATE 1 I")
			is.Equal(rawCaller.readUntilReady(t), "FATAL:57P01:AW205")
		})
	}
}

func TestProxyReplies(t *testing.T) {
	token, err := model.ParseToken("v1,katalog-1=16777216/9")
	tests := []struct {
		name  string
		reply model.ReplySpec
		want  string
	}{
		{"refused", model.ReplySpec{Code: codes.Overloaded, Outcome: model.OutcomeNotRun, RetryAfter: 250 * time.Millisecond}, "ERROR:53000:AW201 I"},
		{"unknown", model.ReplySpec{Code: codes.OutcomeUnknown, Outcome: model.OutcomeUnknown}, "ERROR:40003:AW301 I"},
		{"replayed", model.ReplySpec{Replayed: true, Token: token}, "NOTICE INSERT 0 0 I"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.NoErr(err)
			rawCaller := openRaw(t, newFakeKernel(t, Spec{}, func(*model.Request) model.ReplySpec { return test.reply }))
			rawCaller.send(&pgproto3.Query{String: "INSERT INTO x"})
			is.Equal(rawCaller.readUntilReady(t), test.want)
		})
	}
}

func TestCallerDisconnectsWhileWaiting(t *testing.T) {
	is := is.New(t)
	received, release := make(chan struct{}), make(chan struct{})
	fakeKernel := newFakeKernel(t, Spec{DisconnectCheckInterval: time.Millisecond}, func(*model.Request) model.ReplySpec {
		close(received)
		<-release
		return model.ReplySpec{}
	})
	rawCaller := openRaw(t, fakeKernel)
	rawCaller.send(&pgproto3.Query{String: "UPDATE x"})
	<-received
	is.NoErr(rawCaller.conn.Close())
	for end := time.Now().Add(testTimeout); fakeKernel.server.Count() > 0; {
		is.True(time.Now().Before(end))
	}
	close(release)
	is.Equal(<-fakeKernel.closed, model.CallerID(rawCaller.pid))
	is.Equal(len(fakeKernel.closed), 0)
}

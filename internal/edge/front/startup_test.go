package front

import (
	"encoding/binary"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/model"
)

func TestStartUp(t *testing.T) {
	version := binary.BigEndian.AppendUint32([]byte{0, 0, 0, 8}, 2<<16)
	tests := []struct {
		name string
		send []byte
		want string
	}{
		{"wrong version", version, "FATAL:08P01:AW106"},
		{"bad length", []byte{0, 0, 0, 1}, "FATAL:08P01:AW106"},
		{"TLS handshake where TLS is off", []byte{0x16, 3, 1, 0, 1, 0, 0, 0}, "FATAL:08P01:AW107"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			rawCaller := dialRaw(t, newFakeKernel(t, Spec{}, echo))
			_, err := rawCaller.conn.Write(test.send)
			is.NoErr(err)
			is.Equal(rawCaller.readUntilReady(t), test.want)
		})
	}
}

func TestStartUpRefused(t *testing.T) {
	tests := []struct {
		name       string
		parameters map[string]string
		want       string
	}{
		{"unknown deployment", map[string]string{"user": "student", "database": "unknown"}, "FATAL:3D000:AW101"},
		{"no user", map[string]string{"database": "katalog"}, "FATAL:08P01:AW106"},
		{"malformed token", map[string]string{"user": "student", "almondway.token": "seven"}, "FATAL:22023:AW104"},
		{"setting of the database", map[string]string{"user": "student", "search_path": "public"}, "FATAL:0A000:AW116"},
		{"replication", map[string]string{"user": "student", "replication": "database"}, "FATAL:0A000:AW116"},
		{"malformed options", map[string]string{"user": "student", "options": "-x"}, "FATAL:22023:AW114"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			rawCaller := dialRaw(t, newFakeKernel(t, Spec{}, echo))
			rawCaller.startUp(test.parameters)
			is.Equal(rawCaller.readUntilReady(t), test.want)
		})
	}
}

func TestTLSRefused(t *testing.T) {
	is := is.New(t)
	rawCaller := dialRaw(t, newFakeKernel(t, Spec{}, echo))
	for _, request := range []pgproto3.FrontendMessage{&pgproto3.GSSEncRequest{}, &pgproto3.SSLRequest{}} {
		rawCaller.send(request)
		answer := make([]byte, 1)
		_, err := rawCaller.conn.Read(answer)
		is.NoErr(err)
		is.Equal(answer, []byte{'N'})
	}
	rawCaller.startUp(map[string]string{"user": "student"})
	is.Equal(rawCaller.readUntilReady(t), "I") // the caller may continue without TLS
}

func TestStartUpParameters(t *testing.T) {
	rawCaller := dialRaw(t, newFakeKernel(t, Spec{}, echo))
	rawCaller.startUp(map[string]string{
		"user": "student", "application_name": "tablet", "client_encoding": "UTF8", "TimeZone": "Europe/Zagreb",
		"DateStyle": "ISO, MDY", "extra_float_digits": "2", "statement_timeout": "500", "_pq_.command": "x",
	})
	is.New(t).Equal(rawCaller.readUntilReady(t), "I")
}

func TestTooManyCallers(t *testing.T) {
	is := is.New(t)
	fakeKernel := newFakeKernel(t, Spec{MaxCallers: 1}, echo)
	first := openRaw(t, fakeKernel)
	second := dialRaw(t, fakeKernel)
	second.startUp(map[string]string{"user": "student"})
	is.Equal(second.readUntilReady(t), "FATAL:53300:AW207")
	is.Equal(fakeKernel.server.Count(), 1)
	first.send(&pgproto3.Terminate{})
	is.Equal(<-fakeKernel.closed, model.CallerID(1))
}

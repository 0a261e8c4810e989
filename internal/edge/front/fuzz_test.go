package front

import (
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// FuzzMessages sends arbitrary bytes after the start-up. The proxy has to answer
// with well-formed messages and to close the connection at the end of the input.
func FuzzMessages(f *testing.F) {
	fakeKernel := newFakeKernel(f, Spec{MaxMessageBytes: 1 << 10}, echo)
	seeds := [][]pgproto3.FrontendMessage{
		{&pgproto3.Query{String: "SELECT 1"}, &pgproto3.Terminate{}},
		{&pgproto3.Parse{Query: "SELECT $1"}, &pgproto3.Bind{Parameters: [][]byte{nil}}, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{MaxRows: 1}, &pgproto3.Sync{}},
		{&pgproto3.Parse{Name: "a", Query: "BEGIN"}, &pgproto3.Close{ObjectType: 'S', Name: "a"}, &pgproto3.Flush{}, &pgproto3.Sync{}},
		{&pgproto3.Query{String: "SET almondway.token = 'x'; SHOW almondway.token"}, &pgproto3.CopyDone{}, &pgproto3.FunctionCall{}},
		{&pgproto3.CopyData{Data: make([]byte, 2000)}, &pgproto3.PasswordMessage{}},
	}
	for _, messages := range seeds {
		var encoded []byte
		for _, message := range messages {
			encoded, _ = message.Encode(encoded)
		}
		f.Add(encoded)
	}
	f.Add([]byte("Q\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		callerSide, proxySide := net.Pipe()
		fakeKernel.server.reserveStartup()
		ended := make(chan struct{})
		go func() {
			newCaller(fakeKernel.server, proxySide).run()
			close(ended)
		}()
		received := make(chan []byte, 1)
		go func() {
			bytes, _ := io.ReadAll(callerSide)
			received <- bytes
		}()
		start := pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "a"}}
		encoded, _ := start.Encode(nil)
		_, _ = callerSide.Write(append(encoded, sent...))
		_ = callerSide.Close()
		select {
		case <-ended:
		case <-time.After(testTimeout):
			t.Fatal("the connection did not end")
		}
		checkFrames(t, <-received)
	})
}

// checkFrames checks that bytes consist of well-formed messages. The last one may
// be truncated.
func checkFrames(t *testing.T, bytes []byte) {
	t.Helper()
	for len(bytes) >= 5 {
		length := int(binary.BigEndian.Uint32(bytes[1:5]))
		if length < 4 || length > 1<<20 {
			t.Fatalf("message %q has length %d", bytes[0], length)
		}
		if length+1 > len(bytes) {
			return
		}
		bytes = bytes[length+1:]
	}
}

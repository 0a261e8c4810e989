package peek

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

const testTimeout = 10 * time.Second

func connect(t *testing.T) (near net.Conn, far net.Conn) {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	near, err = net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	far, err = listener.Accept()
	is.NoErr(err)
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return near, far
}

func TestPeerClosed(t *testing.T) {
	tests := []struct {
		name string
		end  func(far net.Conn) error
	}{
		{"closed", func(far net.Conn) error { return far.Close() }},
		{"reset", func(far net.Conn) error {
			if err := far.(*net.TCPConn).SetLinger(0); err != nil {
				return err
			}
			return far.Close()
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			near, far := connect(t)
			peeker := New(near)
			is.Equal(peeker.PeerClosed(), false)
			is.NoErr(test.end(far))
			for end := time.Now().Add(testTimeout); !peeker.PeerClosed(); {
				is.True(time.Now().Before(end))
			}
		})
	}
}

func TestDataIsNotConsumed(t *testing.T) {
	is := is.New(t)
	near, far := connect(t)
	_, err := far.Write([]byte("seats"))
	is.NoErr(err)
	for end := time.Now().Add(testTimeout); New(near).OpenWithoutInput(); {
		is.True(time.Now().Before(end))
	}
	is.Equal(New(near).PeerClosed(), false)
	text := make([]byte, 5)
	_, err = near.Read(text)
	is.NoErr(err)
	is.Equal(string(text), "seats")
	is.Equal(New(near).OpenWithoutInput(), true)
	pipe, _ := net.Pipe()
	is.Equal(New(pipe).PeerClosed(), false)
}

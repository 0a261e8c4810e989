package line_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/stand/line"
)

func TestGateBlocksUntilOpened(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			is := is.New(t)
			local, remote := net.Pipe()
			gate := line.NewGate()
			conn := line.New(local, delay, gate)
			gate.SetClosed(true)
			written := make(chan error, 1)
			go func() {
				_, err := conn.Write([]byte("late"))
				_ = conn.Close()
				written <- err
			}()
			received := make(chan string, 1)
			go func() {
				data, _ := io.ReadAll(remote)
				received <- string(data)
			}()
			select {
			case data := <-received:
				t.Fatalf("received %q through a closed gate", data)
			default:
			}
			gate.SetClosed(false)
			is.NoErr(<-written)
			is.Equal(<-received, "late")
		})
	}
}

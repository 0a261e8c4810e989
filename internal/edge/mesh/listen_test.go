package mesh

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// countingListener counts the reads of the connections that it accepts.
type countingListener struct {
	net.Listener
	reads *atomic.Int64
}

// Accept implements net.Listener.
func (listener countingListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	return countingConn{Conn: conn, reads: listener.reads}, err
}

type countingConn struct {
	net.Conn
	reads *atomic.Int64
}

// Read implements net.Conn.
func (conn countingConn) Read(data []byte) (int, error) {
	conn.reads.Add(1)
	return conn.Conn.Read(data)
}

// A poll takes few system calls of the proxy that is polled, which many others poll. Without a
// buffer each poll takes four reads at least: the header and the body of two frames.
func TestPollTakesFewReads(t *testing.T) {
	is := is.New(t)
	const polls = 50
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var reads atomic.Int64
	receiver, receiverInbox := newMesh(t, "10.0.0.9:80")
	receiver.serve(countingListener{Listener: listener, reads: &reads})
	caller, callerInbox := startMesh(t, "10.0.0.9:80")
	for id := range model.PollID(polls) {
		caller.Poll(event.NewSendPoll(id+1, listener.Addr().String(), newPoll(), 5*time.Second))
		received := receiverInbox.next(t).(event.PollReceived)
		receiver.AnswerPoll(event.NewAnswerPoll(received.ID(), model.NewPollReply(model.PollReplySpec{Process: 8})))
		_ = callerInbox.next(t).(event.PollAnswered)
	}
	t.Logf("%d reads for %d polls", reads.Load(), polls)
	is.True(reads.Load() <= 3*polls)
}

// Package peek detects that the peer has closed a TCP connection, without
// consuming data from the connection.
package peek

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// Peeker inspects the receive buffer of one connection. It must be used by one
// goroutine at a time; others may use the connection itself concurrently.
type Peeker struct {
	raw        syscall.RawConn
	inspect    func(descriptor uintptr)
	buffer     [1]byte
	peerClosed bool
	hasInput   bool
}

// New returns a Peeker for conn, or for the underlying connection if conn has a
// NetConn method, as a TLS connection does. A connection that is not a system
// socket is always reported as open and without input.
func New(conn net.Conn) *Peeker {
	for layered, ok := conn.(interface{ NetConn() net.Conn }); ok; layered, ok = conn.(interface{ NetConn() net.Conn }) {
		conn = layered.NetConn()
	}
	peeker := &Peeker{}
	peeker.inspect = peeker.inspectSocket
	if system, ok := conn.(syscall.Conn); ok {
		peeker.raw, _ = system.SyscallConn()
	}
	return peeker
}

// PeerClosed reports whether the peer has closed or reset the connection. It
// returns false as long as there is unread data.
func (peeker *Peeker) PeerClosed() bool {
	if peeker.raw == nil {
		return false
	}
	if err := peeker.raw.Control(peeker.inspect); err != nil {
		return true
	}
	return peeker.peerClosed
}

// OpenWithoutInput reports whether the connection is open and has no unread data.
func (peeker *Peeker) OpenWithoutInput() bool { return !peeker.PeerClosed() && !peeker.hasInput }

func (peeker *Peeker) inspectSocket(descriptor uintptr) {
	count, _, err := syscall.Recvfrom(int(descriptor), peeker.buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	again := errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
	peeker.peerClosed = !again && (err != nil || count == 0)
	peeker.hasInput = err == nil && count > 0
}

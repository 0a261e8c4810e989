// Package peek tells whether the other end of a TCP connection has gone,
// without taking any data from the connection.
package peek

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// Peeker looks at one connection. It is used by one goroutine at a time; the
// connection itself may be in use by others.
type Peeker struct {
	raw        syscall.RawConn
	inspect    func(descriptor uintptr)
	buffer     [1]byte
	peerClosed bool
	hasInput   bool
}

// New returns a Peeker for conn, or for the connection below it if conn has a
// NetConn method, as a TLS connection does. A connection of another kind never counts as gone.
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

// PeerClosed reports whether the other end has closed or reset the connection. Data
// that was not read yet hides that.
func (peeker *Peeker) PeerClosed() bool {
	if peeker.raw == nil {
		return false
	}
	if err := peeker.raw.Control(peeker.inspect); err != nil {
		return true
	}
	return peeker.peerClosed
}

// OpenWithoutInput reports whether the connection is open and holds no data to be read.
func (peeker *Peeker) OpenWithoutInput() bool { return !peeker.PeerClosed() && !peeker.hasInput }

func (peeker *Peeker) inspectSocket(descriptor uintptr) {
	count, _, err := syscall.Recvfrom(int(descriptor), peeker.buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	again := errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
	peeker.peerClosed = !again && (err != nil || count == 0)
	peeker.hasInput = err == nil && count > 0
}

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
	raw    syscall.RawConn
	look   func(descriptor uintptr)
	buffer [1]byte
	gone   bool
	data   bool
}

// New returns a Peeker for conn, or for the connection below it if conn has a
// NetConn method, as a TLS connection does. A connection of another kind never counts as gone.
func New(conn net.Conn) *Peeker {
	for layered, ok := conn.(interface{ NetConn() net.Conn }); ok; layered, ok = conn.(interface{ NetConn() net.Conn }) {
		conn = layered.NetConn()
	}
	peeker := &Peeker{}
	peeker.look = peeker.lookAt
	if system, ok := conn.(syscall.Conn); ok {
		peeker.raw, _ = system.SyscallConn()
	}
	return peeker
}

// Gone reports whether the other end has closed or reset the connection. Data
// that was not read yet hides that.
func (peeker *Peeker) Gone() bool {
	if peeker.raw == nil {
		return false
	}
	if err := peeker.raw.Control(peeker.look); err != nil {
		return true
	}
	return peeker.gone
}

// Quiet reports whether the connection is open and holds no data to be read.
func (peeker *Peeker) Quiet() bool { return !peeker.Gone() && !peeker.data }

func (peeker *Peeker) lookAt(descriptor uintptr) {
	count, _, err := syscall.Recvfrom(int(descriptor), peeker.buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	again := errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
	peeker.gone = !again && (err != nil || count == 0)
	peeker.data = err == nil && count > 0
}

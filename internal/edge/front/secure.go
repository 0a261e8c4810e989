package front

import (
	"crypto/tls"
	"io"
	"net"

	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/core/codes"
)

const (
	tlsHandshakeByte = 0x16
	// protocolName is what a caller that starts with TLS names as its protocol.
	protocolName = "postgresql"
)

// replayConn reads what was buffered of a connection before the connection itself.
type replayConn struct {
	net.Conn
	reader io.Reader
}

// Read implements net.Conn.
func (replayConn *replayConn) Read(target []byte) (int, error) {
	return replayConn.reader.Read(target)
}

// NetConn returns the connection below.
func (replayConn *replayConn) NetConn() net.Conn { return replayConn.Conn }

// negotiateTLS answers a request for TLS and takes the handshake where it is on.
func (caller *caller) negotiateTLS() error {
	if caller.server.tls == nil {
		_, err := caller.conn.Write([]byte{answerNo})
		return errors.Wrap(err, "refuse TLS")
	}
	if caller.framer.buffer.Buffered() > 0 {
		return errors.New("caller sent data before the TLS handshake")
	}
	if _, err := caller.conn.Write([]byte{answerTLS}); err != nil {
		return errors.Wrap(err, "accept TLS")
	}
	return caller.shakeHands(caller.conn, caller.server.tls)
}

// takeDirectTLS takes the handshake of a caller that starts with it. It returns
// false if the connection is to be closed.
func (caller *caller) takeDirectTLS() bool {
	if caller.server.tls == nil {
		caller.fatal(newFault(codes.TLSNotOffered, "the caller sent a TLS handshake without asking for TLS first"))
		return false
	}
	settings := caller.server.tls.Clone()
	settings.NextProtos = []string{protocolName}
	return caller.shakeHands(&replayConn{Conn: caller.conn, reader: caller.framer.buffer}, settings) == nil
}

func (caller *caller) shakeHands(conn net.Conn, settings *tls.Config) error {
	secured := tls.Server(conn, settings)
	if err := secured.Handshake(); err != nil {
		return errors.Wrap(err, "take TLS handshake")
	}
	caller.use(secured)
	return nil
}

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
	// alpnProtocol is what a caller that starts with TLS names as its protocol.
	alpnProtocol = "postgresql"
)

// bufferedConn reads what was buffered of a connection before the connection itself.
type bufferedConn struct {
	net.Conn
	reader io.Reader
}

// Read implements net.Conn.
func (replayConn *bufferedConn) Read(target []byte) (int, error) {
	return replayConn.reader.Read(target)
}

// NetConn returns the connection below.
func (replayConn *bufferedConn) NetConn() net.Conn { return replayConn.Conn }

// negotiateTLS answers a request for TLS and takes the handshake where it is on.
func (caller *caller) negotiateTLS() error {
	if caller.server.tls == nil {
		_, err := caller.conn.Write([]byte{encryptionRefused})
		return errors.Wrap(err, "refuse TLS")
	}
	if caller.framer.buffer.Buffered() > 0 {
		return errors.New("caller sent data before the TLS handshake")
	}
	if _, err := caller.conn.Write([]byte{tlsAccepted}); err != nil {
		return errors.Wrap(err, "accept TLS")
	}
	return caller.handshakeTLS(caller.conn, caller.server.tls)
}

// acceptDirectTLS takes the handshake of a caller that starts with it. It returns
// false if the connection is to be closed.
func (caller *caller) acceptDirectTLS() bool {
	if caller.server.tls == nil {
		caller.sendFatal(newCallerError(codes.TLSNotOffered, "the caller sent a TLS handshake without asking for TLS first"))
		return false
	}
	settings := caller.server.tls.Clone()
	settings.NextProtos = []string{alpnProtocol}
	return caller.handshakeTLS(&bufferedConn{Conn: caller.conn, reader: caller.framer.buffer}, settings) == nil
}

func (caller *caller) handshakeTLS(conn net.Conn, settings *tls.Config) error {
	secured := tls.Server(conn, settings)
	if err := secured.Handshake(); err != nil {
		return errors.Wrap(err, "take TLS handshake")
	}
	caller.setConn(secured)
	return nil
}

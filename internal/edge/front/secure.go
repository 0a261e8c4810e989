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
	// alpnProtocol is the ALPN protocol name of callers that start with a TLS
	// handshake.
	alpnProtocol = "postgresql"
)

// bufferedConn is a connection whose Read first returns the bytes that were already
// read into a buffer.
type bufferedConn struct {
	net.Conn
	reader io.Reader
}

// Read implements net.Conn.
func (bufferedConn *bufferedConn) Read(target []byte) (int, error) {
	return bufferedConn.reader.Read(target)
}

// NetConn returns the underlying connection.
func (bufferedConn *bufferedConn) NetConn() net.Conn { return bufferedConn.Conn }

// negotiateTLS answers an SSLRequest message and, if TLS is enabled, performs the
// handshake.
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

// acceptDirectTLS performs the TLS handshake of a caller that starts it without
// an SSLRequest message. It returns false if the connection has to be closed.
func (caller *caller) acceptDirectTLS() bool {
	if caller.server.tls == nil {
		caller.sendFatal(newCallerError(codes.TLSNotOffered, "the caller started a TLS handshake, but TLS is not enabled"))
		return false
	}
	settings := caller.server.tls.Clone()
	settings.NextProtos = []string{alpnProtocol}
	return caller.handshakeTLS(&bufferedConn{Conn: caller.conn, reader: caller.framer.buffer}, settings) == nil
}

func (caller *caller) handshakeTLS(conn net.Conn, settings *tls.Config) error {
	tlsConn := tls.Server(conn, settings)
	if err := tlsConn.Handshake(); err != nil {
		return errors.Wrap(err, "TLS handshake")
	}
	caller.setConn(tlsConn)
	return nil
}

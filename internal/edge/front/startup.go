package front

import (
	"crypto/subtle"
	"io"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

const (
	encryptionRefused = 'N'
	tlsAccepted       = 'S'
)

// start handles the messages up to the start-up message. It returns false if the
// connection has to be closed.
func (caller *caller) start() bool {
	deadline := time.Now().Add(caller.server.spec.StartupTimeout)
	if err := caller.conn.SetDeadline(deadline); err != nil {
		return false
	}
	first, err := caller.framer.peekByte()
	if err == nil && first == tlsHandshakeByte && !caller.acceptDirectTLS() {
		return false
	}
	refusedTLS := false
	for {
		message, err := caller.backend.ReceiveStartupMessage()
		if err != nil {
			caller.handleStartupError(err, refusedTLS)
			return false
		}
		switch message := message.(type) {
		case *pgproto3.SSLRequest:
			refusedTLS = caller.server.tls == nil
			err = caller.negotiateTLS()
		case *pgproto3.GSSEncRequest:
			_, err = caller.conn.Write([]byte{encryptionRefused})
		case *pgproto3.CancelRequest:
			caller.server.forwardCancel(message)
			return false
		case *pgproto3.StartupMessage:
			return caller.startSession(message)
		}
		if err != nil {
			return false
		}
	}
}

func (caller *caller) handleStartupError(err error, refusedTLS bool) {
	var netError net.Error
	switch {
	case errors.As(err, &netError) && netError.Timeout():
		_ = caller.conn.SetDeadline(time.Now().Add(time.Second))
		caller.sendFatal(newCallerError(codes.StartupTimeout, ""))
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), netError != nil:
		if refusedTLS {
			caller.server.logger.WithField("code", codes.TLSNotOffered.String()).
				Info("caller disconnected after its request for TLS was refused; TLS is not enabled")
		}
	default:
		caller.sendFatal(newCallerError(codes.BadProtocol, err.Error()))
	}
}

// startSession creates the session from the start-up message and registers the
// caller. It returns false if the connection has to be closed.
func (caller *caller) startSession(message *pgproto3.StartupMessage) bool {
	started, reason := newSession(message.Parameters)
	if reason != nil {
		caller.sendFatal(reason)
		return false
	}
	caller.session = started
	caller.secretKey = newSecretKey()
	if message.ProtocolVersion != pgproto3.ProtocolVersion30 {
		caller.send(&pgproto3.NegotiateProtocolVersion{})
	}
	if caller.conn.SetDeadline(time.Time{}) != nil {
		return false
	}
	if !caller.server.register(caller) {
		caller.sendFatal(newCallerError(codes.TooManyCallers, "").withRetryAfter(overloadRetryAfter))
		return false
	}
	return true
}

// overloadRetryAfter is the time after which a caller may retry when the limit of
// callers or of held bytes is reached.
const overloadRetryAfter = time.Second

// completeStartup sends the authentication result, the reported parameters and
// the cancel key to an admitted caller.
func (caller *caller) completeStartup() {
	caller.send(&pgproto3.AuthenticationOk{})
	for _, parameter := range caller.session.reportedParameters(caller.server.spec.ServerVersion) {
		caller.send(&parameter)
	}
	caller.send(&pgproto3.BackendKeyData{ProcessID: uint32(caller.id), SecretKey: caller.secretKey})
}

// forwardCancel reports a cancel request to the kernel if its key is that of a
// caller. The protocol provides for no answer.
func (server *Server) forwardCancel(message *pgproto3.CancelRequest) {
	caller := server.findCaller(model.CallerID(message.ProcessID))
	if caller == nil || subtle.ConstantTimeCompare(caller.secretKey, message.SecretKey) != 1 {
		return
	}
	server.inbox.Post(event.NewCancelReceived(caller.id))
}

func (server *Server) nextSeq() model.RequestSeq {
	return model.RequestSeq(server.lastSeq.Add(1))
}

package front

import (
	"crypto/rand"
	"io"
	"net"
	"os"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

const secretKeyBytes = 4

// caller is the connection of a caller. Its fields are used by one goroutine,
// except for mailbox and those that are constant after the start-up.
type caller struct {
	server    *Server
	id        model.CallerID
	conn      net.Conn
	framer    *framer
	backend   *pgproto3.Backend
	mailbox   *mailbox
	secretKey []byte

	session        session
	txState        model.TxState
	unflushedBytes int
	prepared       map[string]*preparedStatement
	portals        map[string]*portal
	// heldBytes is the size of the prepared statements, of the parameters and of
	// the rows that were not fetched yet.
	heldBytes int
	// beginModes holds the transaction modes of the open transaction.
	beginModes string
	// pendingDescribe is a portal whose Describe message is not answered yet: if
	// an Execute follows, the answer of the statement has the row description.
	pendingDescribe *portal
	// disconnected is set once the caller is known to have closed the connection.
	disconnected bool
	// skippingToSync is set from an error in the extended protocol to the next Sync.
	skippingToSync bool
	// inSequence is set from a message of the extended protocol to the next ReadyForQuery. A fatal
	// error within would be taken for the result of a statement that was executed.
	inSequence bool
}

func newCaller(server *Server, conn net.Conn) *caller {
	caller := &caller{server: server, mailbox: newMailbox()}
	caller.setConn(conn)
	return caller
}

// setConn makes conn the connection to the caller, with new buffers.
func (caller *caller) setConn(conn net.Conn) {
	caller.conn = conn
	caller.framer = newFramer(conn, caller.server.spec.MaxMessageBytes)
	caller.backend = pgproto3.NewBackend(caller.framer, conn)
}

func (caller *caller) run() {
	defer func() { _ = caller.conn.Close() }()
	started := caller.start()
	caller.server.releaseStartup()
	if !started {
		return
	}
	defer caller.server.unregister(caller)
	if caller.awaitAdmission() {
		caller.serve()
	}
	caller.addHeldBytes(-caller.heldBytes)
	caller.server.inbox.Post(event.NewCallerClosed(caller.id))
}

// awaitAdmission reports the caller to the kernel and waits for the decision
// to admit it. It returns false if the connection has to be closed.
func (caller *caller) awaitAdmission() bool {
	caller.server.inbox.Post(event.NewCallerOpened(caller.id, caller.session.deployment, caller.session.class))
	timeout := time.NewTimer(caller.server.spec.StartupTimeout)
	defer timeout.Stop()
	for {
		select {
		case <-caller.mailbox.wake:
		case <-timeout.C:
			caller.sendFatal(newCallerError(codes.StartupTimeout, "the proxy did not admit the caller in time"))
			return false
		}
		if admitted := caller.mailbox.admission(); admitted != nil {
			return caller.handleAdmission(admitted)
		}
	}
}

func (caller *caller) handleAdmission(admitted *admission) bool {
	if admitted.refusal != nil {
		caller.sendFatal(admitted.refusal)
		return false
	}
	caller.completeStartup()
	caller.sendReady()
	return caller.flush() == nil
}

// close disconnects the caller with an error once it is between two requests.
func (caller *caller) close(reason *callerError) {
	caller.mailbox.close(reason)
	_ = caller.conn.SetReadDeadline(time.Unix(1, 0))
}

// serve handles messages until the caller disconnects or the connection has to
// be closed.
func (caller *caller) serve() {
	caller.framer.startupDone = true
	for {
		if reason := caller.mailbox.closeReason(); reason != nil && !caller.inSequence {
			caller.sendFatal(reason)
			return
		}
		message, err := caller.backend.Receive()
		if err != nil {
			err = caller.handleReceiveError(err)
		} else {
			err = caller.handleMessage(message)
		}
		if err != nil || caller.disconnected {
			return
		}
	}
}

// handleReceiveError answers a message that could not be received or decoded.
// It returns an error if the connection has to be closed.
func (caller *caller) handleReceiveError(err error) error {
	if reason := caller.mailbox.closeReason(); reason != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		if caller.inSequence {
			return errors.Wrap(caller.conn.SetReadDeadline(time.Time{}), "clear deadline")
		}
		caller.sendFatal(reason)
		return err
	}
	var oversize *oversizeError
	if errors.As(err, &oversize) {
		return caller.reject(oversize.messageType, newCallerError(codes.MessageTooLarge, oversize.Error()))
	}
	var netError net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netError) {
		return err
	}
	reason := newCallerError(codes.BadProtocol, err.Error())
	var framing *framingError
	if errors.As(err, &framing) {
		caller.sendFatal(reason)
		return err
	}
	return caller.reject(caller.framer.messageType, reason)
}

// reject answers a message of the given type with an error. It returns an error
// if the connection has to be closed.
func (caller *caller) reject(messageType byte, reason *callerError) error {
	switch messageType {
	case 'Q', 'F':
		if caller.skippingToSync {
			return nil
		}
		caller.sendError(reason)
		caller.sendReady()
		return caller.flush()
	case 'S', 'H', 'X', 'c', 'd', 'f', 'p':
		caller.sendFatal(reason)
		return reason
	default:
		if caller.skippingToSync {
			return nil
		}
		caller.failExtended(reason)
		return nil
	}
}

var errTerminated = errors.New("caller terminated the connection")

func (caller *caller) handleMessage(message pgproto3.FrontendMessage) error {
	switch message.(type) {
	case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close, *pgproto3.Flush:
		caller.inSequence = true
	}
	if caller.skippingToSync {
		return caller.handleSkipping(message)
	}
	switch message := message.(type) {
	case *pgproto3.Query:
		return caller.simpleQuery(message.String)
	case *pgproto3.Parse:
		caller.parse(message)
	case *pgproto3.Bind:
		caller.bind(message)
	case *pgproto3.Describe:
		caller.describe(message)
	case *pgproto3.Execute:
		caller.execute(message)
	case *pgproto3.Close:
		caller.closeObject(message)
	case *pgproto3.Flush:
		caller.sendPendingDescription()
		return caller.flush()
	case *pgproto3.Sync:
		return caller.sync()
	case *pgproto3.FunctionCall:
		return caller.reject('F', newCallerError(codes.Unsupported, "the FunctionCall message is not supported; use a statement"))
	case *pgproto3.Terminate:
		return errTerminated
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
	default:
		reason := callerErrorf(codes.BadProtocol, "unexpected message %T", message)
		caller.sendFatal(reason)
		return reason
	}
	return nil
}

// handleSkipping discards messages up to the Sync that ends a failed sequence of
// the extended protocol.
func (caller *caller) handleSkipping(message pgproto3.FrontendMessage) error {
	switch message.(type) {
	case *pgproto3.Sync:
		return caller.sync()
	case *pgproto3.Terminate:
		return errTerminated
	default:
		return nil
	}
}

// request posts a request to the kernel and waits for its reply, or until the
// caller disconnects.
func (caller *caller) request(spec model.RequestSpec) *model.Reply {
	spec.Caller = caller.id
	spec.Seq = caller.server.nextSeq()
	caller.mailbox.expectReply(spec.Seq)
	caller.server.inbox.Post(event.NewRequestReceived(model.NewRequest(spec)))
	for {
		<-caller.mailbox.wake
		reply, disconnected := caller.mailbox.takeReply()
		switch {
		case reply != nil:
			caller.applyReply(spec.Op, reply)
			return reply
		case disconnected:
			caller.disconnected = true
			return disconnectedReply(spec)
		}
	}
}

// disconnectedReply returns the reply to a request whose caller disconnected
// before the kernel replied.
func disconnectedReply(spec model.RequestSpec) *model.Reply {
	return model.NewReply(model.ReplySpec{
		Seq:     spec.Seq,
		Caller:  spec.Caller,
		Outcome: model.OutcomeUnknown,
		Code:    codes.Canceled,
		Detail:  "the caller has disconnected",
	})
}

// applyReply updates the transaction state and the session from a reply. A new
// token is reported to the caller as a parameter.
func (caller *caller) applyReply(operation model.Op, reply *model.Reply) {
	caller.txState = reply.TxState()
	if operation == model.OpDescribe {
		return
	}
	if caller.session.finishRequest(reply.Token(), caller.txState == model.TxNone) {
		caller.send(&pgproto3.ParameterStatus{Name: settingPrefix + "token", Value: caller.session.token.String()})
	}
}

func newSecretKey() []byte {
	secret := make([]byte, secretKeyBytes)
	_, _ = rand.Read(secret)
	return secret
}

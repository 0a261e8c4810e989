package front

import (
	"crypto/rand"
	"io"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

const secretBytes = 4

// caller is a caller's connection. One goroutine uses it.
type caller struct {
	server  *Server
	id      model.CallerID
	conn    net.Conn
	framer  *framer
	backend *pgproto3.Backend
	box     *mailbox
	secret  []byte

	session  session
	txState  model.TxState
	pending  int
	prepared map[string]*prepared
	portals  map[string]*portal
	// held is the number of bytes of prepared statements and parameters.
	held int
	// beginModes are the modes of the open transaction.
	beginModes string
	// described is the portal whose description waits for its execution.
	described *portal
	// lost is set once the caller is known to have gone.
	lost bool
	// skipping is set after an error of the extended protocol until Sync.
	skipping bool
}

func newCaller(server *Server, conn net.Conn) *caller {
	caller := &caller{server: server, box: newMailbox()}
	caller.use(conn)
	return caller
}

// use makes conn the connection that the caller is served on.
func (caller *caller) use(conn net.Conn) {
	caller.conn = conn
	caller.framer = newFramer(conn, caller.server.spec.MaxMessage)
	caller.backend = pgproto3.NewBackend(caller.framer, conn)
}

func (caller *caller) run() {
	defer func() { _ = caller.conn.Close() }()
	started := caller.start()
	caller.server.release()
	if !started {
		return
	}
	defer caller.server.unregister(caller)
	if caller.open() {
		caller.serve()
	}
	caller.addHeld(-caller.held)
	caller.server.inbox.Post(event.NewCallerClosed(caller.id))
}

// open reports the caller to the kernel and waits until it is admitted.
func (caller *caller) open() bool {
	caller.server.inbox.Post(event.NewCallerOpened(caller.id, caller.session.deployment, caller.session.class))
	limit := time.NewTimer(caller.server.spec.StartupTimeout)
	defer limit.Stop()
	for {
		select {
		case <-caller.box.wake:
		case <-limit.C:
			caller.fatal(newFault(codes.StartupTimeout, "the proxy did not admit the caller in time"))
			return false
		}
		if admitted := caller.box.admission(); admitted != nil {
			return caller.admit(admitted)
		}
	}
}

func (caller *caller) admit(admitted *admission) bool {
	if admitted.refusal != nil {
		caller.fatal(admitted.refusal)
		return false
	}
	caller.greet()
	caller.ready()
	return caller.flush() == nil
}

// serve handles messages until the caller leaves or has to be closed.
func (caller *caller) serve() {
	caller.framer.messages = true
	for {
		if reason := caller.box.closingFault(); reason != nil {
			caller.fatal(reason)
			return
		}
		message, err := caller.backend.Receive()
		if err != nil {
			err = caller.recover(err)
		} else {
			err = caller.handle(message)
		}
		if err != nil || caller.lost {
			return
		}
	}
}

// recover answers a message that could not be taken. It returns an error if
// the connection has to end.
func (caller *caller) recover(err error) error {
	if reason := caller.box.closingFault(); reason != nil {
		caller.fatal(reason)
		return err
	}
	var oversize *oversizeError
	if errors.As(err, &oversize) {
		return caller.reject(oversize.messageType, newFault(codes.MessageTooLarge, oversize.Error()))
	}
	var netError net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netError) {
		return err
	}
	reason := newFault(codes.BadProtocol, err.Error())
	var framing *framingError
	if errors.As(err, &framing) {
		caller.fatal(reason)
		return err
	}
	return caller.reject(caller.framer.messageType, reason)
}

// reject answers a message of the given type with an error.
func (caller *caller) reject(messageType byte, reason *fault) error {
	switch messageType {
	case 'Q', 'F':
		if caller.skipping {
			return nil
		}
		caller.sendFault(reason)
		caller.ready()
		return caller.flush()
	case 'S', 'H', 'X', 'c', 'd', 'f', 'p':
		caller.fatal(reason)
		return reason
	default:
		if caller.skipping {
			return nil
		}
		caller.failExtended(reason)
		return nil
	}
}

var errTerminated = errors.New("caller terminated the connection")

func (caller *caller) handle(message pgproto3.FrontendMessage) error {
	if caller.skipping {
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
		caller.resolveDescribed()
		return caller.flush()
	case *pgproto3.Sync:
		return caller.sync()
	case *pgproto3.FunctionCall:
		return caller.reject('F', newFault(codes.Unsupported, "function calls are not served; use a statement"))
	case *pgproto3.Terminate:
		return errTerminated
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
	default:
		reason := faultf(codes.BadProtocol, "unexpected message %T", message)
		caller.fatal(reason)
		return reason
	}
	return nil
}

// handleSkipping drops messages up to the Sync that ends a failed sequence of
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

// request posts a request and waits for its reply.
func (caller *caller) request(spec model.RequestSpec) *model.Reply {
	spec.Caller = caller.id
	spec.Seq = caller.server.nextSeq()
	caller.box.expect(spec.Seq)
	caller.server.inbox.Post(event.NewRequestReceived(model.NewRequest(spec)))
	for {
		<-caller.box.wake
		reply, lost := caller.box.takeReply()
		switch {
		case reply != nil:
			caller.settle(spec.Op, reply)
			return reply
		case lost:
			caller.lost = true
			return lostReply(spec)
		}
	}
}

// lostReply stands for the reply that a caller did not wait for.
func lostReply(spec model.RequestSpec) *model.Reply {
	return model.NewReply(model.ReplySpec{
		Seq:     spec.Seq,
		Caller:  spec.Caller,
		Outcome: model.OutcomeUnknown,
		Code:    codes.Canceled,
		Detail:  "the caller has gone",
	})
}

// settle takes over what a reply changes for the session.
func (caller *caller) settle(operation model.Op, reply *model.Reply) {
	caller.txState = reply.TxState()
	if operation == model.OpDescribe {
		return
	}
	if caller.session.conclude(reply.Token(), caller.txState == model.TxNone) {
		caller.send(&pgproto3.ParameterStatus{Name: settingPrefix + "token", Value: caller.session.token.String()})
	}
}

func newSecret() []byte {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret)
	return secret
}

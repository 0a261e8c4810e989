package front

import (
	"net"
	"sync"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/peek"
)

// admission is the kernel's decision on a new caller. Without a refusal the caller
// is admitted.
type admission struct {
	refusal *callerError
}

// mailbox passes the decisions and replies of the kernel to the goroutine of a
// caller. Delivery never blocks. An admission, a reply or a detected disconnect
// puts a value into wake.
type mailbox struct {
	wake chan struct{}

	mutex        sync.Mutex
	admitted     *admission
	expectedSeq  model.RequestSeq
	reply        *model.Reply
	closeError   *callerError
	disconnected bool
	// peeker detects a disconnect while a reply is awaited.
	peeker *peek.Peeker
}

func newMailbox() *mailbox { return &mailbox{wake: make(chan struct{}, 1)} }

func (mailbox *mailbox) admit(decision admission) {
	mailbox.mutex.Lock()
	defer mailbox.mutex.Unlock()
	mailbox.admitted = &decision
	mailbox.signal()
}

func (mailbox *mailbox) close(reason *callerError) {
	mailbox.mutex.Lock()
	defer mailbox.mutex.Unlock()
	mailbox.closeError = reason
}

// deliverReply stores the reply to the expected request and discards any other.
func (mailbox *mailbox) deliverReply(reply *model.Reply) {
	mailbox.mutex.Lock()
	defer mailbox.mutex.Unlock()
	if reply.Seq() != mailbox.expectedSeq || mailbox.reply != nil {
		return
	}
	mailbox.reply = reply
	mailbox.signal()
}

// expectReply sets the request whose reply is accepted next.
func (mailbox *mailbox) expectReply(seq model.RequestSeq) {
	mailbox.mutex.Lock()
	defer mailbox.mutex.Unlock()
	mailbox.expectedSeq, mailbox.reply = seq, nil
}

// takeReply removes and returns the reply to the expected request, or returns nil
// if there is none yet. It also reports whether the caller has disconnected.
func (mailbox *mailbox) takeReply() (reply *model.Reply, disconnected bool) {
	mailbox.mutex.Lock()
	defer mailbox.mutex.Unlock()
	reply = mailbox.reply
	if reply != nil {
		mailbox.expectedSeq, mailbox.reply = 0, nil
	}
	return reply, mailbox.disconnected
}

// checkDisconnect checks, while a reply is awaited, whether the caller has closed
// conn.
func (mailbox *mailbox) checkDisconnect(conn net.Conn) {
	mailbox.mutex.Lock()
	defer mailbox.mutex.Unlock()
	if mailbox.expectedSeq == 0 || mailbox.disconnected {
		return
	}
	if mailbox.peeker == nil {
		mailbox.peeker = peek.New(conn)
	}
	if mailbox.peeker.PeerClosed() {
		mailbox.disconnected = true
		mailbox.signal()
	}
}

func (mailbox *mailbox) admission() *admission {
	mailbox.mutex.Lock()
	defer mailbox.mutex.Unlock()
	return mailbox.admitted
}

// closeReason returns the error with which the connection has to be closed, or nil.
func (mailbox *mailbox) closeReason() *callerError {
	mailbox.mutex.Lock()
	defer mailbox.mutex.Unlock()
	return mailbox.closeError
}

func (mailbox *mailbox) signal() {
	select {
	case mailbox.wake <- struct{}{}:
	default:
	}
}

package front

import (
	"net"
	"sync"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/peek"
)

// admission is the kernel's answer to a caller's start-up.
type admission struct {
	refusal *callerError
}

// mailbox takes what the kernel has for a caller. Putting something in never
// blocks; wake then holds a token.
type mailbox struct {
	wake chan struct{}

	mutex        sync.Mutex
	admitted     *admission
	expectedSeq  model.RequestSeq
	reply        *model.Reply
	closeError   *callerError
	disconnected bool
	// peeker looks after the connection while a reply is awaited.
	peeker *peek.Peeker
}

func newMailbox() *mailbox { return &mailbox{wake: make(chan struct{}, 1)} }

func (mailbox *mailbox) admit(given admission) {
	mailbox.mutex.Lock()
	defer mailbox.mutex.Unlock()
	mailbox.admitted = &given
	mailbox.signal()
}

func (mailbox *mailbox) close(reason *callerError) {
	mailbox.mutex.Lock()
	defer mailbox.mutex.Unlock()
	mailbox.closeError = reason
}

// deliverReply takes the reply to the expected request and drops any other.
func (mailbox *mailbox) deliverReply(reply *model.Reply) {
	mailbox.mutex.Lock()
	defer mailbox.mutex.Unlock()
	if reply.Seq() != mailbox.expectedSeq || mailbox.reply != nil {
		return
	}
	mailbox.reply = reply
	mailbox.signal()
}

// expectReply names the request whose reply is taken next.
func (mailbox *mailbox) expectReply(seq model.RequestSeq) {
	mailbox.mutex.Lock()
	defer mailbox.mutex.Unlock()
	mailbox.expectedSeq, mailbox.reply = seq, nil
}

// takeReply returns the reply to the expected request, or nil if it has not
// come, and whether the caller is gone.
func (mailbox *mailbox) takeReply() (reply *model.Reply, lost bool) {
	mailbox.mutex.Lock()
	defer mailbox.mutex.Unlock()
	reply = mailbox.reply
	if reply != nil {
		mailbox.expectedSeq, mailbox.reply = 0, nil
	}
	return reply, mailbox.disconnected
}

// checkDisconnect looks whether the caller on conn has gone while it waits for a reply.
func (mailbox *mailbox) checkDisconnect(conn net.Conn) {
	mailbox.mutex.Lock()
	defer mailbox.mutex.Unlock()
	if mailbox.expectedSeq == 0 || mailbox.disconnected {
		return
	}
	if mailbox.peeker == nil {
		mailbox.peeker = peek.New(conn)
	}
	if mailbox.peeker.Gone() {
		mailbox.disconnected = true
		mailbox.signal()
	}
}

func (mailbox *mailbox) admission() *admission {
	mailbox.mutex.Lock()
	defer mailbox.mutex.Unlock()
	return mailbox.admitted
}

// closeReason returns why the connection has to be closed, or nil.
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

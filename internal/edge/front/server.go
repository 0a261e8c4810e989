// Package front is the PostgreSQL front end of the proxy: it accepts the
// connections of callers, turns their messages into requests to the kernel and
// sends them the answers.
package front

import (
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/port"
	"almondway.dev/almondway/internal/edge/certs"
)

// Server implements port.Callers.
type Server struct {
	spec   Spec
	inbox  port.Inbox
	logger logrus.FieldLogger
	tls    *tls.Config

	mutex         sync.RWMutex
	listener      net.Listener
	callers       map[model.CallerID]*caller
	startingCount int
	lastCaller    model.CallerID
	lastSeq       atomic.Uint64
	heldBytes     atomic.Int64
	done          chan struct{}
}

// New returns a Server that posts its events to inbox. It does not listen before
// Start.
func New(spec Spec, inbox port.Inbox, logger logrus.FieldLogger) (*Server, error) {
	server := &Server{
		spec:    withDefaults(spec),
		inbox:   inbox,
		logger:  logger,
		callers: make(map[model.CallerID]*caller),
		done:    make(chan struct{}),
	}
	if (spec.CertFile == "") != (spec.KeyFile == "") {
		return nil, errors.New("certificate file and key file of the callers' side must be set together")
	}
	if spec.CertFile == "" {
		return server, nil
	}
	reloader, err := certs.New(spec.CertFile, spec.KeyFile, func(err error) {
		logger.WithError(err).Error("reload of the TLS certificate for callers failed")
	})
	if err != nil {
		return nil, errors.Wrap(err, "load TLS certificate for callers")
	}
	server.tls = reloader.Config()
	return server, nil
}

// Start listens and accepts callers until Stop. It returns once the Server listens.
func (server *Server) Start() error {
	listener, err := net.Listen("tcp", server.spec.Address)
	if err != nil {
		return errors.Wrapf(err, "listen for callers at %s", server.spec.Address)
	}
	server.mutex.Lock()
	server.listener = listener
	server.mutex.Unlock()
	server.logger.WithFields(logrus.Fields{
		"address": listener.Addr().String(),
		"tls":     server.tls != nil,
	}).Info("listening for callers")
	go server.acceptConns(listener)
	go server.runDisconnectChecks()
	return nil
}

// Address returns the "ip:port" at which the Server listens. It may be called
// after Start only.
func (server *Server) Address() string {
	server.mutex.RLock()
	defer server.mutex.RUnlock()
	return server.listener.Addr().String()
}

// Stop closes the listener. Connected callers are still served.
func (server *Server) Stop() {
	server.mutex.RLock()
	defer server.mutex.RUnlock()
	if server.listener != nil {
		_ = server.listener.Close()
	}
}

// CloseAll disconnects each caller with an error as soon as no request of it runs.
func (server *Server) CloseAll() {
	for _, caller := range server.listCallers() {
		caller.close(newCallerError(codes.Draining, ""))
	}
}

// Shutdown closes the listener and the connections of all callers immediately. It
// must be called only once.
func (server *Server) Shutdown() {
	server.Stop()
	close(server.done)
	server.mutex.RLock()
	defer server.mutex.RUnlock()
	for _, caller := range server.callers {
		_ = caller.conn.Close()
	}
}

// Count returns the number of callers that sent a valid start-up message and are
// still connected.
func (server *Server) Count() int {
	server.mutex.RLock()
	defer server.mutex.RUnlock()
	return len(server.callers)
}

// Accept implements port.Callers.
func (server *Server) Accept(action event.AcceptCaller) {
	if caller := server.findCaller(action.Caller()); caller != nil {
		caller.mailbox.admit(admission{})
	}
}

// Refuse implements port.Callers.
func (server *Server) Refuse(action event.RefuseCaller) {
	if caller := server.findCaller(action.Caller()); caller != nil {
		refusal := newCallerError(action.Code(), action.Detail()).withRetryAfter(action.RetryAfter())
		caller.mailbox.admit(admission{refusal: refusal})
	}
}

// Close implements port.Callers.
func (server *Server) Close(action event.CloseCaller) {
	if caller := server.findCaller(action.Caller()); caller != nil {
		caller.close(newCallerError(action.Code(), ""))
	}
}

// Answer implements port.Callers.
func (server *Server) Answer(action event.AnswerCaller) {
	if caller := server.findCaller(action.Reply().Caller()); caller != nil {
		caller.mailbox.deliverReply(action.Reply())
	}
}

func (server *Server) acceptConns(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			server.logger.WithError(err).Warn("accept of a caller's connection failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !server.reserveStartup() {
			_ = conn.Close()
			continue
		}
		go newCaller(server, conn).run()
	}
}

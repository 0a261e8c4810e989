// Package front is the callers' side: it speaks the PostgreSQL protocol to the
// callers, turns what they send into requests and passes the answers on.
package front

import (
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/port"
)

const (
	defaultMaxCallers     = 4000
	defaultMaxMessage     = 4 << 20
	defaultStartupTimeout = 10 * time.Second
	defaultWriteTimeout   = 30 * time.Second
	defaultServerVersion  = "15.0 (almondway)"
)

// Spec lists the settings of a Server. A zero field takes its default; without
// certificate files TLS is off.
type Spec struct {
	Address        string
	CertFile       string
	KeyFile        string
	MaxCallers     int
	MaxMessage     int
	StartupTimeout time.Duration
	WriteTimeout   time.Duration
	ServerVersion  string
}

// Server implements port.Callers.
type Server struct {
	spec   Spec
	inbox  port.Inbox
	logger logrus.FieldLogger
	tls    *tls.Config

	mutex      sync.RWMutex
	listener   net.Listener
	callers    map[model.CallerID]*caller
	starting   int
	lastCaller model.CallerID
	lastSeq    atomic.Uint64
}

// New returns a Server that posts its events to inbox. It does not listen yet.
func New(spec Spec, inbox port.Inbox, logger logrus.FieldLogger) (*Server, error) {
	server := &Server{
		spec:    withDefaults(spec),
		inbox:   inbox,
		logger:  logger,
		callers: make(map[model.CallerID]*caller),
	}
	if (spec.CertFile == "") != (spec.KeyFile == "") {
		return nil, errors.New("certificate file and key file of the callers' side must be set together")
	}
	if spec.CertFile == "" {
		return server, nil
	}
	certificate, err := tls.LoadX509KeyPair(spec.CertFile, spec.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "load certificate of the callers' side")
	}
	server.tls = &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}
	return server, nil
}

// Start listens and takes callers until Stop.
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
	go server.accept(listener)
	return nil
}

// Address returns the "ip:port" at which the Server listens.
func (server *Server) Address() string {
	server.mutex.RLock()
	defer server.mutex.RUnlock()
	return server.listener.Addr().String()
}

// Stop takes no further callers. Those connected are served on.
func (server *Server) Stop() {
	server.mutex.RLock()
	defer server.mutex.RUnlock()
	if server.listener != nil {
		_ = server.listener.Close()
	}
}

// Shutdown takes no further callers and closes every connection at once.
func (server *Server) Shutdown() {
	server.Stop()
	server.mutex.RLock()
	defer server.mutex.RUnlock()
	for _, caller := range server.callers {
		_ = caller.conn.Close()
	}
}

// Count returns the number of callers that finished their start-up.
func (server *Server) Count() int {
	server.mutex.RLock()
	defer server.mutex.RUnlock()
	return len(server.callers)
}

// Accept implements port.Callers.
func (server *Server) Accept(action event.AcceptCaller) {
	if caller := server.find(action.Caller()); caller != nil {
		caller.box.admit(admission{})
	}
}

// Refuse implements port.Callers.
func (server *Server) Refuse(action event.RefuseCaller) {
	if caller := server.find(action.Caller()); caller != nil {
		refusal := newFault(action.Code(), action.Detail()).after(action.RetryAfter())
		caller.box.admit(admission{refusal: refusal})
	}
}

// Close implements port.Callers.
func (server *Server) Close(action event.CloseCaller) {
	if caller := server.find(action.Caller()); caller != nil {
		caller.box.close(newFault(action.Code(), ""))
		_ = caller.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// Answer implements port.Callers.
func (server *Server) Answer(action event.AnswerCaller) {
	if caller := server.find(action.Reply().Caller()); caller != nil {
		caller.box.answer(action.Reply())
	}
}

func (server *Server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			server.logger.WithError(err).Warn("accept of a caller failed")
			time.Sleep(acceptPause)
			continue
		}
		if !server.reserve() {
			_ = conn.Close()
			continue
		}
		go newCaller(server, conn).run()
	}
}

// acceptPause keeps a lack of file descriptors from using up the processor.
const acceptPause = 10 * time.Millisecond

// reserve counts a connection that starts up. Those beyond twice the limit of
// callers are closed without an answer.
func (server *Server) reserve() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.starting >= server.spec.MaxCallers {
		return false
	}
	server.starting++
	return true
}

func (server *Server) release() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.starting--
}

// register makes a caller known under a new id. It returns false if the proxy
// has as many callers as it may have.
func (server *Server) register(caller *caller) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if len(server.callers) >= server.spec.MaxCallers {
		return false
	}
	server.lastCaller++
	caller.id = server.lastCaller
	server.callers[caller.id] = caller
	return true
}

func (server *Server) unregister(caller *caller) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	delete(server.callers, caller.id)
}

func (server *Server) find(id model.CallerID) *caller {
	server.mutex.RLock()
	defer server.mutex.RUnlock()
	return server.callers[id]
}

func withDefaults(spec Spec) Spec {
	if spec.MaxCallers == 0 {
		spec.MaxCallers = defaultMaxCallers
	}
	if spec.MaxMessage == 0 {
		spec.MaxMessage = defaultMaxMessage
	}
	if spec.StartupTimeout == 0 {
		spec.StartupTimeout = defaultStartupTimeout
	}
	if spec.WriteTimeout == 0 {
		spec.WriteTimeout = defaultWriteTimeout
	}
	if spec.ServerVersion == "" {
		spec.ServerVersion = defaultServerVersion
	}
	return spec
}

package insta

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/edge/wire"
	"almondway.dev/almondway/internal/stand/line"
)

// replicationUser is the user of connections that ship the log.
const replicationUser = "platform_replication"

// sessions counts connections and finds the one that a cancel request names.
type sessions struct {
	mu     sync.Mutex
	open   int
	next   uint32
	byPID  map[uint32]*session
	secret []byte
}

func newSessions() sessions {
	secret := make([]byte, 4)
	_, _ = rand.Read(secret)
	return sessions{byPID: make(map[uint32]*session), secret: secret}
}

// Serve takes connections until the context ends.
func (instance *Instance) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "accept at %s", instance.self.Address)
		}
		go instance.serve(line.New(conn, time.Duration(instance.spec.OneWayDelay), instance.frozen))
	}
}

func (instance *Instance) serve(conn *line.Conn) {
	defer func() { _ = conn.Close() }()
	backend := pgproto3.NewBackend(conn, conn)
	startup := instance.startup(conn, backend)
	if startup == nil {
		return
	}
	user := startup.Parameters["user"]
	if user == replicationUser {
		conn.Watch(instance.groupCut)
		backend.Send(&pgproto3.AuthenticationOk{})
		backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		if backend.Flush() == nil {
			instance.ship(conn)
		}
		return
	}
	conn.Watch(instance.proxyCut)
	session := &session{
		instance: instance,
		backend:  backend,
		control:  user == wire.ControlUser,
		settings: maps.Clone(startup.Parameters),
		startup:  maps.Clone(startup.Parameters),
		prepared: make(map[string]prepared),
		portals:  make(map[string]portal),
	}
	if !session.control {
		if err := instance.admit(); err != nil {
			backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: err.state, Message: err.message})
			_ = backend.Flush()
			return
		}
		defer instance.sessions.leave()
		time.Sleep(time.Duration(instance.spec.OpenTime))
	}
	pid := instance.sessions.register(session)
	defer instance.sessions.forget(pid)
	session.greet(pid)
	session.serve()
}

// startup answers requests for encryption, handles a cancel request, and
// returns the start-up message, or nil if the connection is to be closed.
func (instance *Instance) startup(conn net.Conn, backend *pgproto3.Backend) *pgproto3.StartupMessage {
	for {
		message, err := backend.ReceiveStartupMessage()
		if err != nil {
			return nil
		}
		switch message := message.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := conn.Write([]byte{'N'}); err != nil {
				return nil
			}
		case *pgproto3.CancelRequest:
			instance.sessions.cancel(message.ProcessID, message.SecretKey)
			return nil
		case *pgproto3.StartupMessage:
			return message
		default:
			return nil
		}
	}
}

func (session *session) greet(pid uint32) {
	session.backend.Send(&pgproto3.AuthenticationOk{})
	session.backend.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "16.0"})
	session.backend.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	session.backend.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	session.backend.Send(&pgproto3.BackendKeyData{ProcessID: pid, SecretKey: session.instance.sessions.secret})
	session.ready()
	_ = session.backend.Flush()
}

// admit counts a connection of a proxy unless the instance is leaving or full.
func (instance *Instance) admit() *sqlError {
	if instance.refusesWork() {
		return newError(wire.SQLStateAdminShutdown, "the database system is shutting down")
	}
	sessions := &instance.sessions
	sessions.mu.Lock()
	defer sessions.mu.Unlock()
	if sessions.open >= instance.spec.Connections {
		return newError(wire.SQLStateTooManyConnections, "sorry, too many clients already")
	}
	sessions.open++
	return nil
}

func (sessions *sessions) leave() {
	sessions.mu.Lock()
	defer sessions.mu.Unlock()
	sessions.open--
}

func (sessions *sessions) count() int {
	sessions.mu.Lock()
	defer sessions.mu.Unlock()
	return sessions.open
}

func (sessions *sessions) register(session *session) uint32 {
	sessions.mu.Lock()
	defer sessions.mu.Unlock()
	sessions.next++
	sessions.byPID[sessions.next] = session
	return sessions.next
}

func (sessions *sessions) forget(pid uint32) {
	sessions.mu.Lock()
	defer sessions.mu.Unlock()
	delete(sessions.byPID, pid)
}

func (sessions *sessions) cancel(pid uint32, secret []byte) {
	sessions.mu.Lock()
	session := sessions.byPID[pid]
	sessions.mu.Unlock()
	if session != nil && len(secret) == 4 && binary.BigEndian.Uint32(secret) == binary.BigEndian.Uint32(sessions.secret) {
		session.interrupt()
	}
}

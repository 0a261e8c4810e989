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

// replicationUser is the user name of connections that replicate the log.
const replicationUser = "platform_replication"

// sessions counts the open connections of proxies and finds the session that a
// cancel request refers to.
type sessions struct {
	mu        sync.Mutex
	openCount int
	lastPID   uint32
	byPID     map[uint32]*session
	secretKey []byte
}

func newSessions() sessions {
	secret := make([]byte, 4)
	_, _ = rand.Read(secret)
	return sessions{byPID: make(map[uint32]*session), secretKey: secret}
}

// Serve accepts connections until the context ends.
func (instance *Instance) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "accept connection at %s", instance.self.Address)
		}
		go instance.serveConn(line.New(conn, time.Duration(instance.spec.OneWayDelay), instance.instanceGate))
	}
}

func (instance *Instance) serveConn(conn *line.Conn) {
	defer func() { _ = conn.Close() }()
	backend := pgproto3.NewBackend(conn, conn)
	startup := instance.receiveStartup(conn, backend)
	if startup == nil {
		return
	}
	user := startup.Parameters["user"]
	if user == replicationUser {
		conn.AddGate(instance.groupGate)
		backend.Send(&pgproto3.AuthenticationOk{})
		backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		if backend.Flush() == nil {
			instance.shipLog(conn)
		}
		return
	}
	conn.AddGate(instance.proxyGate)
	session := &session{
		instance:        instance,
		backend:         backend,
		control:         user == wire.ControlUser,
		settings:        maps.Clone(startup.Parameters),
		startupSettings: maps.Clone(startup.Parameters),
		prepared:        make(map[string]preparedStatement),
		portals:         make(map[string]portal),
	}
	if !session.control {
		if err := instance.admitSession(); err != nil {
			backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: err.state, Message: err.message})
			_ = backend.Flush()
			return
		}
		defer instance.sessions.release()
		time.Sleep(time.Duration(instance.spec.OpenTime))
	}
	pid := instance.sessions.register(session)
	defer instance.sessions.unregister(pid)
	session.completeStartup(pid)
	session.serve()
}

// receiveStartup declines encryption requests, handles a cancel request, and
// returns the start-up message, or nil if the connection must be closed.
func (instance *Instance) receiveStartup(conn net.Conn, backend *pgproto3.Backend) *pgproto3.StartupMessage {
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
			instance.sessions.cancelStatement(message.ProcessID, message.SecretKey)
			return nil
		case *pgproto3.StartupMessage:
			return message
		default:
			return nil
		}
	}
}

func (session *session) completeStartup(pid uint32) {
	session.backend.Send(&pgproto3.AuthenticationOk{})
	session.backend.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "16.0"})
	session.backend.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	session.backend.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	session.backend.Send(&pgproto3.BackendKeyData{ProcessID: pid, SecretKey: session.instance.sessions.secretKey})
	session.sendReady()
	_ = session.backend.Flush()
}

// admitSession counts a connection of a proxy. It fails if the instance is leaving
// or has reached its connection limit.
func (instance *Instance) admitSession() *sqlError {
	if instance.isLeaving() {
		return newSQLError(wire.SQLStateAdminShutdown, "the database system is shutting down")
	}
	sessions := &instance.sessions
	sessions.mu.Lock()
	defer sessions.mu.Unlock()
	if sessions.openCount >= instance.spec.Connections {
		return newSQLError(wire.SQLStateTooManyConnections, "sorry, too many clients already")
	}
	sessions.openCount++
	return nil
}

func (sessions *sessions) release() {
	sessions.mu.Lock()
	defer sessions.mu.Unlock()
	sessions.openCount--
}

func (sessions *sessions) countOpen() int {
	sessions.mu.Lock()
	defer sessions.mu.Unlock()
	return sessions.openCount
}

func (sessions *sessions) register(session *session) uint32 {
	sessions.mu.Lock()
	defer sessions.mu.Unlock()
	sessions.lastPID++
	sessions.byPID[sessions.lastPID] = session
	return sessions.lastPID
}

func (sessions *sessions) unregister(pid uint32) {
	sessions.mu.Lock()
	defer sessions.mu.Unlock()
	delete(sessions.byPID, pid)
}

func (sessions *sessions) cancelStatement(pid uint32, secret []byte) {
	sessions.mu.Lock()
	session := sessions.byPID[pid]
	sessions.mu.Unlock()
	if session != nil && len(secret) == 4 && binary.BigEndian.Uint32(secret) == binary.BigEndian.Uint32(sessions.secretKey) {
		session.cancelStatement()
	}
}

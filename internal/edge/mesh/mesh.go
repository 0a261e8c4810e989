// Package mesh is the adapter for calls between the proxies on a hosting platform. It sends them
// over connect-go and serves those of the others.
package mesh

import (
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"almondway.dev/almondway/internal/core/port"
	"almondway.dev/almondway/internal/proto/meshpb"
)

const (
	// dialTimeout limits the time to connect to another proxy.
	dialTimeout = 500 * time.Millisecond
	// maxMessageBytes limits the size of a message of another proxy.
	maxMessageBytes = 16 << 20
	// headerTimeout limits the time in which the header of a call has to arrive.
	headerTimeout = 2 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 10 * time.Second
	// maxCallsInFlight limits the calls of other proxies that are held or wait for the kernel.
	// Further ones are refused.
	maxCallsInFlight = 2048
	// minCompressedBytes is the size from which on an answer is compressed. Each compression
	// needs more than a megabyte of memory, and most answers have some hundred bytes: they took a
	// tenth of the processor time of 60 idle proxies.
	minCompressedBytes = 4096
)

// Spec holds the parameters of a Mesh.
type Spec struct {
	// Address is the "ip:port" at which calls of other proxies are served.
	Address string
	// System identifies the proxies that belong together: the address of the platform's store.
	System string
	Inbox  port.Inbox
	Log    logrus.FieldLogger
	// Payloads converts the statements and answers of forwarded statements.
	Payloads port.Payloads
}

// Mesh calls other proxies and serves their calls. It is safe for concurrent use.
type Mesh struct {
	spec Spec

	mutex   sync.Mutex
	clients map[string]*http.Client // by address
	// shortClients are the clients of calls with short answers, by address.
	shortClients map[string]*shortClient
	calls        map[uint64]chan<- answer // of other proxies, by number
	lastID       uint64
	server       *http.Server
}

var _ port.Mesh = (*Mesh)(nil)

// New returns a Mesh. It serves nothing before Start.
func New(spec Spec) *Mesh {
	return &Mesh{
		spec:         spec,
		clients:      make(map[string]*http.Client),
		shortClients: make(map[string]*shortClient),
		calls:        make(map[uint64]chan<- answer),
	}
}

// Start listens and serves calls in the background.
func (mesh *Mesh) Start() error {
	listener, err := net.Listen("tcp", mesh.spec.Address)
	if err != nil {
		return errors.Wrapf(err, "listen for proxies at %s", mesh.spec.Address)
	}
	mesh.serve(listener)
	return nil
}

// serve serves the connections of a listener in the background.
func (mesh *Mesh) serve(listener net.Listener) {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	mux := http.NewServeMux()
	mux.Handle(meshpb.NewMeshServiceHandler(callServer{mesh}, connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(minCompressedBytes)))
	mesh.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, Protocols: protocols}
	go func() {
		if err := mesh.server.Serve(bufferedListener{listener}); !errors.Is(err, http.ErrServerClosed) {
			mesh.spec.Log.WithError(err).WithField("address", mesh.spec.Address).Warn("server for proxies stopped")
		}
	}()
}

// Shutdown closes all connections.
func (mesh *Mesh) Shutdown() {
	if mesh.server != nil {
		_ = mesh.server.Close()
	}
}

// client returns the HTTP client for an address. Its HTTP/2 transport uses one connection.
func (mesh *Mesh) client(address string) *http.Client {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	found, ok := mesh.clients[address]
	if !ok {
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		found = &http.Client{Transport: &http.Transport{
			Protocols:       protocols,
			DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
			IdleConnTimeout: idleTimeout,
		}}
		mesh.clients[address] = found
	}
	return found
}

// dropClient replaces the client for an address, whose connection may have gone silent, by a new
// one for the next call. The calls in flight go on.
func (mesh *Mesh) dropClient(address string, used *http.Client) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	if mesh.clients[address] == used {
		delete(mesh.clients, address)
	}
	used.CloseIdleConnections()
}

// Package back connects the proxy to the database instances: it opens data
// connections, runs statements on them, and sends status probes and orders over
// control connections. Open, Reset, Execute, Probe and Order each post exactly
// one answer event; Close and Cancel post none of their own. No method blocks.
package back

import (
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/port"
	"almondway.dev/almondway/internal/edge/wire"
)

const (
	defaultUser           = "almondway"
	defaultDatabase       = "almondway"
	defaultOpenTimeout    = 2 * time.Second
	defaultExecuteTimeout = time.Minute
	defaultCancelTimeout  = time.Second
	defaultCheckInterval  = 100 * time.Millisecond
	defaultMaxAnswerBytes = 16 << 20
	applicationName       = "almondway"

	// messageLimitFactor times MaxAnswerBytes is the size limit of one message
	// from an instance. A longer message breaks the connection.
	messageLimitFactor = 4
)

// Spec lists the settings of a Backend. A zero field takes its default value.
type Spec struct {
	User           string
	Database       string
	OpenTimeout    time.Duration
	ExecuteTimeout time.Duration
	CancelTimeout  time.Duration
	CheckInterval  time.Duration
	MaxAnswerBytes int
}

// Backend implements port.Backend.
type Backend struct {
	spec    Spec
	inbox   port.Inbox
	data    *pgconn.Config
	control *pgconn.Config

	mutex     sync.Mutex
	conns     map[model.ConnID]*conn
	pipelines map[pipelineKey]*pipeline
	done      chan struct{}
}

// New returns a Backend that posts its events to inbox.
func New(spec Spec, inbox port.Inbox) (*Backend, error) {
	spec = withDefaults(spec)
	data, err := baseConfig(spec.User, spec)
	if err != nil {
		return nil, err
	}
	data.RuntimeParams[wire.ReadOnlyParameter] = "on"
	control, err := baseConfig(wire.ControlUser, spec)
	if err != nil {
		return nil, err
	}
	backend := &Backend{
		spec:      spec,
		inbox:     inbox,
		data:      data,
		control:   control,
		conns:     make(map[model.ConnID]*conn),
		pipelines: make(map[pipelineKey]*pipeline),
		done:      make(chan struct{}),
	}
	go backend.checkPeriodically()
	return backend, nil
}

// Open implements port.Backend.
func (backend *Backend) Open(action event.OpenConn) {
	opened := newConn(backend, action)
	backend.mutex.Lock()
	backend.conns[action.Conn()] = opened
	backend.mutex.Unlock()
	go opened.run()
}

// Close implements port.Backend.
func (backend *Backend) Close(action event.CloseConn) {
	if closed := backend.findConn(action.Conn()); closed != nil {
		closed.stop()
	}
}

// Reset implements port.Backend.
func (backend *Backend) Reset(action event.ResetConn) {
	reset := backend.findConn(action.Conn())
	if reset == nil || !reset.enqueue(command{kind: commandReset}) {
		backend.postAsync(event.NewResetDone(action.Conn(), false))
	}
}

// Execute implements port.Backend.
func (backend *Backend) Execute(action event.Execute) {
	used := backend.findConn(action.Conn())
	if used == nil || !used.enqueue(command{execute: action}) {
		backend.postAsync(event.NewExecuteFailed(
			action.Exec(), action.Conn(), model.FailureNotSent, false, model.Mark{}, nil))
	}
}

// Cancel implements port.Backend.
func (backend *Backend) Cancel(action event.CancelExecute) {
	if canceled := backend.findConn(action.Conn()); canceled != nil {
		go canceled.cancel(action.Exec())
	}
}

// Probe implements port.Backend.
func (backend *Backend) Probe(action event.Probe) {
	backend.pipelineFor(probePipeline, action.Address()).enqueue(newProbeQuery(action))
}

// Order implements port.Backend.
func (backend *Backend) Order(action event.SendOrder) {
	backend.pipelineFor(orderPipeline, action.Address()).enqueue(newOrderQuery(action))
}

// Shutdown closes every connection. It is called once.
func (backend *Backend) Shutdown() {
	close(backend.done)
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	for _, open := range backend.conns {
		open.stop()
	}
	for _, open := range backend.pipelines {
		open.stop()
	}
}

func (backend *Backend) findConn(id model.ConnID) *conn {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	return backend.conns[id]
}

func (backend *Backend) removeConn(id model.ConnID) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	delete(backend.conns, id)
}

// checkPeriodically detects connections that the instance closed while they were idle.
func (backend *Backend) checkPeriodically() {
	ticker := time.NewTicker(backend.spec.CheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-backend.done:
			return
		case <-ticker.C:
			backend.checkIdleConns()
		}
	}
}

func (backend *Backend) checkIdleConns() {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	for _, open := range backend.conns {
		open.checkIdle()
	}
}

// postAsync posts from a separate goroutine: the kernel's event loop calls the
// Backend and would deadlock if it blocked on its own full inbox.
func (backend *Backend) postAsync(answer event.Event) { go backend.inbox.Post(answer) }

func withDefaults(spec Spec) Spec {
	if spec.User == "" {
		spec.User = defaultUser
	}
	if spec.Database == "" {
		spec.Database = defaultDatabase
	}
	if spec.OpenTimeout == 0 {
		spec.OpenTimeout = defaultOpenTimeout
	}
	if spec.ExecuteTimeout == 0 {
		spec.ExecuteTimeout = defaultExecuteTimeout
	}
	if spec.CancelTimeout == 0 {
		spec.CancelTimeout = defaultCancelTimeout
	}
	if spec.CheckInterval == 0 {
		spec.CheckInterval = defaultCheckInterval
	}
	if spec.MaxAnswerBytes == 0 {
		spec.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	return spec
}

func baseConfig(user string, spec Spec) (*pgconn.Config, error) {
	config, err := pgconn.ParseConfig("host=127.0.0.1 port=1 sslmode=disable")
	if err != nil {
		return nil, errors.Wrap(err, "create configuration of backend connections")
	}
	config.User = user
	config.Database = spec.Database
	config.Password = ""
	config.Fallbacks = nil
	config.ValidateConnect = nil
	config.MaxProtocolMessageBodyLen = messageLimitFactor * spec.MaxAnswerBytes
	config.RuntimeParams = map[string]string{"application_name": applicationName}
	return config, nil
}

// Package back is the backend side: it opens connections to instances, runs
// statements on them, and asks instances for their status and gives them orders.
// Every action gets exactly one answer event; no method blocks.
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
	defaultMaxAnswer      = 16 << 20
	applicationName       = "almondway"

	// messageFactor times the limit of an answer is the limit of one message of
	// an instance; a longer one breaks the connection.
	messageFactor = 4
)

// Spec lists the settings of a Backend. A zero field takes its default.
type Spec struct {
	User           string
	Database       string
	OpenTimeout    time.Duration
	ExecuteTimeout time.Duration
	CancelTimeout  time.Duration
	CheckInterval  time.Duration
	MaxAnswer      int
}

// Backend implements port.Backend.
type Backend struct {
	spec    Spec
	inbox   port.Inbox
	data    *pgconn.Config
	control *pgconn.Config

	mutex sync.Mutex
	conns map[model.ConnID]*conn
	lanes map[laneKey]*lane
	ended chan struct{}
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
		spec:    spec,
		inbox:   inbox,
		data:    data,
		control: control,
		conns:   make(map[model.ConnID]*conn),
		lanes:   make(map[laneKey]*lane),
		ended:   make(chan struct{}),
	}
	go backend.watch()
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
	if closed := backend.find(action.Conn()); closed != nil {
		closed.stop()
	}
}

// Reset implements port.Backend.
func (backend *Backend) Reset(action event.ResetConn) {
	reset := backend.find(action.Conn())
	if reset == nil || !reset.offer(command{kind: commandReset}) {
		backend.postLater(event.NewResetDone(action.Conn(), false))
	}
}

// Execute implements port.Backend.
func (backend *Backend) Execute(action event.Execute) {
	used := backend.find(action.Conn())
	if used == nil || !used.offer(command{execute: action}) {
		backend.postLater(event.NewExecuteFailed(
			action.Exec(), action.Conn(), model.FailureNotSent, false, model.Mark{}, nil))
	}
}

// Cancel implements port.Backend.
func (backend *Backend) Cancel(action event.CancelExecute) {
	if canceled := backend.find(action.Conn()); canceled != nil {
		go canceled.cancel(action.Exec())
	}
}

// Probe implements port.Backend.
func (backend *Backend) Probe(action event.Probe) {
	backend.lane(laneProbe, action.Address()).offer(newProbeTask(action))
}

// Order implements port.Backend.
func (backend *Backend) Order(action event.SendOrder) {
	backend.lane(laneOrder, action.Address()).offer(newOrderTask(action))
}

// Shutdown closes every connection. It is called once.
func (backend *Backend) Shutdown() {
	close(backend.ended)
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	for _, open := range backend.conns {
		open.stop()
	}
	for _, open := range backend.lanes {
		open.stop()
	}
}

func (backend *Backend) find(id model.ConnID) *conn {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	return backend.conns[id]
}

func (backend *Backend) forget(id model.ConnID) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	delete(backend.conns, id)
}

// watch looks for connections that their instance has closed while they were unused.
func (backend *Backend) watch() {
	ticker := time.NewTicker(backend.spec.CheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-backend.ended:
			return
		case <-ticker.C:
			backend.check()
		}
	}
}

func (backend *Backend) check() {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	for _, open := range backend.conns {
		open.checkIdle()
	}
}

// postLater posts from a goroutine of its own, since the kernel's loop must not
// wait for room in its own inbox.
func (backend *Backend) postLater(answer event.Event) { go backend.inbox.Post(answer) }

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
	if spec.MaxAnswer == 0 {
		spec.MaxAnswer = defaultMaxAnswer
	}
	return spec
}

func baseConfig(user string, spec Spec) (*pgconn.Config, error) {
	config, err := pgconn.ParseConfig("host=127.0.0.1 port=1 sslmode=disable")
	if err != nil {
		return nil, errors.Wrap(err, "make configuration of backend connections")
	}
	config.User = user
	config.Database = spec.Database
	config.Password = ""
	config.Fallbacks = nil
	config.ValidateConnect = nil
	config.MaxProtocolMessageBodyLen = messageFactor * spec.MaxAnswer
	config.RuntimeParams = map[string]string{"application_name": applicationName}
	return config, nil
}

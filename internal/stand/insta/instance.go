// Package insta is the stand-in of a database instance on a backend server. It
// speaks the PostgreSQL protocol, ships its log to replicas, and takes the
// orders of a failover.
//
// An instance keeps its log and its fence in memory. A process that was killed
// starts again with Options.Empty: it reports no tail and refuses fences until
// it has learned the fences of all other instances of its group and holds all
// that its new primary's log held when it joined.
package insta

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/proto/ctrlpb"
	"almondway.dev/almondway/internal/stand/line"
	"almondway.dev/almondway/internal/stand/topol"
)

const (
	lockTimeout       = 2 * time.Second
	heartbeatInterval = 20 * time.Millisecond
	reconnectInterval = 20 * time.Millisecond
)

// FirstTerm is the term in which every group starts.
const FirstTerm = model.Term(1 << 24)

// Options are the choices of a start.
type Options struct {
	// Empty is set when the instance replaces one that was killed.
	Empty bool
}

// Instance is a database instance.
type Instance struct {
	spec  topol.Spec
	group topol.GroupSpec
	self  topol.InstanceSpec

	slots    *semaphore.Weighted
	locks    *rowLocks
	counters counters
	sessions sessions
	groupCut *line.Gate
	proxyCut *line.Gate
	frozen   *line.Gate

	mu              sync.Mutex
	log             replicationLog
	tables          *tables
	fence           model.Term
	primary         bool
	upstream        string
	followedTerm    model.Term // term of the primary that is followed
	lastFrameAt     time.Time
	joining         bool
	leaving         bool
	lag             time.Duration
	openTxs         map[*tx]struct{} // transactions that hold writes or locks
	stateChanged    chan struct{}    // closed when the log or the role changes
	stopReplication func()

	primaryReads map[string]uint64 // by label
}

type counters struct {
	reads      atomic.Uint64
	commits    atomic.Uint64
	promotions atomic.Uint64
}

// New returns the instance of the given name. It does nothing before Start.
func New(spec topol.Spec, id string, options Options) (*Instance, error) {
	group, self, err := spec.Find(id)
	if err != nil {
		return nil, err
	}
	instance := &Instance{
		spec:            spec,
		group:           group,
		self:            self,
		slots:           semaphore.NewWeighted(int64(spec.Slots)),
		locks:           newRowLocks(lockTimeout),
		sessions:        newSessions(),
		groupCut:        line.NewGate(),
		proxyCut:        line.NewGate(),
		frozen:          line.NewGate(),
		tables:          newTables(),
		lastFrameAt:     time.Now(),
		joining:         options.Empty,
		lag:             time.Duration(spec.ReplicationLag),
		openTxs:         make(map[*tx]struct{}),
		stateChanged:    make(chan struct{}),
		stopReplication: func() {},

		primaryReads: make(map[string]uint64),
	}
	if !options.Empty {
		instance.fence = FirstTerm
		instance.primary = self.Primary
	}
	if instance.primary {
		instance.log.append(FirstTerm, nil)
	}
	return instance, nil
}

// Start begins to copy from the first primary or, if the instance replaces one
// that was killed, to learn the fences of the others.
func (instance *Instance) Start() {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	switch {
	case instance.joining:
		go instance.learnFence()
	case !instance.primary:
		first := instance.group.Primary()
		instance.startReplication(FirstTerm, first.ID, first.Address)
	}
}

// notifyChange wakes all that wait for a change. The lock is held.
func (instance *Instance) notifyChange() {
	close(instance.stateChanged)
	instance.stateChanged = make(chan struct{})
}

// appendEntry appends an entry of the instance's own term. The lock is held.
func (instance *Instance) appendEntry(writes []*ctrlpb.Write) {
	instance.tables.apply(instance.log.append(instance.fence, writes))
	instance.notifyChange()
}

// isPrimaryOf reports whether the instance is the primary of term. The lock is held.
func (instance *Instance) isPrimaryOf(term model.Term) bool {
	return instance.primary && instance.fence == term
}

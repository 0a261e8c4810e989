// Package insta is the stand-in for a database instance on a backend server. It
// implements the PostgreSQL protocol, ships its log to replicas, and executes
// the orders of a failover.
//
// An instance keeps its log and its fence in memory. A process that was killed
// is restarted with Options.Empty: it reports no log tail and rejects fences
// until it has read the fences of all other instances of its group and has
// copied all entries that its new primary's log held when it joined.
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

// FirstTerm is the initial term of every group.
const FirstTerm = model.Term(1 << 24)

// Options configures an Instance.
type Options struct {
	// Empty is true if the instance replaces one that was killed.
	Empty bool
}

// Instance is a database instance, either the primary or a replica of its group.
type Instance struct {
	spec  topol.Spec
	group topol.GroupSpec
	self  topol.InstanceSpec

	slots        *semaphore.Weighted
	locks        *rowLocks
	counters     counters
	sessions     sessions
	groupGate    *line.Gate // replication connections, incoming and outgoing
	proxyGate    *line.Gate // connections of proxies and control clients
	instanceGate *line.Gate // all of these connections

	mu              sync.Mutex
	log             replicationLog
	tables          *tables
	fence           model.Term
	primary         bool
	upstream        string
	followedTerm    model.Term // term of the primary whose log is copied
	lastFrameAt     time.Time
	joining         bool // set on an empty instance until it has copied the log of its primary
	leaving         bool
	lag             time.Duration
	openTxs         map[*tx]struct{} // transactions that hold writes or locks
	stateChanged    chan struct{}    // closed and replaced when the log or the role changes
	stopReplication func()

	primaryReads map[string]uint64 // number of reads served as the primary, by label
}

type counters struct {
	reads      atomic.Uint64
	commits    atomic.Uint64
	promotions atomic.Uint64
}

// New returns the instance with the given id. Replication begins with Start.
func New(spec topol.Spec, id string, options Options) (*Instance, error) {
	group, self, err := spec.FindInstance(id)
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
		groupGate:       line.NewGate(),
		proxyGate:       line.NewGate(),
		instanceGate:    line.NewGate(),
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

// Start begins replication from the initial primary. If the instance replaces
// one that was killed, it reads the fences of the other instances instead.
func (instance *Instance) Start() {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	switch {
	case instance.joining:
		go instance.adoptHighestFence()
	case !instance.primary:
		first := instance.group.Primary()
		instance.startReplication(FirstTerm, first.ID, first.Address)
	}
}

// notifyChange wakes the goroutines that wait for a change. The caller holds mu.
func (instance *Instance) notifyChange() {
	close(instance.stateChanged)
	instance.stateChanged = make(chan struct{})
}

// appendEntry appends an entry in the term of the fence and applies it. The
// caller holds mu.
func (instance *Instance) appendEntry(writes []*ctrlpb.Write) {
	instance.tables.apply(instance.log.append(instance.fence, writes))
	instance.notifyChange()
}

// isPrimaryOf reports whether the instance is the primary of term. The caller
// holds mu.
func (instance *Instance) isPrimaryOf(term model.Term) bool {
	return instance.primary && instance.fence == term
}

package metric

import (
	"github.com/rcrowley/go-metrics"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/port"
)

// Backend counts the actions sent to instances and passes them to the next port.Backend.
type Backend struct {
	port.Backend
	probes   metrics.Counter
	orders   metrics.Counter
	executes metrics.Counter
	opens    metrics.Counter
	cancels  metrics.Counter
}

// NewBackend returns a Backend that passes actions to next.
func NewBackend(registry *Registry, next port.Backend) *Backend {
	return &Backend{
		Backend:  next,
		probes:   registry.Counter("probes_sent_total"),
		orders:   registry.Counter("orders_sent_total"),
		executes: registry.Counter("executions_sent_total"),
		opens:    registry.Counter("conns_asked_total"),
		cancels:  registry.Counter("cancels_sent_total"),
	}
}

// Probe implements port.Backend.
func (backend *Backend) Probe(action event.Probe) {
	backend.probes.Inc(1)
	backend.Backend.Probe(action)
}

// Order implements port.Backend.
func (backend *Backend) Order(action event.SendOrder) {
	backend.orders.Inc(1)
	backend.Backend.Order(action)
}

// Execute implements port.Backend.
func (backend *Backend) Execute(action event.Execute) {
	backend.executes.Inc(1)
	backend.Backend.Execute(action)
}

// Open implements port.Backend.
func (backend *Backend) Open(action event.OpenConn) {
	backend.opens.Inc(1)
	backend.Backend.Open(action)
}

// Cancel implements port.Backend.
func (backend *Backend) Cancel(action event.CancelExecute) {
	backend.cancels.Inc(1)
	backend.Backend.Cancel(action)
}

// Platform counts the calls to the platform and passes them to the next port.Platform.
type Platform struct {
	next   port.Platform
	reads  metrics.Counter
	writes metrics.Counter
	lists  metrics.Counter
}

// NewPlatform returns a Platform that passes actions to next.
func NewPlatform(registry *Registry, next port.Platform) *Platform {
	return &Platform{
		next:   next,
		reads:  registry.Counter("store_reads_total"),
		writes: registry.Counter("store_writes_total"),
		lists:  registry.Counter("platform_lists_total"),
	}
}

// Read implements port.Platform.
func (platform *Platform) Read(action event.ReadStore) {
	platform.reads.Inc(1)
	platform.next.Read(action)
}

// Write implements port.Platform.
func (platform *Platform) Write(action event.WriteStore) {
	platform.writes.Inc(1)
	platform.next.Write(action)
}

// ListGroups implements port.Platform.
func (platform *Platform) ListGroups(action event.ListGroups) {
	platform.lists.Inc(1)
	platform.next.ListGroups(action)
}

// ListHosts implements port.Platform.
func (platform *Platform) ListHosts(action event.ListHosts) {
	platform.lists.Inc(1)
	platform.next.ListHosts(action)
}

// Peers counts the messages to other proxies and passes them to the next port.Peers.
type Peers struct {
	next port.Peers
	sent metrics.Counter
}

// NewPeers returns a Peers that passes actions to next.
func NewPeers(registry *Registry, next port.Peers) *Peers {
	return &Peers{next: next, sent: registry.Counter("peer_messages_sent_total")}
}

// Send implements port.Peers.
func (peers *Peers) Send(action event.SendPeerMessage) {
	peers.sent.Inc(1)
	peers.next.Send(action)
}

package member

import (
	"encoding/json"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/rank"
	"almondway.dev/almondway/internal/core/table"
)

const (
	proxiesTable = "proxies"

	// Each proxy lengthens the intervals so that all proxies together stay below the
	// rates.
	registryReadInterval  = 2 * time.Second
	registryReadRate      = 100 // reads per second of all proxies
	registryWriteInterval = 10 * time.Second
	registryWriteRate     = 20 // writes per second of all proxies

	// staleRowAge is the time after which an unchanged row is removed. It exceeds the
	// duration of network partitions between regions, because a proxy without a row does
	// not count towards the majority that confirms a revision.
	staleRowAge = 15 * time.Minute
	// removersPerRow is the number of proxies that try to remove a stale row. Each of
	// them removes one row at a time.
	removersPerRow = 2
)

// proxyRecord is the value of a row in the table of proxies. The key is the proxy ID.
type proxyRecord struct {
	Address    string           `json:"address"`
	DataCenter model.DataCenter `json:"data_center"`
	At         time.Time        `json:"at"`
}

// registry maintains this proxy's row in the table of proxies and reads the rows of the
// other proxies.
type registry struct {
	context      *kern.Context
	client       *table.Client
	peers        *peers
	version      uint64
	deregistered bool
	writePending bool
	observedRows map[model.ProxyID]observedRow
}

// observedRow is the version of a row and the time at which this proxy first read it. The
// age of a row is measured by the clock of this proxy, so it does not depend on clock
// skew.
type observedRow struct {
	version    uint64
	observedAt time.Duration
}

func newRegistry(context *kern.Context, client *table.Client, peers *peers) *registry {
	return &registry{
		context:      context,
		client:       client,
		peers:        peers,
		observedRows: make(map[model.ProxyID]observedRow),
	}
}

func (registry *registry) start() {
	registry.refresh()
	registry.poll()
}

// deregister removes this proxy's row. A draining proxy takes no new work and does not
// count towards majorities.
func (registry *registry) deregister() {
	if registry.deregistered {
		return
	}
	registry.deregistered = true
	if registry.version > 0 {
		registry.remove(registry.self(), registry.version)
	}
}

func (registry *registry) refresh() {
	if registry.deregistered {
		return
	}
	registry.write()
	interval := registry.scaledInterval(registryWriteInterval, registryWriteRate)
	if registry.version == 0 {
		interval = registryReadInterval
	}
	registry.context.Timers().After(interval, registry.refresh)
}

func (registry *registry) write() {
	if registry.writePending {
		return
	}
	value, err := json.Marshal(proxyRecord{
		Address:    registry.context.State().Self().Address(),
		DataCenter: registry.context.State().Self().DataCenter(),
		At:         registry.context.WallTime().UTC(),
	})
	if err != nil {
		return
	}
	registry.writePending = true
	expected := registry.version
	row := model.NewRowWrite(proxiesTable, string(registry.self()), expected, value)
	registry.client.Write([]model.RowWrite{row}, func(outcome table.Outcome) {
		registry.writePending = false
		if outcome != table.Written {
			registry.read()
			return
		}
		registry.version = expected + 1
		if registry.deregistered {
			registry.remove(registry.self(), registry.version)
			return
		}
		registry.read()
	})
}

func (registry *registry) poll() {
	registry.read()
	interval := registry.scaledInterval(registryReadInterval, registryReadRate)
	registry.context.Timers().After(interval, registry.poll)
}

func (registry *registry) read() {
	registry.client.Read(proxiesTable, "", func(rows []model.Row, ok bool) {
		if ok {
			registry.apply(rows)
		}
	})
}

func (registry *registry) apply(rows []model.Row) {
	registry.syncOwnRow(rows)
	seen := make(map[model.ProxyID]observedRow, len(rows))
	listed := make([]model.ProxyView, 0, len(rows))
	removed := false
	for _, row := range rows {
		id := model.ProxyID(row.Key())
		if id == registry.self() {
			continue
		}
		var record proxyRecord
		if json.Unmarshal(row.Value(), &record) != nil {
			continue
		}
		seen[id] = registry.observe(id, row.Version())
		if !removed && (registry.isPredecessor(record) || registry.shouldRemove(id, seen[id])) {
			removed = true
			registry.remove(id, row.Version())
		}
		listed = append(listed, model.NewProxyView(id, record.Address, record.DataCenter, 0, false, 0))
	}
	registry.observedRows = seen
	registry.peers.setListed(listed)
}

// syncOwnRow records the version of this proxy's row, which is unknown after a lost answer
// to a write. It writes the row again if it is missing.
func (registry *registry) syncOwnRow(rows []model.Row) {
	if registry.writePending || registry.deregistered {
		return
	}
	row, ok := table.Find(rows, string(registry.self()))
	missing := !ok && registry.version != 0
	registry.version = row.Version()
	if missing {
		registry.write()
	}
}

func (registry *registry) observe(id model.ProxyID, version uint64) observedRow {
	if previous, ok := registry.observedRows[id]; ok && previous.version == version {
		return previous
	}
	return observedRow{version: version, observedAt: registry.context.Now()}
}

// isPredecessor reports whether a row belongs to an earlier process at this proxy's
// address. That process has ended, since this one listens on the address.
func (registry *registry) isPredecessor(record proxyRecord) bool {
	return record.Address == registry.context.State().Self().Address()
}

// shouldRemove reports whether a row is stale and this proxy is one of those that remove
// it. A stale row counts towards majorities until it is removed.
func (registry *registry) shouldRemove(id model.ProxyID, row observedRow) bool {
	if registry.context.Now()-row.observedAt <= staleRowAge || registry.peers.isLive(id) {
		return false
	}
	return rank.Of("remove/"+string(id), registry.self(), registry.context.State().Proxies()) < removersPerRow
}

func (registry *registry) remove(id model.ProxyID, version uint64) {
	row := model.NewRowWrite(proxiesTable, string(id), version, nil)
	registry.client.Write([]model.RowWrite{row}, func(outcome table.Outcome) {
		if outcome == table.Written && id != registry.self() {
			registry.context.Emit(event.NewLogDecision(model.Decision{Name: "proxy_removed", Proxy: id, Reason: "row was not refreshed"}))
		}
	})
}

func (registry *registry) self() model.ProxyID { return registry.context.State().Self().ID() }

// scaledInterval returns the interval at which all proxies together stay below rate, in
// calls per second, and at least the given interval.
func (registry *registry) scaledInterval(interval time.Duration, rate int) time.Duration {
	proxies := len(registry.context.State().Registered())
	return max(interval, time.Duration(proxies)*time.Second/time.Duration(rate))
}

// Package fleet is the plug-in that discovers the other proxies on a hosting platform.
// Each proxy updates its own row in the platform's store and reads the rows of the others.
package fleet

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/table"
)

func init() { kern.Register("fleet", kern.RankProbe, New, kern.ProfileHosted) }

const (
	rowPrefix = "proxy/"

	// minUpdateInterval is the time between two updates in a small fleet. An update reads
	// all rows and writes the proxy's own one. The platform charges for both calls.
	minUpdateInterval = 6 * time.Second
	// firstUpdateInterval is the time between the first two updates. It is short, since
	// other proxies may have started at the same time.
	firstUpdateInterval = time.Second
	// maxUpdatesPerSecond limits the load on the store: the updates of all proxies together.
	maxUpdatesPerSecond = 20
	// maxMissedUpdates is the number of update intervals without a change of its row after
	// which a proxy no longer counts as live.
	maxMissedUpdates = 2
	// rowRetention is the time without a change after which another proxy's row is deleted.
	rowRetention = 15 * time.Minute
	// minUpdateSpacing is the minimum time between two updates that are caused by
	// complaints.
	minUpdateSpacing = 150 * time.Millisecond
	// retryInterval is the mean time until a failed write of complaints is repeated.
	retryInterval = 500 * time.Millisecond
)

// row is the value of a proxy's row in the store. Process identifies the proxy's process; it is
// 0 in the rows of versions that do not know restored stores. Beat is incremented by each of
// its updates. Era is that of the store at the update.
type row struct {
	Process           uint64             `json:"process,omitempty"`
	Beat              uint64             `json:"beat"`
	Era               model.StoreEra     `json:"era,omitempty"`
	DataCenter        model.DataCenter   `json:"data_center"`
	UnusablePrimaries []model.InstanceID `json:"unusable_primaries,omitempty"`
}

// peer is the state of another proxy according to its row.
type peer struct {
	version           uint64
	process, beat     uint64
	seenAt            time.Duration // when the row was first read with this beat
	unusablePrimaries []model.InstanceID
	dataCenter        model.DataCenter
}

// Fleet is the plug-in.
type Fleet struct {
	context             *kern.Context
	client              *table.Client
	peers               map[model.ProxyID]*peer
	unusablePrimaries   []model.InstanceID
	process, beat       uint64
	version             uint64
	updating            bool
	updateRequested     bool // an update was requested while one is in progress
	lastUpdateAt        time.Duration
	leaving             bool // the proxy drains and removes its row
	started             bool // the second update is scheduled
	complaintsUnwritten bool // the current complaints are not in the store yet
	retryScheduled      bool
}

// New returns the plug-in.
func New(context *kern.Context) kern.Plugin {
	fleet := &Fleet{context: context, client: table.New(context), peers: make(map[model.ProxyID]*peer), process: context.Random().Uint64()}
	context.ProvideService(route.FleetService, fleet)
	context.Timers().After(0, fleet.tick)
	return fleet
}

// Handle implements kern.Plugin.
func (fleet *Fleet) Handle(received event.Event) {
	fleet.client.Handle(received)
	switch received.(type) {
	case event.DrainStarted:
		fleet.leave()
	case event.StoreRestored:
		fleet.scheduleRestoredUpdate()
	}
}

// scheduleRestoredUpdate writes the row of this proxy again after the store was restored from
// an older copy, with jitter, since all proxies do so.
func (fleet *Fleet) scheduleRestoredUpdate() {
	jitter := time.Duration(fleet.context.Random().Int64N(int64(retryInterval)))
	fleet.context.Timers().After(jitter, fleet.update)
}

// updateInterval returns the time between two updates, which grows with the number of
// proxies.
func (fleet *Fleet) updateInterval() time.Duration {
	shared := time.Duration(len(fleet.context.State().Proxies())) * time.Second / maxUpdatesPerSecond
	return max(minUpdateInterval, shared)
}

// tick starts an update and schedules the next one, with jitter, so that proxies that
// started at the same time do not keep updating at the same time.
func (fleet *Fleet) tick() {
	if fleet.leaving {
		return
	}
	fleet.update()
	interval := fleet.updateInterval()
	if !fleet.started {
		fleet.started = true
		interval = firstUpdateInterval
	}
	jitter := time.Duration(fleet.context.Random().Int64N(int64(interval / 4)))
	fleet.context.Timers().After(interval-jitter, fleet.tick)
}

// Refresh implements route.Fleet.
func (fleet *Fleet) Refresh() {
	if fleet.context.Now()-fleet.lastUpdateAt >= minUpdateSpacing {
		fleet.update()
	}
}

// SetComplaint implements route.Fleet.
func (fleet *Fleet) SetComplaint(instance model.InstanceID, unusable bool) {
	index := slices.Index(fleet.unusablePrimaries, instance)
	switch {
	case unusable && index < 0:
		fleet.unusablePrimaries = append(fleet.unusablePrimaries, instance)
	case !unusable && index >= 0:
		fleet.unusablePrimaries = slices.Delete(fleet.unusablePrimaries, index, index+1)
	default:
		return
	}
	reason := "usable from this proxy again"
	if unusable {
		reason = "unusable from this proxy"
	}
	fleet.context.Emit(event.NewLogDecision(model.Decision{Name: "primary_complaint", Instance: instance, Reason: reason}))
	fleet.complaintsUnwritten = true
	fleet.update()
}

// HasComplaint implements route.Fleet.
func (fleet *Fleet) HasComplaint(instance model.InstanceID) bool {
	return slices.Contains(fleet.unusablePrimaries, instance)
}

// CountComplaints implements route.Fleet.
func (fleet *Fleet) CountComplaints(instance model.InstanceID) (int, int) {
	complaining, live := 0, 1
	if fleet.HasComplaint(instance) {
		complaining++
	}
	for id, peer := range fleet.peers {
		if !fleet.live(id, peer) {
			continue
		}
		live++
		if slices.Contains(peer.unusablePrimaries, instance) {
			complaining++
		}
	}
	return complaining, live
}

func (fleet *Fleet) live(id model.ProxyID, peer *peer) bool {
	return id != fleet.context.State().Self().ID() && fleet.context.Now()-peer.seenAt < maxMissedUpdates*fleet.updateInterval()
}

// update reads the rows of all proxies and then writes the row of this proxy.
func (fleet *Fleet) update() {
	if fleet.updating || fleet.leaving {
		fleet.updateRequested = fleet.updating
		return
	}
	fleet.updating = true
	fleet.lastUpdateAt = fleet.context.Now()
	fleet.client.Read(route.FleetTable, rowPrefix, fleet.rowsRead)
}

func (fleet *Fleet) rowsRead(rows []model.Row, ok bool) {
	if !ok {
		fleet.finishUpdate()
		return
	}
	if fleet.leaving {
		// These may be the rows of this proxy alone, so they do not tell who is live.
		if own, ok := table.Find(rows, fleet.ownKey()); ok {
			fleet.version = own.Version()
		}
		fleet.removeOwnRow()
		return
	}
	fleet.recordRows(rows)
	fleet.beat++
	value, err := json.Marshal(row{
		Process:           fleet.process,
		Beat:              fleet.beat,
		Era:               fleet.context.State().StoreEra(),
		DataCenter:        fleet.context.State().Self().DataCenter(),
		UnusablePrimaries: fleet.unusablePrimaries,
	})
	if err != nil {
		fleet.context.Emit(event.NewLogDecision(model.Decision{Name: "row_not_written", Reason: err.Error()}))
		fleet.finishUpdate()
		return
	}
	fleet.complaintsUnwritten = false
	fleet.client.Write([]model.RowWrite{model.NewRowWrite(route.FleetTable, fleet.ownKey(), fleet.version, value)}, func(outcome table.Outcome) {
		fleet.complaintsUnwritten = fleet.complaintsUnwritten || outcome != table.Written && len(fleet.unusablePrimaries) > 0
		fleet.finishUpdate()
	})
}

// finishUpdate ends an update, successful or not. The next update reads the rows again.
func (fleet *Fleet) finishUpdate() {
	fleet.updating = false
	if fleet.leaving {
		fleet.removeOwnRow()
		return
	}
	if fleet.updateRequested {
		fleet.updateRequested = false
		fleet.context.Timers().After(minUpdateSpacing, fleet.update)
		return
	}
	fleet.scheduleRetry()
}

// scheduleRetry schedules another update if the last one failed to write the complaints.
func (fleet *Fleet) scheduleRetry() {
	if !fleet.complaintsUnwritten || fleet.retryScheduled {
		return
	}
	fleet.retryScheduled = true
	jitter := time.Duration(fleet.context.Random().Int64N(int64(retryInterval)))
	fleet.context.Timers().After(retryInterval/2+jitter, func() {
		fleet.retryScheduled = false
		if fleet.complaintsUnwritten {
			fleet.update()
		}
	})
}

func (fleet *Fleet) ownKey() string { return rowPrefix + string(fleet.context.State().Self().ID()) }

// recordRows updates the peers and the list of live proxies from the rows of all proxies.
func (fleet *Fleet) recordRows(rows []model.Row) {
	now := fleet.context.Now()
	fleet.version = 0
	present := make(map[model.ProxyID]bool, len(rows))
	for _, tableRow := range rows {
		id := model.ProxyID(strings.TrimPrefix(tableRow.Key(), rowPrefix))
		if tableRow.Key() == fleet.ownKey() {
			fleet.version = tableRow.Version()
			continue
		}
		present[id] = true
		fleet.recordRow(id, tableRow, now)
	}
	views := []model.ProxyView{fleet.context.State().Self()}
	for id, peer := range fleet.peers {
		if !present[id] {
			delete(fleet.peers, id)
			continue
		}
		if fleet.live(id, peer) {
			views = append(views, model.NewProxyView(id, "", peer.dataCenter, 0, false, 0))
		}
	}
	slices.SortFunc(views, func(left, right model.ProxyView) int {
		return strings.Compare(string(left.ID()), string(right.ID()))
	})
	fleet.context.State().SetProxies(views)
}

func (fleet *Fleet) recordRow(id model.ProxyID, tableRow model.Row, now time.Duration) {
	known, ok := fleet.peers[id]
	if ok && known.version == tableRow.Version() {
		if now-known.seenAt > rowRetention {
			fleet.client.Write([]model.RowWrite{model.NewRowWrite(route.FleetTable, tableRow.Key(), tableRow.Version(), nil)}, func(table.Outcome) {})
		}
		return
	}
	var decoded row
	if err := json.Unmarshal(tableRow.Value(), &decoded); err != nil {
		fleet.context.Emit(event.NewLogDecision(model.Decision{Name: "row_unreadable", Proxy: id, Reason: err.Error()}))
		return
	}
	if ok && decoded.Process != 0 && decoded.Process == known.process && decoded.Beat <= known.beat {
		known.version = tableRow.Version() // an older row of a restored store
		return
	}
	read := &peer{version: tableRow.Version(), process: decoded.Process, beat: decoded.Beat, seenAt: now, dataCenter: decoded.DataCenter}
	if decoded.Era == fleet.context.State().StoreEra() {
		read.unusablePrimaries = decoded.UnusablePrimaries
	}
	fleet.peers[id] = read
}

// leave removes this proxy's row, so that the others divide its share of the limits.
func (fleet *Fleet) leave() {
	fleet.leaving = true
	if !fleet.updating {
		fleet.updating = true
		fleet.client.Read(route.FleetTable, fleet.ownKey(), fleet.rowsRead)
	}
}

func (fleet *Fleet) removeOwnRow() {
	if fleet.version == 0 {
		return
	}
	version := fleet.version
	fleet.version = 0
	fleet.client.Write([]model.RowWrite{model.NewRowWrite(route.FleetTable, fleet.ownKey(), version, nil)}, func(table.Outcome) {})
}

// Package fleet is the plug-in that knows the other proxies on a hosting platform.
// Each proxy keeps a row in the platform's store and reads those of the others.
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

	// minUpdateInterval is the time between two beats of a small fleet. A beat is two
	// calls of the store, which are priced.
	minUpdateInterval = 6 * time.Second
	// firstUpdateInterval is the time after which a proxy that has just started beats
	// again, since others may have started with it.
	firstUpdateInterval = time.Second
	// maxUpdatesPerSecond bounds the beats of all proxies together, for the store's sake.
	maxUpdatesPerSecond = 20
	// maxMissedUpdates is how many beats a proxy may miss before it counts as gone.
	maxMissedUpdates = 2
	// rowRetention is the time after which the row of a proxy that is gone is removed.
	rowRetention = 15 * time.Minute
	// minUpdateSpacing is the least time between two beats for the sake of complaints.
	minUpdateSpacing = 150 * time.Millisecond
	// retryInterval is the mean time until a complaint is written again that the store did not take.
	retryInterval = 500 * time.Millisecond
)

// row is a proxy's row in the store.
type row struct {
	Beat              uint64             `json:"beat"`
	DataCenter        model.DataCenter   `json:"data_center"`
	UnusablePrimaries []model.InstanceID `json:"unusable_primaries,omitempty"`
}

// peer is what is known of another proxy.
type peer struct {
	version           uint64
	seenAt            time.Duration // when the row was first seen with this version
	unusablePrimaries []model.InstanceID
	dataCenter        model.DataCenter
}

// Fleet is the plug-in.
type Fleet struct {
	context             *kern.Context
	client              *table.Client
	peers               map[model.ProxyID]*peer
	unusablePrimaries   []model.InstanceID
	beat                uint64
	version             uint64
	updating            bool
	updateRequested     bool // a beat was asked for while one is under way
	lastUpdateAt        time.Duration
	leaving             bool
	started             bool // the second beat is arranged
	complaintsUnwritten bool // the store does not have the complaints as they are
	retryScheduled      bool
}

// New returns the plug-in.
func New(context *kern.Context) kern.Plugin {
	fleet := &Fleet{context: context, client: table.New(context), peers: make(map[model.ProxyID]*peer)}
	context.ProvideService(route.FleetService, fleet)
	context.State().SetProxies([]model.ProxyView{context.State().Self()})
	context.Timers().After(0, fleet.tick)
	return fleet
}

// Handle implements kern.Plugin.
func (fleet *Fleet) Handle(received event.Event) {
	fleet.client.Handle(received)
	if _, ok := received.(event.DrainStarted); ok {
		fleet.leave()
	}
}

// updateInterval returns the time between two beats, which grows with the fleet.
func (fleet *Fleet) updateInterval() time.Duration {
	shared := time.Duration(len(fleet.context.State().Proxies())) * time.Second / maxUpdatesPerSecond
	return max(minUpdateInterval, shared)
}

// tick beats and arranges the next beat, with jitter so that proxies that started
// together do not stay together.
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
	reason := "usable again"
	if unusable {
		reason = "unusable here"
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

// update reads the rows of all proxies and then writes the own one.
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
	fleet.recordRows(rows)
	if fleet.leaving {
		fleet.removeOwnRow()
		return
	}
	fleet.beat++
	value, err := json.Marshal(row{
		Beat:              fleet.beat,
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

// finishUpdate ends a beat, whatever became of it; the next one reads the rows anew.
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

// scheduleRetry arranges that complaints are written again which the store did not take.
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

// recordRows takes the rows of all proxies into account.
func (fleet *Fleet) recordRows(rows []model.Row) {
	now := fleet.context.Now()
	fleet.version = 0
	present := make(map[model.ProxyID]bool, len(rows))
	for _, found := range rows {
		id := model.ProxyID(strings.TrimPrefix(found.Key(), rowPrefix))
		if found.Key() == fleet.ownKey() {
			fleet.version = found.Version()
			continue
		}
		present[id] = true
		fleet.recordRow(id, found, now)
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

func (fleet *Fleet) recordRow(id model.ProxyID, found model.Row, now time.Duration) {
	known, ok := fleet.peers[id]
	if ok && known.version == found.Version() {
		if now-known.seenAt > rowRetention {
			fleet.client.Write([]model.RowWrite{model.NewRowWrite(route.FleetTable, found.Key(), found.Version(), nil)}, func(table.Outcome) {})
		}
		return
	}
	var decoded row
	if err := json.Unmarshal(found.Value(), &decoded); err != nil {
		fleet.context.Emit(event.NewLogDecision(model.Decision{Name: "row_unreadable", Proxy: id, Reason: err.Error()}))
		return
	}
	fleet.peers[id] = &peer{version: found.Version(), seenAt: now, unusablePrimaries: decoded.UnusablePrimaries, dataCenter: decoded.DataCenter}
}

// leave takes the own row away, so that the others share what this proxy used.
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

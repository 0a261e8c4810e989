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
	prefix = "proxy/"

	// beatInterval is the time between two beats of a small fleet. A beat is two
	// calls of the store, which are priced.
	beatInterval = 6 * time.Second
	// firstInterval is the time after which a proxy that has just started beats
	// again, since others may have started with it.
	firstInterval = time.Second
	// beatsPerSecond bounds the beats of all proxies together, for the store's sake.
	beatsPerSecond = 20
	// missedBeats is how many beats a proxy may miss before it counts as gone.
	missedBeats = 2
	// forgetAfter is the time after which the row of a proxy that is gone is removed.
	forgetAfter = 15 * time.Minute
	// complainInterval is the least time between two beats for the sake of complaints.
	complainInterval = 150 * time.Millisecond
	// retryInterval is the mean time until a complaint is written again that the store did not take.
	retryInterval = 500 * time.Millisecond
)

// row is a proxy's row in the store.
type row struct {
	Beat       uint64             `json:"beat"`
	DataCenter model.DataCenter   `json:"data_center"`
	Unusable   []model.InstanceID `json:"unusable_primaries,omitempty"`
}

// peer is what is known of another proxy.
type peer struct {
	version  uint64
	seenAt   time.Duration // when the row was first seen with this version
	unusable []model.InstanceID
	center   model.DataCenter
}

// Fleet is the plug-in.
type Fleet struct {
	context  *kern.Context
	client   *table.Client
	peers    map[model.ProxyID]*peer
	unusable []model.InstanceID
	beat     uint64
	version  uint64
	reading  bool
	wanted   bool // a beat was asked for while one is under way
	lastAt   time.Duration
	left     bool
	settled  bool // the second beat is arranged
	unsaid   bool // the store does not have the complaints as they are
	retrying bool
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

// interval returns the time between two beats, which grows with the fleet.
func (fleet *Fleet) interval() time.Duration {
	shared := time.Duration(len(fleet.context.State().Proxies())) * time.Second / beatsPerSecond
	return max(beatInterval, shared)
}

// tick beats and arranges the next beat, with jitter so that proxies that started
// together do not stay together.
func (fleet *Fleet) tick() {
	if fleet.left {
		return
	}
	fleet.read()
	interval := fleet.interval()
	if !fleet.settled {
		fleet.settled = true
		interval = firstInterval
	}
	jitter := time.Duration(fleet.context.Random().Int64N(int64(interval / 4)))
	fleet.context.Timers().After(interval-jitter, fleet.tick)
}

// Refresh implements route.Fleet.
func (fleet *Fleet) Refresh() {
	if fleet.context.Now()-fleet.lastAt >= complainInterval {
		fleet.read()
	}
}

// SetComplaint implements route.Fleet.
func (fleet *Fleet) SetComplaint(instance model.InstanceID, unusable bool) {
	index := slices.Index(fleet.unusable, instance)
	switch {
	case unusable && index < 0:
		fleet.unusable = append(fleet.unusable, instance)
	case !unusable && index >= 0:
		fleet.unusable = slices.Delete(fleet.unusable, index, index+1)
	default:
		return
	}
	reason := "usable again"
	if unusable {
		reason = "unusable here"
	}
	fleet.context.Emit(event.NewLogDecision(model.Decision{Name: "primary_complaint", Instance: instance, Reason: reason}))
	fleet.unsaid = true
	fleet.read()
}

// HasComplaint implements route.Fleet.
func (fleet *Fleet) HasComplaint(instance model.InstanceID) bool {
	return slices.Contains(fleet.unusable, instance)
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
		if slices.Contains(peer.unusable, instance) {
			complaining++
		}
	}
	return complaining, live
}

func (fleet *Fleet) live(id model.ProxyID, peer *peer) bool {
	return id != fleet.context.State().Self().ID() && fleet.context.Now()-peer.seenAt < missedBeats*fleet.interval()
}

// read reads the rows of all proxies and then writes the own one.
func (fleet *Fleet) read() {
	if fleet.reading || fleet.left {
		fleet.wanted = fleet.reading
		return
	}
	fleet.reading = true
	fleet.lastAt = fleet.context.Now()
	fleet.client.Read(route.FleetTable, prefix, fleet.took)
}

func (fleet *Fleet) took(rows []model.Row, ok bool) {
	if !ok {
		fleet.finish()
		return
	}
	fleet.note(rows)
	if fleet.left {
		fleet.remove()
		return
	}
	fleet.beat++
	value, err := json.Marshal(row{
		Beat:       fleet.beat,
		DataCenter: fleet.context.State().Self().DataCenter(),
		Unusable:   fleet.unusable,
	})
	if err != nil {
		fleet.context.Emit(event.NewLogDecision(model.Decision{Name: "row_not_written", Reason: err.Error()}))
		fleet.finish()
		return
	}
	fleet.unsaid = false
	fleet.client.Write([]model.RowWrite{model.NewRowWrite(route.FleetTable, fleet.key(), fleet.version, value)}, func(outcome table.Outcome) {
		fleet.unsaid = fleet.unsaid || outcome != table.Written && len(fleet.unusable) > 0
		fleet.finish()
	})
}

// finish ends a beat, whatever became of it; the next one reads the rows anew.
func (fleet *Fleet) finish() {
	fleet.reading = false
	if fleet.left {
		fleet.remove()
		return
	}
	if fleet.wanted {
		fleet.wanted = false
		fleet.context.Timers().After(complainInterval, fleet.read)
		return
	}
	fleet.retry()
}

// retry arranges that complaints are written again which the store did not take.
func (fleet *Fleet) retry() {
	if !fleet.unsaid || fleet.retrying {
		return
	}
	fleet.retrying = true
	jitter := time.Duration(fleet.context.Random().Int64N(int64(retryInterval)))
	fleet.context.Timers().After(retryInterval/2+jitter, func() {
		fleet.retrying = false
		if fleet.unsaid {
			fleet.read()
		}
	})
}

func (fleet *Fleet) key() string { return prefix + string(fleet.context.State().Self().ID()) }

// note takes the rows of all proxies into account.
func (fleet *Fleet) note(rows []model.Row) {
	now := fleet.context.Now()
	fleet.version = 0
	present := make(map[model.ProxyID]bool, len(rows))
	for _, found := range rows {
		id := model.ProxyID(strings.TrimPrefix(found.Key(), prefix))
		if found.Key() == fleet.key() {
			fleet.version = found.Version()
			continue
		}
		present[id] = true
		fleet.noteRow(id, found, now)
	}
	views := []model.ProxyView{fleet.context.State().Self()}
	for id, peer := range fleet.peers {
		if !present[id] {
			delete(fleet.peers, id)
			continue
		}
		if fleet.live(id, peer) {
			views = append(views, model.NewProxyView(id, "", peer.center, 0, false, 0))
		}
	}
	slices.SortFunc(views, func(left, right model.ProxyView) int {
		return strings.Compare(string(left.ID()), string(right.ID()))
	})
	fleet.context.State().SetProxies(views)
}

func (fleet *Fleet) noteRow(id model.ProxyID, found model.Row, now time.Duration) {
	known, ok := fleet.peers[id]
	if ok && known.version == found.Version() {
		if now-known.seenAt > forgetAfter {
			fleet.client.Write([]model.RowWrite{model.NewRowWrite(route.FleetTable, found.Key(), found.Version(), nil)}, func(table.Outcome) {})
		}
		return
	}
	var decoded row
	if err := json.Unmarshal(found.Value(), &decoded); err != nil {
		fleet.context.Emit(event.NewLogDecision(model.Decision{Name: "row_unreadable", Proxy: id, Reason: err.Error()}))
		return
	}
	fleet.peers[id] = &peer{version: found.Version(), seenAt: now, unusable: decoded.Unusable, center: decoded.DataCenter}
}

// leave takes the own row away, so that the others share what this proxy used.
func (fleet *Fleet) leave() {
	fleet.left = true
	if !fleet.reading {
		fleet.reading = true
		fleet.client.Read(route.FleetTable, fleet.key(), fleet.took)
	}
}

func (fleet *Fleet) remove() {
	if fleet.version == 0 {
		return
	}
	version := fleet.version
	fleet.version = 0
	fleet.client.Write([]model.RowWrite{model.NewRowWrite(route.FleetTable, fleet.key(), version, nil)}, func(table.Outcome) {})
}

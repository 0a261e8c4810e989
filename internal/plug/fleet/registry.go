package fleet

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/table"
)

const (
	rowPrefix = "proxy/"

	// minUpdateInterval is the time between two updates in a small fleet whose rows show which
	// proxies live. An update reads all rows and writes the proxy's own one. The platform
	// charges for both calls.
	minUpdateInterval = 6 * time.Second
	// maxUpdatesPerSecond limits the load on the store: the updates of all proxies together.
	maxUpdatesPerSecond = 20
	// maxMissedUpdates is the number of update intervals without a change of its row after
	// which a proxy no longer counts as live.
	maxMissedUpdates = 2
	// unknownInterval is the mean time between two tries to read the rows until they were read
	// once. It is unknownListsInterval where the proxy follows lists in the same store: their calls
	// show when the store is back, and the rows are read then.
	unknownInterval      = 500 * time.Millisecond
	unknownListsInterval = 4 * time.Second
	// registryInterval is the time between two reads of all rows by a proxy that is polled. It
	// joins proxies that have not found each other.
	registryInterval = time.Minute
	// isolatedInterval is the time between two reads of all rows by a proxy that gets no answer
	// to its polls.
	isolatedInterval = 5 * time.Second
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
// its updates. Era is that of the store at the update. Address is empty if the proxy cannot be
// polled.
type row struct {
	Process           uint64             `json:"process,omitempty"`
	Beat              uint64             `json:"beat"`
	Era               model.StoreEra     `json:"era,omitempty"`
	DataCenter        model.DataCenter   `json:"data_center"`
	Address           string             `json:"address,omitempty"`
	Cores             float64            `json:"cores,omitempty"`
	UnusablePrimaries []model.InstanceID `json:"unusable_primaries,omitempty"`
}

// says reports whether a row in the store says the same of the proxy as a new one, whichever
// process wrote it. Complaints of an earlier era of the store do not count.
func (row row) says(next row) bool {
	sameComplaints := slices.Equal(row.UnusablePrimaries, next.UnusablePrimaries) && (len(next.UnusablePrimaries) == 0 || row.Era == next.Era)
	return row.DataCenter == next.DataCenter && row.Address == next.Address && row.Cores == next.Cores && sameComplaints
}

// registered is what the row of another proxy says.
type registered struct {
	version           uint64
	process, beat     uint64
	seenAt            time.Duration // when the row was first read with this beat
	unusablePrimaries []model.InstanceID
	view              model.ProxyView
}

// registry is what is known from the rows, and the state of the calls for them.
type registry struct {
	rows                map[model.ProxyID]*registered
	unusablePrimaries   []model.InstanceID
	beat                uint64
	version             uint64 // of the own row, or 0 if there is none
	written             row    // the own row as it was read last
	known               bool   // the rows were read
	anyComplaint        bool   // a row of another proxy complains about a primary
	versionCurrent      bool   // the own row was not written since
	returned            bool   // an earlier process of this proxy had written the own row
	updating            bool
	updateRequested     bool // an update was requested while one is in progress
	lastUpdateAt        time.Duration
	started             bool // the second update is scheduled
	complaintsUnwritten bool // the current complaints are not in the store yet
	retryScheduled      bool
}

func newRegistry() registry { return registry{rows: make(map[model.ProxyID]*registered)} }

// updateInterval returns the time between two updates, which grows with the number of
// proxies.
func (fleet *Fleet) updateInterval() time.Duration {
	shared := time.Duration(len(fleet.context.State().Proxies())) * time.Second / maxUpdatesPerSecond
	return max(minUpdateInterval, shared)
}

// tick starts an update if one is due and schedules the next check, with jitter, so that
// proxies that started at the same time do not keep updating at the same time.
func (fleet *Fleet) tick() {
	if fleet.leaving {
		return
	}
	interval := fleet.updateInterval()
	switch {
	case !fleet.started:
		fleet.started = true
		interval = firstUpdateInterval
	case !fleet.known && fleet.followsLists():
		interval = unknownListsInterval
	case !fleet.known:
		interval = unknownInterval
	}
	if fleet.updateDue() {
		fleet.update()
	}
	jitter := time.Duration(fleet.context.Random().Int64N(int64(interval / 4)))
	fleet.context.Timers().After(interval-jitter, fleet.tick)
}

// updateDue reports whether it is time to read all rows. Once the proxies know each other from
// polls, only those that are polled read them, or one that nobody answers. A proxy that has just
// started reads them again, since others may have started for the first time meanwhile. Where
// proxies return, the rows are there already, and only readers read them again.
func (fleet *Fleet) updateDue() bool {
	now := fleet.context.Now()
	switch {
	case !fleet.known, fleet.usesRows():
		return true
	case now <= 2*firstUpdateInterval:
		return !fleet.returned || fleet.role != route.ListFollower || fleet.lastReplyAt == 0
	case fleet.role != route.ListFollower:
		return now-fleet.lastUpdateAt >= registryInterval
	default:
		return now-fleet.lastReplyAt >= isolatedInterval
	}
}

// followsLists reports whether the proxy follows lists in the store.
func (fleet *Fleet) followsLists() bool {
	return fleet.mirror != nil && fleet.context.Settings().ListWait() > 0
}

// Refresh implements route.Fleet.
func (fleet *Fleet) Refresh() {
	if fleet.context.Now()-fleet.lastUpdateAt >= minUpdateSpacing {
		fleet.update()
	}
}

// update reads the rows of all proxies and then writes the row of this proxy, if it says
// something else or shows that the proxy lives.
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
	next := fleet.nextRow()
	if fleet.version > 0 && fleet.written.says(next) && !fleet.usesRows() {
		fleet.complaintsUnwritten = false
		fleet.finishUpdate()
		return
	}
	fleet.writeOwnRow(next)
}

// nextRow returns what the row of this proxy is to say.
func (fleet *Fleet) nextRow() row {
	return row{
		Process:           fleet.process,
		Beat:              fleet.beat + 1,
		Era:               fleet.context.State().StoreEra(),
		DataCenter:        fleet.self().DataCenter(),
		Address:           fleet.self().Address(),
		Cores:             fleet.self().Cores(),
		UnusablePrimaries: fleet.unusablePrimaries,
	}
}

// publishComplaints writes the row of this proxy. If its version is known, no rows are read before.
func (fleet *Fleet) publishComplaints() {
	if !fleet.versionCurrent || fleet.updating || fleet.leaving || fleet.usesRows() {
		fleet.update()
		return
	}
	fleet.updating = true
	fleet.writeOwnRow(fleet.nextRow())
}

func (fleet *Fleet) writeOwnRow(next row) {
	fleet.beat = next.Beat
	fleet.versionCurrent = false
	value, err := json.Marshal(next)
	if err != nil {
		fleet.context.Emit(event.NewLogDecision(model.Decision{Name: "row_not_written", Reason: err.Error()}))
		fleet.finishUpdate()
		return
	}
	fleet.complaintsUnwritten = false
	fleet.client.Write([]model.RowWrite{model.NewRowWrite(route.FleetTable, fleet.ownKey(), fleet.version, value)}, func(outcome table.Outcome) {
		unsaid := len(next.UnusablePrimaries) > 0 || len(fleet.unusablePrimaries) > 0 || len(fleet.written.UnusablePrimaries) > 0
		fleet.complaintsUnwritten = fleet.complaintsUnwritten || outcome != table.Written && unsaid
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

// scheduleRestoredUpdate writes the row of this proxy again after the store was restored from
// an older copy, with jitter, since all proxies do so.
func (fleet *Fleet) scheduleRestoredUpdate() {
	jitter := time.Duration(fleet.context.Random().Int64N(int64(retryInterval)))
	fleet.context.Timers().After(jitter, fleet.update)
}

func (fleet *Fleet) ownKey() string { return rowPrefix + string(fleet.self().ID()) }

// recordRows updates the registry and the list of live proxies from the rows of all proxies.
func (fleet *Fleet) recordRows(rows []model.Row) {
	now := fleet.context.Now()
	if !fleet.known {
		_, fleet.returned = table.Find(rows, fleet.ownKey())
	}
	fleet.known = true
	fleet.version, fleet.versionCurrent, fleet.written = 0, true, row{}
	present := make(map[model.ProxyID]bool, len(rows))
	for _, tableRow := range rows {
		id := model.ProxyID(strings.TrimPrefix(tableRow.Key(), rowPrefix))
		decoded, err := decodeRow(id, tableRow.Value())
		if err != nil {
			fleet.context.Emit(event.NewLogDecision(model.Decision{Name: "row_unreadable", Proxy: id, Reason: err.Error()}))
		}
		if tableRow.Key() == fleet.ownKey() {
			// An own row that cannot be read is replaced.
			fleet.version, fleet.written = tableRow.Version(), decoded
			continue
		}
		if err != nil {
			continue
		}
		present[id] = true
		fleet.recordRow(id, tableRow, decoded, now)
	}
	fleet.anyComplaint = false
	for id, row := range fleet.rows {
		if !present[id] {
			delete(fleet.rows, id)
			continue
		}
		fleet.anyComplaint = fleet.anyComplaint || len(row.unusablePrimaries) > 0
	}
	fleet.updateMembers()
}

// decodeRow decodes the row of a proxy. One that cannot be that of a proxy is an error.
func decodeRow(id model.ProxyID, value []byte) (row, error) {
	var decoded row
	if err := json.Unmarshal(value, &decoded); err != nil {
		return row{}, errors.Wrap(err, "decode row")
	}
	if err := decoded.view(id).Validate(); err != nil {
		return row{}, err
	}
	return decoded, nil
}

func (row row) view(id model.ProxyID) model.ProxyView {
	return model.NewProxyView(id, row.Address, row.DataCenter, 0, false, 0).WithCores(row.Cores)
}

func (fleet *Fleet) recordRow(id model.ProxyID, tableRow model.Row, decoded row, now time.Duration) {
	known, ok := fleet.rows[id]
	if ok && known.version == tableRow.Version() {
		if now-known.seenAt > rowRetention && !fleet.isMember(id) {
			fleet.client.Write([]model.RowWrite{model.NewRowWrite(route.FleetTable, tableRow.Key(), tableRow.Version(), nil)}, func(table.Outcome) {})
		}
		return
	}
	if ok && decoded.Process != 0 && decoded.Process == known.process && decoded.Beat <= known.beat {
		known.version = tableRow.Version() // an older row of a restored store
		return
	}
	read := &registered{
		version: tableRow.Version(),
		process: decoded.Process,
		beat:    decoded.Beat,
		seenAt:  now,
		view:    decoded.view(id),
	}
	if decoded.Era == fleet.context.State().StoreEra() {
		read.unusablePrimaries = decoded.UnusablePrimaries
	}
	fleet.rows[id] = read
	if !ok || known.process != read.process {
		fleet.assumeRegistered(read.view)
	}
}

// startRemovingRow removes this proxy's row.
func (fleet *Fleet) startRemovingRow() {
	if !fleet.updating {
		fleet.updating = true
		fleet.client.Read(route.FleetTable, fleet.ownKey(), fleet.rowsRead)
	}
}

func (fleet *Fleet) removeOwnRow() {
	if fleet.version == 0 || !fleet.usesRows() {
		return
	}
	version := fleet.version
	fleet.version = 0
	fleet.client.Write([]model.RowWrite{model.NewRowWrite(route.FleetTable, fleet.ownKey(), version, nil)}, func(table.Outcome) {})
}

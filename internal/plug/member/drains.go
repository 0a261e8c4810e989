package member

import (
	"encoding/json"
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/table"
)

const (
	drainsTable       = "drains"
	drainReadInterval = 2 * time.Second
	drainReadRate     = 100 // reads per second of all proxies
	maxDrainAttempts  = 3
	storeRetryAfter   = time.Second
)

// drainRecord is the value of a row of the table, whose key is the instance.
type drainRecord struct {
	Proxy model.ProxyID `json:"proxy"`
	At    time.Time     `json:"at"`
}

// drains keeps the instances that operators drain.
type drains struct {
	context        *kern.Context
	client         *table.Client
	leavingTracker *leavingTracker
	peers          *peers
	rows           []model.Row
}

func newDrains(context *kern.Context, client *table.Client, leaving *leavingTracker, peers *peers) *drains {
	return &drains{context: context, client: client, leavingTracker: leaving, peers: peers}
}

func (drains *drains) poll() {
	drains.client.Read(drainsTable, "", func(rows []model.Row, ok bool) {
		if ok {
			drains.rows = rows
			drains.apply()
		}
	})
	proxies := len(drains.context.State().Registered())
	interval := max(drainReadInterval, time.Duration(proxies)*time.Second/drainReadRate)
	drains.context.Timers().After(interval, drains.poll)
}

// apply marks the drained instances in the shared state.
func (drains *drains) apply() {
	for _, group := range drains.context.State().Groups() {
		for _, member := range group.Members() {
			_, drained := table.Find(drains.rows, string(member.ID()))
			member.SetDrained(drained)
		}
	}
	drains.leavingTracker.updateAll()
}

// handleCommand starts or ends the drain of an instance and answers the operator.
func (drains *drains) handleCommand(ask model.AdminCallID, command event.DrainInstance) {
	if drains.context.State().GroupOf(command.Instance()) == nil {
		drains.answerFailure(ask, codes.UnknownGroup, "no group has the instance "+string(command.Instance()))
		return
	}
	drains.attempt(ask, command, maxDrainAttempts, false)
}

// attempt reads the row and writes what is missing. unknown tells whether an
// earlier write was not answered.
func (drains *drains) attempt(ask model.AdminCallID, command event.DrainInstance, left int, unknown bool) {
	if left == 0 {
		drains.answerStoreFailure(ask, unknown)
		return
	}
	drains.client.Read(drainsTable, "", func(rows []model.Row, ok bool) {
		if !ok {
			drains.attempt(ask, command, left-1, unknown)
			return
		}
		drains.rows = rows
		drains.apply()
		row, drained := table.Find(rows, string(command.Instance()))
		if drained == command.Drain() {
			drains.answerChanged(ask, command)
			return
		}
		drains.write(ask, command, row.Version(), left, unknown)
	})
}

func (drains *drains) write(ask model.AdminCallID, command event.DrainInstance, version uint64, left int, unknown bool) {
	var value []byte
	if command.Drain() {
		record := drainRecord{Proxy: drains.context.State().Self().ID(), At: drains.context.WallTime().UTC()}
		value, _ = json.Marshal(record)
	}
	row := model.NewRowWrite(drainsTable, string(command.Instance()), version, value)
	drains.client.Write([]model.RowWrite{row}, func(outcome table.Outcome) {
		if outcome == table.Written {
			drains.cacheWrite(command, version+1, value)
			drains.answerChanged(ask, command)
			return
		}
		drains.attempt(ask, command, left-1, unknown || outcome == table.Failed)
	})
}

// cacheWrite keeps what was written until the table is read again.
func (drains *drains) cacheWrite(command event.DrainInstance, version uint64, value []byte) {
	key := string(command.Instance())
	rows := slices.DeleteFunc(slices.Clone(drains.rows), func(row model.Row) bool { return row.Key() == key })
	if command.Drain() {
		rows = append(rows, model.NewRow(key, version, value))
	}
	drains.rows = rows
	drains.apply()
}

func (drains *drains) answerChanged(ask model.AdminCallID, command event.DrainInstance) {
	drains.peers.sendHeartbeats()
	drains.context.Emit(event.NewAnswerOperator(ask, event.NewPlacementChanged(0, command.Instance())))
}

func (drains *drains) answerStoreFailure(ask model.AdminCallID, unknown bool) {
	if unknown {
		drains.answerFailure(ask, codes.AcceptanceUnknown, "the table of drains could not be written")
		return
	}
	drains.answerFailure(ask, codes.StoreUnavailable, "the table of drains could not be read")
}

func (drains *drains) answerFailure(ask model.AdminCallID, code codes.Code, detail string) {
	drains.context.Emit(event.NewAnswerOperator(ask, event.NewCommandFailed(code, detail, storeRetryAfter)))
}

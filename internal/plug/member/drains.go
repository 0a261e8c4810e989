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

// drainRecord is the value of a row in the table of drains. The key is the instance ID.
type drainRecord struct {
	Proxy model.ProxyID `json:"proxy"`
	At    time.Time     `json:"at"`
}

// drains maintains the table of the instances that operators drain.
type drains struct {
	context        *kern.Context
	client         *table.Client
	leavingTracker *leavingTracker
	peers          *peers
	rows           []model.Row
}

func newDrains(context *kern.Context, client *table.Client, leavingTracker *leavingTracker, peers *peers) *drains {
	return &drains{context: context, client: client, leavingTracker: leavingTracker, peers: peers}
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
func (drains *drains) handleCommand(commandID model.AdminCallID, command event.DrainInstance) {
	if drains.context.State().GroupOf(command.Instance()) == nil {
		drains.answerFailure(commandID, codes.UnknownGroup, "no group contains instance "+string(command.Instance()))
		return
	}
	drains.attempt(commandID, command, maxDrainAttempts, false)
}

// attempt reads the row of the instance and writes or deletes it if necessary. unanswered
// reports whether an earlier write got no answer and may have taken effect.
func (drains *drains) attempt(commandID model.AdminCallID, command event.DrainInstance, attemptsLeft int, unanswered bool) {
	if attemptsLeft == 0 {
		drains.answerStoreFailure(commandID, unanswered)
		return
	}
	drains.client.Read(drainsTable, "", func(rows []model.Row, ok bool) {
		if !ok {
			drains.attempt(commandID, command, attemptsLeft-1, unanswered)
			return
		}
		drains.rows = rows
		drains.apply()
		row, drained := table.Find(rows, string(command.Instance()))
		if drained == command.Drain() {
			drains.answerChanged(commandID, command)
			return
		}
		drains.write(commandID, command, row.Version(), attemptsLeft, unanswered)
	})
}

func (drains *drains) write(commandID model.AdminCallID, command event.DrainInstance, version uint64, attemptsLeft int, unanswered bool) {
	var value []byte
	if command.Drain() {
		record := drainRecord{Proxy: drains.context.State().Self().ID(), At: drains.context.WallTime().UTC()}
		value, _ = json.Marshal(record)
	}
	row := model.NewRowWrite(drainsTable, string(command.Instance()), version, value)
	drains.client.Write([]model.RowWrite{row}, func(outcome table.Outcome) {
		if outcome == table.Written {
			drains.cacheWrite(command, version+1, value)
			drains.answerChanged(commandID, command)
			return
		}
		drains.attempt(commandID, command, attemptsLeft-1, unanswered || outcome == table.Failed)
	})
}

// cacheWrite updates the cached rows after a write, until the next read of the table.
func (drains *drains) cacheWrite(command event.DrainInstance, version uint64, value []byte) {
	key := string(command.Instance())
	rows := slices.DeleteFunc(slices.Clone(drains.rows), func(row model.Row) bool { return row.Key() == key })
	if command.Drain() {
		rows = append(rows, model.NewRow(key, version, value))
	}
	drains.rows = rows
	drains.apply()
}

func (drains *drains) answerChanged(commandID model.AdminCallID, command event.DrainInstance) {
	drains.peers.sendHeartbeats()
	drains.context.Emit(event.NewAnswerOperator(commandID, event.NewPlacementChanged(0, command.Instance())))
}

func (drains *drains) answerStoreFailure(commandID model.AdminCallID, unanswered bool) {
	if unanswered {
		drains.answerFailure(commandID, codes.AcceptanceUnknown, "the table of drains could not be written")
		return
	}
	drains.answerFailure(commandID, codes.StoreUnavailable, "the table of drains could not be read")
}

func (drains *drains) answerFailure(commandID model.AdminCallID, code codes.Code, detail string) {
	drains.context.Emit(event.NewAnswerOperator(commandID, event.NewCommandFailed(code, detail, storeRetryAfter)))
}

package quota

import (
	"encoding/json"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/table"
)

const (
	startRowPrefix = "lender/"
	// startMargin is the time beyond a window that has to pass between two starts with tokens. It
	// covers the lifetime of the tokens and maxDecisionTime.
	startMargin = 2 * time.Second
	// maxDecisionTime is the time after the read of the row within which the write has to be
	// confirmed, so that the time in the row is not too early.
	maxDecisionTime = time.Second
	// startRetryAfter is when to ask a lender again that does not know yet what it may lend.
	startRetryAfter = 50 * time.Millisecond
)

// startRow is the value of the row in the store that says when a lender has last begun with
// tokens.
type startRow struct {
	StartedMS int64          `json:"started_ms"` // on the store's steady clock
	Era       model.StoreEra `json:"era,omitempty"`
}

// starter decides whether this process may begin to lend with some tokens. Without them, each
// operation that comes right after a loss of power is refused, although the teams have used
// nothing meanwhile. A process knows nothing of the one before, which may have lent all it could
// just now. So at most one start in any window gets tokens, which a row in the store ensures.
type starter struct {
	context *kern.Context
	client  *table.Client
	state   startState
	// version is that of the list of lenders for which the tokens are granted.
	version uint64
	added   map[model.TeamName]bool // the teams whose buckets got their tokens
	readAt  time.Duration
}

type startState int

const (
	startIdle startState = iota
	startReading
	startWriting
	startGranted
	startEmpty
)

func newStarter(context *kern.Context, client *table.Client) *starter {
	return &starter{context: context, client: client, added: make(map[model.TeamName]bool)}
}

// begin starts the decision, once in the life of the process, when it learns that it is a lender.
func (starter *starter) begin(version uint64) {
	if starter.state != startIdle {
		return
	}
	starter.state = startReading
	starter.version = version
	starter.readAt = starter.context.Now()
	starter.client.ReadTimed(route.FleetTable, starter.key(), starter.decide)
}

// pending reports whether the decision is made within a short time.
func (starter *starter) pending() bool {
	undecided := starter.state == startReading || starter.state == startWriting
	return undecided && starter.context.Now()-starter.readAt < maxDecisionTime
}

// mayAdd reports, once for each team, whether the bucket of the team gets the tokens. The list of
// lenders must be the one of the start: another lender may have lent the tokens of teams that this
// one got by a later list.
func (starter *starter) mayAdd(team model.TeamName, version uint64) bool {
	if starter.state != startGranted || starter.version != version || starter.added[team] {
		return false
	}
	starter.added[team] = true
	return true
}

func (starter *starter) key() string {
	return startRowPrefix + string(starter.context.State().Self().ID())
}

// decide grants tokens if the last start with tokens is known and long enough ago. A missing row
// says nothing, unless the whole system starts for the first time: the process before may have
// been of a version that writes none. A row of an earlier era of the store may have been followed
// by others. In both cases the row is written, so that the next start knows of this one.
func (starter *starter) decide(rows []model.Row, answeredAt time.Duration, ok bool) {
	if !ok || answeredAt == 0 {
		starter.finish(startEmpty, "the store did not answer")
		return
	}
	found, exists := table.Find(rows, starter.key())
	since, known := starter.sinceLast(found, exists, answeredAt)
	switch {
	case known && since < starter.context.Settings().QuotaWindow()+startMargin:
		starter.finish(startEmpty, "its last start with tokens was "+since.String()+" ago")
	case known:
		starter.write(found.Version(), answeredAt, startGranted, "its last start with tokens was "+since.String()+" ago")
	case !exists && starter.context.Settings().FirstStart():
		starter.write(0, answeredAt, startGranted, "the system starts for the first time")
	default:
		starter.write(found.Version(), answeredAt, startEmpty, "its last start with tokens is not known")
	}
}

// sinceLast returns the time since the last start with tokens that a row tells, if it does.
func (starter *starter) sinceLast(found model.Row, exists bool, now time.Duration) (time.Duration, bool) {
	if !exists {
		return 0, false
	}
	var last startRow
	if err := json.Unmarshal(found.Value(), &last); err != nil {
		starter.log("row_unreadable", err.Error())
		return 0, false
	}
	return now - time.Duration(last.StartedMS)*time.Millisecond, last.Era == starter.context.State().StoreEra()
}

// write records the start in the store and makes the decision once that is confirmed. A
// confirmation that comes late does not count: the time in the row would be too early.
func (starter *starter) write(version uint64, startedAt time.Duration, decided startState, reason string) {
	value, err := json.Marshal(startRow{StartedMS: startedAt.Milliseconds(), Era: starter.context.State().StoreEra()})
	if err != nil {
		starter.finish(startEmpty, err.Error())
		return
	}
	starter.state = startWriting
	write := model.NewRowWrite(route.FleetTable, starter.key(), version, value)
	starter.client.Write([]model.RowWrite{write}, func(outcome table.Outcome) {
		if outcome != table.Written || starter.context.Now()-starter.readAt > maxDecisionTime {
			decided, reason = startEmpty, "the store did not confirm the start in time"
		}
		starter.finish(decided, reason)
	})
}

func (starter *starter) finish(decided startState, reason string) {
	starter.state = decided
	if decided == startGranted {
		reason = "with tokens: " + reason
	} else {
		reason = "without tokens: " + reason
	}
	starter.log("lender_started", reason)
}

func (starter *starter) log(name, reason string) {
	starter.context.Emit(event.NewLogDecision(model.Decision{Name: name, List: model.ListLenders, Reason: reason}))
}

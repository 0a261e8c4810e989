package member

import (
	"encoding/json"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/table"
)

const (
	promotersTable          = "promoters"
	counterKey              = "next"
	allocationRetryInterval = 500 * time.Millisecond
)

// counterRecord is the value of the counter row: the next number to draw.
type counterRecord struct {
	Next uint32 `json:"next"`
}

// promoterAllocator draws the number that makes this process's terms unique.
type promoterAllocator struct {
	context *kern.Context
	client  *table.Client
}

func newPromoterAllocator(context *kern.Context, client *table.Client) *promoterAllocator {
	return &promoterAllocator{context: context, client: client}
}

// allocate takes the next number from the counter row. A number whose write was not
// answered is lost: another process may never get it, and this one draws anew.
func (promoter *promoterAllocator) allocate() {
	promoter.client.Read(promotersTable, counterKey, func(rows []model.Row, ok bool) {
		if !ok {
			promoter.retry()
			return
		}
		row, _ := table.Find(rows, counterKey)
		promoter.allocateFrom(row)
	})
}

func (promoter *promoterAllocator) allocateFrom(row model.Row) {
	record := counterRecord{Next: 1}
	if row.Version() > 0 && json.Unmarshal(row.Value(), &record) != nil {
		promoter.retry()
		return
	}
	drawn := record.Next
	if drawn == 0 || drawn > model.MaxPromoter {
		promoter.logDecision("no promoter number is left", 0)
		return
	}
	value, err := json.Marshal(counterRecord{Next: drawn + 1})
	if err != nil {
		return
	}
	write := model.NewRowWrite(promotersTable, counterKey, row.Version(), value)
	promoter.client.Write([]model.RowWrite{write}, func(outcome table.Outcome) {
		if outcome != table.Written {
			promoter.retry()
			return
		}
		promoter.context.State().SetPromoter(drawn)
		promoter.logDecision("may promote", drawn)
	})
}

func (promoter *promoterAllocator) retry() {
	jitter := time.Duration(promoter.context.Random().Int64N(int64(allocationRetryInterval)))
	promoter.context.Timers().After(allocationRetryInterval/2+jitter, promoter.allocate)
}

func (promoter *promoterAllocator) logDecision(reason string, drawn uint32) {
	promoter.context.Emit(event.NewLogDecision(model.Decision{
		Name:   "promoter_drawn",
		Proxy:  promoter.context.State().Self().ID(),
		Term:   model.NewTerm(0, drawn),
		Reason: reason,
	}))
}

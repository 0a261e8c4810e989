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

// counterRecord is the value of the counter row. Next is the next number to allocate.
type counterRecord struct {
	Next uint32 `json:"next"`
}

// promoterAllocator allocates the promoter number, which makes the terms of this process
// unique.
type promoterAllocator struct {
	context *kern.Context
	client  *table.Client
}

func newPromoterAllocator(context *kern.Context, client *table.Client) *promoterAllocator {
	return &promoterAllocator{context: context, client: client}
}

// allocate reads the counter row and takes its number, which is allocated once the write
// of the incremented counter is answered. After an unanswered write this process takes
// another number, and the first one may stay unused, so that no two processes share one.
func (promoterAllocator *promoterAllocator) allocate() {
	promoterAllocator.client.Read(promotersTable, counterKey, func(rows []model.Row, ok bool) {
		if !ok {
			promoterAllocator.retry()
			return
		}
		row, _ := table.Find(rows, counterKey)
		promoterAllocator.allocateFrom(row)
	})
}

func (promoterAllocator *promoterAllocator) allocateFrom(row model.Row) {
	record := counterRecord{Next: 1}
	if row.Version() > 0 && json.Unmarshal(row.Value(), &record) != nil {
		promoterAllocator.retry()
		return
	}
	allocated := record.Next
	if allocated == 0 || allocated > model.MaxPromoter {
		promoterAllocator.logDecision("all promoter numbers are allocated", 0)
		return
	}
	value, err := json.Marshal(counterRecord{Next: allocated + 1})
	if err != nil {
		return
	}
	write := model.NewRowWrite(promotersTable, counterKey, row.Version(), value)
	promoterAllocator.client.Write([]model.RowWrite{write}, func(outcome table.Outcome) {
		if outcome != table.Written {
			promoterAllocator.retry()
			return
		}
		promoterAllocator.context.State().SetPromoter(allocated)
		promoterAllocator.logDecision("promoter number allocated", allocated)
	})
}

func (promoterAllocator *promoterAllocator) retry() {
	jitter := time.Duration(promoterAllocator.context.Random().Int64N(int64(allocationRetryInterval)))
	promoterAllocator.context.Timers().After(allocationRetryInterval/2+jitter, promoterAllocator.allocate)
}

func (promoterAllocator *promoterAllocator) logDecision(reason string, allocated uint32) {
	promoterAllocator.context.Emit(event.NewLogDecision(model.Decision{
		Name:   "promoter_drawn",
		Proxy:  promoterAllocator.context.State().Self().ID(),
		Term:   model.NewTerm(0, allocated),
		Reason: reason,
	}))
}

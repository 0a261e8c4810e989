package writes

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/ident"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/rank"
	"almondway.dev/almondway/internal/core/route"
)

const (
	trimInterval = time.Minute
	trimTimeout  = 10 * time.Second
)

// trim deletes expired ledger rows in the groups for which this proxy ranks first by
// rendezvous hashing.
func (writes *Writes) trim() {
	shared := writes.context.State()
	for _, group := range shared.Groups() {
		primary := writes.writablePrimary(group)
		if primary == nil || rank.Of("trim/"+string(group.ID()), shared.Self().ID(), shared.Proxies()) != 0 {
			continue
		}
		trimmer := &trimmer{writes: writes, term: group.Term()}
		writes.conns.Acquire(route.SlotRequest{Instance: primary.ID()}, trimmer)
	}
}

// trimmer trims the ledger of one group once. It implements route.ConnUser. A failed trim
// is not retried, because the next one deletes the same rows.
type trimmer struct {
	writes *Writes
	term   model.Term
	conn   model.ConnID
}

// ConnGranted implements route.ConnUser.
func (trimmer *trimmer) ConnGranted(conn model.ConnID) {
	trimmer.conn = conn
	context := trimmer.writes.context
	oldest := context.WallTime().Add(-context.Settings().LedgerRetention())
	trimmer.writes.conns.Execute(conn, model.NewWork(model.WorkSpec{
		Step:        model.StepTrim,
		Write:       true,
		FencingTerm: trimmer.term,
		LedgerID:    ident.LowerBound(oldest),
		Timeout:     trimTimeout,
	}))
}

// ConnDenied implements route.ConnUser.
func (trimmer *trimmer) ConnDenied(route.Denial) {}

// ConnLost implements route.ConnUser.
func (trimmer *trimmer) ConnLost(model.ConnID) {}

// ExecuteDone implements route.ConnUser.
func (trimmer *trimmer) ExecuteDone(event.ExecuteDone) {
	trimmer.writes.conns.Release(trimmer.conn, false)
}

// ExecuteFailed implements route.ConnUser.
func (trimmer *trimmer) ExecuteFailed(event.ExecuteFailed) {
	trimmer.writes.conns.Release(trimmer.conn, false)
}

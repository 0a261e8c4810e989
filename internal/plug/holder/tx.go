package holder

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/timer"
)

const (
	// defaultTxIdle is how long a transaction of another proxy may be idle if its kind sets no
	// limit.
	defaultTxIdle = 30 * time.Second
	// txIdleMargin is added to the limit, since the forwarding proxy applies it, too, and tells its
	// caller.
	txIdleMargin = 500 * time.Millisecond
	// sweepInterval is the interval at which the proxies of open transactions are checked, and
	// ownerGone the time after which one counts as lost that is not among the live ones.
	sweepInterval = time.Second
	ownerGone     = 2 * time.Second
)

// tx is an open transaction of another proxy. Its connection is parked between its statements.
type tx struct {
	served   *served
	id       model.ForwardTx
	proxy    model.ProxyID
	process  uint64
	job      *route.Job // of the first statement
	direct   *direct
	running  *statement // or nil
	lastCall uint64
	idle     timer.ID
	// absentSince is the time since which the proxy is not among the live ones, or 0.
	absentSince time.Duration
}

// newTx returns the transaction that a first statement has opened.
func newTx(first *statement) *tx {
	served := first.served
	added := &tx{
		served:  served,
		id:      model.NewForwardTx(served.holder.process, served.holder.context.NextID()),
		proxy:   first.key.proxy,
		process: first.key.process,
		job:     first.job,
		direct:  first.direct,
	}
	added.lastCall = first.key.number
	served.txs[added.id] = added
	if !served.sweeping {
		served.sweeping = true
		served.holder.context.Timers().After(sweepInterval, served.sweep)
	}
	return added
}

// start records that a statement of the transaction runs. It gets the callbacks of the connection.
func (tx *tx) start(next *statement) {
	tx.served.holder.context.Timers().Cancel(tx.idle)
	tx.running, tx.lastCall = next, next.key.number
	tx.direct.user = next
}

// wait records that the transaction is idle.
func (tx *tx) wait() {
	tx.running = nil
	limit := tx.job.Kind().TxIdleTimeout()
	if limit == 0 {
		limit = defaultTxIdle
	}
	tx.idle = tx.served.holder.context.Timers().After(limit+txIdleMargin, func() { tx.rollBack("no statement for " + limit.String()) })
}

// remove removes the transaction without its connection.
func (tx *tx) remove() {
	tx.served.holder.context.Timers().Cancel(tx.idle)
	delete(tx.served.txs, tx.id)
}

// end rolls back the transaction, on which no statement runs.
func (tx *tx) end() {
	tx.remove()
	tx.direct.release(true)
}

// rollBack rolls back the transaction for a reason that its proxy does not know, and logs it.
func (tx *tx) rollBack(reason string) {
	tx.end()
	tx.served.holder.context.Emit(event.NewLogDecision(model.Decision{
		Name:       "forwarded_transaction_ended",
		RequestID:  tx.job.RequestID(),
		Deployment: tx.job.Deployment().Name(),
		Team:       tx.job.Team().Name(),
		Group:      tx.job.Group(),
		Instance:   tx.direct.request.Instance,
		Proxy:      tx.proxy,
		Reason:     reason,
	}))
}

// sweep rolls back the idle transactions of proxies that are no longer live. It goes on as long as
// transactions are open.
func (served *served) sweep() {
	context := served.holder.context
	live := make(map[model.ProxyID]bool)
	for _, proxy := range context.State().Proxies() {
		live[proxy.ID()] = true
	}
	for _, open := range served.sortedTxs() {
		switch {
		case live[open.proxy] || len(live) == 0:
			open.absentSince = 0
		case open.absentSince == 0:
			open.absentSince = context.Now()
		case context.Now()-open.absentSince >= ownerGone && open.running == nil:
			open.rollBack("its proxy is no longer live")
		}
	}
	served.sweeping = len(served.txs) > 0
	if served.sweeping {
		context.Timers().After(sweepInterval, served.sweep)
	}
}

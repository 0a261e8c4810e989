package elect

import (
	"encoding/json"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/rank"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/table"
)

const (
	leaseKey = "promoter"

	// leaseDuration is the time without a renewal after which another proxy takes the lease.
	leaseDuration = 3 * time.Second
	// leaseSafetyMargin is the part of it in which the holder does not act any more.
	leaseSafetyMargin = 500 * time.Millisecond
	// renewInterval is the time between two renewals.
	renewInterval = time.Second
	// urgentPollInterval is the time between two looks while a group needs a promoter.
	urgentPollInterval = 400 * time.Millisecond
	// standbyPollInterval is the time between two looks of the proxies that stand by first.
	standbyPollInterval = 2 * time.Second
	// maxFrequentStandbys is how many proxies look at the lease at this pace; the others look more rarely.
	maxFrequentStandbys = 2
	// otherStandbyFactor is how many times more rarely the other proxies look at the lease.
	otherStandbyFactor = 4
	// reservedTokens is how many tokens a holder reserves at once, so that it can
	// order promotions while the store is away.
	reservedTokens = 32
	// recordTimeout is how long a promotion waits for the store to record its order.
	recordTimeout = 300 * time.Millisecond
	// orderLifetime is how long an order without an answer may still be carried out; the
	// platform speaks of seconds.
	orderLifetime = 15 * time.Second
	// busyRetryDelay is the pause before a call that waits for another one looks again.
	busyRetryDelay = 5 * time.Millisecond
	// firstPollStagger is how much later each further proxy looks for the first time.
	firstPollStagger = 150 * time.Millisecond
)

// leaseRow is the row of the lease in the store.
type leaseRow struct {
	// Holder is the proxy that may promote, or the empty name after it has resigned.
	Holder model.ProxyID `json:"holder"`
	// Token is the highest fencing token that the holder may use.
	Token uint64 `json:"token"`
	// Beat changes with each renewal.
	Beat uint64 `json:"beat"`
	// Counted are the instances of each group that may hold acknowledged commits,
	// for a promoter that starts when some of them are not listed.
	Counted map[model.GroupID][]model.InstanceID `json:"counted,omitempty"`
	// Led is who led each group, for a promoter that starts when it is not listed.
	Led map[model.GroupID]primaryRecord `json:"led,omitempty"`
	// Ordered is the instance of each group that an order to promote named which
	// may still be carried out.
	Ordered map[model.GroupID]model.InstanceID `json:"ordered,omitempty"`
}

// primaryRecord is the fact that an instance led a term.
type primaryRecord struct {
	Instance model.InstanceID `json:"instance"`
	Term     model.Term       `json:"term"`
}

// lease is the right to order promotions, which one proxy has at a time.
type lease struct {
	context *kern.Context
	client  *table.Client
	// heldUntil is when the own lease ends; it has passed if another proxy holds it.
	heldUntil time.Duration
	row       leaseRow
	version   uint64
	// changedAt is when the row was first seen with this version.
	changedAt   time.Duration
	rowKnown    bool
	callPending bool
	resigning   bool
	nextPollAt  time.Duration
	lastPollAt  time.Duration
	// nextToken and limit are the tokens that are reserved and not used yet.
	nextToken, lastToken uint64
	// orders are the orders that were not answered.
	orders map[model.GroupID]order
	// needsPromoter reports whether a group needs a promoter.
	needsPromoter func() bool
	// counted and led return what the row shall say of the groups.
	counted           func() map[model.GroupID][]model.InstanceID
	reportedPrimaries func() map[model.GroupID]primaryRecord
}

// order is an order to promote an instance, and when it was sent.
type order struct {
	instance model.InstanceID
	sentAt   time.Duration
}

func newLease(context *kern.Context, client *table.Client, elect *Elect) *lease {
	return &lease{
		context:           context,
		client:            client,
		needsPromoter:     elect.needsPromoter,
		counted:           elect.counted,
		reportedPrimaries: elect.reportedPrimaries,
		orders:            make(map[model.GroupID]order),
	}
}

func (lease *lease) self() model.ProxyID { return lease.context.State().Self().ID() }

// held reports whether this proxy may act as the promoter.
func (lease *lease) held() bool { return lease.context.Now() < lease.heldUntil && !lease.resigning }

// tick renews the lease, or looks whether it is free.
func (lease *lease) tick() {
	now := lease.context.Now()
	if lease.rowKnown && lease.needsPromoter() {
		lease.nextPollAt = min(lease.nextPollAt, lease.lastPollAt+urgentPollInterval)
	}
	if lease.callPending || now < lease.nextPollAt || lease.resigning {
		return
	}
	lease.lastPollAt = now
	lease.readRow(func() {
		switch {
		case lease.row.Holder == lease.self():
			lease.renew(func() {})
		case lease.free():
			lease.acquire()
		}
	})
	lease.nextPollAt = now + lease.pollInterval()
}

// pollInterval returns the time until the next look.
func (lease *lease) pollInterval() time.Duration {
	state := lease.context.State()
	place := rank.Of(leaseKey, lease.self(), state.Proxies())
	switch {
	case lease.row.Holder == lease.self():
		return renewInterval
	case !lease.rowKnown:
		return time.Duration(place+1) * firstPollStagger
	case lease.needsPromoter():
		return urgentPollInterval
	case place < maxFrequentStandbys+1:
		return standbyPollInterval
	default:
		return otherStandbyFactor * standbyPollInterval
	}
}

// free reports whether the lease may be taken.
func (lease *lease) free() bool {
	return lease.row.Holder == "" || lease.context.Now()-lease.changedAt >= leaseDuration
}

// readRow reads the row and calls done if that succeeded.
func (lease *lease) readRow(done func()) {
	lease.callPending = true
	lease.client.Read(route.FleetTable, leaseKey, func(rows []model.Row, ok bool) {
		lease.callPending = false
		if !ok {
			return
		}
		found, exists := table.Find(rows, leaseKey)
		if !exists {
			lease.recordRow(leaseRow{}, 0)
			done()
			return
		}
		var decoded leaseRow
		if err := json.Unmarshal(found.Value(), &decoded); err != nil {
			lease.log("lease_unreadable", err.Error())
			return
		}
		lease.recordRow(decoded, found.Version())
		done()
	})
}

func (lease *lease) recordRow(row leaseRow, version uint64) {
	if !lease.rowKnown || version != lease.version {
		lease.changedAt = lease.context.Now()
	}
	if lease.rowKnown && row.Holder != lease.self() && lease.heldUntil > lease.context.Now() {
		lease.log("lease_lost", "held by "+string(row.Holder))
		lease.heldUntil = 0
	}
	first := !lease.rowKnown
	lease.rowKnown = true
	lease.row = row
	if first && row.Holder == lease.self() {
		lease.adoptOrders()
	}
	lease.version = version
}

// acquire takes a free lease. Its tokens are above those of all earlier holders.
func (lease *lease) acquire() {
	before := lease.row.Holder
	lease.adoptOrders()
	lease.write(leaseRow{Holder: lease.self(), Token: lease.row.Token + reservedTokens}, func(ok bool) {
		if ok {
			lease.log("lease_taken", "was held by "+string(before))
		}
	})
}

// renew writes the row of a lease that this proxy holds.
func (lease *lease) renew(done func()) {
	lease.write(leaseRow{Holder: lease.self(), Token: lease.tokenLimit()}, func(bool) { done() })
}

// write replaces the row that was read last. A write without an answer counts as
// failed; the next look tells what became of it.
func (lease *lease) write(row leaseRow, done func(ok bool)) {
	row.Beat = lease.row.Beat + 1
	row.Counted, row.Led = lease.row.Counted, lease.row.Led
	row.Ordered = lease.outstandingOrders()
	if lease.row.Holder == lease.self() {
		row.Counted, row.Led = lease.counted(), lease.reportedPrimaries()
	}
	value, err := json.Marshal(row)
	if err != nil {
		lease.log("lease_not_written", err.Error())
		done(false)
		return
	}
	lease.callPending = true
	sentAt := lease.context.Now()
	lease.client.Write([]model.RowWrite{model.NewRowWrite(route.FleetTable, leaseKey, lease.version, value)}, func(outcome table.Outcome) {
		lease.callPending = false
		if outcome != table.Written {
			done(false)
			return
		}
		if row.Token > lease.row.Token {
			lease.nextToken, lease.lastToken = max(lease.nextToken, lease.row.Token+1), row.Token
		}
		lease.row = row
		if row.Holder == lease.self() {
			lease.heldUntil = sentAt + leaseDuration - leaseSafetyMargin
		}
		done(true)
	})
}

// drawToken hands over a token for an order to promote an instance, or reports false if
// this proxy may not order it. The row names the instance first, for a promoter
// that follows; where the store does not answer soon, the promotion does not wait
// for it, since its token is reserved.
func (lease *lease) drawToken(group model.GroupID, instance model.InstanceID, done func(token uint64, ok bool)) {
	lease.orders[group] = order{instance: instance, sentAt: lease.context.Now()}
	finished := false
	finish := func() {
		if finished {
			return
		}
		finished = true
		if !lease.held() || lease.nextToken > lease.lastToken {
			done(0, false)
			return
		}
		token := lease.nextToken
		lease.nextToken++
		done(token, true)
	}
	lease.context.Timers().After(recordTimeout, finish)
	lease.recordOrders(finish)
}

// recordOrders writes the orders to the row, once the call that is under way has ended.
func (lease *lease) recordOrders(done func()) {
	if lease.callPending {
		lease.context.Timers().After(busyRetryDelay, func() { lease.recordOrders(done) })
		return
	}
	lease.readRow(func() {
		if lease.row.Holder == lease.self() {
			lease.renew(done)
		}
	})
}

// outstandingOrder returns the instance of a group that an order named which may still
// be carried out, or the empty name.
func (lease *lease) outstandingOrder(group model.GroupID) model.InstanceID {
	ordered, ok := lease.orders[group]
	if !ok || lease.context.Now()-ordered.sentAt > orderLifetime {
		return ""
	}
	return ordered.instance
}

// orderAnswered records that the last order of a group was answered.
func (lease *lease) orderAnswered(group model.GroupID) {
	delete(lease.orders, group)
	lease.nextPollAt = 0
}

// outstandingOrders returns what the row says of the orders.
func (lease *lease) outstandingOrders() map[model.GroupID]model.InstanceID {
	named := make(map[model.GroupID]model.InstanceID)
	for group := range lease.orders {
		if instance := lease.outstandingOrder(group); instance != "" {
			named[group] = instance
		}
	}
	return named
}

// adoptOrders takes over the orders of an earlier holder, as if they had just been sent.
func (lease *lease) adoptOrders() {
	for group, instance := range lease.row.Ordered {
		lease.orders[group] = order{instance: instance, sentAt: lease.context.Now()}
	}
}

// tokenLimit returns the highest token that the next row reserves.
func (lease *lease) tokenLimit() uint64 {
	if lease.row.Holder == lease.self() && lease.nextToken > 0 && lease.lastToken >= lease.nextToken+reservedTokens/2 {
		return lease.row.Token
	}
	return lease.row.Token + reservedTokens
}

// resign gives the lease back, so that another proxy need not wait for its end.
func (lease *lease) resign() {
	free := !lease.held() || lease.callPending
	lease.resigning = true
	if free {
		return
	}
	lease.readRow(func() {
		if lease.row.Holder == lease.self() {
			lease.write(leaseRow{Token: lease.row.Token}, func(bool) {})
			lease.heldUntil = 0
			lease.log("lease_given_back", "shutdown")
		}
	})
}

func (lease *lease) log(name, reason string) {
	lease.context.Emit(event.NewLogDecision(model.Decision{Name: name, Proxy: lease.self(), Reason: reason}))
}

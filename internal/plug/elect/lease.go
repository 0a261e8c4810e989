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

	// leaseDuration is the time without a renewal after which another proxy may acquire
	// the lease.
	leaseDuration = 3 * time.Second
	// leaseSafetyMargin is the part at the end of leaseDuration in which the holder no
	// longer orders promotions.
	leaseSafetyMargin = 500 * time.Millisecond
	// renewInterval is the time between two renewals.
	renewInterval = time.Second
	// urgentPollInterval is the time between two reads of the lease row while a group
	// needs a promoter.
	urgentPollInterval = 400 * time.Millisecond
	// standbyPollInterval is the time between two reads of the lease row by the proxies
	// with the lowest ranks.
	standbyPollInterval = 2 * time.Second
	// maxFrequentStandbys is the number of standby proxies that read the lease row every
	// standbyPollInterval. The others read it less often.
	maxFrequentStandbys = 2
	// otherStandbyFactor multiplies standbyPollInterval for the other proxies.
	otherStandbyFactor = 4
	// reservedTokens is the number of fencing tokens that a holder reserves at once, so
	// that it can order promotions while the store is unavailable.
	reservedTokens = 32
	// recordTimeout limits the time for which a promotion waits until its order is
	// recorded in the store.
	recordTimeout = 300 * time.Millisecond
	// promotionOrderLifetime is the time for which an order without an answer may still be carried
	// out. The platform's documentation only says that it takes seconds.
	promotionOrderLifetime = 15 * time.Second
	// busyRetryDelay is the time after which a call checks again whether the previous one
	// has ended.
	busyRetryDelay = 5 * time.Millisecond
	// firstPollStagger is the delay per rank before a proxy reads the lease row for the
	// first time.
	firstPollStagger = 150 * time.Millisecond
)

// leaseRow is the lease's row in the store.
type leaseRow struct {
	// Holder is the proxy that may order promotions. It is empty after the holder has
	// resigned.
	Holder model.ProxyID `json:"holder"`
	// Token is the highest fencing token that the holder may use.
	Token uint64 `json:"token"`
	// Beat is incremented by each write of the row.
	Beat uint64 `json:"beat"`
	// Counted lists the instances of each group that may hold acknowledged commits. The
	// next holder needs it, since some of them may not be listed when it starts.
	Counted map[model.GroupID][]model.InstanceID `json:"counted,omitempty"`
	// Led is the last reported primary of each group. The next holder needs it, since
	// the primary may not be listed when it starts.
	Led map[model.GroupID]primaryRecord `json:"led,omitempty"`
	// Ordered is the instance of each group for which a promotion order may still be
	// carried out.
	Ordered map[model.GroupID]model.InstanceID `json:"ordered,omitempty"`
}

// primaryRecord records that an instance was the primary of a term.
type primaryRecord struct {
	Instance model.InstanceID `json:"instance"`
	Term     model.Term       `json:"term"`
}

// lease is the exclusive right of one proxy to order promotions. It is stored as a row
// that the holder renews.
type lease struct {
	context *kern.Context
	client  *table.Client
	// heldUntil is the time at which this proxy's lease ends. It is in the past if this
	// proxy does not hold the lease.
	heldUntil time.Duration
	row       leaseRow
	version   uint64
	// changedAt is the time at which the row was first read with this version.
	changedAt   time.Duration
	rowKnown    bool
	callPending bool
	resigning   bool
	nextPollAt  time.Duration
	lastPollAt  time.Duration
	// nextToken and lastToken bound the range of reserved tokens that are not used yet.
	// The range is empty if nextToken is higher.
	nextToken, lastToken uint64
	// promotionOrders holds the last unanswered promotion order of each group.
	promotionOrders map[model.GroupID]promotionOrder
	// needsPromoter reports whether a group needs a promoter.
	needsPromoter func() bool
	// counted and reportedPrimaries return the next values of Counted and Led.
	counted           func() map[model.GroupID][]model.InstanceID
	reportedPrimaries func() map[model.GroupID]primaryRecord
}

// promotionOrder is an unanswered promotion order and the time at which it was sent.
type promotionOrder struct {
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
		promotionOrders:   make(map[model.GroupID]promotionOrder),
	}
}

func (lease *lease) self() model.ProxyID { return lease.context.State().Self().ID() }

// held reports whether this proxy holds the lease and may order promotions.
func (lease *lease) held() bool { return lease.context.Now() < lease.heldUntil && !lease.resigning }

// tick renews the lease if this proxy holds it, and acquires it if it is free.
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

// pollInterval returns the time until the next read of the row.
func (lease *lease) pollInterval() time.Duration {
	state := lease.context.State()
	ownRank := rank.Of(leaseKey, lease.self(), state.Proxies())
	switch {
	case lease.row.Holder == lease.self():
		return renewInterval
	case !lease.rowKnown:
		return time.Duration(ownRank+1) * firstPollStagger
	case lease.needsPromoter():
		return urgentPollInterval
	case ownRank < maxFrequentStandbys+1:
		return standbyPollInterval
	default:
		return otherStandbyFactor * standbyPollInterval
	}
}

// free reports whether the lease may be acquired: its holder has resigned or has not
// renewed it for leaseDuration.
func (lease *lease) free() bool {
	return lease.row.Holder == "" || lease.context.Now()-lease.changedAt >= leaseDuration
}

// readRow reads the row and calls done on success.
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
	firstRead := !lease.rowKnown
	lease.rowKnown = true
	lease.row = row
	if firstRead && row.Holder == lease.self() {
		lease.adoptOrders()
	}
	lease.version = version
}

// acquire takes over a free lease. The tokens it reserves are higher than those of all
// earlier holders.
func (lease *lease) acquire() {
	previous := lease.row.Holder
	lease.adoptOrders()
	lease.write(leaseRow{Holder: lease.self(), Token: lease.row.Token + reservedTokens}, func(ok bool) {
		if ok {
			lease.log("lease_taken", "was held by "+string(previous))
		}
	})
}

// renew extends a lease that this proxy holds, and then calls done even if the write
// failed.
func (lease *lease) renew(done func()) {
	lease.write(leaseRow{Holder: lease.self(), Token: lease.tokenLimit()}, func(bool) { done() })
}

// write replaces the row that was read last. A write without an answer counts as failed;
// the next read shows whether it took effect.
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

// issueToken passes the token of a promotion order to done, or false if this proxy does
// not hold the lease or has no reserved token left. Before that, it records the order in
// the row for the next holder of the lease. It stops waiting for the store after
// recordTimeout, since the token is already reserved.
func (lease *lease) issueToken(group model.GroupID, instance model.InstanceID, done func(token uint64, ok bool)) {
	lease.promotionOrders[group] = promotionOrder{instance: instance, sentAt: lease.context.Now()}
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

// recordOrders writes the unanswered orders to the row after the pending call has ended.
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

// outstandingOrder returns the instance of the group for which a promotion order may
// still be carried out, or the empty ID.
func (lease *lease) outstandingOrder(group model.GroupID) model.InstanceID {
	last, ok := lease.promotionOrders[group]
	if !ok || lease.context.Now()-last.sentAt > promotionOrderLifetime {
		return ""
	}
	return last.instance
}

// promotionAnswered removes the promotion order of a group after its answer. The row is
// rewritten at the next tick.
func (lease *lease) promotionAnswered(group model.GroupID) {
	delete(lease.promotionOrders, group)
	lease.nextPollAt = 0
}

// outstandingOrders returns the instance of the outstanding order of each group, as it is
// stored in Ordered.
func (lease *lease) outstandingOrders() map[model.GroupID]model.InstanceID {
	outstanding := make(map[model.GroupID]model.InstanceID)
	for group := range lease.promotionOrders {
		if instance := lease.outstandingOrder(group); instance != "" {
			outstanding[group] = instance
		}
	}
	return outstanding
}

// adoptOrders takes over the outstanding orders of an earlier holder. Their send time is
// unknown, so they count as just sent.
func (lease *lease) adoptOrders() {
	for group, instance := range lease.row.Ordered {
		lease.promotionOrders[group] = promotionOrder{instance: instance, sentAt: lease.context.Now()}
	}
}

// tokenLimit returns the highest token for the next row. It reserves further tokens when
// less than half of reservedTokens are left.
func (lease *lease) tokenLimit() uint64 {
	if lease.row.Holder == lease.self() && lease.nextToken > 0 && lease.lastToken >= lease.nextToken+reservedTokens/2 {
		return lease.row.Token
	}
	return lease.row.Token + reservedTokens
}

// resign releases the lease, so that another proxy can acquire it before it expires.
func (lease *lease) resign() {
	cannotResign := !lease.held() || lease.callPending
	lease.resigning = true
	if cannotResign {
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

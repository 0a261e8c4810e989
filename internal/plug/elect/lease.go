package elect

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
	// leaseKey is the key of the lease's row. In a later era of the store it is followed by the
	// era, so that a late write of an earlier era cannot replace the row of this one.
	leaseKey = "promoter"
	// tokensPerEra is the number of fencing tokens of each era of the store. The tokens of an
	// era are higher than those of all earlier ones, whatever a restored row says of them.
	tokensPerEra = 1 << 32

	// leaseDuration is the time without a renewal after which another proxy may acquire
	// the lease.
	leaseDuration = 3 * time.Second
	// leaseSafetyMargin is the part at the end of leaseDuration in which the holder no
	// longer orders promotions.
	leaseSafetyMargin = 500 * time.Millisecond
	// renewInterval is the time between two renewals.
	renewInterval = time.Second
	// reservedTokens is the number of fencing tokens that a holder reserves at once, so
	// that it can order promotions while the store is unavailable.
	reservedTokens = 32
	// lostTokens is the number of tokens that are left out after a row that could not be read.
	lostTokens = 1 << 16
)

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
	// unreadable is set while another program has replaced the row. row is the one before, which may
	// lack the last tokens and promotion orders of its holder.
	unreadable bool
	// changedAt is the time at which the row was first read with this version.
	changedAt time.Duration
	rowKnown  bool
	readAt    time.Duration  // when the last answered read of the row was sent, or 0
	era       model.StoreEra // the era of the store to which row and version belong
	eraKnown  bool
	// past is what is known of the lease in earlier eras of the store.
	past pastEras
	// ordersLostUntil is the time until which promotion orders that the row does not list may
	// still be carried out.
	ordersLostUntil time.Duration
	callPending     bool
	resigning       bool
	polling
	// nextToken and lastToken bound the range of reserved tokens that are not used yet.
	// The range is empty if nextToken is higher.
	nextToken, lastToken uint64
	// promotionOrders holds the last promotion order of each group that may still be carried out.
	promotionOrders map[model.GroupID]promotionOrder
	// needsPromoter reports whether a group needs a promoter.
	needsPromoter func() bool
	// counted, unreached, following and reportedPrimaries return the next values of Counted, Unreached,
	// Following and Led.
	counted           func() map[model.GroupID][]model.InstanceID
	unreached         func() map[model.GroupID][]model.InstanceID
	following         func() map[model.GroupID][]model.InstanceID
	reportedPrimaries func() map[model.GroupID]primaryRecord
}

func newLease(context *kern.Context, client *table.Client, elect *Elect) *lease {
	return &lease{
		context:           context,
		client:            client,
		needsPromoter:     elect.needsPromoter,
		counted:           elect.counted,
		unreached:         elect.unreached,
		following:         elect.following,
		reportedPrimaries: elect.reportedPrimaries,
		promotionOrders:   make(map[model.GroupID]promotionOrder),
		past:              pastEras{knowsAll: true},
	}
}

// startEra handles the first answer of the store in a new era. Whoever held the lease in the
// era before no longer orders promotions, until it has acquired the lease in this one.
func (lease *lease) startEra(era model.StoreEra) {
	first := !lease.eraKnown
	lease.eraKnown = true
	if era <= lease.era {
		return
	}
	ended := lease.era
	lease.era = era
	if first && lease.context.Settings().FirstStart() {
		return
	}
	now := lease.context.Now()
	lease.past.endEra(lease.row, ended, lease.held(), now)
	if lease.held() {
		lease.log("lease_lost", "the store was restored")
	}
	lease.heldUntil, lease.row, lease.version, lease.rowKnown = 0, leaseRow{}, 0, false
	lease.nextToken, lease.lastToken = 0, 0
	lease.failedReads = 0
	if lease.past.knowsAll {
		lease.nextPollAt = now
	}
}

// key returns the key of the lease's row in the present era of the store.
func (lease *lease) key() string { return eraKey(lease.era) }

func (lease *lease) self() model.ProxyID { return lease.context.State().Self().ID() }

// held reports whether this proxy holds the lease and may order promotions.
func (lease *lease) held() bool { return lease.context.Now() < lease.heldUntil && !lease.resigning }

// free reports whether the lease may be acquired: its holder has resigned or has not
// renewed it for leaseDuration. If nobody has held it in this era of the store, it is free
// once a lease of the era before has ended.
func (lease *lease) free() bool {
	now := lease.context.Now()
	if lease.version == 0 {
		return lease.past.knowsAll || now-lease.past.endedAt >= leaseDuration
	}
	return lease.row.Holder == "" || now-lease.changedAt >= leaseDuration
}

// readRow reads the row and calls done on success.
func (lease *lease) readRow(done func()) {
	lease.callPending = true
	sentAt := lease.context.Now()
	lease.client.Read(route.FleetTable, leaseKey, func(rows []model.Row, ok bool) {
		lease.callPending = false
		if !ok {
			lease.failedReads++
			return
		}
		lease.failedReads = 0
		var current leaseRow
		var version uint64
		lease.unreadable = false
		lease.past.outdated = lease.past.outdated[:0]
		for _, found := range rows {
			var decoded leaseRow
			if err := json.Unmarshal(found.Value(), &decoded); err != nil {
				lease.log("lease_unreadable", found.Key()+": "+err.Error())
				if found.Key() != lease.key() || lease.version == 0 {
					return // nothing is known of the lease
				}
				lease.unreadable = true
				decoded = lease.row
			}
			if found.Key() == lease.key() {
				current, version = decoded, found.Version()
				continue
			}
			lease.past.addRow(found, decoded)
		}
		lease.recordRow(current, version)
		lease.readAt = sentAt
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
	lease.version = version
	if firstRead && row.Holder == lease.self() {
		lease.adoptOrders()
	}
}

// acquire takes over a free lease. The tokens it reserves are higher than those of all
// earlier holders.
func (lease *lease) acquire() {
	previous := lease.predecessor().Holder
	lease.adoptOrders()
	lease.write(leaseRow{Holder: lease.self(), Token: lease.reservedUpTo() + reservedTokens}, func(ok bool) {
		if ok {
			lease.log("lease_taken", "was held by "+string(previous))
			lease.nextPollAt = min(lease.nextPollAt, lease.context.Now()+lease.pollInterval())
		}
	})
}

// predecessor returns the row that the next holder continues: that of this era of the store
// or, if nobody has held the lease in this era, the newest known one of an earlier era.
func (lease *lease) predecessor() leaseRow {
	if lease.version == 0 {
		return lease.past.row
	}
	return lease.row
}

// reservedUpTo returns the highest token that is reserved in this era of the store or that
// belongs to an earlier era.
func (lease *lease) reservedUpTo() uint64 {
	reserved := max(lease.row.Token, uint64(lease.era)*tokensPerEra)
	if lease.unreadable && !lease.held() {
		reserved += lostTokens
	}
	return reserved
}

// renew extends a lease that this proxy holds, and then calls done even if the write
// failed.
func (lease *lease) renew(done func()) {
	lease.write(leaseRow{Holder: lease.self(), Token: lease.tokenLimit()}, func(bool) { done() })
}

// write replaces the row that was read last. A write without an answer counts as failed;
// the next read shows whether it took effect.
func (lease *lease) write(row leaseRow, done func(ok bool)) {
	before, reservedBefore := lease.predecessor(), lease.reservedUpTo()
	row.Beat = lease.row.Beat + 1
	row.Counted, row.Unreached, row.Led, row.Following = before.Counted, before.Unreached, before.Led, before.Following
	row.Ordered, row.OrdersLost = lease.outstandingOrders(), lease.ordersLost()
	if lease.row.Holder == lease.self() || lease.version == 0 && lease.past.knowsAll {
		row.Counted, row.Unreached, row.Led, row.Following = lease.counted(), lease.unreached(), lease.reportedPrimaries(), lease.following()
	}
	value, err := json.Marshal(row)
	if err != nil {
		lease.log("lease_not_written", err.Error())
		done(false)
		return
	}
	lease.callPending = true
	sentAt := lease.context.Now()
	writes := []model.RowWrite{model.NewRowWrite(route.FleetTable, lease.key(), lease.version, value)}
	for _, outdated := range lease.past.outdated {
		writes = append(writes, model.NewRowWrite(route.FleetTable, outdated.Key(), outdated.Version(), nil))
	}
	lease.client.Write(writes, func(outcome table.Outcome) {
		lease.callPending = false
		if outcome != table.Written {
			done(false)
			return
		}
		if row.Token > reservedBefore {
			lease.nextToken, lease.lastToken = max(lease.nextToken, reservedBefore+1), row.Token
		}
		lease.row, lease.unreadable = row, false
		if row.Holder == lease.self() {
			lease.heldUntil = sentAt + leaseDuration - leaseSafetyMargin
		}
		done(true)
	})
}

// tokenLimit returns the highest token for the next row. It reserves further tokens when
// less than half of reservedTokens are left.
func (lease *lease) tokenLimit() uint64 {
	if lease.row.Holder == lease.self() && lease.nextToken > 0 && lease.lastToken >= lease.nextToken+reservedTokens/2 {
		return lease.row.Token
	}
	return lease.reservedUpTo() + reservedTokens
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

package elect

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
)

const (
	// promotionOrderLifetime is the time for which an order without an answer may still be carried
	// out. The platform's documentation only says that it takes seconds.
	promotionOrderLifetime = 15 * time.Second
	// busyRetryDelay is the time after which a call checks again whether the previous one
	// has ended.
	busyRetryDelay = 5 * time.Millisecond
	// recordRetryDelay is the time after which an order that could not be recorded is recorded again.
	recordRetryDelay = 50 * time.Millisecond
)

// promotionOrder is a promotion order and the time until which it may still be carried out.
type promotionOrder struct {
	instance model.InstanceID
	until    time.Duration
	// earlierUntil is the time until which an earlier order for the instance may still be carried out.
	earlierUntil time.Duration
}

// issueToken passes the token of a promotion order to done, or false if this proxy does
// not hold the lease or has no reserved token left. Before that, it records the order in
// the row: the next holder of the lease must know it, or it would confirm commits that the order
// undoes. Without the store, that ends with the lease.
func (lease *lease) issueToken(group model.GroupID, instance model.InstanceID, done func(token uint64, ok bool)) {
	issued := promotionOrder{instance: instance, until: lease.context.Now() + promotionOrderLifetime}
	if lease.outstandingOrder(group) == instance {
		issued.earlierUntil = lease.promotionOrders[group].until
	}
	lease.promotionOrders[group] = issued
	lease.recordOrders(&orderRecord{group: group, instance: instance, done: func() {
		if !lease.held() || lease.nextToken > lease.lastToken {
			done(0, false)
			return
		}
		token := lease.nextToken
		lease.nextToken++
		done(token, true)
	}})
}

// orderRecord is a promotion order that is to be recorded in the row.
type orderRecord struct {
	group    model.GroupID
	instance model.InstanceID
	finished bool
	done     func() // is called once the order is recorded or the lease has ended
}

func (record *orderRecord) finish() {
	if !record.finished {
		record.finished = true
		record.done()
	}
}

// recordOrders writes the unanswered orders to the row until the row has the given one.
func (lease *lease) recordOrders(record *orderRecord) {
	delay := busyRetryDelay
	switch {
	case !lease.held():
		record.finish()
	case !lease.callPending:
		delay = recordRetryDelay
		lease.finishRecorded(record)
		if record.finished {
			break
		}
		lease.readRow(func() {
			if lease.row.Holder == lease.self() {
				lease.renew(func() { lease.finishRecorded(record) })
			}
		})
	}
	if !record.finished {
		lease.context.Timers().After(delay, func() { lease.recordOrders(record) })
	}
}

// finishRecorded finishes a record that the row has.
func (lease *lease) finishRecorded(record *orderRecord) {
	if lease.row.Holder == lease.self() && lease.row.Ordered[record.group] == record.instance {
		record.finish()
	}
}

// outstandingOrder returns the instance of the group for which a promotion order may
// still be carried out, or the empty ID.
func (lease *lease) outstandingOrder(group model.GroupID) model.InstanceID {
	last, ok := lease.promotionOrders[group]
	if !ok || lease.context.Now() > last.until {
		return ""
	}
	return last.instance
}

// promotionAccepted limits the time for which the promotion order of a group may still be carried
// out, after the platform has accepted it.
func (lease *lease) promotionAccepted(group model.GroupID) {
	accepted := lease.promotionOrders[group]
	accepted.until = lease.context.Now() + confirmTimeout
	lease.promotionOrders[group] = accepted
}

// promotionRefused removes the last promotion order of a group, which was refused. An earlier one
// without an answer may still be carried out.
func (lease *lease) promotionRefused(group model.GroupID) {
	refused := lease.promotionOrders[group]
	if lease.context.Now() >= refused.earlierUntil {
		lease.promotionEnded(group)
		return
	}
	lease.promotionOrders[group] = promotionOrder{instance: refused.instance, until: refused.earlierUntil}
}

// promotionEnded removes the promotion order of a group that was carried out or refused. The row is
// rewritten at the next tick.
func (lease *lease) promotionEnded(group model.GroupID) {
	if _, ok := lease.promotionOrders[group]; ok {
		delete(lease.promotionOrders, group)
		lease.nextPollAt = 0
	}
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
	now := lease.context.Now()
	if lease.version == 0 && lease.past.knowsAll {
		return
	}
	for group, instance := range lease.predecessor().Ordered {
		lease.promotionOrders[group] = promotionOrder{instance: instance, until: now + promotionOrderLifetime}
	}
	switch {
	case lease.version == 0:
		lease.ordersLostUntil = lease.past.endedAt + leaseDuration + promotionOrderLifetime
	case lease.row.OrdersLost || lease.unreadable:
		lease.ordersLostUntil = now + promotionOrderLifetime
	}
}

// ordersLost reports whether a promotion order may still be carried out that is not known,
// since the store was restored from a copy that lacks it.
func (lease *lease) ordersLost() bool { return lease.context.Now() < lease.ordersLostUntil }

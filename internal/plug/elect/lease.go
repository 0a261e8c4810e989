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

	// leaseTime is the time without a renewal after which another proxy takes the lease.
	leaseTime = 3 * time.Second
	// leaseMargin is the part of it in which the holder does not act any more.
	leaseMargin = 500 * time.Millisecond
	// renewInterval is the time between two renewals.
	renewInterval = time.Second
	// urgentInterval is the time between two looks while a group needs a promoter.
	urgentInterval = 400 * time.Millisecond
	// standbyInterval is the time between two looks of the proxies that stand by first.
	standbyInterval = 2 * time.Second
	// standbys is how many proxies look at the lease at this pace; the others look more rarely.
	standbys = 2
	// rareLooks is how many times more rarely the other proxies look at the lease.
	rareLooks = 4
	// reservedTokens is how many tokens a holder reserves at once, so that it can
	// order promotions while the store is away.
	reservedTokens = 32
	// recordWait is how long a promotion waits for the store to record its order.
	recordWait = 300 * time.Millisecond
	// orderLife is how long an order without an answer may still be carried out; the
	// platform speaks of seconds.
	orderLife = 15 * time.Second
	// busyPause is the pause before a call that waits for another one looks again.
	busyPause = 5 * time.Millisecond
	// startStagger is how much later each further proxy looks for the first time.
	startStagger = 150 * time.Millisecond
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
	Led map[model.GroupID]lead `json:"led,omitempty"`
	// Ordered is the instance of each group that an order to promote named which
	// may still be carried out.
	Ordered map[model.GroupID]model.InstanceID `json:"ordered,omitempty"`
}

// lead is the fact that an instance led a term.
type lead struct {
	Instance model.InstanceID `json:"instance"`
	Term     model.Term       `json:"term"`
}

// lease is the right to order promotions, which one proxy has at a time.
type lease struct {
	context *kern.Context
	client  *table.Client
	// until is when the own lease ends; it has passed if another proxy holds it.
	until   time.Duration
	row     leaseRow
	version uint64
	// changedAt is when the row was first seen with this version.
	changedAt time.Duration
	known     bool
	busy      bool
	resigning bool
	lookAt    time.Duration
	lookedAt  time.Duration
	// next and limit are the tokens that are reserved and not used yet.
	next, limit uint64
	// orders are the orders that were not answered.
	orders map[model.GroupID]order
	// urgent reports whether a group needs a promoter.
	urgent func() bool
	// counted and led return what the row shall say of the groups.
	counted func() map[model.GroupID][]model.InstanceID
	led     func() map[model.GroupID]lead
}

// order is an order to promote an instance, and when it was sent.
type order struct {
	instance model.InstanceID
	at       time.Duration
}

func newLease(context *kern.Context, client *table.Client, elect *Elect) *lease {
	return &lease{
		context: context,
		client:  client,
		urgent:  elect.urgent,
		counted: elect.counted,
		led:     elect.led,
		orders:  make(map[model.GroupID]order),
	}
}

func (lease *lease) self() model.ProxyID { return lease.context.State().Self().ID() }

// held reports whether this proxy may act as the promoter.
func (lease *lease) held() bool { return lease.context.Now() < lease.until && !lease.resigning }

// tick renews the lease, or looks whether it is free.
func (lease *lease) tick() {
	now := lease.context.Now()
	if lease.known && lease.urgent() {
		lease.lookAt = min(lease.lookAt, lease.lookedAt+urgentInterval)
	}
	if lease.busy || now < lease.lookAt || lease.resigning {
		return
	}
	lease.lookedAt = now
	lease.look(func() {
		switch {
		case lease.row.Holder == lease.self():
			lease.renew(func() {})
		case lease.free():
			lease.take()
		}
	})
	lease.lookAt = now + lease.interval()
}

// interval returns the time until the next look.
func (lease *lease) interval() time.Duration {
	state := lease.context.State()
	place := rank.Of(leaseKey, lease.self(), state.Proxies())
	switch {
	case lease.row.Holder == lease.self():
		return renewInterval
	case !lease.known:
		return time.Duration(place+1) * startStagger
	case lease.urgent():
		return urgentInterval
	case place < standbys+1:
		return standbyInterval
	default:
		return rareLooks * standbyInterval
	}
}

// free reports whether the lease may be taken.
func (lease *lease) free() bool {
	return lease.row.Holder == "" || lease.context.Now()-lease.changedAt >= leaseTime
}

// look reads the row and calls done if that succeeded.
func (lease *lease) look(done func()) {
	lease.busy = true
	lease.client.Read(route.FleetTable, leaseKey, func(rows []model.Row, ok bool) {
		lease.busy = false
		if !ok {
			return
		}
		found, exists := table.Find(rows, leaseKey)
		if !exists {
			lease.note(leaseRow{}, 0)
			done()
			return
		}
		var decoded leaseRow
		if err := json.Unmarshal(found.Value(), &decoded); err != nil {
			lease.log("lease_unreadable", err.Error())
			return
		}
		lease.note(decoded, found.Version())
		done()
	})
}

func (lease *lease) note(row leaseRow, version uint64) {
	if !lease.known || version != lease.version {
		lease.changedAt = lease.context.Now()
	}
	if lease.known && row.Holder != lease.self() && lease.until > lease.context.Now() {
		lease.log("lease_lost", "held by "+string(row.Holder))
		lease.until = 0
	}
	first := !lease.known
	lease.known = true
	lease.row = row
	if first && row.Holder == lease.self() {
		lease.adopt()
	}
	lease.version = version
}

// take takes a free lease. Its tokens are above those of all earlier holders.
func (lease *lease) take() {
	before := lease.row.Holder
	lease.adopt()
	lease.write(leaseRow{Holder: lease.self(), Token: lease.row.Token + reservedTokens}, func(ok bool) {
		if ok {
			lease.log("lease_taken", "was held by "+string(before))
		}
	})
}

// renew writes the row of a lease that this proxy holds.
func (lease *lease) renew(done func()) {
	lease.write(leaseRow{Holder: lease.self(), Token: lease.reserve()}, func(bool) { done() })
}

// write replaces the row that was read last. A write without an answer counts as
// failed; the next look tells what became of it.
func (lease *lease) write(row leaseRow, done func(ok bool)) {
	row.Beat = lease.row.Beat + 1
	row.Counted, row.Led = lease.row.Counted, lease.row.Led
	row.Ordered = lease.named()
	if lease.row.Holder == lease.self() {
		row.Counted, row.Led = lease.counted(), lease.led()
	}
	value, err := json.Marshal(row)
	if err != nil {
		lease.log("lease_not_written", err.Error())
		done(false)
		return
	}
	lease.busy = true
	sentAt := lease.context.Now()
	lease.client.Write([]model.RowWrite{model.NewRowWrite(route.FleetTable, leaseKey, lease.version, value)}, func(outcome table.Outcome) {
		lease.busy = false
		if outcome != table.Written {
			done(false)
			return
		}
		if row.Token > lease.row.Token {
			lease.next, lease.limit = max(lease.next, lease.row.Token+1), row.Token
		}
		lease.row = row
		if row.Holder == lease.self() {
			lease.until = sentAt + leaseTime - leaseMargin
		}
		done(true)
	})
}

// draw hands over a token for an order to promote an instance, or reports false if
// this proxy may not order it. The row names the instance first, for a promoter
// that follows; where the store does not answer soon, the promotion does not wait
// for it, since its token is reserved.
func (lease *lease) draw(group model.GroupID, instance model.InstanceID, done func(token uint64, ok bool)) {
	lease.orders[group] = order{instance: instance, at: lease.context.Now()}
	finished := false
	finish := func() {
		if finished {
			return
		}
		finished = true
		if !lease.held() || lease.next > lease.limit {
			done(0, false)
			return
		}
		token := lease.next
		lease.next++
		done(token, true)
	}
	lease.context.Timers().After(recordWait, finish)
	lease.record(finish)
}

// record writes the orders to the row, once the call that is under way has ended.
func (lease *lease) record(done func()) {
	if lease.busy {
		lease.context.Timers().After(busyPause, func() { lease.record(done) })
		return
	}
	lease.look(func() {
		if lease.row.Holder == lease.self() {
			lease.renew(done)
		}
	})
}

// outstanding returns the instance of a group that an order named which may still
// be carried out, or the empty name.
func (lease *lease) outstanding(group model.GroupID) model.InstanceID {
	ordered, ok := lease.orders[group]
	if !ok || lease.context.Now()-ordered.at > orderLife {
		return ""
	}
	return ordered.instance
}

// settled records that the last order of a group was answered.
func (lease *lease) settled(group model.GroupID) {
	delete(lease.orders, group)
	lease.lookAt = 0
}

// named returns what the row says of the orders.
func (lease *lease) named() map[model.GroupID]model.InstanceID {
	named := make(map[model.GroupID]model.InstanceID)
	for group := range lease.orders {
		if instance := lease.outstanding(group); instance != "" {
			named[group] = instance
		}
	}
	return named
}

// adopt takes over the orders of an earlier holder, as if they had just been sent.
func (lease *lease) adopt() {
	for group, instance := range lease.row.Ordered {
		lease.orders[group] = order{instance: instance, at: lease.context.Now()}
	}
}

// reserve returns the highest token that the next row reserves.
func (lease *lease) reserve() uint64 {
	if lease.row.Holder == lease.self() && lease.next > 0 && lease.limit >= lease.next+reservedTokens/2 {
		return lease.row.Token
	}
	return lease.row.Token + reservedTokens
}

// resign gives the lease back, so that another proxy need not wait for its end.
func (lease *lease) resign() {
	free := !lease.held() || lease.busy
	lease.resigning = true
	if free {
		return
	}
	lease.look(func() {
		if lease.row.Holder == lease.self() {
			lease.write(leaseRow{Token: lease.row.Token}, func(bool) {})
			lease.until = 0
			lease.log("lease_given_back", "shutdown")
		}
	})
}

func (lease *lease) log(name, reason string) {
	lease.context.Emit(event.NewLogDecision(model.Decision{Name: name, Proxy: lease.self(), Reason: reason}))
}

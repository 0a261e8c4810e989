package elect

import (
	"encoding/json"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/rank"
	"almondway.dev/almondway/internal/core/table"
)

const (
	leaseTable = "almondway"
	leaseKey   = "promoter"

	// leaseTime is the time without a renewal after which another proxy takes the lease.
	leaseTime = 5 * time.Second
	// leaseMargin is the part of it in which the holder does not act any more.
	leaseMargin = 500 * time.Millisecond
	// renewInterval is the time between two renewals.
	renewInterval = 1500 * time.Millisecond
	// standbyInterval is the time between two looks of the proxies that stand by first.
	standbyInterval = 2 * time.Second
	// standbys is how many proxies look at the lease at this pace; the others look more rarely.
	standbys = 2
	// rareLooks is how many times more rarely the other proxies look at the lease.
	rareLooks = 4
	// startStagger is how much later each further proxy looks for the first time.
	startStagger = 150 * time.Millisecond
)

// leaseRow is the row of the lease in the store.
type leaseRow struct {
	// Holder is the proxy that may promote, or the empty name after it has resigned.
	Holder model.ProxyID `json:"holder"`
	// Token is the highest fencing token that was drawn. Each attempt draws one.
	Token uint64 `json:"token"`
	// Beat changes with each renewal.
	Beat uint64 `json:"beat"`
	// Counted are the instances of each group that may hold acknowledged commits,
	// for a promoter that starts when some of them are not listed.
	Counted map[model.GroupID][]model.InstanceID `json:"counted,omitempty"`
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
	// counted returns what the row shall say of the groups.
	counted func() map[model.GroupID][]model.InstanceID
}

func newLease(context *kern.Context, client *table.Client, counted func() map[model.GroupID][]model.InstanceID) *lease {
	return &lease{context: context, client: client, counted: counted}
}

func (lease *lease) self() model.ProxyID { return lease.context.State().Self().ID() }

// held reports whether this proxy may act as the promoter.
func (lease *lease) held() bool { return lease.context.Now() < lease.until && !lease.resigning }

// tick renews the lease, or looks whether it is free.
func (lease *lease) tick() {
	now := lease.context.Now()
	if lease.busy || now < lease.lookAt || lease.resigning {
		return
	}
	lease.look(func() {
		switch {
		case lease.row.Holder == lease.self():
			lease.write(leaseRow{Holder: lease.self(), Token: lease.row.Token, Beat: lease.row.Beat + 1}, func(bool) {})
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
	lease.client.Read(leaseTable, leaseKey, func(rows []model.Row, ok bool) {
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
	lease.known = true
	lease.row = row
	lease.version = version
}

// take takes a free lease. The token rises, since the holder changes.
func (lease *lease) take() {
	before := lease.row.Holder
	lease.write(leaseRow{Holder: lease.self(), Token: lease.row.Token + 1, Beat: lease.row.Beat + 1}, func(ok bool) {
		if ok {
			lease.log("lease_taken", "was held by "+string(before))
		}
	})
}

// write replaces the row that was read last. A write without an answer counts as
// failed; the next look tells what became of it.
func (lease *lease) write(row leaseRow, done func(ok bool)) {
	row.Counted = lease.row.Counted
	if lease.row.Holder == lease.self() {
		row.Counted = lease.counted()
	}
	value, err := json.Marshal(row)
	if err != nil {
		done(false)
		return
	}
	lease.busy = true
	sentAt := lease.context.Now()
	lease.client.Write([]model.RowWrite{model.NewRowWrite(leaseTable, leaseKey, lease.version, value)}, func(outcome table.Outcome) {
		lease.busy = false
		if outcome != table.Written {
			done(false)
			return
		}
		lease.row = row
		if row.Holder == lease.self() {
			lease.until = sentAt + leaseTime - leaseMargin
		}
		done(true)
	})
}

// draw raises the token and hands it over; it reports false if this proxy does not
// hold the lease or the store did not answer.
func (lease *lease) draw(done func(token uint64, ok bool)) {
	if lease.busy {
		done(0, false)
		return
	}
	lease.look(func() {
		if lease.row.Holder != lease.self() {
			done(0, false)
			return
		}
		drawn := lease.row.Token + 1
		lease.write(leaseRow{Holder: lease.self(), Token: drawn, Beat: lease.row.Beat + 1}, func(ok bool) { done(drawn, ok) })
	})
}

// resign gives the lease back, so that another proxy need not wait for its end.
func (lease *lease) resign() {
	if !lease.held() || lease.busy {
		lease.resigning = true
		return
	}
	lease.resigning = true
	lease.look(func() {
		if lease.row.Holder == lease.self() {
			lease.write(leaseRow{Token: lease.row.Token, Beat: lease.row.Beat + 1}, func(bool) {})
			lease.until = 0
			lease.log("lease_given_back", "shutdown")
		}
	})
}

func (lease *lease) log(name, reason string) {
	lease.context.Emit(event.NewLogDecision(model.Decision{Name: name, Proxy: lease.self(), Reason: reason}))
}

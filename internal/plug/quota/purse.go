package quota

import (
	"cmp"
	"math"
	"time"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/timer"
)

const (
	// aheadTime is the time for which a proxy borrows tokens ahead. They expire if they are not
	// needed, and are lost for the team then.
	aheadTime = 250 * time.Millisecond
	// minAheadRate is the number of operations a second from which a proxy borrows ahead.
	minAheadRate = 4
	// demandTime is the time constant of the average of a team's operations.
	demandTime = 2 * time.Second
)

// waiter is an operation that waits for a token.
type waiter struct {
	id      route.WaitID
	decide  func(denial *route.Denial)
	timeout timer.ID
	ended   bool
}

// tokens are some tokens of the same loan.
type tokens struct {
	count     int
	expiresAt time.Duration
}

// refusal says until when a lender is not asked again, and why.
type refusal struct {
	until  time.Duration
	reason string
	// starting says that the lender has started and will know shortly what it may lend.
	starting bool
}

// purse holds the tokens of a team that this proxy has borrowed, and the operations that wait for
// more.
type purse struct {
	team    model.TeamName
	held    []tokens // in the order of their loans
	waiting []*waiter
	pending bool // a call for tokens has no answer yet
	// scheduled is set while a timer is to ask again for tokens.
	scheduled bool
	// refused are the lenders that had no tokens.
	refused map[model.ProxyID]refusal
	// rate is the average number of operations a second up to demandAt.
	rate     float64
	demandAt time.Duration
}

func comparePurses(left, right *purse) int { return cmp.Compare(left.team, right.team) }

// recordDemand counts an operation that needs a token.
func (purse *purse) recordDemand(now time.Duration) {
	decay := math.Exp(-float64(now-purse.demandAt) / float64(demandTime))
	purse.rate = purse.rate*decay + 1/demandTime.Seconds()
	purse.demandAt = now
}

// take uses a token. It reports false if there is none.
func (purse *purse) take(now time.Duration) bool {
	purse.dropExpired(now)
	if len(purse.held) == 0 {
		return false
	}
	purse.held[0].count--
	if purse.held[0].count == 0 {
		purse.held = purse.held[1:]
	}
	return true
}

func (purse *purse) dropExpired(now time.Duration) {
	kept := purse.held[:0]
	for _, tokens := range purse.held {
		if now < tokens.expiresAt {
			kept = append(kept, tokens)
		}
	}
	purse.held = kept
}

// add adds the tokens of a loan. They expire a lifetime after the call was sent, since the lender
// counts from a later time.
func (purse *purse) add(loan model.Loan, sentAt time.Duration) {
	if loan.Tokens() > 0 {
		purse.held = append(purse.held, tokens{count: loan.Tokens(), expiresAt: sentAt + loan.Lifetime()})
	}
}

func (purse *purse) count(now time.Duration) int {
	purse.dropExpired(now)
	count := 0
	for _, tokens := range purse.held {
		count += tokens.count
	}
	return count
}

// runsLow reports whether half of what is borrowed ahead is used.
func (purse *purse) runsLow(now time.Duration) bool {
	return purse.rate >= minAheadRate && purse.count(now) <= purse.ahead()/2
}

// ahead returns the number of tokens that are borrowed ahead.
func (purse *purse) ahead() int {
	if purse.rate < minAheadRate {
		return 0
	}
	return int(math.Ceil(purse.rate * aheadTime.Seconds()))
}

// wanted returns the number of tokens to ask for.
func (purse *purse) wanted(now time.Duration) int {
	return max(1, len(purse.waiting)+purse.ahead()-purse.count(now))
}

// next returns the first operation that waits, or nil.
func (purse *purse) next() *waiter {
	for len(purse.waiting) > 0 {
		if first := purse.waiting[0]; !first.ended {
			return first
		}
		purse.waiting = purse.waiting[1:]
	}
	return nil
}

func (purse *purse) remove(waiter *waiter) {
	for index, other := range purse.waiting {
		if other == waiter {
			purse.waiting = append(purse.waiting[:index:index], purse.waiting[index+1:]...)
			return
		}
	}
}

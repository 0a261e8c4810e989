// Package quota is the plug-in that limits the operations of the teams over all proxies. Each
// operation needs a token of its team. A proxy borrows tokens a few at a time from the lenders of
// the team, which are some of the proxies that a row in the platform's store lists. Each of them
// lends an equal part of what the team may use, so that the loss of one takes away that part only.
//
// In any span of W seconds a team uses at most rate*W + capacity tokens:
//
//   - A lender's tokens and those that it has lent and that have not expired are never more than
//     the capacity, and grow by the rate (bucket).
//   - A borrower counts the lifetime of tokens from the sending of its call, so that they end at
//     the borrower before they end at the lender (purse).
//   - All agree on the lenders of a team: a lender works only while its copy of the row is young,
//     and after a change of the row the new lenders of a team wait until the copies of the row
//     before are too old (lenders, keeper).
//   - A lender that has started begins with few tokens, at most once in any window, and else with
//     none (starter). The capacity leaves room for these, and for what its process before has lent
//     and what has not expired (limitsOf).
package quota

import (
	"fmt"
	"math"
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/table"
	"almondway.dev/almondway/internal/core/timer"
)

func init() { kern.Register("quota", kern.RankLimits, New, kern.ProfileHosted) }

const (
	// borrowTimeout limits a call for tokens.
	borrowTimeout = 150 * time.Millisecond
	// slowAnswer is the time without an answer after which the operations that wait ask the next
	// lender, too. An answer takes a few milliseconds between hosts that reach each other.
	slowAnswer = 60 * time.Millisecond
	// answerMargin is the time beyond it after which a call that the adapter has not reported
	// counts as failed.
	answerMargin = 50 * time.Millisecond
	// maxTokenWait limits the time for which an operation waits for a token.
	maxTokenWait = 400 * time.Millisecond
	// unavailableRetryAfter is when to ask a lender again that may not lend at present, and when
	// a caller may come back whose operation was refused because no lender answered.
	unavailableRetryAfter = 100 * time.Millisecond
	// avoidTime is the time for which a lender that did not answer is not asked.
	avoidTime = 2 * time.Second
)

// Quota is the plug-in. It implements route.Quota.
type Quota struct {
	context *kern.Context
	client  *table.Client
	keeper  keeper
	starter *starter
	// firstLender is the number of the lender that this proxy asks first.
	firstLender int
	lenders     lenders
	purses      map[model.TeamName]*purse
	buckets     map[model.TeamName]*bucket
	calls       map[model.BorrowID]*call
	waiters     map[route.WaitID]*waiter
	// avoided are the lenders that did not answer, with the times until which they are not asked.
	avoided map[model.ProxyID]time.Duration
}

// call is a call for tokens that has no answer yet.
type call struct {
	lender  model.ProxyID
	sentAt  time.Duration
	purses  []*purse
	timeout timer.ID
	slow    timer.ID
}

// New returns the plug-in. It limits nothing if the settings give no window.
func New(context *kern.Context) kern.Plugin {
	quota := &Quota{
		context: context,
		client:  table.New(context),
		purses:  make(map[model.TeamName]*purse),
		buckets: make(map[model.TeamName]*bucket),
		calls:   make(map[model.BorrowID]*call),
		waiters: make(map[route.WaitID]*waiter),
		avoided: make(map[model.ProxyID]time.Duration),
	}
	quota.firstLender = context.Random().IntN(lendersPerTeam)
	quota.keeper = newKeeper(context, quota.client)
	quota.starter = newStarter(context, quota.client)
	context.ProvideService(route.QuotaService, quota)
	if quota.enabled() {
		context.Timers().Every(keeperInterval, quota.keepLenders)
	}
	return quota
}

func (quota *Quota) enabled() bool { return quota.context.Settings().QuotaWindow() > 0 }

// Handle implements kern.Plugin.
func (quota *Quota) Handle(received event.Event) {
	quota.client.Handle(received)
	switch received := received.(type) {
	case event.LendersListed:
		quota.setLenders(received)
	case event.BorrowReceived:
		quota.handleBorrow(received)
	case event.BorrowAnswered:
		if call := quota.finishCall(received.ID()); call != nil {
			quota.learnMarks(received.Marks(), call.sentAt)
			quota.handleLoans(call, received.Loans())
		}
	case event.BorrowFailed:
		quota.failCall(received.ID(), received.Reason())
	}
}

// Acquire implements route.Quota.
func (quota *Quota) Acquire(team *model.Team, decide func(denial *route.Denial)) route.WaitID {
	if !quota.enabled() || !team.Limited() {
		decide(nil)
		return 0
	}
	now := quota.context.Now()
	purse := quota.purse(team.Name())
	purse.recordDemand(now)
	if purse.take(now) {
		decide(nil)
		quota.borrowAhead(purse)
		return 0
	}
	_, found := quota.chooseLender(purse, now)
	wait := quota.startsWithin(purse, now)
	if !found && wait == 0 && !purse.pending && len(quota.lenders.of(team.Name())) > 0 {
		decide(quota.denial(purse, now))
		return 0
	}
	added := &waiter{id: route.WaitID(quota.context.NextID()), decide: decide}
	purse.waiting = append(purse.waiting, added)
	quota.waiters[added.id] = added
	added.timeout = quota.context.Timers().After(maxTokenWait, func() { quota.deny(purse, added, unavailable()) })
	if found || wait == 0 {
		quota.borrow(purse)
	} else {
		quota.borrowAfter(purse, wait)
	}
	if added.ended {
		return 0
	}
	return added.id
}

// CancelWait implements route.Quota.
func (quota *Quota) CancelWait(id route.WaitID) {
	if waiter, ok := quota.waiters[id]; ok {
		quota.end(waiter)
	}
}

// end removes a waiter. Its purse forgets it when it looks for waiters.
func (quota *Quota) end(waiter *waiter) {
	waiter.ended = true
	delete(quota.waiters, waiter.id)
	quota.context.Timers().Cancel(waiter.timeout)
}

func (quota *Quota) deny(purse *purse, waiter *waiter, denial *route.Denial) {
	purse.remove(waiter)
	if !waiter.ended {
		quota.end(waiter)
		waiter.decide(denial)
	}
}

func unavailable() *route.Denial {
	return &route.Denial{Code: codes.TeamLimit, RetryAfter: unavailableRetryAfter, Reason: "no lender has answered"}
}

func (quota *Quota) purse(team model.TeamName) *purse {
	found, ok := quota.purses[team]
	if !ok {
		found = &purse{team: team, refused: make(map[model.ProxyID]refusal)}
		quota.purses[team] = found
	}
	return found
}

// borrowAhead borrows tokens before they are needed, for a team that sends often.
func (quota *Quota) borrowAhead(purse *purse) {
	if purse.runsLow(quota.context.Now()) {
		quota.borrow(purse)
	}
}

// chooseLender returns the lender of a team to ask for tokens: the first one in an order of this
// proxy that has answered and is not empty. It returns false if there is none.
func (quota *Quota) chooseLender(purse *purse, now time.Duration) (model.ProxyView, bool) {
	all := quota.lenders.of(purse.team)
	for offset := range all {
		lender := all[(quota.firstLender+offset)%len(all)]
		if now >= quota.avoided[lender.ID()] && now >= purse.refused[lender.ID()].until {
			return lender, true
		}
	}
	return model.ProxyView{}, false
}

// borrow asks a lender of a team for tokens, unless a call is pending. Other teams of the same
// lender that run low join the call.
func (quota *Quota) borrow(first *purse) {
	now := quota.context.Now()
	lender, ok := quota.chooseLender(first, now)
	if !ok || first.pending {
		return
	}
	purses := []*purse{first}
	if lender.ID() != quota.self() {
		purses = append(purses, quota.joining(first, lender.ID(), now)...)
	}
	var demands []model.TokenDemand
	for _, purse := range purses {
		purse.pending = true
		demands = append(demands, model.NewTokenDemand(purse.team, purse.wanted(now)))
	}
	pending := &call{lender: lender.ID(), sentAt: now, purses: purses}
	if lender.ID() == quota.self() {
		quota.handleLoans(pending, quota.lend(demands))
		return
	}
	id := model.BorrowID(quota.context.NextID())
	quota.calls[id] = pending
	pending.timeout = quota.context.Timers().After(borrowTimeout+answerMargin, func() { quota.failCall(id, "no answer") })
	pending.slow = quota.context.Timers().After(slowAnswer, func() { quota.askNext(pending) })
	quota.context.Emit(event.NewBorrow(id, quota.context.State().Self(), lender, demands, borrowTimeout))
}

// joining returns the other purses that may join a call to a lender.
func (quota *Quota) joining(first *purse, lender model.ProxyID, now time.Duration) []*purse {
	var joining []*purse
	for _, purse := range quota.purses {
		if purse == first || purse.pending || !purse.runsLow(now) {
			continue
		}
		if other, ok := quota.chooseLender(purse, now); ok && other.ID() == lender {
			joining = append(joining, purse)
		}
	}
	slices.SortFunc(joining, comparePurses)
	return joining
}

func (quota *Quota) self() model.ProxyID { return quota.context.State().Self().ID() }

func (quota *Quota) finishCall(id model.BorrowID) *call {
	found := quota.calls[id]
	if found != nil {
		delete(quota.calls, id)
		quota.context.Timers().Cancel(found.timeout)
		quota.context.Timers().Cancel(found.slow)
	}
	return found
}

// askNext asks the next lenders for the operations that wait for a slow answer. While lenders are
// cut off, the time-outs of two of them would use up the time that an operation may wait.
func (quota *Quota) askNext(slow *call) {
	until := quota.context.Now() + borrowTimeout
	for _, purse := range slow.purses {
		purse.pending = false
		purse.refused[slow.lender] = refusal{until: until, reason: "a lender did not answer"}
		if purse.next() != nil {
			quota.borrow(purse)
		}
	}
}

// failCall ends a call that got no usable answer.
func (quota *Quota) failCall(id model.BorrowID, reason string) {
	if call := quota.finishCall(id); call != nil {
		if quota.context.Now() >= quota.avoided[call.lender] {
			quota.log("lender_unreachable", model.Decision{Proxy: call.lender, Reason: reason})
		}
		quota.avoided[call.lender] = quota.context.Now() + avoidTime
		quota.handleLoans(call, nil)
	}
}

// handleLoans serves the waiters with the loans of an answer.
func (quota *Quota) handleLoans(call *call, loans []model.Loan) {
	for index, purse := range call.purses {
		purse.pending = false
		if index < len(loans) && loans[index].Team() == purse.team {
			quota.receive(purse, loans[index], call)
			continue
		}
		quota.refuse(purse, call.lender, refusal{until: quota.context.Now() + unavailableRetryAfter, reason: "a lender did not answer"})
	}
}

func (quota *Quota) receive(purse *purse, loan model.Loan, call *call) {
	now := quota.context.Now()
	purse.add(loan, call.sentAt)
	for waiter := purse.next(); waiter != nil && purse.take(now); waiter = purse.next() {
		purse.remove(waiter)
		quota.end(waiter)
		waiter.decide(nil)
	}
	switch {
	case loan.RetryAfter() > 0 && loan.Lifetime() == 0:
		starting := loan.RetryAfter() == startRetryAfter
		quota.refuse(purse, call.lender, refusal{until: now + loan.RetryAfter(), starting: starting, reason: "a lender of the team may not lend at present"})
	case loan.RetryAfter() > 0:
		quota.refuse(purse, call.lender, refusal{until: now + loan.RetryAfter(), reason: quota.describeExcess(purse)})
	case purse.next() != nil:
		quota.borrow(purse)
	}
}

// refuse records that a lender has no tokens. The operations that wait go on to another lender, or
// are denied if there is none.
func (quota *Quota) refuse(purse *purse, lender model.ProxyID, refused refusal) {
	now := quota.context.Now()
	purse.refused[lender] = refused
	if purse.next() == nil {
		return
	}
	if _, ok := quota.chooseLender(purse, now); ok {
		quota.borrow(purse)
		return
	}
	if wait := quota.startsWithin(purse, now); wait > 0 {
		quota.borrowAfter(purse, wait)
		return
	}
	for waiter := purse.next(); waiter != nil; waiter = purse.next() {
		quota.deny(purse, waiter, quota.denial(purse, now))
	}
}

// denial returns the denial of an operation while no lender has tokens.
func (quota *Quota) denial(purse *purse, now time.Duration) *route.Denial {
	denial := unavailable()
	first := time.Duration(math.MaxInt64)
	for _, lender := range quota.lenders.of(purse.team) {
		refused := purse.refused[lender.ID()]
		if until := max(refused.until, quota.avoided[lender.ID()]); until < first {
			first = until
			denial.RetryAfter = max(time.Millisecond, until-now)
		}
		if now < refused.until {
			denial.Reason = refused.reason
		}
	}
	return denial
}

// startsWithin returns when a lender is to be asked again that has just started and will know
// shortly what it may lend, or 0 if there is none. The operations wait for it, since callers that
// come back after a loss of power use up their attempts within that time.
func (quota *Quota) startsWithin(purse *purse, now time.Duration) time.Duration {
	for _, lender := range quota.lenders.of(purse.team) {
		refused := purse.refused[lender.ID()]
		if refused.starting && refused.until > now && now >= quota.avoided[lender.ID()] {
			return refused.until - now
		}
	}
	return 0
}

// borrowAfter asks for tokens after a delay, if operations still wait then.
func (quota *Quota) borrowAfter(purse *purse, delay time.Duration) {
	if purse.scheduled {
		return
	}
	purse.scheduled = true
	quota.context.Timers().After(delay, func() {
		purse.scheduled = false
		if purse.next() != nil {
			quota.borrow(purse)
		}
	})
}

// describeExcess returns the reason for refusing operations of a team over its limit.
func (quota *Quota) describeExcess(purse *purse) string {
	team := quota.context.State().Teams().Find(purse.team)
	if team == nil {
		return "the team is gone"
	}
	return fmt.Sprintf("team over its limit of %g a second and %g at once; %.1f a second came to this proxy", team.Rate(), team.Burst(), purse.rate)
}

func (quota *Quota) log(name string, decision model.Decision) {
	decision.Name = name
	quota.context.Emit(event.NewLogDecision(decision))
}

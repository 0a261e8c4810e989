package affirm

import (
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/count"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/timer"
)

const (
	// settleTimeout is the time after which a call to the holder counts as failed.
	settleTimeout = 400 * time.Millisecond
	// slowAfter is the time after which replicas are asked, too.
	slowAfter = 100 * time.Millisecond
	// unsettledInterval is the time between two calls about a group that is not settled, and
	// lostInterval that between two calls while no holder answers.
	unsettledInterval = 50 * time.Millisecond
	lostInterval      = 100 * time.Millisecond
)

const (
	reasonUnasked   = "the proxy that orders promotions was not asked yet"
	reasonUnsettled = "a promotion may be under way"
	reasonUnknown   = "the proxy that orders promotions is not known"
	reasonSilent    = "the proxy that orders promotions does not answer"
)

// holder asks the proxy that orders promotions whether groups are settled. One call is outstanding at
// a time, and what waits meanwhile goes with the next one.
type holder struct {
	affirm *Affirm
	// call is the outstanding call, or 0. lastAsked is the last commit that it covers.
	call      model.SettleID
	asked     model.ProxyID
	sentAt    time.Duration
	lastAsked route.ConfirmationID
	slow      timer.ID
	retry     timer.ID
	// referred is the holder that another proxy has named, or empty.
	referred model.ProxyID
	// lost is set while no holder answers.
	lost bool
	// settledAt is when the last answered question was sent, or 0. The groups in exceptions were not
	// settled then; their values are when they last were, or 0.
	settledAt  time.Duration
	exceptions map[model.GroupID]time.Duration
	// unsupported is the holder that does not know the call, or empty.
	unsupported model.ProxyID
}

func newHolder(affirm *Affirm) *holder {
	return &holder{affirm: affirm, exceptions: make(map[model.GroupID]time.Duration)}
}

func (holder *holder) promoter() route.Promoter {
	promoter, _ := holder.affirm.context.Service(route.PromoterService).(route.Promoter)
	return promoter
}

// lastSettled returns a time at which no promotion of the group was under way, or 0.
func (holder *holder) lastSettled(group model.GroupID) time.Duration {
	if at, ok := holder.exceptions[group]; ok {
		return at
	}
	return holder.settledAt
}

// ask asks the holder about all commits that wait, unless a call is outstanding or the next one is
// scheduled for a holder that does not answer.
func (holder *holder) ask() {
	affirm := holder.affirm
	groups := affirm.waitingGroups()
	if len(groups) == 0 || holder.call != 0 || holder.lost && holder.retry != 0 {
		return
	}
	affirm.context.Timers().Cancel(holder.retry)
	holder.retry = 0
	ids := make([]model.GroupID, 0, len(groups))
	for _, group := range groups {
		ids = append(ids, group.id)
	}
	promoter := holder.promoter()
	if promoter == nil {
		holder.passOn("this proxy orders no promotions")
		return
	}
	now := affirm.context.Now()
	settlement := promoter.Settlement(ids)
	if settlement.Held() {
		holder.apply(settlement, now, affirm.lastID)
		return
	}
	target := settlement.Holder()
	if holder.referred != "" {
		target = holder.referred
	}
	view, ok := holder.view(target)
	if !ok {
		holder.referred = ""
		promoter.SeekHolder()
		holder.setLost(reasonUnknown)
		return
	}
	if view.Address() == "" {
		holder.unavailable(target, "it serves no calls")
		return
	}
	holder.call, holder.asked, holder.sentAt, holder.lastAsked = model.SettleID(affirm.context.NextID()), target, now, affirm.lastID
	holder.slow = affirm.context.Timers().After(slowAfter, func() { holder.setLost(reasonSilent) })
	affirm.context.Emit(event.NewSettle(holder.call, affirm.context.State().Self(), view, ids, settleTimeout))
}

// view returns a live proxy.
func (holder *holder) view(id model.ProxyID) (model.ProxyView, bool) {
	for _, view := range holder.affirm.context.State().Proxies() {
		if view.ID() == id && id != "" && id != holder.affirm.context.State().Self().ID() {
			return view, true
		}
	}
	return model.ProxyView{}, false
}

// finishCall ends the outstanding call and reports whether it has the given ID.
func (holder *holder) finishCall(id model.SettleID) bool {
	if holder.call == 0 || holder.call != id {
		return false
	}
	holder.call = 0
	holder.affirm.context.Timers().Cancel(holder.slow)
	return true
}

func (holder *holder) answered(received event.SettleAnswered) {
	if !holder.finishCall(received.ID()) {
		return
	}
	settlement := received.Settlement()
	if settlement.Held() {
		holder.apply(settlement, holder.sentAt, holder.lastAsked)
		return
	}
	first := holder.referred == ""
	holder.referred = ""
	if named := settlement.Holder(); first && named != "" && named != holder.asked {
		holder.referred = named
		holder.ask()
		return
	}
	holder.promoter().SeekHolder()
	holder.setLost(reasonUnknown)
}

func (holder *holder) failed(received event.SettleFailed) {
	if !holder.finishCall(received.ID()) {
		return
	}
	if received.Unsupported() {
		holder.unavailable(holder.asked, received.Reason())
		return
	}
	holder.referred = ""
	holder.promoter().SeekHolder()
	holder.setLost(reasonSilent)
}

// apply ends the waits that an answer of the holder decides. The question was sent at sentAt, and
// covers the commits up to last.
func (holder *holder) apply(settlement model.Settlement, sentAt time.Duration, last route.ConfirmationID) {
	affirm := holder.affirm
	exceptions := make(map[model.GroupID]time.Duration, len(settlement.Unsettled()))
	for _, id := range settlement.Unsettled() {
		exceptions[id] = holder.lastSettled(id)
	}
	holder.settledAt, holder.exceptions = sentAt, exceptions
	holder.setFound(settlement.Holder())
	newest := make(map[model.GroupID]model.Term, len(settlement.Terms()))
	for _, known := range settlement.Terms() {
		newest[known.Group()] = known.Term()
	}
	var done []ended
	for _, group := range affirm.waitingGroups() {
		term, known := newest[group.id]
		_, unsettled := exceptions[group.id]
		for _, item := range group.commits {
			switch {
			case item.id > last:
			case known && term > item.term:
				done = append(done, ended{waiting: item, confirmation: route.CommitSuperseded, reason: "another instance leads a newer term"})
			case known && !unsettled:
				affirm.context.State().Counts().Add(count.CommitsConfirmed)
				done = append(done, ended{waiting: item, confirmation: route.CommitConfirmed, reason: "confirmed by the proxy that orders promotions"})
			default:
				item.reason = reasonUnsettled
			}
		}
	}
	affirm.end(done)
	holder.askNext(last)
}

// askNext asks at once about commits that have come since the last question, and later about the others.
func (holder *holder) askNext(last route.ConfirmationID) {
	groups := holder.affirm.waitingGroups()
	if slices.ContainsFunc(groups, func(group *group) bool { return group.commits[len(group.commits)-1].id > last }) {
		holder.ask()
		return
	}
	if len(groups) > 0 {
		holder.schedule(unsettledInterval)
	}
}

func (holder *holder) schedule(delay time.Duration) {
	if holder.retry == 0 && holder.call == 0 {
		holder.retry = holder.affirm.context.Timers().After(delay, func() {
			holder.retry = 0
			holder.ask()
		})
	}
}

// setLost records that no holder answers, and asks the replicas.
func (holder *holder) setLost(reason string) {
	affirm := holder.affirm
	if !holder.lost {
		holder.lost = true
		holder.log("promoter_lost", reason)
	}
	for _, group := range affirm.waitingGroups() {
		for _, item := range group.commits {
			item.reason = reason
		}
		affirm.startProbes(group)
	}
	holder.schedule(lostInterval)
}

func (holder *holder) setFound(id model.ProxyID) {
	if holder.lost {
		holder.lost = false
		holder.log("promoter_found", string(id))
	}
}

// unavailable passes the commits on as a holder that does not know the call expects it.
func (holder *holder) unavailable(id model.ProxyID, reason string) {
	if holder.unsupported != id {
		holder.unsupported = id
		holder.log("commit_confirmation_unavailable", string(id)+": "+reason)
	}
	holder.passOn("the proxy that orders promotions confirms no commits")
}

// passOn ends all waits.
func (holder *holder) passOn(reason string) {
	var done []ended
	for _, group := range holder.affirm.waitingGroups() {
		for _, item := range group.commits {
			holder.affirm.context.State().Counts().Add(count.CommitsUnconfirmed)
			done = append(done, ended{waiting: item, confirmation: route.CommitConfirmed, reason: reason})
		}
	}
	holder.affirm.end(done)
}

func (holder *holder) log(name, reason string) {
	context := holder.affirm.context
	context.Emit(event.NewLogDecision(model.Decision{Name: name, Proxy: context.State().Self().ID(), Reason: reason}))
}

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
	settleTimeout = 250 * time.Millisecond
	// slowAfter is the time after which replicas are asked, too.
	slowAfter = 100 * time.Millisecond
	// unsettledInterval is the time between two calls about a group that is not settled, and
	// lostInterval that between two calls while no holder answers.
	unsettledInterval = 50 * time.Millisecond
	lostInterval      = 100 * time.Millisecond
	// refreshInterval is the time between two questions while no commit waits. Their answers say which
	// replicas can confirm commits if the holder is lost.
	refreshInterval = 2 * time.Second
	// maxAskedGroups limits the groups of a question in which no commit waits.
	maxAskedGroups = 32
	// maxIsolation is the time without an answer of another proxy or of the store after which replicas
	// confirm nothing: a restart of one, or that no promotion waits for it any more, may have been missed.
	maxIsolation = 600 * time.Millisecond
	// supportMemory is the time for which a holder that has answered is not taken for an old version.
	supportMemory = time.Minute
)

const (
	reasonUnasked   = "the proxy that orders promotions was not asked yet"
	reasonUnsettled = "a promotion may be under way"
	reasonNotKnown  = "the proxy that orders promotions does not know the group's primary or has not recorded its instances"
	reasonNeedsLog  = "an instance that is no longer waited for may have it alone"
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
	// settled is what is known of each group since the last answer that called it settled.
	settled map[model.GroupID]settled
	// contactAt is when the last question that any proxy has answered was sent, or 0.
	contactAt time.Duration
	// answeredAt is when each proxy last answered a question.
	answeredAt map[model.ProxyID]time.Duration
	// turn counts the questions to proxies that are asked since the holder is not known.
	turn int
	// refreshed counts the groups that were asked about while no commit waits in them.
	refreshed int
	// unsupported is the holder that does not know the call, or empty.
	unsupported model.ProxyID
}

// settled is a state of a group in which no promotion was under way.
type settled struct {
	at        time.Duration // when the question was sent
	term      model.Term
	followers []model.InstanceID
}

func newHolder(affirm *Affirm) *holder {
	created := &holder{affirm: affirm, settled: make(map[model.GroupID]settled), answeredAt: make(map[model.ProxyID]time.Duration)}
	affirm.context.Timers().Every(refreshInterval, created.refresh)
	return created
}

func (holder *holder) promoter() route.Promoter {
	promoter, _ := holder.affirm.context.Service(route.PromoterService).(route.Promoter)
	return promoter
}

// refresh asks about groups in which no commit waits.
func (holder *holder) refresh() {
	if holder.call == 0 && holder.retry == 0 && len(holder.affirm.waitingGroups()) == 0 {
		holder.send(holder.affirm.questions(), 0)
	}
}

// ask asks the holder about all commits that wait, unless a call is outstanding or the next one is
// scheduled for a holder that does not answer.
func (holder *holder) ask() {
	timers := holder.affirm.context.Timers()
	switch {
	case len(holder.affirm.waitingGroups()) == 0:
		return
	case holder.call != 0:
		if !holder.lost && timers.Now()-holder.sentAt >= slowAfter {
			holder.setLost(reasonSilent)
		}
		return
	case holder.lost && holder.retry != 0:
		return
	}
	timers.Cancel(holder.retry)
	holder.retry = 0
	holder.send(holder.affirm.questions(), holder.affirm.lastID)
}

// send asks the holder about groups, and about the commits up to last.
func (holder *holder) send(questions []model.GroupTerm, last route.ConfirmationID) {
	affirm := holder.affirm
	promoter := holder.promoter()
	switch {
	case promoter == nil:
		holder.passOn("this proxy orders no promotions")
		return
	case len(questions) == 0:
		return
	}
	now := affirm.context.Now()
	settlement := promoter.Settlement(questions)
	if settlement.Held() {
		holder.contactAt = now
		holder.apply(settlement, now, last)
		return
	}
	holder.recordSettled(promoter.Recorded())
	view, ok := holder.target(settlement.Holder())
	if !ok {
		holder.seek(reasonUnknown)
		return
	}
	if view.Address() == "" {
		holder.unavailable(view.ID(), "it serves no calls")
		return
	}
	holder.call, holder.asked, holder.sentAt, holder.lastAsked = model.SettleID(affirm.context.NextID()), view.ID(), now, last
	holder.slow = affirm.context.Timers().After(slowAfter, func() {
		if len(affirm.waitingGroups()) > 0 {
			holder.setLost(reasonSilent)
		}
	})
	affirm.context.Emit(event.NewSettle(holder.call, affirm.context.State().Self(), view, questions, settleTimeout))
}

// recordSettled records the groups that were settled at a time.
func (holder *holder) recordSettled(terms []model.GroupTerm, at time.Duration) {
	for _, known := range terms {
		if at > holder.settled[known.Group()].at {
			holder.settled[known.Group()] = settled{at: at, term: known.Term(), followers: known.Followers()}
		}
	}
}

// target returns the proxy to ask: the known holder or, in turn with it while it does not answer,
// another one, which may know the next holder.
func (holder *holder) target(known model.ProxyID) (model.ProxyView, bool) {
	if holder.referred != "" {
		known = holder.referred
	}
	view, ok := holder.view(known)
	if ok && (!holder.lost || holder.referred != "" || holder.turn%2 == 0) {
		holder.turn++
		return view, true
	}
	var others []model.ProxyView
	for _, other := range holder.affirm.context.State().Proxies() {
		if other.ID() != known && other.ID() != holder.affirm.context.State().Self().ID() && other.Address() != "" {
			others = append(others, other)
		}
	}
	holder.turn++
	if len(others) == 0 {
		return view, ok
	}
	return others[holder.turn/2%len(others)], true
}

// isolated reports whether neither another proxy nor the store has answered this proxy for maxIsolation.
func (holder *holder) isolated() bool {
	context := holder.affirm.context
	heardAt := holder.contactAt
	if at, ok := context.State().ListCheckedAt(model.ListInstances); ok {
		heardAt = max(heardAt, at)
	}
	return context.Now()-heardAt > maxIsolation
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
	holder.contactAt, holder.answeredAt[holder.asked] = holder.sentAt, holder.affirm.context.Now()
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
	holder.seek(reasonUnknown)
}

func (holder *holder) failed(received event.SettleFailed) {
	if !holder.finishCall(received.ID()) {
		return
	}
	if at, ok := holder.answeredAt[holder.asked]; received.Unsupported() && (!ok || holder.affirm.context.Now()-at > supportMemory) {
		holder.unavailable(holder.asked, received.Reason())
		return
	}
	holder.seek(reasonSilent)
}

// apply ends the waits that an answer of the holder decides. The question was sent at sentAt, and
// covers the commits up to last.
func (holder *holder) apply(settlement model.Settlement, sentAt time.Duration, last route.ConfirmationID) {
	affirm := holder.affirm
	holder.setFound(settlement.Holder())
	newest := make(map[model.GroupID]model.GroupTerm, len(settlement.Terms()))
	for _, known := range settlement.Terms() {
		newest[known.Group()] = known
		if !slices.Contains(settlement.Unsettled(), known.Group()) {
			holder.recordSettled([]model.GroupTerm{known}, sentAt)
		}
	}
	var done []ended
	for _, group := range affirm.waitingGroups() {
		latest, known := newest[group.id]
		unsettled := slices.Contains(settlement.Unsettled(), group.id)
		group.unanswered = !known || latest.NeedsLog() && !unsettled
		for _, item := range group.commits {
			switch {
			case item.id > last:
			case known && latest.Term() > item.term:
				done = append(done, ended{waiting: item, confirmation: route.CommitSuperseded, reason: "another instance leads a newer term"})
			case known && !unsettled && latest.NeedsLog():
				item.reason = reasonNeedsLog
			case known && !unsettled && latest.Term() == item.term:
				affirm.context.State().Counts().Add(count.CommitsConfirmed)
				done = append(done, ended{waiting: item, confirmation: route.CommitConfirmed, reason: "confirmed by the proxy that orders promotions"})
			case known && unsettled:
				item.reason = reasonUnsettled
			default:
				item.reason = reasonNotKnown
			}
		}
		if group.unanswered {
			affirm.startProbes(group)
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

// seek looks for the holder if a commit waits.
func (holder *holder) seek(reason string) {
	holder.referred = ""
	if len(holder.affirm.waitingGroups()) > 0 {
		holder.promoter().SeekHolder()
		holder.setLost(reason)
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

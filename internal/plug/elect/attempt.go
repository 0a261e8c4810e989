package elect

import (
	"strconv"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/heir"
	"almondway.dev/almondway/internal/core/model"
)

type phase int

const (
	// phaseStopping: the replicas are paused and the primary is told to step down.
	phaseStopping phase = iota
	// phaseOrdering: the order to promote is under way.
	phaseOrdering
	// phaseConfirming: the platform took the order; the candidate is to lead soon.
	phaseConfirming
)

const (
	// stepDownWait is how long a primary that seems to be there may take to step
	// down before its replicas are paused.
	stepDownWait = 300 * time.Millisecond
	// settleTime is how long the log of a primary that stepped down may still be on
	// its way to the replicas.
	settleTime = 200 * time.Millisecond
	// repeatWait is how long the group may take to be seen as stopped again before an
	// order is repeated.
	repeatWait = time.Second
	// readingAge is how old the report of a paused replica may be when the candidate
	// is chosen: one that started again receives once more.
	readingAge = 300 * time.Millisecond
	// orderTimeout is the time after which an order to an instance is repeated.
	orderTimeout = 500 * time.Millisecond
	// promoteTimeout is the time after which a promotion call is repeated with a higher token.
	promoteTimeout = 800 * time.Millisecond
	// confirmTimeout is how long a candidate may take to lead after the platform took the order.
	confirmTimeout = 4 * time.Second
)

// attempt is one promotion of a group. It is finished or abandoned, never undone: an
// order to let a replica receive again could arrive late and lift a later pause.
type attempt struct {
	watch   *watch
	reason  string
	former  model.InstanceID
	term    model.Term
	phase   phase
	since   time.Duration // when the phase began
	began   time.Duration
	chosen  model.InstanceID
	pending map[model.InstanceID]time.Duration // when the order without an answer was sent
	paused  map[model.InstanceID]bool
	stepped time.Duration // when the former primary had stepped down, or 0
	waiting string        // why there is no candidate yet
	// bound is the instance of an order that might be carried out when the attempt
	// began. What was reported since may be older than that promotion.
	bound model.InstanceID
}

func newAttempt(watch *watch, reason string) *attempt {
	return &attempt{
		watch:   watch,
		reason:  reason,
		former:  watch.former,
		bound:   watch.elect.lease.outstanding(watch.group),
		began:   watch.now(),
		pending: make(map[model.InstanceID]time.Duration),
		paused:  make(map[model.InstanceID]bool),
	}
}

func (attempt *attempt) enter(next phase) {
	attempt.phase = next
	attempt.since = attempt.watch.now()
}

// start stops the group.
func (attempt *attempt) start() {
	attempt.watch.log("promotion_started", attempt.former, attempt.reason)
	attempt.enter(phaseStopping)
	attempt.stop()
}

// tick repeats what was not answered.
func (attempt *attempt) tick() {
	waited := attempt.watch.now() - attempt.since
	switch attempt.phase {
	case phaseStopping:
		if attempt.bound != "" && attempt.watch.elect.lease.outstanding(attempt.watch.group) == "" {
			attempt.abandon("the order for instance " + string(attempt.bound) + " cannot be carried out any more")
			return
		}
		if attempt.chosen == "" {
			attempt.stop()
		} else if waited >= repeatWait {
			attempt.abandon("the group is no longer stopped")
			return
		}
		attempt.choose()
	case phaseOrdering:
		if waited >= promoteTimeout+orderTimeout {
			attempt.again()
		}
	case phaseConfirming:
		if waited >= confirmTimeout {
			attempt.again()
		}
	}
}

// again goes back to the choice after an order without an answer. Only the same
// instance may be ordered again, and only if the group is still stopped.
func (attempt *attempt) again() {
	attempt.bound = attempt.chosen
	attempt.enter(phaseStopping)
}

// newest returns the highest term that any instance reported.
func (attempt *attempt) newest() model.Term {
	newest := model.Term(0)
	if view := attempt.watch.elect.context.State().Group(attempt.watch.group); view != nil {
		newest = view.Term()
	}
	for _, sight := range attempt.watch.sights {
		newest = max(newest, sight.status.Fence(), sight.status.Tail().Term(), sight.status.PausedTerm())
	}
	return newest
}

// stop makes sure that nothing more is acknowledged: the primary steps down, or
// every replica is paused where it does not answer.
func (attempt *attempt) stop() {
	if attempt.term == 0 {
		attempt.term = attempt.newest() + 1
	}
	if attempt.stepped > 0 {
		return
	}
	if _, ok := attempt.watch.counted[attempt.former]; ok {
		sight := attempt.watch.sight(attempt.former)
		waits := sight.failures == 0 && sight.known && attempt.watch.now()-attempt.since < stepDownWait
		if waits && attempt.watch.now()-sight.statusAt > leadAge {
			return // its stepping down counts only if it was seen to lead lately
		}
		attempt.send(attempt.former, event.NewStepDown(attempt.term))
		if waits {
			return
		}
	}
	for _, id := range attempt.watch.ids() {
		if id != attempt.former && !attempt.paused[id] {
			attempt.send(id, event.NewPause(attempt.term))
		}
	}
}

// send gives an order to an instance unless an earlier one is not answered yet.
func (attempt *attempt) send(instance model.InstanceID, body event.Order) {
	listing := attempt.watch.counted[instance]
	if _, ok := attempt.pending[instance]; ok || listing.ID() == "" {
		return
	}
	elect := attempt.watch.elect
	order := model.OrderID(elect.context.NextID())
	elect.orders[order] = attempt
	attempt.pending[instance] = attempt.watch.now()
	elect.context.Emit(event.NewSendOrder(order, instance, listing.Instance().Address(), body, orderTimeout))
}

// ordered takes an instance's answer to an order.
func (attempt *attempt) ordered(done event.OrderAnswered) {
	sentAt := attempt.pending[done.Instance()]
	delete(attempt.pending, done.Instance())
	if attempt.watch.attempt != attempt || attempt.phase != phaseStopping {
		return
	}
	if !done.Accepted() {
		// Another term is in force; the next order names a higher one.
		attempt.watch.log("order_refused", done.Instance(), "term "+strconv.FormatUint(uint64(attempt.term), 10))
		attempt.term = max(attempt.term, attempt.newest()) + 1
		return
	}
	sight := attempt.watch.sight(done.Instance())
	led := sight.known && sight.status.Role() == model.RolePrimary && attempt.watch.now()-sight.statusAt <= leadAge
	attempt.watch.take(done.Instance(), done.Status(), sentAt)
	switch {
	case done.Status().Role() == model.RolePrimary:
		attempt.leads(done.Instance())
	case done.Instance() == attempt.former && led:
		attempt.stepped = attempt.watch.now()
		attempt.watch.log("primary_stepped_down", attempt.former, "at "+done.Status().Tail().String())
	case done.Instance() == attempt.former:
		// It had lost the lead before, so its log proves no more than another one.
		attempt.former = ""
	case done.Status().PausedTerm() > 0:
		attempt.paused[done.Instance()] = true
	}
	attempt.choose()
}

func (attempt *attempt) unordered(instance model.InstanceID) { delete(attempt.pending, instance) }

// seen takes a status that the instance reported by itself.
func (attempt *attempt) seen(instance model.InstanceID) {
	leads := attempt.watch.sight(instance).status.Role() == model.RolePrimary
	if instance == attempt.chosen && leads {
		attempt.confirm()
		return
	}
	if attempt.phase == phaseStopping {
		if leads {
			attempt.leads(instance)
		}
		if instance != attempt.former {
			attempt.paused[instance] = attempt.watch.sight(instance).status.PausedTerm() > 0
		}
		attempt.choose()
	}
}

// leads takes note of a primary that is back, or that was not known when the attempt
// began: it is the one that has to step down.
func (attempt *attempt) leads(instance model.InstanceID) {
	if attempt.stepped == 0 {
		attempt.former = instance
	}
}

// choose orders the promotion once a candidate is safe.
func (attempt *attempt) choose() {
	if attempt.phase != phaseStopping {
		return
	}
	view := attempt.watch.elect.context.State().Group(attempt.watch.group)
	if view == nil {
		attempt.abandon("the group is listed no more")
		return
	}
	replication, _ := view.Replication().(model.PrimaryAcknowledged)
	settled := attempt.stepped > 0 && attempt.watch.now()-attempt.stepped >= settleTime
	chosen, reason := heir.Choose(attempt.readings(), replication.Replicas(), settled)
	if chosen == "" {
		if reason != attempt.waiting {
			attempt.waiting = reason
			attempt.watch.log("promotion_waits", "", reason)
		}
		return
	}
	attempt.watch.log("promotion_chosen", chosen, reason+", at "+attempt.watch.sight(chosen).status.Tail().String())
	attempt.chosen = chosen
	attempt.order()
}

// leader returns the instance that led before the attempt, or the empty name. One that this
// proxy never saw lead is taken from what the lease says, unless an instance has heard of a
// newer term.
func (attempt *attempt) leader() model.InstanceID {
	led := attempt.watch.led
	if attempt.former != "" || led.Instance == "" {
		return attempt.former
	}
	for _, id := range attempt.watch.ids() {
		status := attempt.watch.sight(id).status
		if max(status.Fence(), status.Tail().Term()) > led.Term {
			return ""
		}
	}
	return led.Instance
}

func (attempt *attempt) readings() []heir.Candidate {
	former := attempt.leader()
	readings := make([]heir.Candidate, 0, len(attempt.watch.counted))
	for _, id := range attempt.watch.ids() {
		listing := attempt.watch.counted[id]
		sight := attempt.watch.sight(id)
		fresh := sight.known && attempt.watch.now()-sight.statusAt <= readingAge
		paused := attempt.paused[id] && fresh
		since := attempt.stepped > 0 && sight.known && sight.statusAt >= attempt.stepped
		stepped := id == attempt.former && attempt.stepped > 0 && fresh
		readings = append(readings, heir.Candidate{
			Instance:      id,
			Tail:          sight.status.Tail(),
			TailKnown:     paused || stepped || since,
			Paused:        paused,
			SteppedDown:   id == attempt.former && attempt.stepped > 0,
			LogLost:       sight.emptied,
			Leaving:       listing.Leaving(),
			FormerPrimary: id == former,
			OrderPending:  id == attempt.bound,
		})
	}
	return readings
}

// order sends the order to promote, with a token of its own: the platform then
// carries out no earlier one.
func (attempt *attempt) order() {
	attempt.enter(phaseOrdering)
	elect := attempt.watch.elect
	elect.lease.draw(attempt.watch.group, attempt.chosen, func(token uint64, ok bool) {
		switch {
		case attempt.watch.attempt != attempt || attempt.phase != phaseOrdering:
		case !ok:
			attempt.abandon("no token is left or the lease has ended")
		default:
			attempt.promote(token)
		}
	})
}

func (attempt *attempt) promote(token uint64) {
	elect := attempt.watch.elect
	attempt.since = attempt.watch.now()
	query := model.PlatformCallID(elect.context.NextID())
	elect.queries[query] = attempt
	attempt.watch.log("promotion_ordered", attempt.chosen, "token "+strconv.FormatUint(token, 10))
	elect.context.Emit(event.NewPromoteInstance(query, attempt.watch.group, attempt.chosen, token, promoteTimeout))
}

// answered takes the platform's answer.
func (attempt *attempt) answered(outcome model.PromotionOutcome) {
	if attempt.watch.attempt != attempt || attempt.phase != phaseOrdering {
		return
	}
	switch outcome {
	case model.PromotionAccepted:
		attempt.watch.elect.lease.settled(attempt.watch.group)
		attempt.enter(phaseConfirming)
	case model.PromotionRefused:
		attempt.watch.elect.lease.settled(attempt.watch.group)
		attempt.refused()
	default:
		attempt.again()
	}
}

// refused stops the attempt. If another proxy has used a higher token, it holds
// the lease; otherwise the candidate is not running, and the group is looked at anew.
func (attempt *attempt) refused() {
	attempt.watch.elect.lease.lookAt = 0
	attempt.abandon("the platform refused the order")
}

func (attempt *attempt) confirm() {
	elect := attempt.watch.elect
	attempt.watch.log("promotion_done", attempt.chosen, attempt.reason)
	if view := elect.context.State().Group(attempt.watch.group); view != nil {
		view.SetPrimary(attempt.chosen)
		elect.context.Publish(event.NewGroupObserved(attempt.watch.group))
	}
	elect.fleet.SetComplaint(attempt.former, false)
	attempt.watch.end(retryPause)
}

// abandon ends the attempt; if the group still needs a primary, another one follows.
func (attempt *attempt) abandon(reason string) {
	attempt.watch.log("promotion_abandoned", attempt.chosen, reason)
	attempt.watch.end(retryPause)
}

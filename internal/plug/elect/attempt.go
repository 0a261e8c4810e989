package elect

import (
	"strconv"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
)

type phase int

const (
	// phaseDrawing: a token is drawn.
	phaseDrawing phase = iota
	// phaseStopping: the replicas are paused and the primary is told to step down.
	phaseStopping
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
	token   uint64
	chosen  model.InstanceID
	pending map[model.InstanceID]bool
	paused  map[model.InstanceID]bool
	stepped time.Duration // when the former primary had stepped down, or 0
	waiting string        // why there is no candidate yet
	tokens  bool          // a token is being drawn
}

func newAttempt(watch *watch, view *state.Group, reason string) *attempt {
	return &attempt{
		watch:   watch,
		reason:  reason,
		former:  watch.former,
		began:   watch.now(),
		pending: make(map[model.InstanceID]bool),
		paused:  make(map[model.InstanceID]bool),
	}
}

func (attempt *attempt) enter(next phase) {
	attempt.phase = next
	attempt.since = attempt.watch.now()
}

// start draws a token and then stops the group.
func (attempt *attempt) start() {
	attempt.watch.log("promotion_started", attempt.former, attempt.reason)
	attempt.enter(phaseDrawing)
	attempt.draw(func() {
		attempt.enter(phaseStopping)
		attempt.stop()
	})
}

// draw draws a token of its own for the next order.
func (attempt *attempt) draw(done func()) {
	if attempt.tokens {
		return
	}
	attempt.tokens = true
	attempt.watch.elect.lease.draw(func(token uint64, ok bool) {
		attempt.tokens = false
		if attempt.watch.attempt != attempt {
			return
		}
		if !ok {
			return
		}
		attempt.token = token
		done()
	})
}

// tick repeats what was not answered.
func (attempt *attempt) tick() {
	waited := attempt.watch.now() - attempt.since
	switch attempt.phase {
	case phaseDrawing:
		if waited >= orderTimeout {
			attempt.abandon("no token could be drawn")
		}
	case phaseStopping:
		attempt.stop()
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

// newest returns the highest term that any instance reported.
func (attempt *attempt) newest() model.Term {
	newest := model.Term(0)
	if view := attempt.watch.elect.context.State().Group(attempt.watch.group); view != nil {
		newest = view.Term()
	}
	for _, sight := range attempt.watch.sights {
		newest = max(newest, sight.status.Fence(), sight.status.Tail().Term(), sight.status.Paused())
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
		attempt.send(attempt.former, event.NewStepDown(attempt.term))
		sight := attempt.watch.sight(attempt.former)
		if sight.failures == 0 && sight.known && attempt.watch.now()-attempt.since < stepDownWait {
			return
		}
	}
	for id := range attempt.watch.counted {
		if id != attempt.former && !attempt.paused[id] {
			attempt.send(id, event.NewPause(attempt.term))
		}
	}
}

// send gives an order to an instance unless an earlier one is not answered yet.
func (attempt *attempt) send(instance model.InstanceID, body event.Order) {
	listing := attempt.watch.counted[instance]
	if attempt.pending[instance] || listing.ID() == "" {
		return
	}
	elect := attempt.watch.elect
	order := model.OrderID(elect.context.NextID())
	elect.orders[order] = attempt
	attempt.pending[instance] = true
	elect.context.Emit(event.NewSendOrder(order, instance, listing.Instance().Address(), body, orderTimeout))
}

// ordered takes an instance's answer to an order.
func (attempt *attempt) ordered(done event.OrderDone) {
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
	attempt.watch.take(done.Instance(), done.Status())
	switch {
	case done.Instance() == attempt.former:
		if done.Status().Role() == model.RoleReplica {
			attempt.stepped = attempt.watch.now()
			attempt.watch.log("primary_stepped_down", attempt.former, "at "+done.Status().Tail().String())
		}
	case done.Status().Paused() > 0:
		attempt.paused[done.Instance()] = true
	}
	attempt.choose()
}

func (attempt *attempt) unordered(instance model.InstanceID) { delete(attempt.pending, instance) }

// seen takes a status that the instance reported by itself.
func (attempt *attempt) seen(instance model.InstanceID) {
	if attempt.phase == phaseStopping {
		if attempt.watch.sight(instance).status.Paused() > 0 && instance != attempt.former {
			attempt.paused[instance] = true
		}
		attempt.choose()
		return
	}
	if attempt.phase != phaseConfirming || instance != attempt.chosen {
		return
	}
	if attempt.watch.sight(instance).status.Role() == model.RolePrimary {
		attempt.confirm()
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
	replication, _ := view.Replication().(model.InstanceAcknowledged)
	settled := attempt.stepped > 0 && attempt.watch.now()-attempt.stepped >= settleTime
	chosen, reason := candidate(attempt.readings(), replication.Replicas(), settled)
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

func (attempt *attempt) readings() []reading {
	readings := make([]reading, 0, len(attempt.watch.counted))
	for id, listing := range attempt.watch.counted {
		sight := attempt.watch.sight(id)
		since := attempt.stepped > 0 && sight.known && sight.statusAt >= attempt.stepped
		stepped := id == attempt.former && attempt.stepped > 0
		readings = append(readings, reading{
			instance: id,
			tail:     sight.status.Tail(),
			known:    attempt.paused[id] || stepped || since,
			paused:   attempt.paused[id],
			stepped:  stepped,
			emptied:  sight.emptied,
			leaving:  listing.Leaving(),
			former:   id == attempt.former,
		})
	}
	return readings
}

// order sends the order to promote.
func (attempt *attempt) order() {
	if !attempt.watch.elect.lease.held() {
		attempt.abandon("the lease is lost")
		return
	}
	attempt.enter(phaseOrdering)
	elect := attempt.watch.elect
	query := model.QueryID(elect.context.NextID())
	elect.promises[query] = attempt
	attempt.watch.log("promotion_ordered", attempt.chosen, "token "+strconv.FormatUint(attempt.token, 10))
	elect.context.Emit(event.NewPromoteInstance(query, attempt.watch.group, attempt.chosen, attempt.token, promoteTimeout))
}

// again repeats the order for the same candidate with a higher token, so that the
// one before cannot run any more.
func (attempt *attempt) again() {
	attempt.enter(phaseOrdering)
	attempt.draw(attempt.order)
}

// answered takes the platform's answer.
func (attempt *attempt) answered(outcome model.PromotionOutcome) {
	if attempt.watch.attempt != attempt || attempt.phase != phaseOrdering {
		return
	}
	switch outcome {
	case model.PromotionAccepted:
		attempt.enter(phaseConfirming)
	case model.PromotionRefused:
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
	waited := attempt.watch.now() - attempt.began
	attempt.watch.log("promotion_done", attempt.chosen, "after "+waited.String())
	if view := elect.context.State().Group(attempt.watch.group); view != nil {
		view.Believe(attempt.chosen)
		elect.context.Publish(event.NewGroupObserved(attempt.watch.group))
	}
	elect.fleet.Complain(attempt.former, false)
	attempt.watch.end(retryPause)
}

// abandon ends the attempt; if the group still needs a primary, another one follows.
func (attempt *attempt) abandon(reason string) {
	attempt.watch.log("promotion_abandoned", attempt.chosen, reason)
	attempt.watch.end(retryPause)
}

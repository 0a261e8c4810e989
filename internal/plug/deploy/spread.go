package deploy

import (
	"fmt"
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/rank"
)

const (
	// pushersPerProxy is how many proxies push to one that is behind.
	pushersPerProxy = 2
	// maxHeartbeatsBehind is the number of heartbeats with a lower revision after which
	// every proxy pushes.
	maxHeartbeatsBehind = 4
)

// pendingCall is an operator's call whose change is stored and not yet in force on a
// majority of the proxies.
type pendingCall struct {
	commandID model.AdminCallID
	revision  uint64
	since     time.Duration
}

// propagator hands revisions to the other proxies and tells operators when a change
// is in force.
type propagator struct {
	context          *kern.Context
	confirmation     *confirmation
	pendingCalls     []pendingCall
	heartbeatsBehind map[model.ProxyID]int
}

func newPropagator(context *kern.Context, lease *confirmation) *propagator {
	return &propagator{context: context, confirmation: lease, heartbeatsBehind: make(map[model.ProxyID]int)}
}

func (spread *propagator) start() {
	spread.context.Timers().Every(spread.context.Settings().HeartbeatInterval(), spread.tick)
}

// tick repeats the pushes of changes that are waited for and answers the calls
// that have waited long enough.
func (spread *propagator) tick() {
	spread.answerPending()
	if len(spread.pendingCalls) > 0 {
		spread.pushAll()
	}
}

// awaitInForce answers an operator's call once its change is in force.
func (spread *propagator) awaitInForce(ask model.AdminCallID, revision uint64) {
	spread.pendingCalls = append(spread.pendingCalls, pendingCall{commandID: ask, revision: revision, since: spread.context.Now()})
	spread.pushAll()
	spread.answerPending()
}

// answerPending answers the calls whose changes are in force, and those that have
// waited for the confirmation time.
func (spread *propagator) answerPending() {
	kept := spread.pendingCalls[:0]
	for _, waiting := range spread.pendingCalls {
		if !spread.tryAnswer(waiting) {
			kept = append(kept, waiting)
		}
	}
	spread.pendingCalls = kept
}

func (spread *propagator) tryAnswer(waiting pendingCall) bool {
	count, registered := spread.confirmation.countInForce(waiting.revision)
	waited := spread.context.Now() - waiting.since
	settings := spread.context.Settings()
	everywhere := registered > 0 && count >= registered
	majority := registered > 0 && count > registered/2
	switch {
	case everywhere || (majority && waited >= settings.HeartbeatInterval()):
		spread.answer(waiting.commandID, event.NewChangeAccepted(waiting.revision, count, registered))
		return true
	case waited >= settings.ConfirmLimit():
		detail := fmt.Sprintf("revision %d is stored and in force on %d of %d proxies", waiting.revision, count, registered)
		spread.answer(waiting.commandID, event.NewCommandFailed(codes.AcceptanceUnknown, detail, retryAfter(codes.AcceptanceUnknown)))
		return true
	default:
		return false
	}
}

// handleHeartbeat pushes the revision in force to a proxy that is behind. A few proxies
// push at once, the others if that did not help.
func (spread *propagator) handleHeartbeat(heartbeat event.Heartbeat) {
	state := spread.context.State()
	spread.answerPending()
	revision, known := state.Revision()
	if !known || heartbeat.Revision() >= revision {
		delete(spread.heartbeatsBehind, heartbeat.Proxy())
		return
	}
	spread.heartbeatsBehind[heartbeat.Proxy()]++
	place := rank.Of("push/"+string(heartbeat.Proxy()), state.Self().ID(), excluding(state.Proxies(), heartbeat.Proxy()))
	if place < pushersPerProxy || spread.heartbeatsBehind[heartbeat.Proxy()] >= maxHeartbeatsBehind {
		spread.push(heartbeat.Address())
	}
}

// sendAck tells the sender of a push which revision is in force here.
func (spread *propagator) sendAck(sender model.ProxyID) {
	state := spread.context.State()
	revision, _ := state.Revision()
	for _, proxy := range state.Proxies() {
		if proxy.ID() == sender {
			ack := event.NewCatalogAck(state.Self().ID(), revision)
			spread.context.Emit(event.NewSendPeerMessage(proxy.Address(), ack))
		}
	}
}

func (spread *propagator) pushAll() {
	state := spread.context.State()
	revision, _ := state.Revision()
	for _, proxy := range state.Proxies() {
		if proxy.ID() != state.Self().ID() && spread.confirmation.reports[proxy.ID()].revision < revision {
			spread.push(proxy.Address())
		}
	}
}

func (spread *propagator) push(address string) {
	state := spread.context.State()
	revision, known := state.Revision()
	if known {
		push := event.NewCatalogPush(state.Self().ID(), revision, state.Deployments())
		spread.context.Emit(event.NewSendPeerMessage(address, push))
	}
}

func (spread *propagator) answer(ask model.AdminCallID, result event.Result) {
	spread.context.Emit(event.NewAnswerOperator(ask, result))
}

func excluding(proxies []model.ProxyView, id model.ProxyID) []model.ProxyView {
	kept := make([]model.ProxyView, 0, len(proxies))
	for _, proxy := range proxies {
		if proxy.ID() != id {
			kept = append(kept, proxy)
		}
	}
	return kept
}

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
	// pushersPerProxy is the number of proxies that push immediately to a proxy that is
	// behind.
	pushersPerProxy = 2
	// maxHeartbeatsBehind is the number of consecutive heartbeats with a lower revision
	// after which every proxy pushes to the sender.
	maxHeartbeatsBehind = 4
)

// pendingCall is a call by an operator whose change is stored but not yet known to be in
// force on enough proxies.
type pendingCall struct {
	commandID model.AdminCallID
	revision  uint64
	since     time.Duration
}

// propagator pushes revisions to the other proxies and answers operators once their changes
// are in force.
type propagator struct {
	context          *kern.Context
	confirmation     *confirmation
	pendingCalls     []pendingCall
	heartbeatsBehind map[model.ProxyID]int
}

func newPropagator(context *kern.Context, confirmation *confirmation) *propagator {
	return &propagator{context: context, confirmation: confirmation, heartbeatsBehind: make(map[model.ProxyID]int)}
}

func (propagator *propagator) start() {
	propagator.context.Timers().Every(propagator.context.Settings().HeartbeatInterval(), propagator.tick)
}

// tick answers the calls that are due, and repeats the pushes while calls are pending.
func (propagator *propagator) tick() {
	propagator.answerPending()
	if len(propagator.pendingCalls) > 0 {
		propagator.pushAll()
	}
}

// awaitInForce pushes the revision and answers the call once it is in force.
func (propagator *propagator) awaitInForce(commandID model.AdminCallID, revision uint64) {
	propagator.pendingCalls = append(propagator.pendingCalls, pendingCall{commandID: commandID, revision: revision, since: propagator.context.Now()})
	propagator.pushAll()
	propagator.answerPending()
}

// answerPending answers the calls whose changes are in force and the calls that have waited
// for the confirmation time.
func (propagator *propagator) answerPending() {
	kept := propagator.pendingCalls[:0]
	for _, pending := range propagator.pendingCalls {
		if !propagator.tryAnswer(pending) {
			kept = append(kept, pending)
		}
	}
	propagator.pendingCalls = kept
}

func (propagator *propagator) tryAnswer(pending pendingCall) bool {
	count, registered := propagator.confirmation.countInForce(pending.revision)
	waited := propagator.context.Now() - pending.since
	settings := propagator.context.Settings()
	everywhere := registered > 0 && count >= registered
	majority := registered > 0 && count > registered/2
	switch {
	case everywhere || (majority && waited >= settings.HeartbeatInterval()):
		propagator.answer(pending.commandID, event.NewChangeAccepted(pending.revision, count, registered))
		return true
	case waited >= settings.ConfirmLimit():
		detail := fmt.Sprintf("revision %d is stored and in force on %d of %d proxies", pending.revision, count, registered)
		propagator.answer(pending.commandID, event.NewCommandFailed(codes.AcceptanceUnknown, detail, retryAfter(codes.AcceptanceUnknown)))
		return true
	default:
		return false
	}
}

// handleHeartbeat pushes the revision in force to the sender if it is behind. A few proxies
// push immediately; the others push if the sender stays behind.
func (propagator *propagator) handleHeartbeat(heartbeat event.Heartbeat) {
	state := propagator.context.State()
	propagator.answerPending()
	revision, known := state.Revision()
	if !known || heartbeat.Revision() >= revision {
		delete(propagator.heartbeatsBehind, heartbeat.Proxy())
		return
	}
	propagator.heartbeatsBehind[heartbeat.Proxy()]++
	ownRank := rank.Of("push/"+string(heartbeat.Proxy()), state.Self().ID(), excluding(state.Proxies(), heartbeat.Proxy()))
	if ownRank < pushersPerProxy || propagator.heartbeatsBehind[heartbeat.Proxy()] >= maxHeartbeatsBehind {
		propagator.push(heartbeat.Address())
	}
}

// sendAck reports the revision in force to the sender of a push.
func (propagator *propagator) sendAck(sender model.ProxyID) {
	state := propagator.context.State()
	revision, _ := state.Revision()
	for _, proxy := range state.Proxies() {
		if proxy.ID() == sender {
			ack := event.NewCatalogAck(state.Self().ID(), revision)
			propagator.context.Emit(event.NewSendPeerMessage(proxy.Address(), ack))
		}
	}
}

func (propagator *propagator) pushAll() {
	state := propagator.context.State()
	revision, _ := state.Revision()
	for _, proxy := range state.Proxies() {
		if proxy.ID() != state.Self().ID() && propagator.confirmation.reports[proxy.ID()].revision < revision {
			propagator.push(proxy.Address())
		}
	}
}

func (propagator *propagator) push(address string) {
	state := propagator.context.State()
	revision, known := state.Revision()
	if known {
		push := event.NewCatalogPush(state.Self().ID(), revision, state.Deployments())
		propagator.context.Emit(event.NewSendPeerMessage(address, push))
	}
}

func (propagator *propagator) answer(commandID model.AdminCallID, result event.Result) {
	propagator.context.Emit(event.NewAnswerOperator(commandID, result))
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

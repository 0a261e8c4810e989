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
	// pushers is how many proxies push to one that is behind.
	pushers = 2
	// pushAfter is the number of heartbeats with a lower revision after which
	// every proxy pushes.
	pushAfter = 4
)

// wait is an operator's call whose change is stored and not yet in force on a
// majority of the proxies.
type wait struct {
	ask      model.AdminCallID
	revision uint64
	since    time.Duration
}

// spread hands revisions to the other proxies and tells operators when a change
// is in force.
type spread struct {
	context *kern.Context
	lease   *lease
	waits   []wait
	behind  map[model.ProxyID]int
}

func newSpread(context *kern.Context, lease *lease) *spread {
	return &spread{context: context, lease: lease, behind: make(map[model.ProxyID]int)}
}

func (spread *spread) start() {
	spread.context.Timers().Every(spread.context.Settings().HeartbeatInterval(), spread.tick)
}

// tick repeats the pushes of changes that are waited for and answers the calls
// that have waited long enough.
func (spread *spread) tick() {
	spread.check()
	if len(spread.waits) > 0 {
		spread.pushAll()
	}
}

// await answers an operator's call once its change is in force.
func (spread *spread) await(ask model.AdminCallID, revision uint64) {
	spread.waits = append(spread.waits, wait{ask: ask, revision: revision, since: spread.context.Now()})
	spread.pushAll()
	spread.check()
}

// check answers the calls whose changes are in force, and those that have
// waited for the confirmation time.
func (spread *spread) check() {
	kept := spread.waits[:0]
	for _, waiting := range spread.waits {
		if !spread.finish(waiting) {
			kept = append(kept, waiting)
		}
	}
	spread.waits = kept
}

func (spread *spread) finish(waiting wait) bool {
	count, registered := spread.lease.inForce(waiting.revision)
	waited := spread.context.Now() - waiting.since
	settings := spread.context.Settings()
	everywhere := registered > 0 && count >= registered
	majority := registered > 0 && count > registered/2
	switch {
	case everywhere || (majority && waited >= settings.HeartbeatInterval()):
		spread.answer(waiting.ask, event.NewChangeAccepted(waiting.revision, count, registered))
		return true
	case waited >= settings.ConfirmLimit():
		detail := fmt.Sprintf("revision %d is stored and in force on %d of %d proxies", waiting.revision, count, registered)
		spread.answer(waiting.ask, event.NewCommandFailed(codes.AcceptanceUnknown, detail, retryAfter(codes.AcceptanceUnknown)))
		return true
	default:
		return false
	}
}

// hear pushes the revision in force to a proxy that is behind. A few proxies
// push at once, the others if that did not help.
func (spread *spread) hear(heartbeat event.Heartbeat) {
	state := spread.context.State()
	spread.check()
	revision, known := state.Revision()
	if !known || heartbeat.Revision() >= revision {
		delete(spread.behind, heartbeat.Proxy())
		return
	}
	spread.behind[heartbeat.Proxy()]++
	place := rank.Of("push/"+string(heartbeat.Proxy()), state.Self().ID(), without(state.Proxies(), heartbeat.Proxy()))
	if place < pushers || spread.behind[heartbeat.Proxy()] >= pushAfter {
		spread.push(heartbeat.Address())
	}
}

// acknowledge tells the sender of a push which revision is in force here.
func (spread *spread) acknowledge(sender model.ProxyID) {
	state := spread.context.State()
	revision, _ := state.Revision()
	for _, proxy := range state.Proxies() {
		if proxy.ID() == sender {
			ack := event.NewCatalogAck(state.Self().ID(), revision)
			spread.context.Emit(event.NewSendPeerMessage(proxy.Address(), ack))
		}
	}
}

func (spread *spread) pushAll() {
	state := spread.context.State()
	revision, _ := state.Revision()
	for _, proxy := range state.Proxies() {
		if proxy.ID() != state.Self().ID() && spread.lease.claims[proxy.ID()].revision < revision {
			spread.push(proxy.Address())
		}
	}
}

func (spread *spread) push(address string) {
	state := spread.context.State()
	revision, known := state.Revision()
	if known {
		push := event.NewCatalogPush(state.Self().ID(), revision, state.Deployments())
		spread.context.Emit(event.NewSendPeerMessage(address, push))
	}
}

func (spread *spread) answer(ask model.AdminCallID, result event.Result) {
	spread.context.Emit(event.NewAnswerOperator(ask, result))
}

func without(proxies []model.ProxyView, id model.ProxyID) []model.ProxyView {
	kept := make([]model.ProxyView, 0, len(proxies))
	for _, proxy := range proxies {
		if proxy.ID() != id {
			kept = append(kept, proxy)
		}
	}
	return kept
}

package holder

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

const (
	// proxiesAsked is the number of proxies that are asked to run a statement: the holders and the
	// next one in their order.
	proxiesAsked = 3
	// avoidTime is the time for which a proxy is left out that has refused a statement, could not
	// be called, or has not answered by a deadline.
	avoidTime = 3 * time.Second
	// silenceTime is the time without any answer of a holder, while statements are outstanding
	// there, after which new ones go to the other holder. It is longer than most statements take.
	silenceTime = 400 * time.Millisecond
)

// peer is what is known about another proxy to which statements are forwarded.
type peer struct {
	id           model.ProxyID
	avoidedUntil time.Duration
	outstanding  int
	// silentSince is the time of its last answer or, if later, of the first statement that is
	// outstanding since then.
	silentSince time.Duration
}

func (holder *Holder) peer(id model.ProxyID) *peer {
	found, ok := holder.peers[id]
	if !ok {
		holder.forgetPeers()
		found = &peer{id: id}
		holder.peers[id] = found
	}
	return found
}

// forgetPeers removes what is known about proxies that are idle, once they are more than those that
// live, since new ones come under new names.
func (holder *Holder) forgetPeers() {
	if len(holder.peers) <= holder.context.State().ProxyCount() {
		return
	}
	now := holder.context.Now()
	maps.DeleteFunc(holder.peers, func(_ model.ProxyID, known *peer) bool { return known.outstanding == 0 && now >= known.avoidedUntil })
}

func (peer *peer) recordSent(now time.Duration) {
	if peer.outstanding == 0 {
		peer.silentSince = now
	}
	peer.outstanding++
}

func (peer *peer) recordAnswer(now time.Duration) { peer.silentSince = now }

func (peer *peer) isSilent(now time.Duration) bool {
	return peer.outstanding > 0 && now-peer.silentSince > silenceTime
}

// avoid leaves a proxy out for some time.
func (holder *Holder) avoid(peer *peer, reason string, span time.Duration) {
	now := holder.context.Now()
	if now >= peer.avoidedUntil {
		holder.context.Emit(event.NewLogDecision(model.Decision{Name: "holder_avoided", Proxy: peer.id, Reason: reason, Waited: now - peer.silentSince}))
	}
	peer.avoidedUntil = now + span
}

// chooseProxy returns the proxy to ask next for a lease: one of the holders, of which each team has
// its first one, so that its connections are used more often, or the next proxy in the order. It
// returns false if this proxy has to run the statement itself.
func (holder *Holder) chooseProxy(lease *lease) (model.ProxyView, bool) {
	now := holder.context.Now()
	order := holder.context.State().HoldersOf(lease.request.Instance)
	order = order[:min(proxiesAsked, len(order))]
	silent := -1
	for position := range order {
		index := position
		if index < 2 && len(order) >= 2 && xxhash.Sum64String(string(lease.request.Job.Team().Name()))%2 == 1 {
			index = 1 - index
		}
		proxy := order[index]
		if proxy.ID() == holder.context.State().Self().ID() {
			break
		}
		known := holder.peer(proxy.ID())
		if lease.hasAsked(proxy.ID()) || now < known.avoidedUntil {
			continue
		}
		if known.isSilent(now) {
			silent = index
			continue
		}
		return proxy, true
	}
	if silent >= 0 {
		return order[silent], true
	}
	return model.ProxyView{}, false
}

package member

import (
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/rank"
)

// introducers is how many proxies name the others to one that cannot confirm its
// revision; the one that it hears first always does.
const introducers = 2

// beat sends a heartbeat to every other proxy that is known.
func (peers *peers) beat() {
	heartbeat := peers.heartbeat()
	for _, peer := range peers.sorted() {
		peers.context.Emit(event.NewSendPeerMessage(peer.address, heartbeat))
	}
}

// greet sends a heartbeat to the addresses from the settings as long as no other
// proxy is known. It helps a proxy that starts while the table cannot be read.
func (peers *peers) greet() {
	if len(peers.byID) > 0 {
		return
	}
	for _, address := range peers.context.Settings().PeerSeeds() {
		if address != peers.context.State().Self().Address() {
			peers.context.Emit(event.NewSendPeerMessage(address, peers.heartbeat()))
		}
	}
}

// hear takes a heartbeat of another proxy.
func (peers *peers) hear(heartbeat event.Heartbeat) {
	if heartbeat.Proxy() == peers.context.State().Self().ID() || heartbeat.Proxy() == "" {
		return
	}
	known := peers.peer(heartbeat.Proxy())
	first := !known.heard
	changed := !peers.live(known) || known.revision != heartbeat.Revision() || known.draining != heartbeat.Draining()
	known.address = heartbeat.Address()
	known.revision = heartbeat.Revision()
	known.draining = heartbeat.Draining()
	known.heard = true
	known.heardAt = peers.context.Now()
	if changed {
		peers.update()
	}
	peers.meet(heartbeat.KnownProxies())
	if first || peers.introduces(heartbeat) {
		peers.context.Emit(event.NewSendPeerMessage(known.address, peers.heartbeat().WithKnownProxies(peers.views())))
	}
	peers.leaving.announce(heartbeat.Proxy(), heartbeat.Leaving())
	for _, term := range heartbeat.Terms() {
		peers.lead(term)
	}
}

// introduces reports whether the sender may lack the other proxies, because the
// first message got lost, and this proxy is one of those that name them again. A
// heartbeat that names proxies is such an answer itself and gets none.
func (peers *peers) introduces(heartbeat event.Heartbeat) bool {
	if heartbeat.Confirmed() || len(heartbeat.KnownProxies()) > 0 {
		return false
	}
	state := peers.context.State()
	return rank.Of("introduce/"+string(heartbeat.Proxy()), state.Self().ID(), state.Proxies()) < introducers
}

// meet takes proxies that another proxy knows. They have a voice until the table
// shows that they are gone.
func (peers *peers) meet(known []model.ProxyView) {
	for _, proxy := range known {
		if proxy.ID() == peers.context.State().Self().ID() || peers.byID[proxy.ID()] != nil {
			continue
		}
		met := peers.peer(proxy.ID())
		met.address = proxy.Address()
		met.dataCenter = proxy.DataCenter()
		met.listed = true
		peers.context.Emit(event.NewSendPeerMessage(met.address, peers.heartbeat()))
	}
	if len(known) > 0 {
		peers.whole = true
		peers.update()
	}
}

// lead takes what another proxy knows of the leadership of a group.
func (peers *peers) lead(view model.TermView) {
	group := peers.context.State().Group(view.Group())
	if group == nil || !group.ObservePrimary(view.Term(), view.Primary()) {
		return
	}
	peers.context.Publish(event.NewTermChanged(view.Group(), view.Term(), view.Primary()))
}

func (peers *peers) heartbeat() event.Heartbeat {
	state := peers.context.State()
	revision, _ := state.Revision()
	var terms []model.TermView
	var holding []model.GroupID
	for _, group := range state.Groups() {
		if group.HoldIsLocal(peers.context.Now()) {
			holding = append(holding, group.ID())
		}
		if primary := group.Primary(); primary != nil {
			terms = append(terms, model.NewTermView(group.ID(), group.Term(), primary.ID()))
		}
	}
	self := state.Self()
	heartbeat := event.NewHeartbeat(self.ID(), self.Address(), revision, state.Confirmed(), state.Draining(), peers.leaving.firstHand(), terms)
	return heartbeat.WithHolding(holding)
}

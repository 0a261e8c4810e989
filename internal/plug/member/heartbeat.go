package member

import (
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/rank"
)

// introducersPerProxy is how many proxies name the others to one that cannot confirm its
// revision; the one that it hears first always does.
const introducersPerProxy = 2

// sendHeartbeats sends a heartbeat to every other proxy that is known.
func (peers *peers) sendHeartbeats() {
	heartbeat := peers.newHeartbeat()
	for _, peer := range peers.sorted() {
		peers.context.Emit(event.NewSendPeerMessage(peer.address, heartbeat))
	}
}

// contactSeeds sends a heartbeat to the addresses from the settings as long as no other
// proxy is known. It helps a proxy that starts while the table cannot be read.
func (peers *peers) contactSeeds() {
	if len(peers.byID) > 0 {
		return
	}
	for _, address := range peers.context.Settings().PeerSeeds() {
		if address != peers.context.State().Self().Address() {
			peers.context.Emit(event.NewSendPeerMessage(address, peers.newHeartbeat()))
		}
	}
}

// handleHeartbeat takes a heartbeat of another proxy.
func (peers *peers) handleHeartbeat(heartbeat event.Heartbeat) {
	if heartbeat.Proxy() == peers.context.State().Self().ID() || heartbeat.Proxy() == "" {
		return
	}
	known := peers.findOrAdd(heartbeat.Proxy())
	first := !known.heartbeatReceived
	changed := !peers.live(known) || known.revision != heartbeat.Revision() || known.draining != heartbeat.Draining()
	known.address = heartbeat.Address()
	known.revision = heartbeat.Revision()
	known.draining = heartbeat.Draining()
	known.heartbeatReceived = true
	known.heartbeatAt = peers.context.Now()
	if changed {
		peers.update()
	}
	peers.addKnownProxies(heartbeat.KnownProxies())
	if first || peers.shouldIntroduce(heartbeat) {
		peers.context.Emit(event.NewSendPeerMessage(known.address, peers.newHeartbeat().WithKnownProxies(peers.views())))
	}
	peers.leavingTracker.observeAnnouncement(heartbeat.Proxy(), heartbeat.Leaving())
	for _, term := range heartbeat.Terms() {
		peers.observeTerm(term)
	}
}

// shouldIntroduce reports whether the sender may lack the other proxies, because the
// first message got lost, and this proxy is one of those that name them again. A
// heartbeat that names proxies is such an answer itself and gets none.
func (peers *peers) shouldIntroduce(heartbeat event.Heartbeat) bool {
	if heartbeat.Confirmed() || len(heartbeat.KnownProxies()) > 0 {
		return false
	}
	state := peers.context.State()
	return rank.Of("introduce/"+string(heartbeat.Proxy()), state.Self().ID(), state.Proxies()) < introducersPerProxy
}

// addKnownProxies takes proxies that another proxy knows. They have a voice until the table
// shows that they are gone.
func (peers *peers) addKnownProxies(known []model.ProxyView) {
	for _, proxy := range known {
		if proxy.ID() == peers.context.State().Self().ID() || peers.byID[proxy.ID()] != nil {
			continue
		}
		met := peers.findOrAdd(proxy.ID())
		met.address = proxy.Address()
		met.dataCenter = proxy.DataCenter()
		met.listed = true
		peers.context.Emit(event.NewSendPeerMessage(met.address, peers.newHeartbeat()))
	}
	if len(known) > 0 {
		peers.complete = true
		peers.update()
	}
}

// observeTerm takes what another proxy knows of the leadership of a group.
func (peers *peers) observeTerm(view model.TermView) {
	group := peers.context.State().Group(view.Group())
	if group == nil || !group.ObservePrimary(view.Term(), view.Primary()) {
		return
	}
	peers.context.Publish(event.NewTermChanged(view.Group(), view.Term(), view.Primary()))
}

func (peers *peers) newHeartbeat() event.Heartbeat {
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
	heartbeat := event.NewHeartbeat(self.ID(), self.Address(), revision, state.Confirmed(), state.Draining(), peers.leavingTracker.detectedLocally(), terms)
	return heartbeat.WithHolding(holding)
}

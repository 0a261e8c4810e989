package member

import (
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/rank"
)

// introducersPerProxy is the number of proxies that send the list of known proxies to one
// that cannot confirm its revision. Each proxy also sends the list on first contact.
const introducersPerProxy = 2

// sendHeartbeats sends a heartbeat to every other known proxy.
func (peers *peers) sendHeartbeats() {
	heartbeat := peers.newHeartbeat()
	for _, peer := range peers.sorted() {
		peers.context.Emit(event.NewSendPeerMessage(peer.address, heartbeat))
	}
}

// contactSeeds sends a heartbeat to the seed addresses of the settings while no other
// proxy is known. A proxy that starts while the table cannot be read thus finds the others.
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

// handleHeartbeat records the state of another proxy. It answers with the list of known
// proxies if the sender may lack it.
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

// shouldIntroduce reports whether the sender may lack the list of known proxies, because
// the message on first contact was lost, and this proxy is one of those that send the list
// again. A heartbeat with such a list is itself an answer and gets none.
func (peers *peers) shouldIntroduce(heartbeat event.Heartbeat) bool {
	if heartbeat.Confirmed() || len(heartbeat.KnownProxies()) > 0 {
		return false
	}
	state := peers.context.State()
	return rank.Of("introduce/"+string(heartbeat.Proxy()), state.Self().ID(), state.Proxies()) < introducersPerProxy
}

// addKnownProxies adds the proxies in the list that another proxy sent. They count as registered until
// a read of the table shows that they have no row.
func (peers *peers) addKnownProxies(known []model.ProxyView) {
	for _, proxy := range known {
		if proxy.ID() == peers.context.State().Self().ID() || peers.byID[proxy.ID()] != nil {
			continue
		}
		added := peers.findOrAdd(proxy.ID())
		added.address = proxy.Address()
		added.dataCenter = proxy.DataCenter()
		added.listed = true
		peers.context.Emit(event.NewSendPeerMessage(added.address, peers.newHeartbeat()))
	}
	if len(known) > 0 {
		peers.complete = true
		peers.update()
	}
}

// observeTerm records the term and the primary of a group that another proxy reports.
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

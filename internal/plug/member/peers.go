package member

import (
	"slices"
	"strings"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
)

// peer is another proxy: listed in the table, heard by heartbeat, or both.
type peer struct {
	id         model.ProxyID
	address    string
	dataCenter model.DataCenter
	revision   uint64
	draining   bool
	listed     bool
	heard      bool
	heardAt    time.Duration
}

// peers knows the other proxies and exchanges heartbeats with them.
type peers struct {
	context *kern.Context
	leaving *leaving
	byID    map[model.ProxyID]*peer
	whole   bool // the table was read or another proxy named those that it knows
}

func newPeers(context *kern.Context, leaving *leaving) *peers {
	return &peers{context: context, leaving: leaving, byID: make(map[model.ProxyID]*peer)}
}

func (peers *peers) start() {
	peers.greet()
	peers.beat()
	peers.context.Timers().Every(peers.context.Settings().HeartbeatInterval(), peers.tick)
}

// greet sends a heartbeat to the addresses from the settings as long as no other
// proxy is known. It helps a proxy that starts while the table cannot be read.
func (peers *peers) greet() {
	if len(peers.byID) > 0 {
		return
	}
	for _, address := range peers.context.Settings().PeerSeeds() {
		if address != peers.context.State().Self().Address() {
			peers.context.Emit(event.NewSendPeer(address, peers.heartbeat()))
		}
	}
}

func (peers *peers) tick() {
	peers.greet()
	peers.forget()
	peers.update()
	peers.beat()
}

// beat sends a heartbeat to every other proxy that is known.
func (peers *peers) beat() {
	heartbeat := peers.heartbeat()
	for _, peer := range peers.sorted() {
		peers.context.Emit(event.NewSendPeer(peer.address, heartbeat))
	}
}

// list takes the proxies that have a row in the table.
func (peers *peers) list(rows []model.ProxyView) {
	peers.whole = true
	for _, peer := range peers.byID {
		peer.listed = false
	}
	for _, row := range rows {
		known := peers.peer(row.ID())
		known.listed = true
		known.dataCenter = row.DataCenter()
		if !known.heard {
			known.address = row.Address()
		}
	}
	peers.forget()
	peers.update()
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
	peers.meet(heartbeat.Known())
	if first {
		peers.context.Emit(event.NewSendPeer(known.address, peers.heartbeat().WithKnown(peers.views())))
	}
	peers.leaving.announce(heartbeat.Proxy(), heartbeat.Leaving())
	for _, term := range heartbeat.Terms() {
		peers.lead(term)
	}
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
		peers.context.Emit(event.NewSendPeer(met.address, peers.heartbeat()))
	}
	if len(known) > 0 {
		peers.whole = true
		peers.update()
	}
}

// lead takes what another proxy knows of the leadership of a group.
func (peers *peers) lead(view model.TermView) {
	group := peers.context.State().Group(view.Group())
	if group == nil || !group.Lead(view.Term(), view.Primary()) {
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
		if group.HoldsOwn(peers.context.Now()) {
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

// isLive reports whether the proxy was heard within the limit.
func (peers *peers) isLive(id model.ProxyID) bool {
	known, ok := peers.byID[id]
	return ok && peers.live(known)
}

func (peers *peers) live(known *peer) bool {
	return known.heard && peers.context.Now()-known.heardAt <= peers.context.Settings().PeerLimit()
}

// update records the live and the registered proxies in the shared state.
func (peers *peers) update() {
	state := peers.context.State()
	live := []model.ProxyView{peers.selfView()}
	var registered []model.ProxyID
	if !state.Draining() {
		registered = append(registered, state.Self().ID())
	}
	for _, known := range peers.byID {
		if peers.live(known) {
			live = append(live, peers.view(known))
		}
		if !known.draining {
			registered = append(registered, known.id)
		}
	}
	slices.SortFunc(live, compareViews)
	slices.Sort(registered)
	state.SetProxies(live)
	if peers.whole {
		state.SetRegistered(registered)
	}
}

// forget drops the proxies that neither the table nor a heartbeat shows.
func (peers *peers) forget() {
	for id, known := range peers.byID {
		if !known.listed && !peers.live(known) {
			delete(peers.byID, id)
		}
	}
}

// views returns all known proxies for operators.
func (peers *peers) views() []model.ProxyView {
	list := []model.ProxyView{peers.selfView()}
	for _, known := range peers.byID {
		list = append(list, peers.view(known))
	}
	slices.SortFunc(list, compareViews)
	return list
}

func (peers *peers) selfView() model.ProxyView {
	state := peers.context.State()
	revision, _ := state.Revision()
	self := state.Self()
	return model.NewProxyView(self.ID(), self.Address(), self.DataCenter(), revision, state.Draining(), 0)
}

func (peers *peers) view(known *peer) model.ProxyView {
	age := peers.context.Now() - known.heardAt
	return model.NewProxyView(known.id, known.address, known.dataCenter, known.revision, known.draining, age)
}

func (peers *peers) peer(id model.ProxyID) *peer {
	known, ok := peers.byID[id]
	if !ok {
		known = &peer{id: id}
		peers.byID[id] = known
	}
	return known
}

func (peers *peers) sorted() []*peer {
	list := make([]*peer, 0, len(peers.byID))
	for _, known := range peers.byID {
		list = append(list, known)
	}
	slices.SortFunc(list, func(left, right *peer) int {
		return strings.Compare(string(left.id), string(right.id))
	})
	return list
}

func compareViews(left, right model.ProxyView) int {
	return strings.Compare(string(left.ID()), string(right.ID()))
}

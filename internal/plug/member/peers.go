package member

import (
	"slices"
	"strings"
	"time"

	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
)

// peer is another proxy: listed in the table, heard by heartbeat, or both.
type peer struct {
	id                model.ProxyID
	address           string
	dataCenter        model.DataCenter
	revision          uint64
	draining          bool
	listed            bool
	heartbeatReceived bool
	heartbeatAt       time.Duration
}

// peers knows the other proxies and exchanges heartbeats with them.
type peers struct {
	context        *kern.Context
	leavingTracker *leavingTracker
	byID           map[model.ProxyID]*peer
	complete       bool // the table was read or another proxy named those that it knows
}

func newPeers(context *kern.Context, leaving *leavingTracker) *peers {
	return &peers{context: context, leavingTracker: leaving, byID: make(map[model.ProxyID]*peer)}
}

func (peers *peers) start() {
	peers.contactSeeds()
	peers.sendHeartbeats()
	peers.context.Timers().Every(peers.context.Settings().HeartbeatInterval(), peers.tick)
}

func (peers *peers) tick() {
	peers.contactSeeds()
	peers.removeGone()
	peers.update()
	peers.sendHeartbeats()
}

// setListed takes the proxies that have a row in the table.
func (peers *peers) setListed(rows []model.ProxyView) {
	peers.complete = true
	for _, peer := range peers.byID {
		peer.listed = false
	}
	for _, row := range rows {
		known := peers.findOrAdd(row.ID())
		known.listed = true
		known.dataCenter = row.DataCenter()
		if !known.heartbeatReceived {
			known.address = row.Address()
		}
	}
	peers.removeGone()
	peers.update()
}

// isLive reports whether the proxy was heard within the limit.
func (peers *peers) isLive(id model.ProxyID) bool {
	known, ok := peers.byID[id]
	return ok && peers.live(known)
}

func (peers *peers) live(known *peer) bool {
	return known.heartbeatReceived && peers.context.Now()-known.heartbeatAt <= peers.context.Settings().PeerLimit()
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
	if peers.complete {
		state.SetRegistered(registered)
	}
}

// removeGone drops the proxies that neither the table nor a heartbeat shows.
func (peers *peers) removeGone() {
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
	age := peers.context.Now() - known.heartbeatAt
	return model.NewProxyView(known.id, known.address, known.dataCenter, known.revision, known.draining, age)
}

func (peers *peers) findOrAdd(id model.ProxyID) *peer {
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

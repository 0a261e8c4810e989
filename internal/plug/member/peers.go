package member

import (
	"slices"
	"strings"
	"time"

	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
)

// peer is another proxy that has a row in the table, has sent a heartbeat, or both.
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

// peers tracks the other proxies and exchanges heartbeats with them.
type peers struct {
	context        *kern.Context
	leavingTracker *leavingTracker
	byID           map[model.ProxyID]*peer
	complete       bool // the table was read or another proxy sent its list of known proxies
}

func newPeers(context *kern.Context, leavingTracker *leavingTracker) *peers {
	return &peers{context: context, leavingTracker: leavingTracker, byID: make(map[model.ProxyID]*peer)}
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

// setListed records the proxies that have a row in the table.
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

// isLive reports whether a heartbeat of the proxy arrived within the peer limit.
func (peers *peers) isLive(id model.ProxyID) bool {
	known, ok := peers.byID[id]
	return ok && peers.live(known)
}

func (peers *peers) live(known *peer) bool {
	return known.heartbeatReceived && peers.context.Now()-known.heartbeatAt <= peers.context.Settings().PeerLimit()
}

// update records the live and the registered proxies in the shared state. The registered
// proxies stay unknown until the list of proxies is complete, since a majority of a partial
// list would prove nothing.
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

// removeGone removes the proxies that have neither a row nor a recent heartbeat.
func (peers *peers) removeGone() {
	for id, known := range peers.byID {
		if !known.listed && !peers.live(known) {
			delete(peers.byID, id)
		}
	}
}

// views returns all known proxies, this one included, in ascending order of their IDs.
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

package state

import (
	"slices"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/rank"
)

// holdersPerInstance is the number of proxies that hold the connections of an instance. With two of
// them, work goes on when one is lost, and each queue still sees half of the statements.
const holdersPerInstance = 2

// holderOrder is the order of the proxies for the connections of an instance, as of a list of
// live proxies.
type holderOrder struct {
	dataCenter model.DataCenter
	version    uint64 // of the live proxies
	proxies    []model.ProxyView
}

// EnableHolders puts the shares of holders in force.
func (state *State) EnableHolders() { state.holdersEnabled = true }

// HoldersOf returns the live proxies in the order in which they are asked to run a statement on an
// instance. The first ones are the holders of the instance's connections. The list is empty if
// every proxy opens connections itself: where an instance lists no fewer connections than there
// are live proxies, a proxy gets a connection of a team often enough to use it again. Callers
// must not change the result.
func (state *State) HoldersOf(id model.InstanceID) []model.ProxyView {
	if !state.holdersEnabled || state.teams == nil || len(state.proxies) <= holdersPerInstance {
		return nil
	}
	group := state.byInstance[id]
	if group == nil {
		return nil
	}
	instance := group.Member(id).Instance()
	if instance.MaxConns() == 0 || instance.MaxConns() >= len(state.proxies) {
		return nil
	}
	found, ok := state.holderOrders[id]
	if !ok || found.version != state.proxiesVersion || found.dataCenter != instance.DataCenter() {
		found = holderOrder{dataCenter: instance.DataCenter(), version: state.proxiesVersion, proxies: state.orderHolders(instance)}
		state.holderOrders[id] = found
	}
	return found.proxies
}

// orderHolders returns the live proxies that can be called, those in the data centre of an instance
// first. It returns nil if they are too few to hold its connections.
func (state *State) orderHolders(instance model.Instance) []model.ProxyView {
	var near, far []model.ProxyView
	for _, proxy := range state.proxies {
		switch {
		case proxy.Address() == "" || proxy.Draining():
		case proxy.DataCenter() == instance.DataCenter():
			near = append(near, proxy)
		default:
			far = append(far, proxy)
		}
	}
	if len(near)+len(far) < holdersPerInstance {
		return nil
	}
	key := "connections of " + string(instance.ID())
	return append(rank.ByCores(key, near), rank.ByCores(key, far)...)
}

// Holds reports whether this proxy is one of the holders of an instance's connections.
func (state *State) Holds(id model.InstanceID) bool { return state.IsHolder(id, state.self.ID()) }

// IsHolder reports whether a proxy is one of the holders of an instance's connections.
func (state *State) IsHolder(id model.InstanceID, proxy model.ProxyID) bool {
	holders := state.HoldersOf(id)
	holders = holders[:min(holdersPerInstance, len(holders))]
	return slices.ContainsFunc(holders, func(holder model.ProxyView) bool { return holder.ID() == proxy })
}

// SharersOf returns the number of proxies among which this one shares the capacity of an instance:
// the holders if it is one of them, else all live ones. A proxy that is no holder opens
// connections only as a last resort.
func (state *State) SharersOf(id model.InstanceID) int {
	if state.Holds(id) {
		return holdersPerInstance
	}
	return state.ProxyCount()
}

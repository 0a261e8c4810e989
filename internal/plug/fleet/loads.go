package fleet

import (
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

// scopeOfPoll returns what the loads in a poll cover: those of a reader cover its followers too.
func scopeOfPoll(heardOnly bool) route.LoadScope {
	if heardOnly {
		return route.LoadOfReader
	}
	return route.LoadOfProxy
}

// scopeOfReply returns what the loads in the reply to a poll cover: a follower gets those of all
// data centres.
func scopeOfReply(heardOnly bool) route.LoadScope {
	if heardOnly {
		return route.LoadOfReader
	}
	return route.LoadOfAll
}

// spread returns the plug-in that uses the load reports, or nil. It is created after this one.
func (fleet *Fleet) spread() route.Spread {
	spread, _ := fleet.context.Service(route.SpreadService).(route.Spread)
	return spread
}

// reportLoads returns the loads for a poll or a reply.
func (fleet *Fleet) reportLoads(scope route.LoadScope) model.LoadReport {
	if spread := fleet.spread(); spread != nil {
		return spread.Report(scope)
	}
	return model.LoadReport{}
}

// receiveLoads passes the loads of another proxy on.
func (fleet *Fleet) receiveLoads(from model.ProxyView, process uint64, scope route.LoadScope, report model.LoadReport) {
	if spread := fleet.spread(); spread != nil {
		spread.Receive(from, process, scope, report)
	}
}

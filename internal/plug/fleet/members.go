package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/rank"
	"almondway.dev/almondway/internal/core/route"
)

const (
	// heardTimeout is the time since its last poll after which a proxy is no longer heard.
	heardTimeout = 4 * time.Second
	// assumedTime is the time after the start for which every proxy with a row counts as live,
	// and after which a new reader must have heard the proxies of its data centre.
	assumedTime = 6 * time.Second
	// silentReaderTime is the time for which the members that a reader hears count as live after
	// its last answer. If it is lost, they poll another reader meanwhile.
	silentReaderTime = 15 * time.Second
	// maxSilence replaces it if no reader of the data centre answers. Its members may only be cut
	// off from this proxy, and still use their share of the limits.
	maxSilence = 2 * time.Minute

	// readersKey is the key of the order in which the proxies of a data centre read for others.
	readersKey = "readers"
	// minFollowedProxies is the number of proxies of a data centre from which on a few of them
	// read for the others. With fewer, each one reads for itself.
	minFollowedProxies = 6
	minReaders         = 2
	// proxiesPerReader limits the number of proxies that poll a reader.
	proxiesPerReader = 64
)

// heard is a proxy that polls this one.
type heard struct {
	view model.ProxyView
	at   time.Duration // of its last poll, or of the last answer to one
}

// members is what is known of the proxies that live.
type members struct {
	heard map[model.ProxyID]*heard
	// heardVersion changes with the set of heard proxies, liveVersion with that of all live
	// ones. They are never equal.
	heardVersion, liveVersion, lastVersion uint64
	// assumed holds the proxies that count as live until a time, though nobody has heard them.
	assumed map[model.ProxyID]assumption
	// live are the live proxies, this one included, in ascending order of their names, and
	// readingOrder those of each data centre in the order in which they read for others.
	live         []model.ProxyView
	readingOrder map[model.DataCenter][]model.ProxyView
}

// assumption is a proxy that is assumed to live for some time.
type assumption struct {
	view  model.ProxyView
	until time.Duration
}

func newMembers() members {
	return members{heard: make(map[model.ProxyID]*heard), assumed: make(map[model.ProxyID]assumption), heardVersion: 1, liveVersion: 2, lastVersion: 2}
}

// nextVersion returns a number that no state of the members has had.
func (members *members) nextVersion() uint64 {
	members.lastVersion++
	return members.lastVersion
}

func (members *members) isMember(id model.ProxyID) bool {
	_, found := slices.BinarySearchFunc(members.live, id, func(view model.ProxyView, id model.ProxyID) int { return cmp.Compare(view.ID(), id) })
	return found
}

// hasUnpollable reports whether a live proxy cannot be polled.
func (members *members) hasUnpollable() bool {
	return slices.ContainsFunc(members.live, func(view model.ProxyView) bool { return view.Address() == "" })
}

// hear records that a proxy polls this one. It reports whether that changes what is known of it.
func (fleet *Fleet) hear(view model.ProxyView) bool {
	known, ok := fleet.heard[view.ID()]
	changed := !ok || known.view != view
	if changed {
		fleet.heardVersion = fleet.nextVersion()
		fleet.wakeWithin(pollTick)
	}
	fleet.heard[view.ID()] = &heard{view: view, at: fleet.context.Now()}
	delete(fleet.assumed, view.ID())
	return changed
}

// forget records that a proxy is no longer heard.
func (fleet *Fleet) forget(id model.ProxyID) {
	if _, ok := fleet.heard[id]; ok {
		delete(fleet.heard, id)
		fleet.heardVersion = fleet.nextVersion()
		fleet.wakeWithin(pollTick)
	}
}

// forgetSilent ends what has been assumed or heard too long ago. A proxy that falls silent is
// assumed to live as long as no other reader of the data centre can tell, since this proxy may
// be the one that is cut off.
func (fleet *Fleet) forgetSilent() {
	now := fleet.context.Now()
	alone := !fleet.answersIn(fleet.self().DataCenter())
	for id, heard := range fleet.heard {
		if now-heard.at <= heardTimeout || fleet.holdsPollOf(id) {
			continue
		}
		fleet.forget(id)
		if alone {
			fleet.assumed[id] = assumption{view: heard.view, until: now + maxSilence}
		}
	}
	if len(fleet.heard) == 0 && fleet.lastReplyAt == 0 {
		return // nobody has been heard since the start
	}
	maps.DeleteFunc(fleet.assumed, func(_ model.ProxyID, assumed assumption) bool { return now >= assumed.until })
}

// answersIn reports whether a reader of a data centre, other than this proxy, has answered lately.
func (fleet *Fleet) answersIn(dataCenter model.DataCenter) bool {
	now := fleet.context.Now()
	for _, source := range fleet.sources {
		if source.view.DataCenter() == dataCenter && source.answeredAt > 0 && now-source.answeredAt <= readerPollHold+pollMargin {
			return true
		}
	}
	return false
}

// heardViews returns this proxy and those that it hears, in ascending order of their names.
func (fleet *Fleet) heardViews() []model.ProxyView {
	views := map[model.ProxyID]model.ProxyView{fleet.self().ID(): fleet.self()}
	for id, heard := range fleet.heard {
		views[id] = heard.view
	}
	return sortedViews(views)
}

func sortedViews(views map[model.ProxyID]model.ProxyView) []model.ProxyView {
	sorted := make([]model.ProxyView, 0, len(views))
	for _, id := range slices.Sorted(maps.Keys(views)) {
		sorted = append(sorted, views[id])
	}
	return sorted
}

// updateMembers determines which proxies live. A follower takes the word of its reader.
func (fleet *Fleet) updateMembers() {
	var live []model.ProxyView
	switch {
	case !fleet.known && fleet.lastAnswered() == nil:
		return
	case !fleet.pollable():
		live = fleet.membersByRows()
	case fleet.role == route.ListFollower:
		live = fleet.membersOfReader()
	default:
		live = fleet.collectMembers()
	}
	if live == nil || slices.Equal(live, fleet.live) {
		return
	}
	fleet.setLive(live)
	fleet.wakeWithin(pollTick)
	fleet.context.State().SetProxies(live)
}

func (members *members) setLive(live []model.ProxyView) {
	members.live = live
	members.liveVersion = members.nextVersion()
	inside := make(map[model.DataCenter][]model.ProxyView)
	for _, view := range live {
		inside[view.DataCenter()] = append(inside[view.DataCenter()], view)
	}
	members.readingOrder = make(map[model.DataCenter][]model.ProxyView, len(inside))
	for dataCenter, views := range inside {
		members.readingOrder[dataCenter] = rank.ByCores(readersKey, views)
	}
}

// membersByRows returns this proxy and those whose rows have changed lately.
func (fleet *Fleet) membersByRows() []model.ProxyView {
	views := map[model.ProxyID]model.ProxyView{fleet.self().ID(): fleet.self()}
	fleet.addByRows(views, func(*registered) bool { return true })
	return sortedViews(views)
}

// addByRows adds the wanted proxies whose rows have changed lately.
func (fleet *Fleet) addByRows(views map[model.ProxyID]model.ProxyView, wanted func(row *registered) bool) {
	now, limit := fleet.context.Now(), maxMissedUpdates*fleet.updateInterval()
	for id, row := range fleet.rows {
		if wanted(row) && id != fleet.self().ID() && now-row.seenAt < limit {
			views[id] = row.view
		}
	}
}

// membersOfReader returns the members that the reader has sent, or nil before its first answer.
// A proxy that its reader does not know yet counts itself, and those that it assumes to live: a
// reader that has just started knows few, and a follower that took its word would take up reading
// itself and poll all readers.
func (fleet *Fleet) membersOfReader() []model.ProxyView {
	source := fleet.lastAnswered()
	if source == nil || source.members == nil {
		return nil
	}
	if len(fleet.assumed) > 0 {
		views := map[model.ProxyID]model.ProxyView{fleet.self().ID(): fleet.self()}
		for id, assumed := range fleet.assumed {
			views[id] = assumed.view
		}
		for _, view := range source.members {
			views[view.ID()] = view
		}
		return sortedViews(views)
	}
	index, found := slices.BinarySearchFunc(source.members, fleet.self().ID(), func(view model.ProxyView, id model.ProxyID) int { return cmp.Compare(view.ID(), id) })
	if found {
		return source.members
	}
	return slices.Insert(slices.Clone(source.members), index, fleet.self())
}

// collectMembers returns the proxies that this one or another reader hears.
func (fleet *Fleet) collectMembers() []model.ProxyView {
	now := fleet.context.Now()
	views := make(map[model.ProxyID]model.ProxyView)
	for id, assumed := range fleet.assumed {
		views[id] = assumed.view
	}
	for _, source := range fleet.sources {
		retention := maxSilence
		if fleet.answersIn(source.view.DataCenter()) {
			retention = silentReaderTime
		}
		if source.answeredAt == 0 || now-source.answeredAt > retention {
			continue
		}
		for _, view := range source.members {
			if view.ID() != source.view.ID() || !source.gone {
				views[view.ID()] = view
			}
		}
	}
	fleet.addByRows(views, func(row *registered) bool { return row.view.Address() == "" })
	for id, heard := range fleet.heard {
		views[id] = heard.view
	}
	views[fleet.self().ID()] = fleet.self()
	return sortedViews(views)
}

// assumeRegistered assumes that a proxy with a new row lives, until it is heard or not.
func (fleet *Fleet) assumeRegistered(view model.ProxyView) {
	if _, ok := fleet.heard[view.ID()]; !ok && view.Address() != "" {
		fleet.assumed[view.ID()] = assumption{view: view, until: fleet.context.Now() + assumedTime}
	}
}

// assumeLive assumes that the members still live when this proxy begins to collect them itself.
func (fleet *Fleet) assumeLive() {
	until := fleet.context.Now() + assumedTime
	for _, view := range fleet.live {
		if view.ID() != fleet.self().ID() && view.Address() != "" {
			fleet.assumed[view.ID()] = assumption{view: view, until: until}
		}
	}
}

// dataCenters returns the data centres of the live proxies, in ascending order of their names.
func (members *members) dataCenters() []model.DataCenter {
	return slices.Sorted(maps.Keys(members.readingOrder))
}

// readers returns the proxies of a data centre that read for the others: the first ones in
// an order that all proxies agree on, except those that this proxy cannot reach. If there are
// few proxies, all of them read.
func (fleet *Fleet) readers(dataCenter model.DataCenter) []model.ProxyView {
	ordered := fleet.readingOrder[dataCenter]
	count := len(ordered)
	if count >= minFollowedProxies {
		count = max(minReaders, (count+proxiesPerReader-1)/proxiesPerReader)
	}
	var readers []model.ProxyView
	for _, view := range ordered {
		if len(readers) < count && view.Address() != "" && !fleet.avoids(view.ID()) {
			readers = append(readers, view)
		}
	}
	return readers
}

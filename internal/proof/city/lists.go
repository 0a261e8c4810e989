package city

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// waitingFeed is a call that waits for the next change of a list.
type waitingFeed struct {
	proxy  *proxy
	action event.AwaitChanges
	ended  bool
}

// listedInstance is the value of an instance's row.
type listedInstance struct {
	Primary  bool   `json:"primary"`
	Leaving  bool   `json:"leaving"`
	Sequence uint64 `json:"sequence"`
}

// putList writes a row of a list, or deletes it if value is nil.
func (store *store) putList(list model.ListName, key string, value []byte) {
	store.saveCopy()
	store.version++
	row := model.NewListRow(key, store.version, value)
	if value == nil {
		row = model.NewDeletedListRow(key, store.version)
	}
	store.lists[list] = append(store.lists[list], row)
	store.wakeFeeds()
}

// currentRows returns the rows of a list.
func (store *store) currentRows(list model.ListName) []model.ListRow {
	latest := make(map[string]model.ListRow)
	for _, row := range store.lists[list] {
		latest[row.Key()] = row
	}
	var rows []model.ListRow
	for _, key := range slices.Sorted(maps.Keys(latest)) {
		if !latest[key].Deleted() {
			rows = append(rows, latest[key])
		}
	}
	return rows
}

// changesAfter returns the changed rows of a list after a version.
func (store *store) changesAfter(list model.ListName, version uint64) []model.ListRow {
	latest := make(map[string]model.ListRow)
	for _, row := range store.lists[list] {
		if row.Version() > version {
			latest[row.Key()] = row
		}
	}
	rows := slices.Collect(maps.Values(latest))
	slices.SortFunc(rows, func(left, right model.ListRow) int { return int(left.Version()) - int(right.Version()) })
	return rows
}

func (store *store) readList(proxy *proxy, action event.ReadList) {
	store.listCalls++
	store.countCall(proxy, string(action.List())+"_table")
	if store.down || proxy.storeUnreachable {
		store.failList(proxy, action.CallID())
		return
	}
	store.simulation.runAfter(storeLatency/2, func() {
		read := event.NewListRead(action.CallID(), store.era, store.version, store.currentRows(action.List()))
		store.answer(proxy, read.WithAnsweredAt(store.simulation.now))
	})
}

func (store *store) awaitChanges(proxy *proxy, action event.AwaitChanges) {
	store.listCalls++
	store.countCall(proxy, string(action.List())+"_feed")
	if store.down || proxy.storeUnreachable {
		store.failList(proxy, action.CallID())
		return
	}
	store.simulation.runAfter(storeLatency/2, func() {
		feed := &waitingFeed{proxy: proxy, action: action}
		store.feeds = append(store.feeds, feed)
		store.simulation.runAfter(action.Wait(), func() { store.answerFeed(feed, true) })
		store.answerFeed(feed, false)
	})
}

// failList ends a list call that the store does not execute, if such calls get an answer.
func (store *store) failList(proxy *proxy, call model.PlatformCallID) {
	if store.failsAtOnce {
		proxy.post(storeFailureTime, event.NewListFailed(call, "unavailable"))
	}
}

// failFeeds ends the waiting calls of the proxies that can no longer reach the store.
func (store *store) failFeeds() {
	for _, feed := range store.feeds {
		if !feed.ended && (store.down || feed.proxy.storeUnreachable) {
			feed.ended = true
			store.failList(feed.proxy, feed.action.CallID())
		}
	}
}

// wakeFeeds answers the waiting calls whose lists have changed.
func (store *store) wakeFeeds() {
	for _, feed := range store.feeds {
		store.answerFeed(feed, false)
	}
	store.feeds = slices.DeleteFunc(store.feeds, func(feed *waitingFeed) bool { return feed.ended })
}

// answerFeed answers a waiting call if there are changes or its time has passed. A proxy that
// cannot reach the store gets no answer.
func (store *store) answerFeed(feed *waitingFeed, expired bool) {
	rows := store.changesAfter(feed.action.List(), feed.action.After())
	gone := feed.action.After() > store.version || feed.action.After() < store.historyStart
	if feed.ended || len(rows) == 0 && !expired && !gone {
		return
	}
	feed.ended = true
	if store.down || feed.proxy.storeUnreachable {
		return
	}
	if gone {
		store.answer(feed.proxy, event.NewListHistoryLost(feed.action.CallID()))
		return
	}
	changed := event.NewListChanged(feed.action.CallID(), store.era, store.version, rows)
	store.answer(feed.proxy, changed.WithAnsweredAt(store.simulation.now))
}

// applyList decodes rows as the adapter does.
func (proxy *proxy) applyList(action event.ApplyList) {
	defer proxy.post(0, event.NewListApplied(action.List(), false))
	if action.List() == model.ListConfiguration {
		for _, row := range action.Rows() {
			var revision uint64
			if json.Unmarshal(row.Value(), &revision) == nil {
				proxy.post(0, proxy.simulation.catalog.WithRevision(revision))
			}
		}
		return
	}
	var listings []model.Listing
	for _, row := range action.Rows() {
		if row.Deleted() {
			proxy.post(0, event.NewInstanceUnlisted(model.InstanceID(row.Key())))
			continue
		}
		listing := decodeListing(row)
		listings = append(listings, listing)
		if !action.Whole() {
			proxy.post(0, event.NewInstanceListed(listing))
		}
	}
	if action.Whole() {
		proxy.post(0, event.NewInstancesListed(listings).WithRestored(action.Restored()))
	}
}

func decodeListing(row model.ListRow) model.Listing {
	var listed listedInstance
	if err := json.Unmarshal(row.Value(), &listed); err != nil {
		panic(err)
	}
	spec := model.ListingSpec{
		Group:    groupID,
		Instance: model.NewInstance(model.InstanceID(row.Key()), "10.0.0.1:1", "trnje-hall").WithCapacity(unlimitedSlots, 0),
		Leaving:  listed.Leaving,
		Sequence: listed.Sequence,
	}
	if listed.Primary {
		spec.Role = model.RolePrimary
	}
	return model.NewListing(spec)
}

// putRevision writes a revision of the configuration to the store.
func (store *store) putRevision(revision uint64) {
	value, err := json.Marshal(revision)
	if err != nil {
		panic(err)
	}
	store.putList(model.ListConfiguration, "config", value)
}

// putInstance writes the entry of an instance to the store.
func (store *store) putInstance(id string, listed listedInstance) {
	value, err := json.Marshal(listed)
	if err != nil {
		panic(err)
	}
	store.putList(model.ListInstances, id, value)
}

// listSettings are the settings of a proxy that follows the lists in the store.
type listSettings struct {
	wait, sharedWait, maxAge time.Duration
}

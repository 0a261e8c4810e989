package city

import (
	"maps"
	"slices"
	"strings"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

const (
	storeLatency = 4 * time.Millisecond // round trip
	// storeFailureTime is the time after which a call to an unavailable store fails.
	storeFailureTime = 100 * time.Millisecond
	// lateWriteDelay is the time after which a late write is executed.
	lateWriteDelay = 2 * time.Second
)

// storedRow is a row of the simulated store.
type storedRow struct {
	value   []byte
	version uint64
}

// store simulates the platform's table service.
type store struct {
	simulation *simulation
	rows       map[string]storedRow
	version    uint64
	era        model.StoreEra
	down       bool
	// writesLate executes writes without an answer after lateWriteDelay.
	writesLate bool
	copies     []storeCopy // one before each transaction

	lists        map[model.ListName][]model.ListRow // the history of each list
	historyStart uint64                             // changes before this version are forgotten
	feeds        []*waitingFeed
	listCalls    int // for the lists, since the start
	// calls counts the calls by their purposes, and failedCalls those that were not executed.
	calls       map[string]int
	failedCalls int
	// failsAtOnce makes list calls to an unavailable store fail after storeFailureTime. Else they
	// get no answer.
	failsAtOnce bool
}

// countCall counts a call under a purpose. The purposes are those of the metric store_calls_total.
func (store *store) countCall(proxy *proxy, purpose string) {
	store.calls[purpose]++
	if store.down || proxy.storeUnreachable {
		store.failedCalls++
	}
}

// rowsPurpose returns the purpose of a call for the rows whose keys start with the given text.
func rowsPurpose(call, key string) string {
	kind, _, _ := strings.Cut(key, "/")
	return kind + "_" + call
}

// storeCopy is a copy from which the store can be restored.
type storeCopy struct {
	until   time.Duration // the time of the next transaction
	rows    map[string]storedRow
	version uint64
	lists   map[model.ListName][]model.ListRow
}

// saveCopy keeps a copy of the store before a transaction.
func (store *store) saveCopy() {
	lists := make(map[model.ListName][]model.ListRow, len(store.lists))
	for name, rows := range store.lists {
		lists[name] = slices.Clip(rows)
	}
	store.copies = append(store.copies, storeCopy{until: store.simulation.now, rows: maps.Clone(store.rows), version: store.version, lists: lists})
}

// restore replaces the content of the store by that of a copy of the given age.
func (store *store) restore(age time.Duration) {
	for _, taken := range store.copies {
		if taken.until > store.simulation.now-age {
			store.rows, store.version, store.lists = maps.Clone(taken.rows), taken.version, taken.lists
			break
		}
	}
	store.copies = nil
	store.era++
	store.wakeFeeds()
}

// reachableFrom reports whether a call of a proxy is executed. If not, the call fails later.
func (store *store) reachableFrom(proxy *proxy, call model.PlatformCallID) bool {
	if store.down || proxy.storeUnreachable {
		proxy.post(storeFailureTime, event.NewStoreFailed(call))
		return false
	}
	return true
}

// answer posts an answer of the present era, after the era itself if it is new to the proxy.
func (store *store) answer(proxy *proxy, answer event.Event) {
	if !proxy.storeEraKnown || store.era > proxy.storeEra {
		proxy.storeEra, proxy.storeEraKnown = store.era, true
		proxy.post(storeLatency/2, event.NewStoreEraSeen(store.era))
	}
	proxy.post(storeLatency/2, answer)
}

func (store *store) read(proxy *proxy, action event.ReadStore) {
	store.countCall(proxy, rowsPurpose("read", action.Prefix()))
	if !store.reachableFrom(proxy, action.CallID()) {
		return
	}
	store.simulation.runAfter(storeLatency/2, func() {
		var rows []model.Row
		for _, key := range slices.Sorted(maps.Keys(store.rows)) {
			if row := store.rows[key]; strings.HasPrefix(key, action.Table()+"/"+action.Prefix()) {
				rows = append(rows, model.NewRow(strings.TrimPrefix(key, action.Table()+"/"), row.version, row.value))
			}
		}
		store.answer(proxy, event.NewStoreRead(action.CallID(), rows).WithEra(store.era))
	})
}

func (store *store) write(proxy *proxy, action event.WriteStore) {
	store.countCall(proxy, rowsPurpose("write", action.Writes()[0].Key()))
	if !store.reachableFrom(proxy, action.CallID()) {
		return
	}
	if store.writesLate {
		proxy.post(storeFailureTime, event.NewStoreFailed(action.CallID()))
		store.simulation.runAfter(lateWriteDelay, func() { store.commit(action) })
		return
	}
	store.simulation.runAfter(storeLatency/2, func() {
		if !store.commit(action) {
			store.answer(proxy, event.NewStoreConflict(action.CallID()))
			return
		}
		store.answer(proxy, event.NewStoreWritten(action.CallID()).WithEra(store.era))
	})
}

// commit executes a transaction if its conditions hold, and reports whether they did.
func (store *store) commit(action event.WriteStore) bool {
	for _, write := range action.Writes() {
		if store.rows[write.Table()+"/"+write.Key()].version != write.ExpectedVersion() {
			return false
		}
	}
	store.saveCopy()
	store.version++
	for _, write := range action.Writes() {
		key := write.Table() + "/" + write.Key()
		if write.Table() == route.LendersTable {
			store.lists[model.ListLenders] = append(store.lists[model.ListLenders], model.NewListRow(write.Key(), store.version, write.Value()))
		}
		if write.Value() == nil {
			delete(store.rows, key)
			continue
		}
		store.rows[key] = storedRow{value: write.Value(), version: store.version}
	}
	store.wakeFeeds()
	return true
}

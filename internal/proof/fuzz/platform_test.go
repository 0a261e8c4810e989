package fuzz

import (
	"maps"
	"slices"
	"strings"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

const (
	storeDelay   = 4 * time.Millisecond
	storeTimeout = 2 * time.Second
)

// platform is a fake of the hosting platform's table service, group list and
// host list.
type platform struct {
	simulation   *simulation
	tables       map[string]map[string]model.Row
	down         bool
	loseAnswers  bool
	leavingHosts map[model.InstanceID]bool
}

func newPlatform(simulation *simulation) *platform {
	return &platform{
		simulation:   simulation,
		tables:       make(map[string]map[string]model.Row),
		leavingHosts: make(map[model.InstanceID]bool),
	}
}

func (platform *platform) read(proxy *proxy, action event.ReadStore) {
	platform.serve(proxy, action.CallID(), func() event.Event {
		var rows []model.Row
		for _, key := range slices.Sorted(maps.Keys(platform.tables[action.Table()])) {
			if strings.HasPrefix(key, action.Prefix()) {
				rows = append(rows, platform.tables[action.Table()][key])
			}
		}
		return event.NewStoreRead(action.CallID(), rows)
	})
}

func (platform *platform) write(proxy *proxy, action event.WriteStore) {
	platform.serve(proxy, action.CallID(), func() event.Event {
		if !platform.commit(action.Writes()) {
			return event.NewStoreConflict(action.CallID())
		}
		return event.NewStoreWritten(action.CallID())
	})
}

func (platform *platform) commit(writes []model.RowWrite) bool {
	for _, write := range writes {
		if platform.tables[write.Table()][write.Key()].Version() != write.ExpectedVersion() {
			return false
		}
	}
	for _, write := range writes {
		table := platform.tables[write.Table()]
		if table == nil {
			table = make(map[string]model.Row)
			platform.tables[write.Table()] = table
		}
		if write.Value() == nil {
			delete(table, write.Key())
			continue
		}
		table[write.Key()] = model.NewRow(write.Key(), write.ExpectedVersion()+1, write.Value())
	}
	return true
}

// serve answers a query after a delay. During an outage or a partition the query
// fails after storeTimeout without an effect; with a lost answer the query fails
// after it took effect.
func (platform *platform) serve(proxy *proxy, query model.PlatformCallID, run func() event.Event) {
	if platform.down || proxy.storePartitioned {
		platform.simulation.runAfter(storeTimeout, func() { proxy.post(event.NewStoreFailed(query)) })
		return
	}
	platform.simulation.runAfter(storeDelay, func() {
		result := run()
		if platform.loseAnswers {
			result = event.NewStoreFailed(query)
		}
		platform.simulation.runAfter(storeDelay, func() { proxy.post(result) })
	})
}

func (platform *platform) listGroups(proxy *proxy) {
	if platform.down || proxy.storePartitioned {
		return
	}
	platform.simulation.runAfter(storeDelay, func() { proxy.post(event.NewGroupsListed(platform.simulation.groups)) })
}

func (platform *platform) listHosts(proxy *proxy) {
	if platform.down || proxy.storePartitioned {
		return
	}
	var hosts []model.Host
	for _, instance := range platform.simulation.instances {
		hosts = append(hosts, model.NewHost(instance.id, platform.leavingHosts[instance.id]))
	}
	platform.simulation.runAfter(storeDelay, func() { proxy.post(event.NewHostsListed(hosts)) })
}

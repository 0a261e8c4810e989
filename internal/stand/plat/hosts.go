package plat

import "time"

type hostChange struct {
	markedAt time.Time
	leaving  bool
}

// hostList records when each host was marked as leaving or not, so that listings
// can lag behind.
type hostList struct {
	lag     time.Duration
	changes map[string][]hostChange // in chronological order
}

func newHostList(lag time.Duration) hostList {
	return hostList{lag: lag, changes: make(map[string][]hostChange)}
}

func (hostList *hostList) setLeaving(instance string, leaving bool, now time.Time) {
	hostList.changes[instance] = append(hostList.changes[instance], hostChange{markedAt: now, leaving: leaving})
}

// isLeaving reports whether the host list, delayed by its lag, shows the host of
// the instance as leaving at the time now.
func (hostList *hostList) isLeaving(instance string, now time.Time) bool {
	leaving := false
	for _, change := range hostList.changes[instance] {
		if !change.markedAt.After(now.Add(-hostList.lag)) {
			leaving = change.leaving
		}
	}
	return leaving
}

package plat

import "time"

type hostChange struct {
	markedAt time.Time
	leaving  bool
}

// hostList remembers when hosts were marked, so that the list can lag.
type hostList struct {
	lag     time.Duration
	changes map[string][]hostChange // in order of time
}

func newHostList(lag time.Duration) hostList {
	return hostList{lag: lag, changes: make(map[string][]hostChange)}
}

func (hosts *hostList) setLeaving(instance string, leaving bool, now time.Time) {
	hosts.changes[instance] = append(hosts.changes[instance], hostChange{markedAt: now, leaving: leaving})
}

// isLeaving reports what the list shows at the time now.
func (hosts *hostList) isLeaving(instance string, now time.Time) bool {
	shown := false
	for _, change := range hosts.changes[instance] {
		if !change.markedAt.After(now.Add(-hosts.lag)) {
			shown = change.leaving
		}
	}
	return shown
}

package plat

import "time"

type hostChange struct {
	at      time.Time
	leaving bool
}

// hosts remembers when hosts were marked, so that the list can lag.
type hosts struct {
	lag     time.Duration
	changes map[string][]hostChange // in order of time
}

func newHosts(lag time.Duration) hosts {
	return hosts{lag: lag, changes: make(map[string][]hostChange)}
}

func (hosts *hosts) mark(instance string, leaving bool, now time.Time) {
	hosts.changes[instance] = append(hosts.changes[instance], hostChange{at: now, leaving: leaving})
}

// leaving reports what the list shows at the time now.
func (hosts *hosts) leaving(instance string, now time.Time) bool {
	shown := false
	for _, change := range hosts.changes[instance] {
		if !change.at.After(now.Add(-hosts.lag)) {
			shown = change.leaving
		}
	}
	return shown
}

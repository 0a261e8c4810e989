// Package rank orders the proxies for a task by rendezvous hashing, so that all
// proxies compute the same order without communication.
package rank

import (
	"github.com/cespare/xxhash/v2"

	"almondway.dev/almondway/internal/core/model"
)

// Of returns the rank of self among proxies for the task named key, which is the number
// of other proxies that come before it; 0 is the first. Draining proxies are not counted.
// Ties are broken by the lower proxy ID.
func Of(key string, self model.ProxyID, proxies []model.ProxyView) int {
	ownScore := score(key, self)
	before := 0
	for _, proxy := range proxies {
		if proxy.ID() == self || proxy.Draining() {
			continue
		}
		otherScore := score(key, proxy.ID())
		if otherScore > ownScore || (otherScore == ownScore && proxy.ID() < self) {
			before++
		}
	}
	return before
}

func score(key string, proxy model.ProxyID) uint64 {
	return xxhash.Sum64String(key + "\x00" + string(proxy))
}

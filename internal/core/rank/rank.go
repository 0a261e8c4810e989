// Package rank orders proxies for a piece of work by rendezvous hashing, so
// that each proxy finds the same order without asking.
package rank

import (
	"github.com/cespare/xxhash/v2"

	"almondway.dev/almondway/internal/core/model"
)

// Of returns how many of the proxies come before self for the work named key.
// Draining proxies are left out.
func Of(key string, self model.ProxyID, proxies []model.ProxyView) int {
	own := score(key, self)
	before := 0
	for _, proxy := range proxies {
		if proxy.ID() == self || proxy.Draining() {
			continue
		}
		other := score(key, proxy.ID())
		if other > own || (other == own && proxy.ID() < self) {
			before++
		}
	}
	return before
}

func score(key string, proxy model.ProxyID) uint64 {
	return xxhash.Sum64String(key + "\x00" + string(proxy))
}

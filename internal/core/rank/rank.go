// Package rank orders the proxies for a task by rendezvous hashing, so that all
// proxies compute the same order without communication.
package rank

import (
	"cmp"
	"math"
	"slices"

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

// ByCores returns the proxies in their order for the task named key. A proxy with twice the
// cores comes first for twice as many tasks. A proxy with an unknown number of cores counts
// like one with one core.
func ByCores(key string, proxies []model.ProxyView) []model.ProxyView {
	type ranked struct {
		proxy model.ProxyView
		cost  float64
	}
	all := make([]ranked, 0, len(proxies))
	for _, proxy := range proxies {
		all = append(all, ranked{proxy: proxy, cost: weightedCost(key, proxy)})
	}
	slices.SortFunc(all, func(left, right ranked) int {
		if order := cmp.Compare(left.cost, right.cost); order != 0 {
			return order
		}
		return cmp.Compare(left.proxy.ID(), right.proxy.ID())
	})
	ordered := make([]model.ProxyView, 0, len(all))
	for _, one := range all {
		ordered = append(ordered, one.proxy)
	}
	return ordered
}

// weightedCost returns the position of a proxy in the order of ByCores: an exponentially
// distributed number whose rate is the number of cores.
func weightedCost(key string, proxy model.ProxyView) float64 {
	cores := proxy.Cores()
	if cores <= 0 {
		cores = 1
	}
	uniform := (float64(score(key, proxy.ID())) + 1) / math.MaxUint64
	return -math.Log(uniform) / cores
}

func score(key string, proxy model.ProxyID) uint64 {
	return xxhash.Sum64String(key + "\x00" + string(proxy))
}

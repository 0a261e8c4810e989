package city

import (
	"time"

	"almondway.dev/almondway/internal/plug/spread"
)

// unevenDemand is a load of 8 groups whose three zones have their crests at different times.
// It has 1.5 times the operations of an ordinary day, as in a burst. Half of the instances are
// slower than the others.
func unevenDemand(seed uint64) Load {
	load := unevenLoad(seed)
	load.Rate = 0 // ZoneRates replaces it
	load.Groups = 8
	load.ZoneRates = []float64{1.5 * 628, 1.5 * 476, 1.5 * 614}
	load.WaveShare, load.WavePeriod = 0.55, 15*time.Second
	load.InnerLatency, load.OuterLatency = 200*time.Microsecond, 500*time.Microsecond
	load.Slowdowns = []float64{1, 1.15, 1, 1.6}
	return load
}

// unevenDemandOf69 is unevenDemand with 69 proxies.
func unevenDemandOf69(seed uint64) Load {
	load := unevenDemand(seed)
	load.ProxiesByZone = []int{25, 21, 23}
	return load
}

// unevenDemandOf195 is unevenDemand with 195 proxies.
func unevenDemandOf195(seed uint64) Load {
	load := unevenDemand(seed)
	load.ProxiesByZone = []int{65, 65, 65}
	return load
}

// NamedChoice is a way to choose instances for reads that an experiment can play.
type NamedChoice struct {
	Name   string
	Policy spread.Policy
}

// Choices returns the ways to choose instances, that of the product first.
func Choices() []NamedChoice {
	with := func(way spread.Way, draws int) spread.Policy {
		policy := spread.DefaultPolicy()
		policy.Way, policy.Draws, policy.MinProxies = way, draws, 1
		return policy
	}
	ownOnly := with(spread.ChooseByExcess, 0)
	ownOnly.ReportWeight = 0
	return []NamedChoice{
		{"product", spread.DefaultPolicy()},
		{"excess", with(spread.ChooseByExcess, 0)},
		{"own_excess", ownOnly},
		{"delay", with(spread.ChooseByDelay, 0)},
		{"free_slots", with(spread.ChooseByFree, 0)},
		{"aged_free_slots", with(spread.ChooseByAgedFree, 0)},
		{"best_of_two", with(spread.ChooseBestOf, 2)},
		{"best_of_three", with(spread.ChooseBestOf, 3)},
		{"rank", with(spread.ChooseByRank, 0)},
	}
}

// WithChoice returns the load with another way to choose instances.
func (load Load) WithChoice(policy spread.Policy) Load {
	load.Choice = &policy
	return load
}

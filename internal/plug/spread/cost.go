package spread

import (
	"math"
	"time"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
)

const (
	// minSamples limits how much a single old statement counts.
	minSamples = 0.5
	// The reports may state between minStretch and maxStretch times the expected work, so that a
	// false report has a bounded weight.
	minStretch = 0.5
	maxStretch = 8
	// warmUpCost is the cost of an instance that is warming up after its start.
	warmUpCost = 30 * time.Millisecond
	// refusalWindow is the time after a refusal for lack of a slot in which an instance gets
	// refusedWeight of its weight.
	refusalWindow = 250 * time.Millisecond
	refusedWeight = 0.25
)

// weights returns the weights of the candidates in the draw. The lowest cost has the highest
// weight. A statement of this proxy that is outstanding or waits halves the weight of an
// instance, since no report can include it yet.
func (spread *Spread) weights(group *state.Group, candidates []*state.Member) []float64 {
	weights := make([]float64, len(candidates))
	lowest := math.Inf(1)
	for index, member := range candidates {
		weights[index] = spread.cost(group, member)
		lowest = min(lowest, weights[index])
	}
	for index, member := range candidates {
		instance := member.ID()
		weight := math.Exp((lowest - weights[index]) / spread.policy.Temperature.Seconds())
		weight /= 1 + float64(spread.admission.Load(instance))
		if spread.recentlyRefused(instance) {
			weight *= refusedWeight
		}
		weights[index] = weight
	}
	return weights
}

// cost returns what a read on an instance is expected to cost beyond its work, in seconds: the
// mean excess of statements over their expected work, and surcharges. Where neither reports nor
// statements of this proxy say anything, the excess is unknown and counts as 0, which is no
// reason to prefer the instance to one in use, since a lack of reports never lowers a cost that
// this proxy has measured itself.
func (spread *Spread) cost(group *state.Group, member *state.Member) float64 {
	meter := spread.meter(member.ID())
	meter.advance(spread.context.Now())
	reported, trust := spread.reportedExcess(member)
	weight := spread.policy.ReportWeight * trust
	cost := (meter.excess + weight*reported) / max(meter.samples+weight, minSamples)
	if primary := group.Primary(); primary != nil && primary.ID() == member.ID() {
		cost += spread.policy.PrimaryCost.Seconds()
	}
	if member.Instance().DataCenter() != spread.context.State().Self().DataCenter() {
		cost += spread.policy.RemoteCost.Seconds()
	}
	if member.Listing().WarmUpRemaining() > 0 {
		cost += warmUpCost.Seconds()
	}
	return cost
}

// reportedExcess returns the mean excess over the expected work in the reports, in seconds, and
// how much it counts, from 0 to 1.
func (spread *Spread) reportedExcess(member *state.Member) (float64, float64) {
	total, trust := spread.reported(member)
	if total.offered < minReportedLoad {
		return 0, 0
	}
	stretch := min(max(total.busy/total.offered, minStretch), maxStretch)
	return (stretch - 1) * spread.meanWork.Seconds(), trust
}

// reported returns what the reports say of an instance, over all data centres, and how much it
// counts, from 0 to 1.
func (spread *Spread) reported(member *state.Member) (load, float64) {
	view, total, trust := spread.view(), load{}, 0.0
	for _, dataCenter := range spread.context.State().DataCenters() {
		one, ok := view[loadKey{dataCenter: dataCenter, instance: member.ID()}]
		if !ok || one.born != member.Listing().Born() {
			continue
		}
		total.add(one)
		trust = max(trust, confidence(spread.context.Now(), one.at))
	}
	return total, trust
}

// recentlyRefused reports whether an instance refused a statement of this proxy lately.
func (spread *Spread) recentlyRefused(instance model.InstanceID) bool {
	found, ok := spread.meters[instance]
	return ok && found.refusedAt > 0 && spread.context.Now()-found.refusedAt < refusalWindow
}

package spread

import (
	"almondway.dev/almondway/internal/core/count"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
)

// The reasons of choices, for the decision log.
const (
	reasonLocal   = "even load: own data centre"
	reasonRemote  = "even load: replica in another data centre"
	reasonPrimary = "even load: primary in another data centre"
	reasonUnknown = "even load: no load reports"
	reasonOnly    = "even load: no other instance can run it"
)

// Choose implements route.Spread.
func (spread *Spread) Choose(group *state.Group, candidates []*state.Member) (model.InstanceID, string) {
	switch len(candidates) {
	case 0:
		return "", "no instance can run it"
	case 1:
		spread.context.State().Counts().Add(count.ChoicesOnly)
		return candidates[0].ID(), reasonOnly
	}
	spread.observeGroup(group)
	member := spread.pick(group, candidates)
	name, reason := spread.reasonOf(group, member)
	spread.context.State().Counts().Add(name)
	return member.ID(), reason
}

// pick chooses one of several candidates.
func (spread *Spread) pick(group *state.Group, candidates []*state.Member) *state.Member {
	switch spread.policy.Way {
	case ChooseByRank:
		spread.turn++
		return candidates[(spread.turn+spread.ownRank())%len(candidates)]
	case ChooseBestOf:
		return spread.bestOf(candidates)
	case ChooseByFree, ChooseByAgedFree:
		weights := make([]float64, len(candidates))
		for index, member := range candidates {
			weights[index] = spread.freeSlots(member)
		}
		return candidates[spread.draw(weights)]
	default:
		return candidates[spread.draw(spread.weights(group, candidates))]
	}
}

// reasonOf returns why an instance was chosen and the counter for it.
func (spread *Spread) reasonOf(group *state.Group, member *state.Member) (count.Name, string) {
	switch _, trust := spread.reported(member); {
	case trust == 0:
		return count.ChoicesUnreported, reasonUnknown
	case member.Instance().DataCenter() == spread.context.State().Self().DataCenter():
		return count.ChoicesLocal, reasonLocal
	case group.Primary() != nil && group.Primary().ID() == member.ID():
		return count.ChoicesRemotePrimary, reasonPrimary
	default:
		return count.ChoicesRemote, reasonRemote
	}
}

// draw returns an index, drawn in proportion to the weights, which are positive.
func (spread *Spread) draw(weights []float64) int {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	drawn := spread.context.Random().Float64() * total
	for index, weight := range weights {
		if drawn -= weight; drawn < 0 {
			return index
		}
	}
	return len(weights) - 1
}

// ownRank returns the position of this proxy among the live ones.
func (spread *Spread) ownRank() int {
	for index, proxy := range spread.context.State().Proxies() {
		if proxy.ID() == spread.context.State().Self().ID() {
			return index
		}
	}
	return 0
}

// reportedBusy returns the statements outstanding at an instance by the reports. With
// ChooseByAgedFree, old reports fade to half of the slots, and this proxy's own statements count.
func (spread *Spread) reportedBusy(member *state.Member) float64 {
	total, trust := spread.reported(member)
	if spread.policy.Way != ChooseByAgedFree {
		return total.busy
	}
	const unknownUse = 0.5
	unknown := unknownUse * slotsOf(spread.context, member)
	return trust*total.busy + (1-trust)*unknown + float64(spread.meter(member.ID()).running)
}

// freeSlots returns the free slots of an instance by the reports, at least a small number.
func (spread *Spread) freeSlots(member *state.Member) float64 {
	const least = 0.05
	return max(least, slotsOf(spread.context, member)-spread.reportedBusy(member))
}

// bestOf draws candidates and returns the one with the least busy statements per slot.
func (spread *Spread) bestOf(candidates []*state.Member) *state.Member {
	order := spread.context.Random().Perm(len(candidates))
	best, lowest := candidates[order[0]], 0.0
	for position, index := range order[:min(len(order), spread.policy.Draws)] {
		member := candidates[index]
		use := spread.reportedBusy(member) / slotsOf(spread.context, member)
		if position == 0 || use < lowest {
			best, lowest = member, use
		}
	}
	return best
}

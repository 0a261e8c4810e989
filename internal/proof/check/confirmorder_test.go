package check

import (
	"almondway.dev/almondway/internal/core/heir"
	"almondway.dev/almondway/internal/core/model"
)

// holderSteps adds the states after another proxy has taken the lease, after the holder has a report
// of the primary, and after an order of its own can no longer be carried out.
func (current confirmState) holderSteps(rule confirmer, all []confirmStep) []confirmStep {
	if rule.promoterLost && current.holderCount < maxHolderChanges {
		next := current
		next.holderCount++
		next.holder = current.row
		next.attempt = promotionAttempt{}
		all = append(all, confirmStep{"lease taken, holder", int(next.holderCount), next})
	}
	known := &current.holder
	leads := current.primary != noInstance && !current.servers[current.primary].down
	if leads && (!known.reported || !known.alone || known.term != current.term || known.ordered == current.primary) {
		next := current
		next.holder.reported, next.holder.leader, next.holder.term = true, current.primary, current.term
		if known.ordered == current.primary && (!rule.keepsRepeated || !current.ordered(known.ordered)) {
			next.holder.ordered = noInstance
		}
		next.holder.alone = next.holder.ordered == noInstance || next.holder.ordered == current.primary
		if next != current {
			all = append(all, confirmStep{"reports as primary", int(current.primary), next})
		}
	}
	if known.ordered != noInstance && !current.ordered(known.ordered) {
		next := current
		next.holder.ordered = noInstance
		next.holder.reported = false
		all = append(all, confirmStep{"order expired for", int(known.ordered), next})
	}
	return all
}

// promotionSteps adds the states after a step of an attempt. It can end at any time.
func (current confirmState) promotionSteps(rule confirmer, all []confirmStep) []confirmStep {
	attempt := &current.attempt
	if !attempt.active {
		if current.attemptCount < rule.attempts {
			all = append(all, confirmStep{"attempt by holder", int(current.holderCount), current.withAttempt(rule)})
		}
		if rule.usesOldReports && current.attemptCount < rule.attempts {
			for index := range current.servers {
				if !current.servers[index].down {
					next := current
					next.attempt.tailLength[index], next.attempt.tailTerm[index] = next.servers[index].tail()
					next.attempt.tailKnown[index] = true
					all = append(all, confirmStep{"old report of", index, next})
				}
			}
		}
		return all
	}
	next := current
	next.attempt = promotionAttempt{}
	all = append(all, confirmStep{"attempt abandoned by holder", int(current.holderCount), next})
	for index := range current.servers {
		if current.holder.counted&commitBit(uint8(index)) != 0 && !current.servers[index].down {
			all = append(all, confirmStep{"stopped and reports", index, current.stopped(rule, index)})
		}
	}
	if candidate, ok := current.choice(rule); ok {
		all = append(all, confirmStep{"ordered to lead", int(candidate), current.withPromotion(rule, candidate)})
	}
	return all
}

func (current confirmState) withAttempt(rule confirmer) confirmState {
	old := current.attempt
	current.attemptCount++
	current.tokenCount++
	current.attempt = promotionAttempt{active: true, formerPrimary: noInstance, token: current.tokenCount, pendingCandidate: current.holder.ordered}
	if current.primary != noInstance && current.holder.counted&commitBit(uint8(current.primary)) != 0 {
		current.attempt.formerPrimary = current.primary
	}
	if rule.usesOldReports {
		current.attempt.tailLength, current.attempt.tailTerm, current.attempt.tailKnown = old.tailLength, old.tailTerm, old.tailKnown
	}
	for index := range current.servers {
		server := &current.servers[index]
		server.awaited = !rule.registersLate && !server.absent && !server.ended && !server.listed
	}
	return current
}

// stopped returns the state after an instance has received the order to step down or to pause, and
// has reported its log.
func (current confirmState) stopped(rule confirmer, index int) confirmState {
	attempt := &current.attempt
	switch {
	case int8(index) == attempt.formerPrimary:
		if current.primary == attempt.formerPrimary {
			current.primary = noInstance
			attempt.steppedDown = true
		}
	case int8(index) == current.primary: // it came back, and is the one to step down
		attempt.formerPrimary = int8(index)
		attempt.steppedDown = false
		return current
	case !attempt.steppedDown:
		current.servers[index].paused = true
		attempt.paused[index] = true
	}
	if !rule.usesOldReports || !attempt.tailKnown[index] {
		attempt.tailLength[index], attempt.tailTerm[index] = current.servers[index].tail()
	}
	attempt.tailKnown[index] = true
	return current
}

// choice returns the instance to promote. It asks for the list of instances before, and waits while
// one that ran when the attempt began is not listed. Reports may be as old as the attempt.
func (current *confirmState) choice(rule confirmer) (int8, bool) {
	if current.orderCount == maxOrders {
		return noInstance, false
	}
	attempt := &current.attempt
	var candidates []heir.Candidate
	for index := range current.servers {
		server := &current.servers[index]
		bit := commitBit(uint8(index))
		if server.awaited && !rule.skipsRefresh {
			return noInstance, false
		}
		if current.holder.counted&bit == 0 && (!server.listed || rule.skipsRefresh) {
			continue
		}
		former := int8(index) == attempt.formerPrimary
		tailKnown := attempt.tailKnown[index] && (attempt.paused[index] || attempt.steppedDown)
		candidates = append(candidates, heir.Candidate{
			Instance:      instanceIDs[index],
			Tail:          model.NewMark(model.Term(attempt.tailTerm[index]), model.Position(attempt.tailLength[index])),
			TailKnown:     tailKnown,
			Paused:        tailKnown && attempt.paused[index],
			SteppedDown:   former && attempt.steppedDown,
			LogLost:       server.logLost,
			FormerPrimary: former,
			OrderPending:  int8(index) == attempt.pendingCandidate,
		})
	}
	if current.canRestore(rule) {
		return current.holder.leader, true
	}
	chosen := chooseByProduct(candidates)
	for index, name := range instanceIDs {
		if name == chosen {
			return int8(index), true
		}
	}
	return noInstance, false
}

// canRestore reports whether the last known primary can be promoted again: it has answered in the
// attempt, as a replica of the newest known term with its log.
func (current *confirmState) canRestore(rule confirmer) bool {
	known := &current.holder
	leader := &current.servers[known.leader]
	answered := current.attempt.tailKnown[known.leader] && !leader.down && leader.term == known.term && !leader.logLost
	allowed := rule.restoresLeader && known.alone || rule.restoresAnyLeader
	return allowed && answered && (known.ordered == noInstance || known.ordered == known.leader)
}

// withPromotion returns the state after the order is recorded and sent.
func (current confirmState) withPromotion(rule confirmer, candidate int8) confirmState {
	current.orders[current.orderCount] = promotionOrder{candidate: candidate, token: current.attempt.token}
	current.orderCount++
	if !rule.skipsRefresh {
		for index := range current.servers {
			if current.servers[index].listed {
				current.holder.counted |= commitBit(uint8(index))
			}
		}
	}
	current.holder.ordered = candidate
	current.holder.alone = current.holder.alone && candidate == current.holder.leader
	if !rule.skipsRecord {
		current.row = current.holder
		current.row.reported = false
	}
	current.attempt = promotionAttempt{}
	return current
}

// carryOutSteps adds the states after an order reaches the platform, in any sequence and with any
// delay.
func (current confirmState) carryOutSteps(rule confirmer, all []confirmStep) []confirmStep {
	for index := range int(current.orderCount) {
		next := current
		order := current.orders[index]
		next.orderCount--
		next.orders[index] = next.orders[next.orderCount]
		next.orders[next.orderCount] = promotionOrder{}
		name := "order refused for"
		if (order.token >= current.highestToken || rule.withoutFencing) && !current.servers[order.candidate].down {
			name = "order carried out for"
			next.highestToken = max(order.token, current.highestToken)
			next.promoteServer(order.candidate)
		}
		all = append(all, confirmStep{name, int(order.candidate), next})
	}
	return all
}

// promoteServer makes an instance the primary of the next term. The others follow it later.
func (current *confirmState) promoteServer(candidate int8) {
	if current.primary == candidate {
		return
	}
	current.term++
	current.primary, current.lastPrimary = candidate, candidate
	current.replicated = 0
	promoted := &current.servers[candidate]
	promoted.term, promoted.paused = current.term, false
	for commit := range current.commitCount {
		if !promoted.contains(commit) {
			current.undone |= commitBit(commit)
		}
	}
	current.lost = current.told&current.undone != 0
}

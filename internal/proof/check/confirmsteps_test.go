package check

import (
	"almondway.dev/almondway/internal/core/heir"
	"almondway.dev/almondway/internal/core/model"
)

const maxHolderChanges = 1

// settled reports whether the holder calls the group settled.
func (current *confirmState) settled(rule confirmer) bool {
	holder := &current.holder
	switch {
	case current.attempt.active && !rule.settlesDuringAttempt:
		return false
	case holder.ordered != noInstance && !rule.settlesBeforeOrdersEnd && (!rule.settlesForLeader || holder.ordered != holder.leader):
		return false
	case !holder.reported && !rule.settlesUnseen && (!rule.settlesAlone || !holder.alone):
		return false
	default:
		return rule.settlesUnrecorded || holder.counted&^current.row.counted == 0
	}
}

// confirmSteps adds the states after the proxy passes on a commit, and after it has asked the holder
// without a commit.
func (current confirmState) confirmSteps(rule confirmer, all []confirmStep) []confirmStep {
	settled := current.settled(rule)
	for commit := range current.commitCount {
		bit := commitBit(commit)
		if current.acked&bit == 0 || current.told&bit != 0 {
			continue
		}
		sameTerm := rule.ignoresTerm || current.terms[commit] == current.holder.term || rule.lags && current.terms[commit] > current.holder.term
		if rule.byHolder && settled && sameTerm && (!rule.needsCountedCopy || current.hasCopy(rule, commit, current.holder.counted)) {
			next := current
			next.tell(commit)
			all = append(all, confirmStep{"confirmed by the holder", int(commit), next})
		}
		if rule.byReplica && current.confirmedByReplica(rule, commit) {
			next := current
			next.tell(commit)
			all = append(all, confirmStep{"confirmed by a replica", int(commit), next})
		}
	}
	if rule.byReplica && settled {
		next := current
		next.relied, next.reliedTerm = current.holder.counted, current.holder.term
		for index := range current.servers {
			server := &current.servers[index]
			if rule.reliesOnOwnList && server.listed {
				next.relied |= commitBit(uint8(index))
			}
			restarts := server.down && !rule.ignoresReplicaRestart
			if restarts || server.term != next.reliedTerm && !rule.ignoresReplicaTerm {
				next.relied &^= commitBit(uint8(index))
			}
		}
		all = append(all, confirmStep{"settled, holder", int(current.holderCount), next})
	}
	return all
}

// confirmedByReplica reports whether an instance that the proxy relies on has the commit.
func (current *confirmState) confirmedByReplica(rule confirmer, commit uint8) bool {
	if !rule.ignoresTerm && current.reliedTerm != current.terms[commit] {
		return false
	}
	return current.hasCopy(rule, commit, current.relied) && (rule.ignoresPrimaryRestart || current.relied&commitBit(uint8(current.writers[commit])) != 0)
}

// hasCopy reports whether a replica of the given ones reports a log that covers a commit.
func (current *confirmState) hasCopy(rule confirmer, commit, instances uint8) bool {
	wanted := model.NewMark(model.Term(current.terms[commit]), model.Position(current.positions[commit]))
	for index := range current.servers {
		server := &current.servers[index]
		if instances&commitBit(uint8(index)) == 0 || server.down || int8(index) == current.writers[commit] {
			continue
		}
		if rule.ignoresTerm || server.term == current.terms[commit] {
			if length, term := server.tail(); model.NewMark(model.Term(term), model.Position(length)).Covers(wanted) {
				return true
			}
		}
	}
	return false
}

// processSteps adds the states after an instance starts, crashes, restarts or leaves for good, and
// after it follows the primary of a later term.
func (current confirmState) processSteps(rule confirmer, all []confirmStep) []confirmStep {
	for index := range current.servers {
		server := &current.servers[index]
		switch {
		case server.ended:
			continue
		case server.absent:
			next := current
			next.servers[index].absent, next.servers[index].down = false, false
			next.servers[index].term = current.term
			all = append(all, confirmStep{"joins", index, next})
			continue
		case server.down:
			next := current
			next.restartServer(rule, index)
			all = append(all, confirmStep{"restarts", index, next})
			if rule.losesLogs && int8(index) != current.lastPrimary && (rule.candidateLosesLog || !current.ordered(int8(index))) {
				next.servers[index].member = member{logLost: true}
				next.attempt.tailKnown[index] = next.attempt.tailKnown[index] && rule.candidateLosesLog
				all = append(all, confirmStep{"restarts without its log", index, next})
			}
		case current.crashCount < rule.crashes:
			next := current
			next.crashCount++
			next.servers[index].down = true
			all = append(all, confirmStep{"crashes", index, next})
		}
		if rule.instancesEnd && current.endCount < maxEnds {
			next := current
			next.endCount++
			next.servers[index].member = member{ended: true, down: true}
			all = append(all, confirmStep{"ends", index, next})
		}
		if rule.latePauses && current.attemptCount > 0 && !server.down {
			next := current
			if current.primary == int8(index) {
				next.primary = noInstance
			} else {
				next.servers[index].paused = true
			}
			all = append(all, confirmStep{"late order to stop", index, next})
		}
		if !server.down && server.term < current.term && current.primary != noInstance && !current.servers[current.primary].down {
			next := current
			next.servers[index].term = current.term
			next.servers[index].paused = false
			next.servers[index].truncate(current.servers[current.primary].member)
			all = append(all, confirmStep{"follows the new primary", index, next})
		}
	}
	return all
}

// restartServer starts an instance again. It is no longer paused, and leads again if it has stepped
// down and no other one was promoted.
func (current *confirmState) restartServer(rule confirmer, index int) {
	current.servers[index].down = false
	current.servers[index].paused = false
	if current.primary == noInstance && current.lastPrimary == int8(index) {
		current.primary = current.lastPrimary
	}
	ignored := rule.ignoresReplicaRestart
	if int8(index) == current.lastPrimary {
		ignored = rule.ignoresPrimaryRestart
	}
	if !ignored {
		current.relied &^= commitBit(uint8(index))
	}
}

// ordered reports whether an order in transit names an instance.
func (current *confirmState) ordered(instance int8) bool {
	for _, order := range current.orders[:current.orderCount] {
		if order.candidate == instance {
			return true
		}
	}
	return false
}

// listSteps adds the states after the entry of an instance reaches the store or goes, and after the
// holder has read it, has dropped an instance or has written the lease row.
func (current confirmState) listSteps(rule confirmer, all []confirmStep) []confirmStep {
	for index := range current.servers {
		server := &current.servers[index]
		bit := commitBit(uint8(index))
		counted := current.holder.counted&bit != 0
		next := current
		switch {
		case server.absent:
		case !server.listed && !server.ended:
			next.servers[index].listed, next.servers[index].awaited = true, false
			all = append(all, confirmStep{"registers", index, next})
		case server.listed && !counted:
			next.holder.counted |= bit
			all = append(all, confirmStep{"counted by the holder", index, next})
		}
		if server.listed && server.down && (server.ended || rule.promoterLost || rule.registersLate) && (counted || rule.registersLate) {
			next = current
			next.servers[index].listed = false
			all = append(all, confirmStep{"entry gone", index, next})
		}
		if server.ended && !server.listed && counted && current.canDrop(index) {
			next = current
			next.holder.counted &^= bit
			next.refreshReports()
			all = append(all, confirmStep{"dropped by the holder", index, next})
		}
	}
	next := current
	next.row = current.holder
	next.row.reported = false
	if next.row != current.row {
		all = append(all, confirmStep{"row written by holder", int(current.holderCount), next})
	}
	return all
}

// refreshReports replaces the reports of the attempt by those for which an instance was dropped: a
// holder has one report of each instance.
func (current *confirmState) refreshReports() {
	attempt := &current.attempt
	for index := range current.servers {
		if server := &current.servers[index]; attempt.tailKnown[index] && !server.down {
			attempt.tailLength[index], attempt.tailTerm[index] = server.tail()
			attempt.paused[index] = server.paused
		}
	}
}

// canDrop reports whether an instance that has ended can be dropped, after the primary and the
// others have reported their logs.
func (current *confirmState) canDrop(dropped int) bool {
	if current.primary == noInstance || current.servers[current.primary].down {
		return false
	}
	length, term := current.servers[current.primary].tail()
	var others []heir.Candidate
	for index := range current.servers {
		server := &current.servers[index]
		if index == dropped || int8(index) == current.primary || !server.listed {
			continue
		}
		tailLength, tailTerm := server.tail()
		others = append(others, heir.Candidate{
			Instance:  instanceIDs[index],
			Tail:      model.NewMark(model.Term(max(tailTerm, 1)), model.Position(tailLength)),
			TailKnown: !server.down,
			LogLost:   server.logLost,
		})
	}
	return heir.CanDrop(model.NewMark(model.Term(max(term, 1)), model.Position(length)), others)
}

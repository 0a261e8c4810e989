package check

import (
	"almondway.dev/almondway/internal/core/heir"
	"almondway.dev/almondway/internal/core/model"
)

// maxEnds is the number of instances that leave for good.
const maxEnds = 1

// dropAtOnce drops an instance as soon as it is no longer listed.
func dropAtOnce(model.Mark, []heir.Candidate) bool { return true }

// leaveSteps returns the states after an instance leaves for good, after the promoter has read the
// end of the primary's log since, and after it has dropped the instance.
func (current promotionState) leaveSteps(promoter promoter) []promotionState {
	if !promoter.instancesEnd {
		return nil
	}
	var all []promotionState
	for index := range current.members {
		reporter := current.members[index].neededFrom
		if promoter.countsReporter {
			reporter = noInstance
		}
		leaving := current.members[index]
		switch {
		case leaving.uncounted || leaving.absent:
		case !leaving.ended:
			if current.endCount < maxEnds {
				next := current
				next.endCount++
				next.members[index] = member{ended: true, down: true, logLost: leaving.logLost}
				next.forgetStepDown(index, promoter)
				all = append(all, next)
			}
		case leaving.neededTerm == 0 && current.leads(current.primary):
			next := current
			next.members[index].neededLength, next.members[index].neededTerm = current.primaryTail()
			next.members[index].neededFrom = current.primary
			all = append(all, next)
		case promoter.canDrop(model.NewMark(model.Term(leaving.neededTerm), model.Position(leaving.neededLength)), current.instancesBeside(index, reporter)):
			next := current
			next.members[index] = member{ended: true, down: true, uncounted: true}
			all = append(all, next)
		}
	}
	return all
}

// leads reports whether an instance answers as the primary.
func (current promotionState) leads(index int8) bool {
	return index != noInstance && index == current.primary && !current.members[index].down
}

// primaryTail returns the end of the primary's log. A log without commits ends in the term of the
// primary.
func (current promotionState) primaryTail() (length, term uint8) {
	length, term = current.members[current.primary].tail()
	if length == 0 {
		term = 1
	}
	return length, term
}

// instancesBeside returns what the instances report, but for the one to be dropped and the one that
// reported the end of the primary's log.
func (current promotionState) instancesBeside(dropped int, reporter int8) []heir.Candidate {
	var others []heir.Candidate
	for index := range current.members {
		if index == dropped || int8(index) == reporter {
			continue
		}
		length, term := current.members[index].tail()
		others = append(others, heir.Candidate{
			Instance:  instanceIDs[index],
			Tail:      model.NewMark(model.Term(max(term, 1)), model.Position(length)),
			TailKnown: !current.members[index].down,
			LogLost:   current.members[index].logLost,
		})
	}
	return others
}

package check

// startSteps returns the states after an instance starts for the first time. The promoter counts it
// from then on.
func (current promotionState) startSteps(promoter promoter) []promotionState {
	var all []promotionState
	for index := range current.members {
		if current.members[index].absent {
			next := current
			next.members[index] = member{}
			next.stopStarted(index, promoter)
			all = append(all, next)
		}
	}
	return all
}

// restart starts an instance again. It receives again if it was paused, and leads again if it has
// stepped down and no other one was promoted.
func (current *promotionState) restart(index int, promoter promoter) {
	restarted := &current.members[index]
	restarted.down = false
	if !promoter.instancesStart {
		return
	}
	restarted.paused = false
	if current.primary == noInstance && current.lastPrimary == int8(index) {
		current.primary = current.lastPrimary
	}
	current.stopStarted(index, promoter)
}

// stopStarted stops an instance that has started while an order is in transit to the platform. The
// candidate of the order may receive what is acknowledged, since it is the one to be promoted.
func (current *promotionState) stopStarted(index int, promoter promoter) {
	if !promoter.stopsUntilPromotion || current.orderCount == 0 || current.hasOrderFor(int8(index)) {
		return
	}
	if current.primary == int8(index) {
		current.primary = noInstance
		return
	}
	current.members[index].paused = true
}

// forgetStepDown lets the attempt no longer rely on the step-down of an instance that has stopped
// answering.
func (current *promotionState) forgetStepDown(index int, promoter promoter) {
	if promoter.verifiesStepDown && current.attempt.formerPrimary == int8(index) {
		current.attempt.steppedDown = false
	}
}

// Package heir decides which instance of a group may be promoted without losing an
// acknowledged commit, where the instances acknowledge commits themselves.
package heir

import (
	"slices"

	"almondway.dev/almondway/internal/core/model"
)

// Candidate is what an instance reported after an attempt to promote began. Its
// fields are open, since it lists what is known.
type Candidate struct {
	Instance model.InstanceID
	// Tail is the end of its log.
	Tail model.Mark
	// TailKnown is set when Tail was reported after nothing more could be acknowledged
	// with the instance's help.
	TailKnown bool
	// Paused is set when it receives nothing by an order.
	Paused bool
	// SteppedDown is set for the former primary when it stepped down, so that it acknowledges nothing more.
	SteppedDown bool
	// LogLost is set when it lost its log and may lack acknowledged commits.
	LogLost bool
	// Leaving is set when it shuts down soon.
	Leaving bool
	// FormerPrimary is set for the instance that led before.
	FormerPrimary bool
	// OrderPending is set when an order to promote it may still be carried out.
	OrderPending bool
}

// Choose returns the instance that may be promoted without losing an
// acknowledged commit, or why there is none yet. A commit is acknowledged once the
// primary and at least one replica have it. So nothing more is acknowledged when
// the primary has stepped down, or when every replica that counts is paused; and
// the highest log then has all that was acknowledged, if all logs that can have it
// are known. settled tells that no more of the former primary's log is on its way
// to the replicas.
//
// While an order for one instance may still be carried out, no other is chosen:
// the first could lead for a moment and have commits that the second lacks.
func Choose(readings []Candidate, replicas int, settled bool) (model.InstanceID, string) {
	chosen, reason := chooseByLog(readings, replicas, settled)
	for _, reading := range readings {
		if reading.OrderPending && chosen != "" && chosen != reading.Instance {
			return "", "an order for instance " + string(reading.Instance) + " may still be carried out"
		}
	}
	return chosen, reason
}

func chooseByLog(readings []Candidate, replicas int, settled bool) (model.InstanceID, string) {
	if replicas == 0 {
		return mostAdvanced(readings), "no replica is waited for"
	}
	for _, former := range readings {
		if former.FormerPrimary && former.SteppedDown {
			return chooseAfterStepDown(readings, former, settled)
		}
	}
	for _, reading := range readings {
		if reading.FormerPrimary {
			continue
		}
		if !reading.TailKnown {
			return "", "instance " + string(reading.Instance) + " is not known to have stopped"
		}
		if !reading.Paused {
			return "", "instance " + string(reading.Instance) + " is not paused"
		}
		if reading.LogLost {
			return "", "instance " + string(reading.Instance) + " lost its log"
		}
	}
	return mostAdvanced(replicasOf(readings)), "every replica is paused"
}

// chooseAfterStepDown chooses where the former primary has stepped down: its log has all
// that was acknowledged, so whoever covers it will do. The former primary itself
// is the last resort.
func chooseAfterStepDown(readings []Candidate, former Candidate, settled bool) (model.InstanceID, string) {
	replicas := replicasOf(readings)
	best := mostAdvanced(replicas)
	all := best != ""
	for _, reading := range replicas {
		if reading.Instance == best && !former.LogLost && reading.Tail.Covers(former.Tail) {
			return best, "it has the whole log of the former primary"
		}
		all = all && reading.TailKnown && !reading.LogLost
	}
	switch {
	case !settled:
		return "", "no replica has the whole log of the former primary yet"
	case all:
		return best, "the former primary stepped down and every other log is known"
	case former.TailKnown && !former.LogLost:
		return former.Instance, "only the former primary is known to have all"
	default:
		return "", "no known log is sure to have all"
	}
}

func replicasOf(readings []Candidate) []Candidate {
	var replicas []Candidate
	for _, reading := range readings {
		if !reading.FormerPrimary {
			replicas = append(replicas, reading)
		}
	}
	return replicas
}

// mostAdvanced returns the known instance with the highest mark; of equal ones, one
// that was ordered already, then one that stays, and then the first by name.
func mostAdvanced(readings []Candidate) model.InstanceID {
	sorted := slices.Clone(readings)
	slices.SortFunc(sorted, func(left, right Candidate) int {
		switch {
		case left.TailKnown != right.TailKnown:
			return preferLeft(left.TailKnown)
		case left.Tail != right.Tail:
			return preferLeft(left.Tail.Covers(right.Tail))
		case left.OrderPending != right.OrderPending:
			// An order that may still run must not overtake one for another instance.
			return preferLeft(left.OrderPending)
		case left.Leaving != right.Leaving:
			return preferLeft(right.Leaving)
		case left.Instance < right.Instance:
			return -1
		default:
			return 1
		}
	})
	if len(sorted) == 0 || !sorted[0].TailKnown {
		return ""
	}
	return sorted[0].Instance
}

func preferLeft(first bool) int {
	if first {
		return -1
	}
	return 1
}

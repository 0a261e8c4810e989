package elect

import (
	"slices"

	"almondway.dev/almondway/internal/core/model"
)

// reading is what an instance reported after an attempt began.
type reading struct {
	instance model.InstanceID
	// tail is the end of its log.
	tail model.Mark
	// known is set when the instance answered after nothing more could be acknowledged.
	known bool
	// paused is set when it reported that it receives nothing by the attempt's order.
	paused bool
	// stepped is set for the former primary when it stepped down, so that it acknowledges nothing more.
	stepped bool
	// emptied is set when it lost its log and may lack acknowledged commits.
	emptied bool
	// leaving is set when it shuts down soon.
	leaving bool
	// former is set for the instance that led before.
	former bool
}

// candidate returns the instance that may be promoted without losing an
// acknowledged commit, or why there is none yet. A commit is acknowledged once the
// primary and at least one replica have it. So nothing more is acknowledged when
// the primary has stepped down, or when every replica that counts is paused; and
// the highest log then has all that was acknowledged, if all logs that can have it
// are known. settled tells that no more of the former primary's log is on its way
// to the replicas.
func candidate(readings []reading, replicas int, settled bool) (model.InstanceID, string) {
	if replicas == 0 {
		return fullest(readings), "no replica is waited for"
	}
	for _, former := range readings {
		if former.former && former.stepped {
			return behindFormer(readings, former, settled)
		}
	}
	for _, reading := range readings {
		if reading.former {
			continue
		}
		if !reading.known {
			return "", "instance " + string(reading.instance) + " is not known to have stopped"
		}
		if !reading.paused {
			return "", "instance " + string(reading.instance) + " is not paused"
		}
		if reading.emptied {
			return "", "instance " + string(reading.instance) + " lost its log"
		}
	}
	return fullest(replicasOf(readings)), "every replica is paused"
}

// behindFormer chooses where the former primary has stepped down: its log has all
// that was acknowledged, so whoever covers it will do. The former primary itself
// is the last resort.
func behindFormer(readings []reading, former reading, settled bool) (model.InstanceID, string) {
	replicas := replicasOf(readings)
	best := fullest(replicas)
	all := best != ""
	for _, reading := range replicas {
		if reading.instance == best && reading.tail.Covers(former.tail) {
			return best, "it has the whole log of the former primary"
		}
		all = all && reading.known && !reading.emptied
	}
	switch {
	case !settled:
		return "", "no replica has the whole log of the former primary yet"
	case all:
		return best, "the former primary stepped down and every other log is known"
	default:
		return former.instance, "only the former primary is known to have all"
	}
}

func replicasOf(readings []reading) []reading {
	var replicas []reading
	for _, reading := range readings {
		if !reading.former {
			replicas = append(replicas, reading)
		}
	}
	return replicas
}

// fullest returns the known instance with the highest mark; of equal ones, one
// that stays, and then the first by name.
func fullest(readings []reading) model.InstanceID {
	sorted := slices.Clone(readings)
	slices.SortFunc(sorted, func(left, right reading) int {
		switch {
		case left.known != right.known:
			return order(left.known)
		case left.tail != right.tail:
			return order(left.tail.Covers(right.tail))
		case left.leaving != right.leaving:
			return order(right.leaving)
		case left.instance < right.instance:
			return -1
		default:
			return 1
		}
	})
	if len(sorted) == 0 || !sorted[0].known {
		return ""
	}
	return sorted[0].instance
}

func order(first bool) int {
	if first {
		return -1
	}
	return 1
}

// Package heir selects the instance of a group that can be promoted without losing
// an acknowledged commit. It applies to groups whose instances acknowledge commits
// themselves, without the proxies.
package heir

import (
	"slices"

	"almondway.dev/almondway/internal/core/model"
)

// Candidate describes an instance of the group during a promotion attempt. It is a
// plain record, so its fields are exported.
type Candidate struct {
	Instance model.InstanceID
	// Tail is the last reported end of the instance's log.
	Tail model.Mark
	// TailKnown is set when Tail was reported at a time when the instance could no
	// longer take part in acknowledging a commit.
	TailKnown bool
	// Paused is set when an order has stopped replication to the instance.
	Paused bool
	// SteppedDown is set when the former primary has stepped down and acknowledges no
	// further commits.
	SteppedDown bool
	// LogLost is set when the instance lost its log and may lack acknowledged commits.
	LogLost bool
	// Leaving is set when the instance is about to shut down.
	Leaving bool
	// FormerPrimary is set for the instance that was primary before the attempt.
	FormerPrimary bool
	// OrderPending is set when an order to promote the instance may still be carried out.
	OrderPending bool
}

// Choose returns the instance that can be promoted without losing an acknowledged
// commit, and the reason for the choice. If no instance is safe yet, the returned
// ID is empty and the reason names the obstacle.
//
// A commit is acknowledged once the primary and at least one replica have it. So no
// further commit is acknowledged after the primary has stepped down, or while every
// replica in candidates is paused. The most advanced log then contains every
// acknowledged commit, provided that every log that could contain one is known.
// replicas is the number of replicas for which the primary waits before it
// acknowledges a commit; 0 means that it waits for none. settled reports that no part
// of the former primary's log is still in transit to the replicas.
//
// While an order for one instance may still be carried out, no other instance is
// chosen: the first one could become primary for a moment and acknowledge commits
// that the second one lacks.
func Choose(candidates []Candidate, replicas int, settled bool) (model.InstanceID, string) {
	chosen, reason := chooseByLog(candidates, replicas, settled)
	for _, candidate := range candidates {
		if candidate.OrderPending && chosen != "" && chosen != candidate.Instance {
			return "", "an order to promote instance " + string(candidate.Instance) + " may still be carried out"
		}
	}
	return chosen, reason
}

func chooseByLog(candidates []Candidate, replicas int, settled bool) (model.InstanceID, string) {
	if replicas == 0 {
		return mostAdvanced(candidates), "commits need no acknowledgment by a replica"
	}
	for _, candidate := range candidates {
		if candidate.FormerPrimary && candidate.SteppedDown {
			return chooseAfterStepDown(candidates, candidate, settled)
		}
	}
	for _, candidate := range candidates {
		if candidate.FormerPrimary {
			continue
		}
		if !candidate.TailKnown {
			return "", "instance " + string(candidate.Instance) + " may still acknowledge commits"
		}
		if !candidate.Paused {
			return "", "instance " + string(candidate.Instance) + " is not paused"
		}
		if candidate.LogLost {
			return "", "instance " + string(candidate.Instance) + " lost its log"
		}
	}
	return mostAdvanced(replicasOf(candidates)), "every replica is paused"
}

// chooseAfterStepDown selects an instance after the former primary has stepped down.
// The log of the former primary contains every acknowledged commit, so any replica
// whose log covers it is safe. One that is leaving is not chosen while another replica may
// still receive that log. The former primary itself is the last choice.
func chooseAfterStepDown(candidates []Candidate, former Candidate, settled bool) (model.InstanceID, string) {
	replicas := replicasOf(candidates)
	best := mostAdvanced(replicas)
	allKnown := best != ""
	for _, candidate := range replicas {
		if candidate.Instance == best && !former.LogLost && candidate.Tail.Covers(former.Tail) {
			if candidate.Leaving && !candidate.OrderPending && !settled && hasStaying(replicas) {
				return "", "no replica that is not leaving has the whole log of the former primary yet"
			}
			return best, "it has the whole log of the former primary"
		}
		allKnown = allKnown && candidate.TailKnown && !candidate.LogLost
	}
	switch {
	case !settled:
		return "", "no replica has the whole log of the former primary yet"
	case allKnown:
		return best, "the former primary stepped down and the log positions of all replicas are known"
	case former.TailKnown && !former.LogLost:
		return former.Instance, "only the former primary is known to have every acknowledged commit"
	default:
		return "", "no known log is certain to contain every acknowledged commit"
	}
}

// CanDrop reports whether an instance that has ended need not be a candidate any more. needed is an
// end of the primary's log that was reported after the instance had ended, or the zero Mark if none
// was. others are the remaining instances without the one that reported needed.
//
// Every commit that the instance has acknowledged is in the log of that primary up to needed. Once
// another instance has all of it, two of the remaining candidates have every acknowledged commit, as
// after its acknowledgement. It survives the loss of one of them, also that of the primary.
func CanDrop(needed model.Mark, others []Candidate) bool {
	return !needed.IsZero() && slices.ContainsFunc(others, func(other Candidate) bool {
		return other.TailKnown && !other.LogLost && other.Tail.Covers(needed)
	})
}

// hasStaying reports whether any of the replicas is not leaving.
func hasStaying(replicas []Candidate) bool {
	return slices.ContainsFunc(replicas, func(replica Candidate) bool { return !replica.Leaving && !replica.LogLost })
}

func replicasOf(candidates []Candidate) []Candidate {
	var replicas []Candidate
	for _, candidate := range candidates {
		if !candidate.FormerPrimary {
			replicas = append(replicas, candidate)
		}
	}
	return replicas
}

// mostAdvanced returns the candidate with the highest known tail. Ties go first to
// the candidate with a pending order, then to one that is not leaving, then to the
// lowest instance ID. The result is empty if no tail is known.
func mostAdvanced(candidates []Candidate) model.InstanceID {
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(left, right Candidate) int {
		switch {
		case left.TailKnown != right.TailKnown:
			return preferLeft(left.TailKnown)
		case left.Tail != right.Tail:
			return preferLeft(left.Tail.Covers(right.Tail))
		case left.OrderPending != right.OrderPending:
			// Choosing the candidate with the pending order avoids concurrent orders for two
			// instances, which could be carried out in either order.
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

func preferLeft(left bool) int {
	if left {
		return -1
	}
	return 1
}

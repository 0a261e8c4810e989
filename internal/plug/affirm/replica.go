package affirm

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/count"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/state"
)

const (
	// probeTimeout is the time after which a probe of a replica counts as unanswered.
	probeTimeout = 300 * time.Millisecond
	// minProbeDelay and maxProbeDelay are the first and the longest time between two rounds of probes.
	minProbeDelay = 10 * time.Millisecond
	maxProbeDelay = 50 * time.Millisecond
	// minFailureDelay and maxFailureDelay are the first and the longest time for which an instance is not
	// asked again that is full: many proxies may share its few connections.
	minFailureDelay = 100 * time.Millisecond
	maxFailureDelay = time.Second
)

// listed is since when this proxy has had a process of an instance in the list.
type listed struct {
	listing model.Listing
	since   time.Duration
}

// probe is an outstanding probe of a replica.
type probe struct {
	group    model.GroupID
	instance model.InstanceID
}

// failure is the delay after the last probes of an instance that was full, and its end.
type failure struct {
	delay time.Duration
	until time.Duration
}

// probeFailed delays the next probe of an instance that is full, by twice the delay before.
func (affirm *Affirm) probeFailed(received event.ProbeFailed) {
	if _, ok := affirm.probes[received.Probe()]; !ok {
		return
	}
	delete(affirm.probes, received.Probe())
	if received.Reason() != model.ConnFailureFull {
		return
	}
	delay := min(max(2*affirm.failures[received.Instance()].delay, minFailureDelay), maxFailureDelay)
	affirm.failures[received.Instance()] = failure{delay: delay, until: affirm.context.Now() + delay}
}

func (affirm *Affirm) recordListed(id model.InstanceID) {
	group := affirm.context.State().GroupOf(id)
	if group == nil {
		return
	}
	affirm.recordMember(group.Member(id))
}

func (affirm *Affirm) recordAllListed() {
	present := make(map[model.InstanceID]bool)
	for _, group := range affirm.context.State().Groups() {
		for _, member := range group.Members() {
			if affirm.recordMember(member); !member.Unlisted() {
				present[member.ID()] = true
			}
		}
	}
	maps.DeleteFunc(affirm.listed, func(id model.InstanceID, _ listed) bool { return !present[id] })
}

func (affirm *Affirm) recordMember(member *state.Member) {
	if member.Unlisted() {
		delete(affirm.listed, member.ID())
		return
	}
	known, ok := affirm.listed[member.ID()]
	if !ok || startedAgain(known.listing, member.Listing()) {
		known.since = affirm.context.Now()
	}
	known.listing = member.Listing()
	affirm.listed[member.ID()] = known
}

// startedAgain reports whether an entry is of another process of the instance than the one before.
func startedAgain(before, listing model.Listing) bool {
	return listing.Born() != before.Born() || listing.Sequence() < before.Sequence() || listing.WarmUpRemaining() > before.WarmUpRemaining()
}

// canConfirm reports whether a promotion that undoes a commit of another instance in the term is
// impossible once the instance reports that it has the commit. Every later promotion waits for its log:
// it counted, and followed the term, at a time at which none was under way.
func (affirm *Affirm) canConfirm(group model.GroupID, id model.InstanceID, term model.Term) bool {
	if affirm.holder.isolated() {
		return false
	}
	last, contacted := affirm.holder.settled[group]
	known, ok := affirm.listed[id]
	return ok && contacted && known.since < last.at && last.term == term && slices.Contains(last.followers, id)
}

// confirms reports whether the replica can confirm the commit. The instance that acknowledged it must not
// have restarted either: it may lead again after it has stepped down.
func (affirm *Affirm) confirms(group model.GroupID, replica model.InstanceID, item *waiting) bool {
	return item.commit.Instance != replica && affirm.canConfirm(group, replica, item.term) && affirm.canConfirm(group, item.commit.Instance, item.term)
}

// questions returns what the holder is asked: the groups with commits that wait, and others by turns.
func (affirm *Affirm) questions() []model.GroupTerm {
	var questions []model.GroupTerm
	for _, group := range affirm.waitingGroups() {
		newest := slices.MaxFunc(group.commits, func(one, other *waiting) int { return cmp.Compare(one.term, other.term) })
		questions = append(questions, model.NewGroupTerm(group.id, newest.term, newest.commit.Instance))
	}
	all := affirm.context.State().Groups()
	for range min(maxAskedGroups, len(all)) {
		affirm.holder.refreshed++
		id := all[affirm.holder.refreshed%len(all)].ID()
		if affirm.concerns(id) && !slices.ContainsFunc(questions, func(asked model.GroupTerm) bool { return asked.Group() == id }) {
			questions = append(questions, model.NewGroupTerm(id, 0))
		}
	}
	return questions
}

// startProbes asks the replicas of a group at once, or minProbeDelay after the last time.
func (affirm *Affirm) startProbes(group *group) {
	if len(group.commits) > 0 && (group.probeTimer == 0 || group.probeDelay > minProbeDelay) {
		group.probeDelay = minProbeDelay
		affirm.scheduleProbes(group)
	}
}

func (affirm *Affirm) scheduleProbes(group *group) {
	timers := affirm.context.Timers()
	timers.Cancel(group.probeTimer)
	if wait := group.probedAt + group.probeDelay - timers.Now(); group.probedAt > 0 && wait > 0 {
		group.probeTimer = timers.After(wait, func() { affirm.sendProbes(group) })
		return
	}
	affirm.sendProbes(group)
}

// sendProbes asks the replicas that can confirm a commit, and schedules the next round while no holder
// answers.
func (affirm *Affirm) sendProbes(group *group) {
	group.probeTimer = 0
	members := affirm.context.State().Group(group.id)
	if !affirm.holder.lost && !group.unanswered || len(group.commits) == 0 || members == nil {
		return
	}
	for _, member := range members.Members() {
		if !affirm.isProbed(member.ID()) && affirm.context.Now() >= affirm.failures[member.ID()].until && affirm.isNeeded(group, member.ID()) {
			id := model.ProbeID(affirm.context.NextID())
			affirm.probes[id] = probe{group: group.id, instance: member.ID()}
			affirm.context.Emit(event.NewProbe(id, member.ID(), member.Instance().Address(), probeTimeout).WithGroup(group.id))
		}
	}
	group.probedAt = affirm.context.Now()
	group.probeTimer = affirm.context.Timers().After(group.probeDelay, func() { affirm.sendProbes(group) })
	group.probeDelay = min(2*group.probeDelay, maxProbeDelay)
}

func (affirm *Affirm) isProbed(id model.InstanceID) bool {
	return slices.ContainsFunc(slices.Collect(maps.Values(affirm.probes)), func(probe probe) bool { return probe.instance == id })
}

// isNeeded reports whether a commit waits that the instance can confirm.
func (affirm *Affirm) isNeeded(group *group, id model.InstanceID) bool {
	return slices.ContainsFunc(group.commits, func(item *waiting) bool {
		return affirm.confirms(group.id, id, item)
	})
}

// statusReported ends the waits that a report of a replica decides. A log of a newer term may lack the
// commit although it is longer.
func (affirm *Affirm) statusReported(received event.StatusReported) {
	asked, ok := affirm.probes[received.Probe()]
	if !ok {
		return
	}
	delete(affirm.probes, received.Probe())
	delete(affirm.failures, received.Instance())
	group, status := affirm.group(asked.group), received.Status()
	var done []ended
	for _, item := range group.commits {
		mark := item.commit.Mark
		switch {
		case status.Fence() > item.term || status.Tail().Term() > item.term:
			done = append(done, ended{waiting: item, confirmation: route.CommitSuperseded, reason: "replica " + string(asked.instance) + " has a newer term"})
		case status.Role() != model.RoleReplica || !affirm.confirms(group.id, asked.instance, item):
		case !mark.IsZero() && status.Tail().Term() == mark.Term() && status.Tail().Covers(mark):
			affirm.context.State().Counts().Add(count.CommitsConfirmedByReplica)
			done = append(done, ended{waiting: item, confirmation: route.CommitConfirmed, reason: "confirmed by the log of replica " + string(asked.instance)})
		}
	}
	affirm.end(done)
}

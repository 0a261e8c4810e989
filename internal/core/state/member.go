package state

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
)

// Member is the view of one instance of a group.
type Member struct {
	instance         model.Instance
	status           model.Status
	sentAt           time.Duration
	reported         bool
	replicated       model.Mark
	failures         int
	failure          model.ConnFailure
	listedLeaving    bool
	announcedLeaving bool
	drained          bool
	recovery         recovery
	listing          model.Listing
	unlisted         bool
}

// Instance returns the instance as listed by the platform.
func (member *Member) Instance() model.Instance { return member.instance }

// ID returns the name of the instance.
func (member *Member) ID() model.InstanceID { return member.instance.ID() }

// Status returns the last report; it is the zero Status before the first one.
func (member *Member) Status() model.Status { return member.status }

// SentAt returns when the probe of the last report was sent.
func (member *Member) SentAt() time.Duration { return member.sentAt }

// Reported reports whether any status report or list entry was received.
func (member *Member) Reported() bool { return member.reported }

// Failures returns how many probes have failed since the last report.
func (member *Member) Failures() int { return member.failures }

// Failure returns the reason of the last probe failure.
func (member *Member) Failure() model.ConnFailure { return member.failure }

// ReplicatedMark returns the highest Mark that the instance is known to have held
// while fenced with the term of the Mark.
func (member *Member) ReplicatedMark() model.Mark { return member.replicated }

// Leaving reports whether the instance takes no new work, according to its own
// report, the host list, another proxy or an operator.
func (member *Member) Leaving() bool {
	return member.status.Leaving() || member.listedLeaving || member.announcedLeaving || member.drained
}

// Listing returns the last entry that the instance published in the platform's list.
func (member *Member) Listing() model.Listing { return member.listing }

// SetListing records the entry that the instance published in the platform's list.
// maxConns is the maximum number of connections that the instance accepts.
func (member *Member) SetListing(listing model.Listing, maxConns int) {
	member.listing = listing
	member.instance = listing.Instance()
	member.setMaxConns(maxConns)
	member.listedLeaving = listing.Leaving()
	member.unlisted = false
	member.reported = true
}

// setMaxConns records the maximum number of connections that the instance accepts. It runs no more
// statements at once, however many slots it lists.
func (member *Member) setMaxConns(maxConns int) {
	slots := max(member.instance.Slots(), member.listing.Instance().Slots())
	if maxConns > 0 {
		slots = min(slots, maxConns)
	}
	member.instance = member.instance.WithCapacity(slots, maxConns)
}

// Unlisted reports whether the instance's entry is no longer in the platform's list.
func (member *Member) Unlisted() bool { return member.unlisted }

// SetUnlisted records that the instance's entry is no longer in the platform's
// list. The next SetListing resets it.
func (member *Member) SetUnlisted() { member.unlisted = true }

// SetListedLeaving records whether the host list shows the instance as leaving.
func (member *Member) SetListedLeaving(leaving bool) { member.listedLeaving = leaving }

// SetAnnouncedLeaving records whether another proxy or a refusal showed the
// instance as leaving.
func (member *Member) SetAnnouncedLeaving(leaving bool) { member.announcedLeaving = leaving }

// SetDrained records whether an operator has put the instance into drain.
func (member *Member) SetDrained(drained bool) { member.drained = drained }

// Drained reports whether an operator has put the instance into drain.
func (member *Member) Drained() bool { return member.drained }

// Serves reports whether the instance may serve reads and writes of term.
func (member *Member) Serves(term model.Term) bool {
	return member.reported && member.failures == 0 && member.status.InTerm(term)
}

// View returns a snapshot for operators.
func (member *Member) View(now time.Duration) model.InstanceView {
	return model.NewInstanceView(member.instance, member.status, now-member.sentAt, member.reported && member.failures == 0, member.Leaving())
}

func (member *Member) reportedSince(since time.Duration) bool {
	return member.reported && member.sentAt >= since && !member.Recovering()
}

func (member *Member) recordReplicated(mark model.Mark) {
	if mark.Covers(member.replicated) {
		member.replicated = mark
	}
}

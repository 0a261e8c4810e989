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
	failure          model.FailReason
	listedLeaving    bool
	announcedLeaving bool
	drained          bool
	recovery         recovery
	listing          model.Listing
	unlisted         bool
}

// Instance returns the instance as the platform lists it.
func (member *Member) Instance() model.Instance { return member.instance }

// ID returns the name of the instance.
func (member *Member) ID() model.InstanceID { return member.instance.ID() }

// Status returns the last report; it is the zero Status before the first one.
func (member *Member) Status() model.Status { return member.status }

// SentAt returns when the probe behind the last report was sent.
func (member *Member) SentAt() time.Duration { return member.sentAt }

// Reported reports whether any report was received.
func (member *Member) Reported() bool { return member.reported }

// Failures returns how many probes failed since the last report.
func (member *Member) Failures() int { return member.failures }

// Failure returns why the last failed probe failed.
func (member *Member) Failure() model.FailReason { return member.failure }

// ReplicatedMark returns the highest Mark that the instance is known to have held while
// it was fenced with the term of the Mark.
func (member *Member) ReplicatedMark() model.Mark { return member.replicated }

// Leaving reports whether the instance takes no new work: by its own report, by
// the host list, by another proxy or by an operator.
func (member *Member) Leaving() bool {
	return member.status.Leaving() || member.listedLeaving || member.announcedLeaving || member.drained
}

// Listing returns what the instance last said of itself in the platform's list.
func (member *Member) Listing() model.Listing { return member.listing }

// SetListing records what the instance says of itself in the platform's list. conns is
// how many connections it takes.
func (member *Member) SetListing(listing model.Listing, conns int) {
	member.listing = listing
	member.instance = listing.Instance().WithCapacity(listing.Instance().Slots(), conns)
	member.listedLeaving = listing.Leaving()
	member.unlisted = false
	member.reported = true
}

// Unlisted reports whether the instance's entry is gone from the platform's list.
func (member *Member) Unlisted() bool { return member.unlisted }

// SetUnlisted records that the entry is gone.
func (member *Member) SetUnlisted() { member.unlisted = true }

// SetListedLeaving records whether the host list says that the instance leaves.
func (member *Member) SetListedLeaving(leaving bool) { member.listedLeaving = leaving }

// SetAnnouncedLeaving records whether another proxy or a refusal said that the instance leaves.
func (member *Member) SetAnnouncedLeaving(leaving bool) { member.announcedLeaving = leaving }

// SetDrained records whether an operator drains the instance.
func (member *Member) SetDrained(drained bool) { member.drained = drained }

// Drained reports whether an operator drains the instance.
func (member *Member) Drained() bool { return member.drained }

// Serves reports whether the instance may serve reads and writes of term.
func (member *Member) Serves(term model.Term) bool {
	return member.reported && member.failures == 0 && member.status.InTerm(term)
}

// View returns a copy for operators.
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

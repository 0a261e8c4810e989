package state

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
)

// Member is the view of one instance of a group.
type Member struct {
	instance  model.Instance
	status    model.Status
	sentAt    time.Duration
	heard     bool
	proof     model.Mark
	failures  int
	failure   model.FailReason
	listed    bool
	announced bool
	drained   bool
	recovery  recovery
	listing   model.Listing
	lapsed    bool
}

// Instance returns the instance as the platform lists it.
func (member *Member) Instance() model.Instance { return member.instance }

// ID returns the name of the instance.
func (member *Member) ID() model.InstanceID { return member.instance.ID() }

// Status returns the last report; it is the zero Status before the first one.
func (member *Member) Status() model.Status { return member.status }

// SentAt returns when the probe behind the last report was sent.
func (member *Member) SentAt() time.Duration { return member.sentAt }

// Heard reports whether any report was received.
func (member *Member) Heard() bool { return member.heard }

// Failures returns how many probes failed since the last report.
func (member *Member) Failures() int { return member.failures }

// Failure returns why the last failed probe failed.
func (member *Member) Failure() model.FailReason { return member.failure }

// Proof returns the highest Mark that the instance is known to have held while
// it was fenced with the term of the Mark.
func (member *Member) Proof() model.Mark { return member.proof }

// Leaving reports whether the instance takes no new work: by its own report, by
// the host list, by another proxy or by an operator.
func (member *Member) Leaving() bool {
	return member.status.Leaving() || member.listed || member.announced || member.drained
}

// Listing returns what the instance last said of itself in the platform's list.
func (member *Member) Listing() model.Listing { return member.listing }

// List records what the instance says of itself in the platform's list. conns is
// how many connections it takes.
func (member *Member) List(listing model.Listing, conns int) {
	member.listing = listing
	member.instance = listing.Instance().WithCapacity(listing.Instance().Slots(), conns)
	member.listed = listing.Leaving()
	member.lapsed = false
	member.heard = true
}

// Lapsed reports whether the instance's entry is gone from the platform's list.
func (member *Member) Lapsed() bool { return member.lapsed }

// Lapse records that the entry is gone.
func (member *Member) Lapse() { member.lapsed = true }

// SetListed records whether the host list says that the instance leaves.
func (member *Member) SetListed(leaving bool) { member.listed = leaving }

// SetAnnounced records whether another proxy or a refusal said that the instance leaves.
func (member *Member) SetAnnounced(leaving bool) { member.announced = leaving }

// SetDrained records whether an operator drains the instance.
func (member *Member) SetDrained(drained bool) { member.drained = drained }

// Drained reports whether an operator drains the instance.
func (member *Member) Drained() bool { return member.drained }

// Serves reports whether the instance may serve reads and writes of term.
func (member *Member) Serves(term model.Term) bool {
	return member.heard && member.failures == 0 && member.status.InTerm(term)
}

// View returns a copy for operators.
func (member *Member) View(now time.Duration) model.InstanceView {
	return model.NewInstanceView(member.instance, member.status, now-member.sentAt, member.heard && member.failures == 0, member.Leaving())
}

func (member *Member) reportedSince(since time.Duration) bool {
	return member.heard && member.sentAt >= since && !member.Recovering()
}

func (member *Member) prove(mark model.Mark) {
	if mark.Covers(member.proof) {
		member.proof = mark
	}
}

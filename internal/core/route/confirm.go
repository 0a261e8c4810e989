package route

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
)

// The names under which Promoter and Confirmations are provided.
const (
	PromoterService      = "promoter"
	ConfirmationsService = "confirmations"
)

// Promoter tells whether promotions may be under way, and which proxy orders them.
type Promoter interface {
	// Settlement answers for this proxy whether groups are settled. The answer is a referral unless
	// this proxy orders promotions. groups may name an instance that has acknowledged commits, and
	// their term.
	Settlement(groups []model.GroupTerm) model.Settlement
	// Recorded returns the groups that were settled when the store was last asked, with their terms and
	// instances, and when that was.
	Recorded() ([]model.GroupTerm, time.Duration)
	// SeekHolder reads soon from the store which proxy orders promotions.
	SeekHolder()
}

// ConfirmationID identifies a wait for a confirmation. The zero ConfirmationID identifies none.
type ConfirmationID uint64

// Confirmation is what is known about a commit that an instance has acknowledged.
type Confirmation int

const (
	// CommitConfirmed states that no promotion undoes the commit.
	CommitConfirmed Confirmation = iota
	// CommitSuperseded states that another instance leads a newer term, which may lack the commit.
	CommitSuperseded
)

// Commit is a commit that an instance has acknowledged. It is a plain record, so its fields are
// exported.
type Commit struct {
	Job      *Job
	Instance model.InstanceID
	// Mark is the end of the log of the instance after the commit.
	Mark model.Mark
}

// Confirmations tells from when on the acknowledgement of a commit may be passed on to its caller: as
// soon as no promotion can undo the commit any more.
type Confirmations interface {
	// Await calls done once the commit is confirmed or superseded. The ConfirmationID is zero if done
	// was called immediately.
	Await(commit Commit, done func(confirmation Confirmation)) ConfirmationID
	// EndWait ends a wait without a confirmation: the outcome of the commit is reported as unknown, or
	// its caller has disconnected.
	EndWait(id ConfirmationID, reason string)
	// Refusal returns when to come back if writes of a group are refused, since commits have waited for
	// too long, and whether they are.
	Refusal(group model.GroupID) (time.Duration, bool)
}

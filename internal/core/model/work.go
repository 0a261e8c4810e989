package model

import "time"

// Step is the transaction step of a Work.
type Step int

// The steps of a transaction on a backend connection.
const (
	// StepSingle runs one statement as a transaction of its own.
	StepSingle Step = iota
	// StepFirst opens a transaction and runs its first statement.
	StepFirst
	// StepNext runs a further statement of the open transaction.
	StepNext
	// StepCommit commits the open transaction.
	StepCommit
	// StepRollback rolls the open transaction back.
	StepRollback
	// StepDescribe asks for the types of a statement and runs nothing.
	StepDescribe
	// StepSettle inserts a tombstone into the request ledger, so that a request
	// whose row is not there yet can never run.
	StepSettle
	// StepConfirmPrimary proves that the instance leads: an empty transaction that may write.
	StepConfirmPrimary
	// StepTrim deletes the ledger rows that are older than the retention time.
	StepTrim
)

// WorkSpec lists the fields of a new Work.
type WorkSpec struct {
	Step        Step
	Write       bool
	FencingTerm Term
	After       Mark
	LedgerID    string
	Digest      uint64
	Statement   Payload
	Timeout     time.Duration
}

// Work is what a backend connection is asked to execute. It is immutable.
type Work struct {
	spec WorkSpec
}

// NewWork returns the Work that spec describes.
func NewWork(spec WorkSpec) *Work { return &Work{spec: spec} }

// Step returns the transaction step.
func (work *Work) Step() Step { return work.spec.Step }

// Write reports whether the statement may write. A Work that may not write runs read-only.
func (work *Work) Write() bool { return work.spec.Write }

// FencingTerm returns the term in which a write may run. The instance refuses the
// write when it is not the primary of that term.
func (work *Work) FencingTerm() Term { return work.spec.FencingTerm }

// After returns the Mark that the instance's log must cover before a read or a
// transaction starts; the zero Mark asks for nothing.
func (work *Work) After() Mark { return work.spec.After }

// LedgerID returns the key of the request's ledger row, or the empty text for none.
func (work *Work) LedgerID() string { return work.spec.LedgerID }

// Digest returns the hash that the ledger row keeps of the request.
func (work *Work) Digest() uint64 { return work.spec.Digest }

// Statement returns the statement to run, or nil.
func (work *Work) Statement() Payload { return work.spec.Statement }

// Timeout returns the time after which the adapter gives up and spoils the connection.
func (work *Work) Timeout() time.Duration { return work.spec.Timeout }

// FailureClass tells what an execution that gave no result has left behind.
type FailureClass int

// The classes of a failed execution.
const (
	// FailureNotSent means that no byte of the Work reached the instance.
	FailureNotSent FailureClass = iota
	// FailureStatement means that the database reported an error; the statement
	// had no effect and the Payload holds the error for the caller.
	FailureStatement
	// FailureFenced means that the instance refused a write of another term before it ran.
	FailureFenced
	// FailureLagging means that the instance refused before it ran because its log lacks Work.After.
	FailureLagging
	// FailureBusy means that the instance refused before it ran for lack of slots or connections.
	FailureBusy
	// FailureLeaving means that the instance refused before it ran because it is shutting down.
	FailureLeaving
	// FailureReplay means that the ledger already holds a row of the request;
	// the transaction was rolled back.
	FailureReplay
	// FailureTombstone means that the ledger holds a tombstone of the request: it was settled as not run.
	FailureTombstone
	// FailureMismatch means that the ledger holds a row with this request id and another digest.
	FailureMismatch
	// FailureLost means that the answer was lost after the Work may have been sent.
	FailureLost
)

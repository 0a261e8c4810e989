package model

import "time"

// Step is the step of a transaction that a Work executes.
type Step int

// The steps that a backend connection executes.
const (
	// StepSingle runs one statement in a transaction of its own.
	StepSingle Step = iota
	// StepFirst opens a transaction and runs its first statement.
	StepFirst
	// StepNext runs another statement in the open transaction.
	StepNext
	// StepCommit commits the open transaction.
	StepCommit
	// StepRollback rolls the open transaction back.
	StepRollback
	// StepDescribe asks for the parameter and column types of a statement without running it.
	StepDescribe
	// StepSettle inserts a tombstone into the request ledger, so that a request
	// that has no ledger row yet can never run.
	StepSettle
	// StepConfirmPrimary runs an empty read-write transaction to prove that the instance is the primary.
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
	// SendBefore is the time on the kernel's clock by which the statement must be sent, or 0.
	SendBefore time.Duration
	// Confirm requests that a proxy to which the Work is forwarded asks the instance to confirm
	// that it is the primary first.
	Confirm bool
}

// Work is a unit of execution on a backend connection. It is immutable.
type Work struct {
	spec WorkSpec
}

// NewWork returns the Work that spec describes.
func NewWork(spec WorkSpec) *Work { return &Work{spec: spec} }

// SendBefore returns the time on the kernel's clock by which the statement must be sent, or 0.
func (work *Work) SendBefore() time.Duration { return work.spec.SendBefore }

// Confirm reports whether a proxy to which the Work is forwarded asks the instance to confirm
// that it is the primary first.
func (work *Work) Confirm() bool { return work.spec.Confirm }

// Step returns the transaction step.
func (work *Work) Step() Step { return work.spec.Step }

// Write reports whether the statement may write. Otherwise the Work runs read-only.
func (work *Work) Write() bool { return work.spec.Write }

// FencingTerm returns the term in which a write may run. The instance rejects the
// write unless it is the primary of that term.
func (work *Work) FencingTerm() Term { return work.spec.FencingTerm }

// After returns the Mark that the instance's log must cover before a read or a
// transaction starts; the zero Mark sets no requirement.
func (work *Work) After() Mark { return work.spec.After }

// LedgerID returns the key of the request's ledger row, or the empty string for none.
func (work *Work) LedgerID() string { return work.spec.LedgerID }

// Digest returns the hash of the request that is stored in its ledger row.
func (work *Work) Digest() uint64 { return work.spec.Digest }

// Statement returns the statement to run, or nil.
func (work *Work) Statement() Payload { return work.spec.Statement }

// Timeout returns the time after which the adapter aborts the execution and marks
// the connection as unusable.
func (work *Work) Timeout() time.Duration { return work.spec.Timeout }

// FailureClass classifies a failed execution by its possible effect on the instance.
type FailureClass int

// The classes of a failed execution.
const (
	// FailureNotSent means that no byte of the Work reached the instance.
	FailureNotSent FailureClass = iota
	// FailureStatement means that the database reported an error; the statement
	// had no effect and the Payload contains the error for the caller.
	FailureStatement
	// FailureFenced means that the instance rejected a write of another term before it ran.
	FailureFenced
	// FailureLagging means that the instance rejected the Work before it ran because its log does not cover Work.After.
	FailureLagging
	// FailureBusy means that the instance rejected the Work before it ran because it had no free slot or connection.
	FailureBusy
	// FailureLeaving means that the instance rejected the Work before it ran because the instance is shutting down.
	FailureLeaving
	// FailureReplay means that the ledger already has a row of the request;
	// the transaction was rolled back.
	FailureReplay
	// FailureTombstone means that the ledger has a tombstone of the request: it was settled as not run.
	FailureTombstone
	// FailureMismatch means that the ledger has a row with this request id and a different digest.
	FailureMismatch
	// FailureLost means that the answer was lost after the Work may have been sent.
	FailureLost
	// FailureForwardLost means that the answer of another proxy was lost, to which the Work may have
	// been forwarded. It says nothing about the instance.
	FailureForwardLost
	// FailureForwardNotRun means that another proxy refused the Work before anything was sent to the
	// instance, since it no longer has the open transaction.
	FailureForwardNotRun
)

package event

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
)

// Borrow asks another proxy for tokens. The answer is BorrowAnswered or BorrowFailed.
type Borrow struct {
	id      model.BorrowID
	from    model.ProxyView
	lender  model.ProxyView
	demands []model.TokenDemand
	timeout time.Duration
}

// NewBorrow returns a Borrow of the proxy from.
func NewBorrow(id model.BorrowID, from, lender model.ProxyView, demands []model.TokenDemand, timeout time.Duration) Borrow {
	return Borrow{id: id, from: from, lender: lender, demands: demands, timeout: timeout}
}

// ID returns the identifier of the call, which the answer repeats.
func (borrow Borrow) ID() model.BorrowID { return borrow.id }

// From returns the proxy that asks.
func (borrow Borrow) From() model.ProxyView { return borrow.from }

// Lender returns the proxy that is asked.
func (borrow Borrow) Lender() model.ProxyView { return borrow.lender }

// Demands returns the tokens that are asked for.
func (borrow Borrow) Demands() []model.TokenDemand { return borrow.demands }

// Timeout returns the time after which the call counts as failed.
func (borrow Borrow) Timeout() time.Duration { return borrow.timeout }

func (Borrow) isAction() {}

// AnswerBorrow answers a call for tokens that was received.
type AnswerBorrow struct {
	id    model.BorrowID
	loans []model.Loan
	marks []model.GroupMark
}

// NewAnswerBorrow returns an AnswerBorrow.
func NewAnswerBorrow(id model.BorrowID, loans []model.Loan) AnswerBorrow {
	return AnswerBorrow{id: id, loans: loans}
}

// ID returns the identifier of the call.
func (answerBorrow AnswerBorrow) ID() model.BorrowID { return answerBorrow.id }

// Loans returns the loans in the order of the demands.
func (answerBorrow AnswerBorrow) Loans() []model.Loan { return answerBorrow.loans }

// WithMarks returns a copy with the newest marks that the lender knows.
func (answerBorrow AnswerBorrow) WithMarks(marks []model.GroupMark) AnswerBorrow {
	answerBorrow.marks = marks
	return answerBorrow
}

// Marks returns the newest marks that the lender knows.
func (answerBorrow AnswerBorrow) Marks() []model.GroupMark { return answerBorrow.marks }

func (AnswerBorrow) isAction() {}

// RefuseBorrow refuses a call for tokens that was received.
type RefuseBorrow struct {
	id   model.BorrowID
	code codes.Code
}

// NewRefuseBorrow returns a RefuseBorrow.
func NewRefuseBorrow(id model.BorrowID, code codes.Code) RefuseBorrow {
	return RefuseBorrow{id: id, code: code}
}

// ID returns the identifier of the call.
func (refuseBorrow RefuseBorrow) ID() model.BorrowID { return refuseBorrow.id }

// Code returns the result code.
func (refuseBorrow RefuseBorrow) Code() codes.Code { return refuseBorrow.code }

func (RefuseBorrow) isAction() {}

// BorrowAnswered reports the answer to a call for tokens. It answers Borrow.
type BorrowAnswered struct {
	id    model.BorrowID
	loans []model.Loan
	marks []model.GroupMark
}

// NewBorrowAnswered returns a BorrowAnswered.
func NewBorrowAnswered(id model.BorrowID, loans []model.Loan) BorrowAnswered {
	return BorrowAnswered{id: id, loans: loans}
}

// ID returns the identifier of the call.
func (borrowAnswered BorrowAnswered) ID() model.BorrowID { return borrowAnswered.id }

// Loans returns the loans.
func (borrowAnswered BorrowAnswered) Loans() []model.Loan { return borrowAnswered.loans }

// WithMarks returns a copy with the newest marks that the lender knows.
func (borrowAnswered BorrowAnswered) WithMarks(marks []model.GroupMark) BorrowAnswered {
	borrowAnswered.marks = marks
	return borrowAnswered
}

// Marks returns the newest marks that the lender knows.
func (borrowAnswered BorrowAnswered) Marks() []model.GroupMark { return borrowAnswered.marks }

func (BorrowAnswered) isEvent() {}

// BorrowFailed reports that a call for tokens got no usable answer. It answers Borrow.
type BorrowFailed struct {
	id     model.BorrowID
	reason string
}

// NewBorrowFailed returns a BorrowFailed. The reason is for the log.
func NewBorrowFailed(id model.BorrowID, reason string) BorrowFailed {
	return BorrowFailed{id: id, reason: reason}
}

// ID returns the identifier of the call.
func (borrowFailed BorrowFailed) ID() model.BorrowID { return borrowFailed.id }

// Reason returns the reason, for the log.
func (borrowFailed BorrowFailed) Reason() string { return borrowFailed.reason }

func (BorrowFailed) isEvent() {}

// BorrowReceived reports a call of another proxy for tokens. Its answer is AnswerBorrow or
// RefuseBorrow.
type BorrowReceived struct {
	id      model.BorrowID
	to      model.ProxyID
	demands []model.TokenDemand
}

// NewBorrowReceived returns a BorrowReceived for the proxy to.
func NewBorrowReceived(id model.BorrowID, to model.ProxyID, demands []model.TokenDemand) BorrowReceived {
	return BorrowReceived{id: id, to: to, demands: demands}
}

// ID returns the identifier of the call, which is unique among the received ones.
func (borrowReceived BorrowReceived) ID() model.BorrowID { return borrowReceived.id }

// To returns the proxy that the call is meant for.
func (borrowReceived BorrowReceived) To() model.ProxyID { return borrowReceived.to }

// Demands returns the tokens that are asked for.
func (borrowReceived BorrowReceived) Demands() []model.TokenDemand { return borrowReceived.demands }

func (BorrowReceived) isEvent() {}

// LendersListed is published when the list of lenders was read or has changed.
type LendersListed struct {
	version uint64
	value   []byte
}

// NewLendersListed returns a LendersListed of the row with the lenders. version is 0 if there is
// no such row.
func NewLendersListed(version uint64, value []byte) LendersListed {
	return LendersListed{version: version, value: value}
}

// Version returns the version of the row, or 0.
func (lendersListed LendersListed) Version() uint64 { return lendersListed.version }

// Value returns the content of the row.
func (lendersListed LendersListed) Value() []byte { return lendersListed.value }

func (LendersListed) isEvent() {}

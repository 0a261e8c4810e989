package model

import "time"

// BorrowID identifies a call for tokens.
type BorrowID uint64

// TokenDemand is a number of tokens that a proxy wants to borrow. A token allows one operation of
// the team.
type TokenDemand struct {
	team   TeamName
	tokens int
}

// NewTokenDemand returns a TokenDemand.
func NewTokenDemand(team TeamName, tokens int) TokenDemand {
	return TokenDemand{team: team, tokens: tokens}
}

// Team returns the team.
func (demand TokenDemand) Team() TeamName { return demand.team }

// Tokens returns the number of tokens.
func (demand TokenDemand) Tokens() int { return demand.tokens }

// Loan is a number of tokens that a proxy has borrowed, which may be none.
type Loan struct {
	team       TeamName
	tokens     int
	lifetime   time.Duration
	retryAfter time.Duration
}

// NewLoan returns a Loan whose tokens may be used for lifetime after it was asked for. retryAfter
// is when it makes sense to ask again if there were too few tokens.
func NewLoan(team TeamName, tokens int, lifetime, retryAfter time.Duration) Loan {
	return Loan{team: team, tokens: tokens, lifetime: lifetime, retryAfter: retryAfter}
}

// Team returns the team.
func (loan Loan) Team() TeamName { return loan.team }

// Tokens returns the number of tokens.
func (loan Loan) Tokens() int { return loan.tokens }

// Lifetime returns for how long after the sending of the demand the tokens may be used.
func (loan Loan) Lifetime() time.Duration { return loan.lifetime }

// RetryAfter returns when to ask again, or 0 if the demand was met.
func (loan Loan) RetryAfter() time.Duration { return loan.retryAfter }

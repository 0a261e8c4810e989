package model

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

const promoterBits = 24

// MaxPromoter is the largest promoter number that a Term can hold.
const MaxPromoter = 1<<promoterBits - 1

// Term orders the primaries of a group. The upper 40 bits are the number of
// promotions and the lower 24 bits are the number of the promoter, so that two
// promoters never create the same Term. The zero Term means that no promotion is known.
type Term uint64

// NewTerm returns the Term for the given number of promotions and the given promoter.
func NewTerm(count uint64, promoter uint32) Term {
	return Term(count<<promoterBits | uint64(promoter&MaxPromoter))
}

// Count returns the number of promotions, which is the upper part of the Term.
func (term Term) Count() uint64 { return uint64(term) >> promoterBits }

// Promoter returns the number of the promoter that created the Term.
func (term Term) Promoter() uint32 { return uint32(term & MaxPromoter) }

// Position is the position of an entry in a group's log. The first entry has Position 1.
type Position uint64

// Mark identifies an entry in a group's log by the entry's term and position. The
// zero Mark is the start of the log.
type Mark struct {
	term     Term
	position Position
}

// NewMark returns the Mark of the entry at position, written in term.
func NewMark(term Term, position Position) Mark { return Mark{term: term, position: position} }

// Term returns the term of the entry.
func (mark Mark) Term() Term { return mark.term }

// Position returns the position of the entry.
func (mark Mark) Position() Position { return mark.position }

// IsZero reports whether the Mark is the start of the log, before the first entry.
func (mark Mark) IsZero() bool { return mark == Mark{} }

// Covers reports whether a log that ends at mark contains every acknowledged
// entry up to and including other.
func (mark Mark) Covers(other Mark) bool {
	if mark.term != other.term {
		return mark.term > other.term
	}
	return mark.position >= other.position
}

// String returns the form "term/position", with both numbers in decimal.
func (mark Mark) String() string {
	return strconv.FormatUint(uint64(mark.term), 10) + "/" + strconv.FormatUint(uint64(mark.position), 10)
}

// ParseMark parses the form that String returns.
func ParseMark(text string) (Mark, error) {
	termText, positionText, ok := strings.Cut(text, "/")
	if !ok {
		return Mark{}, errors.Errorf("mark %q has no slash between term and position", text)
	}
	term, err := strconv.ParseUint(termText, 10, 64)
	if err != nil {
		return Mark{}, errors.Wrapf(err, "parse term of mark %q", text)
	}
	position, err := strconv.ParseUint(positionText, 10, 64)
	if err != nil {
		return Mark{}, errors.Wrapf(err, "parse position of mark %q", text)
	}
	return NewMark(Term(term), Position(position)), nil
}

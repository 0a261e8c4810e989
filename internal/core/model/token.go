package model

import (
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

const (
	tokenPrefix    = "v1"
	maxTokenBytes  = 8 << 10
	maxTokenGroups = 64
)

// Token is a session token: the newest Mark that the session has observed in each
// group. A Token is immutable; the zero Token contains no Mark.
type Token struct {
	marks map[GroupID]Mark
}

// ParseToken parses the form that String returns. The empty string is the zero Token.
func ParseToken(text string) (Token, error) {
	if text == "" {
		return Token{}, nil
	}
	if len(text) > maxTokenBytes {
		return Token{}, errors.Errorf("session token has %d bytes, maximum is %d", len(text), maxTokenBytes)
	}
	parts := strings.Split(text, ",")
	if parts[0] != tokenPrefix {
		return Token{}, errors.Errorf("session token does not start with %q", tokenPrefix)
	}
	if len(parts)-1 > maxTokenGroups {
		return Token{}, errors.Errorf("session token lists %d groups, maximum is %d", len(parts)-1, maxTokenGroups)
	}
	marks := make(map[GroupID]Mark, len(parts)-1)
	for _, part := range parts[1:] {
		group, markText, ok := strings.Cut(part, "=")
		if !ok || group == "" {
			return Token{}, errors.Errorf("session token part %q does not have the form group=mark", part)
		}
		mark, err := ParseMark(markText)
		if err != nil {
			return Token{}, errors.Wrapf(err, "parse mark of group %q in session token", group)
		}
		marks[GroupID(group)] = mark
	}
	return Token{marks: marks}, nil
}

// Mark returns the newest Mark that the session has observed in group, or the
// zero Mark if there is none.
func (token Token) Mark(group GroupID) Mark { return token.marks[group] }

// With returns a Token in which the Mark of group covers mark.
func (token Token) With(group GroupID, mark Mark) Token {
	if token.marks[group].Covers(mark) {
		return token
	}
	marks := maps.Clone(token.marks)
	if marks == nil {
		marks = make(map[GroupID]Mark, 1)
	}
	marks[group] = mark
	return Token{marks: marks}
}

// Merge returns a Token with the newer Mark of both Tokens for each group.
func (token Token) Merge(other Token) Token {
	for group, mark := range other.marks {
		token = token.With(group, mark)
	}
	return token
}

// Equal reports whether both Tokens contain the same Marks.
func (token Token) Equal(other Token) bool { return maps.Equal(token.marks, other.marks) }

// String returns the Token in the form "v1,group=term/position,...", sorted by
// group, or the empty string for the zero Token.
func (token Token) String() string {
	if len(token.marks) == 0 {
		return ""
	}
	var text strings.Builder
	text.WriteString(tokenPrefix)
	for _, group := range slices.Sorted(maps.Keys(token.marks)) {
		text.WriteString("," + string(group) + "=" + token.marks[group].String())
	}
	return text.String()
}

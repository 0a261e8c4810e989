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

// Token is a session token: the newest Mark that the session has seen in each
// group. A Token is immutable; the zero Token has seen nothing.
type Token struct {
	marks map[GroupID]Mark
}

// ParseToken parses the form that String returns. The empty text is the zero Token.
func ParseToken(text string) (Token, error) {
	if text == "" {
		return Token{}, nil
	}
	if len(text) > maxTokenBytes {
		return Token{}, errors.Errorf("session token has %d bytes, more than %d", len(text), maxTokenBytes)
	}
	parts := strings.Split(text, ",")
	if parts[0] != tokenPrefix {
		return Token{}, errors.Errorf("session token does not start with %q", tokenPrefix)
	}
	if len(parts)-1 > maxTokenGroups {
		return Token{}, errors.Errorf("session token names %d groups, more than %d", len(parts)-1, maxTokenGroups)
	}
	marks := make(map[GroupID]Mark, len(parts)-1)
	for _, part := range parts[1:] {
		group, markText, ok := strings.Cut(part, "=")
		if !ok || group == "" {
			return Token{}, errors.Errorf("session token part %q is not group=mark", part)
		}
		mark, err := ParseMark(markText)
		if err != nil {
			return Token{}, errors.Wrapf(err, "parse session token of group %q", group)
		}
		marks[GroupID(group)] = mark
	}
	return Token{marks: marks}, nil
}

// Mark returns the newest Mark that the session has seen in group.
func (token Token) Mark(group GroupID) Mark { return token.marks[group] }

// With returns a Token that has also seen mark in group.
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

// Merge returns a Token that has seen all that either Token has seen.
func (token Token) Merge(other Token) Token {
	for group, mark := range other.marks {
		token = token.With(group, mark)
	}
	return token
}

// Equal reports whether both Tokens have seen the same.
func (token Token) Equal(other Token) bool { return maps.Equal(token.marks, other.marks) }

// String returns the Token in the form "v1,group=term/position,...", sorted by
// group, or the empty text for the zero Token.
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

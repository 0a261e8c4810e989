package query

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

const (
	wordRead        = "READ"
	wordWrite       = "WRITE"
	wordTransaction = "TRANSACTION"
	wordWork        = "WORK"
)

var modeWords = []string{
	"ISOLATION", "LEVEL", "SERIALIZABLE", "REPEATABLE", "COMMITTED", "UNCOMMITTED",
	wordRead, wordWrite, "ONLY", "NOT", "DEFERRABLE",
}

// BeginModes returns the transaction modes of a statement that opens a
// transaction, in upper case, without commas and without READ WRITE, which the
// kind of the request decides.
func BeginModes(statement string) (string, error) {
	_, rest := Keyword(statement)
	words := strings.FieldsFunc(strings.ToUpper(rest), func(char rune) bool {
		return char == ',' || char == ';' || strings.ContainsRune(whitespace, char)
	})
	if len(words) > 0 && (words[0] == wordTransaction || words[0] == wordWork) {
		words = words[1:]
	}
	var modes []string
	for index := 0; index < len(words); index++ {
		word := words[index]
		if !slices.Contains(modeWords, word) {
			return "", errors.Errorf("transaction mode %q is not known", clip(word))
		}
		if word == wordRead && index+1 < len(words) && words[index+1] == wordWrite {
			index++
			continue
		}
		modes = append(modes, word)
	}
	return strings.Join(modes, " "), nil
}

package query

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

const (
	keywordRead        = "READ"
	keywordWrite       = "WRITE"
	keywordTransaction = "TRANSACTION"
	keywordWork        = "WORK"
)

var modeKeywords = []string{
	"ISOLATION", "LEVEL", "SERIALIZABLE", "REPEATABLE", "COMMITTED", "UNCOMMITTED",
	keywordRead, keywordWrite, "ONLY", "NOT", "DEFERRABLE",
}

// BeginModes returns the transaction modes of a statement that opens a
// transaction, in upper case, without commas and without READ WRITE, which the
// kind of the request decides.
func BeginModes(statement string) (string, error) {
	_, rest := Keyword(statement)
	words := strings.FieldsFunc(strings.ToUpper(rest), func(char rune) bool {
		return char == ',' || char == ';' || strings.ContainsRune(whitespace, char)
	})
	if len(words) > 0 && (words[0] == keywordTransaction || words[0] == keywordWork) {
		words = words[1:]
	}
	var modes []string
	for index := 0; index < len(words); index++ {
		word := words[index]
		if !slices.Contains(modeKeywords, word) {
			return "", errors.Errorf("transaction mode %q is not known", truncate(word))
		}
		if word == keywordRead && index+1 < len(words) && words[index+1] == keywordWrite {
			index++
			continue
		}
		modes = append(modes, word)
	}
	return strings.Join(modes, " "), nil
}

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

// BeginModes returns the transaction modes of a BEGIN or START TRANSACTION
// statement, in upper case and without commas. READ WRITE is left out, because
// the kind of the request decides whether the transaction may write.
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
			return "", errors.Errorf("unknown transaction mode %q", truncate(word))
		}
		if word == keywordRead && index+1 < len(words) && words[index+1] == keywordWrite {
			index++
			continue
		}
		modes = append(modes, word)
	}
	return strings.Join(modes, " "), nil
}

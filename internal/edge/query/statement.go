package query

import "strings"

// StatementType classifies a statement by how the proxy handles it.
type StatementType int

// The statement types.
const (
	// StatementPlain is forwarded to an instance.
	StatementPlain StatementType = iota
	// StatementEmpty is a text without a statement.
	StatementEmpty
	// StatementBegin opens a transaction.
	StatementBegin
	// StatementCommit commits the transaction.
	StatementCommit
	// StatementRollback rolls the transaction back.
	StatementRollback
	// StatementSet changes a session setting.
	StatementSet
	// StatementReset restores a session setting to its default.
	StatementReset
	// StatementShow returns a session setting.
	StatementShow
	// StatementDiscard clears the session state.
	StatementDiscard
	// StatementDeallocate drops prepared statements.
	StatementDeallocate
	// StatementUnsupported is rejected, because it depends on the state of one
	// backend connection, and callers share backend connections.
	StatementUnsupported
)

// IsTransactionControl reports whether the statement opens or ends a transaction.
func (statementType StatementType) IsTransactionControl() bool {
	return statementType == StatementBegin || statementType == StatementCommit || statementType == StatementRollback
}

// IsLocal reports whether the statement reads or changes session state, which the
// proxy manages itself.
func (statementType StatementType) IsLocal() bool {
	return statementType >= StatementSet && statementType <= StatementDeallocate
}

var typeByKeyword = map[string]StatementType{
	"":           StatementPlain,
	"BEGIN":      StatementBegin,
	"COMMIT":     StatementCommit,
	"END":        StatementCommit,
	"ROLLBACK":   StatementRollback,
	"ABORT":      StatementRollback,
	"SET":        StatementSet,
	"RESET":      StatementReset,
	"SHOW":       StatementShow,
	"DISCARD":    StatementDiscard,
	"DEALLOCATE": StatementDeallocate,
	"COPY":       StatementUnsupported,
	"LISTEN":     StatementUnsupported,
	"UNLISTEN":   StatementUnsupported,
	"PREPARE":    StatementUnsupported,
	"EXECUTE":    StatementUnsupported,
	"LOAD":       StatementUnsupported,
}

// Classify returns the type of a statement and its first keyword in upper case.
func Classify(statement string) (statementType StatementType, keyword string) {
	text := SkipSpaceAndComments(statement)
	if text == "" || strings.Trim(text, whitespace+";") == "" {
		return StatementEmpty, ""
	}
	keyword, rest := Keyword(text)
	switch keyword {
	case "START":
		if next, _ := Keyword(rest); next == "TRANSACTION" {
			return StatementBegin, keyword
		}
	case "COMMIT", "ROLLBACK":
		return classifyEnd(typeByKeyword[keyword], rest), keyword
	}
	return typeByKeyword[keyword], keyword
}

// classifyEnd returns the type of a COMMIT or ROLLBACK with the given rest. It is
// statementType unless the rest makes it a different command, such as ROLLBACK TO
// or COMMIT PREPARED.
func classifyEnd(statementType StatementType, rest string) StatementType {
	next, rest := Keyword(rest)
	if next == "WORK" || next == "TRANSACTION" {
		next, _ = Keyword(rest)
	}
	switch next {
	case "TO":
		return StatementPlain
	case "PREPARED", "AND":
		return StatementUnsupported
	default:
		return statementType
	}
}

package query

import "strings"

// StatementType tells how the proxy treats a statement.
type StatementType int

// The forms of a statement.
const (
	// StatementPlain is run by an instance.
	StatementPlain StatementType = iota
	// StatementEmpty holds no statement.
	StatementEmpty
	// StatementBegin opens a transaction.
	StatementBegin
	// StatementCommit commits the transaction.
	StatementCommit
	// StatementRollback rolls the transaction back.
	StatementRollback
	// StatementSet sets a setting of the session.
	StatementSet
	// StatementReset sets a setting of the session back.
	StatementReset
	// StatementShow shows a setting of the session.
	StatementShow
	// StatementDiscard clears the state of the session.
	StatementDiscard
	// StatementDeallocate drops prepared statements.
	StatementDeallocate
	// StatementUnsupported rests on the state of one backend connection, which
	// callers share.
	StatementUnsupported
)

// IsTransactionControl reports whether the Form opens or ends a transaction.
func (form StatementType) IsTransactionControl() bool {
	return form == StatementBegin || form == StatementCommit || form == StatementRollback
}

// IsLocal reports whether the proxy answers the Form by itself.
func (form StatementType) IsLocal() bool { return form >= StatementSet && form <= StatementDeallocate }

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

// Classify returns the Form of a statement and its first keyword in upper case.
func Classify(statement string) (form StatementType, keyword string) {
	blank := SkipSpaceAndComments(statement)
	if blank == "" || strings.Trim(blank, whitespace+";") == "" {
		return StatementEmpty, ""
	}
	keyword, rest := Keyword(blank)
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

// classifyEnd tells the end of a transaction from the statements that start alike.
func classifyEnd(form StatementType, rest string) StatementType {
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
		return form
	}
}

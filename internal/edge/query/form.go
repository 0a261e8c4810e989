package query

import "strings"

// Form tells how the proxy treats a statement.
type Form int

// The forms of a statement.
const (
	// FormPlain is run by an instance.
	FormPlain Form = iota
	// FormEmpty holds no statement.
	FormEmpty
	// FormBegin opens a transaction.
	FormBegin
	// FormCommit commits the transaction.
	FormCommit
	// FormRollback rolls the transaction back.
	FormRollback
	// FormSet sets a setting of the session.
	FormSet
	// FormReset sets a setting of the session back.
	FormReset
	// FormShow shows a setting of the session.
	FormShow
	// FormDiscard clears the state of the session.
	FormDiscard
	// FormDeallocate drops prepared statements.
	FormDeallocate
	// FormUnsupported rests on the state of one backend connection, which
	// callers share.
	FormUnsupported
)

// IsTransaction reports whether the Form opens or ends a transaction.
func (form Form) IsTransaction() bool {
	return form == FormBegin || form == FormCommit || form == FormRollback
}

// IsLocal reports whether the proxy answers the Form by itself.
func (form Form) IsLocal() bool { return form >= FormSet && form <= FormDeallocate }

var forms = map[string]Form{
	"":           FormPlain,
	"BEGIN":      FormBegin,
	"COMMIT":     FormCommit,
	"END":        FormCommit,
	"ROLLBACK":   FormRollback,
	"ABORT":      FormRollback,
	"SET":        FormSet,
	"RESET":      FormReset,
	"SHOW":       FormShow,
	"DISCARD":    FormDiscard,
	"DEALLOCATE": FormDeallocate,
	"COPY":       FormUnsupported,
	"LISTEN":     FormUnsupported,
	"UNLISTEN":   FormUnsupported,
	"PREPARE":    FormUnsupported,
	"EXECUTE":    FormUnsupported,
	"LOAD":       FormUnsupported,
}

// Classify returns the Form of a statement and its first keyword in upper case.
func Classify(statement string) (form Form, keyword string) {
	blank := SkipBlank(statement)
	if blank == "" || strings.Trim(blank, whitespace+";") == "" {
		return FormEmpty, ""
	}
	keyword, rest := Keyword(blank)
	switch keyword {
	case "START":
		if next, _ := Keyword(rest); next == "TRANSACTION" {
			return FormBegin, keyword
		}
	case "COMMIT", "ROLLBACK":
		return endForm(forms[keyword], rest), keyword
	}
	return forms[keyword], keyword
}

// endForm tells the end of a transaction from the statements that start alike.
func endForm(form Form, rest string) Form {
	next, rest := Keyword(rest)
	if next == "WORK" || next == "TRANSACTION" {
		next, _ = Keyword(rest)
	}
	switch next {
	case "TO":
		return FormPlain
	case "PREPARED", "AND":
		return FormUnsupported
	default:
		return form
	}
}

package front

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/query"
	"almondway.dev/almondway/internal/edge/wire"
)

const (
	textOID        = 25
	textSize       = -1
	noModifier     = -1
	keywordAll     = "ALL"
	keywordPrepare = "PREPARE"
)

// answersLocally reports whether the proxy answers a statement itself. SHOW of a
// setting that the proxy does not know is sent to an instance. In a transaction,
// SET TRANSACTION and SET LOCAL of a database setting are sent to the connection
// of the transaction.
func (caller *caller) answersLocally(statementType query.StatementType, sql string) bool {
	switch {
	case statementType == query.StatementShow:
		_, known := caller.shownValue(shownSetting(sql))
		return known
	case statementType != query.StatementSet || caller.txState != model.TxOpen:
		return statementType.IsLocal()
	}
	_, text := query.Keyword(sql)
	word, rest := query.Keyword(text)
	return word != "TRANSACTION" && (word != "LOCAL" || isProxySetting(query.SkipSpaceAndComments(rest)))
}

// checkForwardedSet returns an error for a SET that may change whether the
// transaction is read-only, since the kind of the request decides that. Any other
// SET may be sent to the connection of the transaction.
func checkForwardedSet(statementType query.StatementType, sql string) *callerError {
	upper := strings.ToUpper(sql)
	if statementType == query.StatementSet && (strings.Contains(upper, "WRITE") || strings.Contains(upper, "READ_ONLY")) {
		return newCallerError(codes.Unsupported, "the kind of the request decides whether a transaction may write")
	}
	return nil
}

// isProxySetting reports whether text starts with the name of a setting that the
// proxy stores itself.
func isProxySetting(text string) bool {
	lower := strings.ToLower(text)
	return strings.HasPrefix(lower, settingPrefix) || strings.HasPrefix(lower, settingTimeout)
}

// runLocal executes a statement that the proxy answers itself.
func (caller *caller) runLocal(statementType query.StatementType, sql string) (wire.Result, *callerError) {
	if caller.txState == model.TxFailed {
		return wire.Result{}, newCallerError(codes.TransactionState, "the transaction has failed; roll it back first")
	}
	_, rest, err := query.ParseTags(sql)
	if err != nil {
		return wire.Result{}, newCallerError(codes.MalformedTag, err.Error())
	}
	_, text := query.Keyword(rest)
	switch statementType {
	case query.StatementSet:
		return tagResult("SET"), caller.runSet(text)
	case query.StatementReset:
		return tagResult("RESET"), caller.runReset(text)
	case query.StatementShow:
		return caller.runShow(sql)
	case query.StatementDiscard:
		return tagResult("DISCARD ALL"), caller.runDiscard(text)
	default:
		caller.runDeallocate(text)
		return tagResult("DEALLOCATE"), nil
	}
}

func (caller *caller) runSet(text string) *callerError {
	requested, local, reason := parseSet(text)
	if reason != nil {
		return reason
	}
	if strings.HasPrefix(requested.name, settingPrefix) {
		return caller.session.setTag(requested.name, requested.value, local)
	}
	if reason := caller.session.setDatabaseSetting(requested, local); reason != nil {
		return reason
	}
	if requested.name == settingApplication {
		caller.send(&pgproto3.ParameterStatus{Name: settingApplication, Value: requested.value})
	}
	return nil
}

func (caller *caller) runReset(text string) *callerError {
	name := strings.ToLower(unquote(text))
	if name == strings.ToLower(keywordAll) {
		caller.session.clearTags()
		return nil
	}
	if strings.HasPrefix(name, settingPrefix) {
		return caller.session.setTag(name, "", false)
	}
	return caller.session.setDatabaseSetting(setting{name: name}, false)
}

// runShow returns the value of a tag or of a reported parameter as a row.
func (caller *caller) runShow(sql string) (wire.Result, *callerError) {
	name := shownSetting(sql)
	value, known := caller.shownValue(name)
	if !known {
		return wire.Result{}, callerErrorf(codes.MalformedTag, "setting %q is not known", name)
	}
	return textResult(name, value), nil
}

// shownSetting returns the name of the setting in a SHOW statement, in lower case.
func shownSetting(sql string) string {
	_, rest, err := query.ParseTags(sql)
	if err != nil {
		return ""
	}
	_, text := query.Keyword(rest)
	return strings.ToLower(unquote(text))
}

// shownValue returns the value of a tag or of a reported parameter. For any other
// setting, known is false.
func (caller *caller) shownValue(name string) (value string, known bool) {
	if name, found := strings.CutPrefix(name, settingPrefix); found {
		if tag, ok := query.LookupTag(name); ok {
			return caller.session.tagValue(tag), true
		}
	}
	for _, parameter := range caller.session.reportedParameters(caller.server.spec.ServerVersion) {
		if strings.EqualFold(parameter.Name, name) {
			return parameter.Value, true
		}
	}
	return "", false
}

func (caller *caller) runDiscard(text string) *callerError {
	word, _ := query.Keyword(text)
	if word != keywordAll {
		return nil
	}
	if caller.txState != model.TxNone {
		return newCallerError(codes.TransactionState, "DISCARD ALL cannot run inside a transaction")
	}
	caller.session.clear()
	caller.closeAllPrepared()
	caller.closePortalsOutsideTx()
	return nil
}

func (caller *caller) runDeallocate(text string) {
	word, rest := query.Keyword(text)
	if word == keywordPrepare {
		text = rest
		word, _ = query.Keyword(text)
	}
	if word == keywordAll {
		caller.closeAllPrepared()
		return
	}
	caller.closePrepared(strings.Trim(unquote(text), `"`))
}

func tagResult(tag string) wire.Result { return wire.NewResult(nil, nil, tag) }

func textResult(name string, value string) wire.Result {
	fields := []pgproto3.FieldDescription{{
		Name:         []byte(name),
		DataTypeOID:  textOID,
		DataTypeSize: textSize,
		TypeModifier: noModifier,
	}}
	return wire.NewResult(fields, [][][]byte{{[]byte(value)}}, "SHOW")
}

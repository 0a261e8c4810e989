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

// answersLocally reports whether the proxy answers a statement by itself. SHOW
// of a setting that it does not know goes to an instance. So do, inside a
// transaction, SET LOCAL of a setting of the database and SET TRANSACTION, to
// the connection that the transaction owns.
func (caller *caller) answersLocally(form query.Form, sql string) bool {
	switch {
	case form == query.FormShow:
		_, known := caller.shownValue(shownSetting(sql))
		return known
	case form != query.FormSet || caller.txState != model.TxOpen:
		return form.IsLocal()
	}
	_, text := query.Keyword(sql)
	word, rest := query.Keyword(text)
	return word != "TRANSACTION" && (word != "LOCAL" || isProxySetting(query.SkipBlank(rest)))
}

// checkForwardedSet returns why a SET may not go to the connection of the open
// transaction: whether it may write is decided by the kind of the request.
func checkForwardedSet(form query.Form, sql string) *callerError {
	upper := strings.ToUpper(sql)
	if form == query.FormSet && (strings.Contains(upper, "WRITE") || strings.Contains(upper, "READ_ONLY")) {
		return newCallerError(codes.Unsupported, "the kind of the request decides whether a transaction may write")
	}
	return nil
}

// isProxySetting reports whether text starts with a setting that the proxy keeps.
func isProxySetting(text string) bool {
	lower := strings.ToLower(text)
	return strings.HasPrefix(lower, settingPrefix) || strings.HasPrefix(lower, settingTimeout)
}

// runLocal answers a statement about the session itself.
func (caller *caller) runLocal(form query.Form, sql string) (wire.Result, *callerError) {
	if caller.txState == model.TxFailed {
		return wire.Result{}, newCallerError(codes.TransactionState, "the transaction has failed; roll it back first")
	}
	_, rest, err := query.ParseTags(sql)
	if err != nil {
		return wire.Result{}, newCallerError(codes.MalformedTag, err.Error())
	}
	_, text := query.Keyword(rest)
	switch form {
	case query.FormSet:
		return tagResult("SET"), caller.runSet(text)
	case query.FormReset:
		return tagResult("RESET"), caller.runReset(text)
	case query.FormShow:
		return caller.runShow(sql)
	case query.FormDiscard:
		return tagResult("DISCARD ALL"), caller.runDiscard(text)
	default:
		caller.runDeallocate(text)
		return tagResult("DEALLOCATE"), nil
	}
}

func (caller *caller) runSet(text string) *callerError {
	given, local, reason := parseSet(text)
	if reason != nil {
		return reason
	}
	if strings.HasPrefix(given.name, settingPrefix) {
		return caller.session.setTag(given.name, given.value, local)
	}
	if reason := caller.session.setDatabaseSetting(given, local); reason != nil {
		return reason
	}
	if given.name == settingApplication {
		caller.send(&pgproto3.ParameterStatus{Name: settingApplication, Value: given.value})
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

// runShow shows a tag of the session or a parameter that was reported.
func (caller *caller) runShow(sql string) (wire.Result, *callerError) {
	name := shownSetting(sql)
	value, known := caller.shownValue(name)
	if !known {
		return wire.Result{}, callerErrorf(codes.MalformedTag, "setting %q is not known", name)
	}
	return textResult(name, value), nil
}

// shownSetting returns the setting that a SHOW names, in lower case.
func shownSetting(sql string) string {
	_, rest, err := query.ParseTags(sql)
	if err != nil {
		return ""
	}
	_, text := query.Keyword(rest)
	return strings.ToLower(unquote(text))
}

// shownValue returns the value of a tag or of a parameter that was reported.
func (caller *caller) shownValue(name string) (value string, known bool) {
	if name, own := strings.CutPrefix(name, settingPrefix); own {
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

package insta

import (
	"maps"
	"strings"

	"almondway.dev/almondway/internal/core/model"
)

// runTransactionControl handles BEGIN, COMMIT and ROLLBACK.
func (session *session) runTransactionControl(template string) (*result, bool, error) {
	words := strings.Fields(template)
	switch words[0] {
	case "begin", "start":
		return &result{tag: "BEGIN"}, true, session.runBegin(template)
	case "commit", "end":
		result, err := session.runCommit()
		return result, true, err
	case "rollback", "abort":
		session.rollbackOpenTx()
		session.tx = nil
		return &result{tag: "ROLLBACK"}, true, nil
	}
	return nil, false, nil
}

func (session *session) runBegin(template string) error {
	if session.tx == nil {
		session.tx = session.newTx()
	}
	if session.tx.failed {
		return newSQLError(sqlStateFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
	}
	session.tx.explicit = true
	switch {
	case strings.Contains(template, "read only"):
		session.tx.readOnly = true
	case strings.Contains(template, "read write"):
		session.tx.readOnly = false
	}
	return nil
}

// newTx returns a transaction with the session's default access mode.
func (session *session) newTx() *tx {
	return &tx{readOnly: session.settings["default_transaction_read_only"] == "on"}
}

// resetSettings restores the settings of the start-up message.
func (session *session) resetSettings() {
	session.settings = maps.Clone(session.startupSettings)
}

func (session *session) runCommit() (*result, error) {
	if session.tx == nil {
		return &result{tag: "COMMIT"}, nil
	}
	if session.tx.failed {
		session.rollbackOpenTx()
		session.tx = nil
		return &result{tag: "ROLLBACK"}, nil
	}
	return &result{tag: "COMMIT"}, session.commitOpenTx()
}

// runSettingCommand handles SET, SHOW, RESET, DISCARD and DEALLOCATE.
func (session *session) runSettingCommand(template string, args []string) (*result, bool) {
	word, rest, _ := strings.Cut(template, " ")
	switch word {
	case "set":
		session.setSetting(rest, args)
		return &result{tag: "SET"}, true
	case "show":
		result := &result{tag: "SHOW", columns: []column{textColumn(rest)}}
		result.addRow(session.settings[rest])
		return result, true
	case "reset":
		session.resetSettings()
		return &result{tag: "RESET"}, true
	case "discard":
		session.resetSettings()
		clear(session.prepared)
		clear(session.portals)
		return &result{tag: "DISCARD ALL"}, true
	case "deallocate":
		clear(session.prepared)
		return &result{tag: "DEALLOCATE ALL"}, true
	}
	return nil, false
}

func (session *session) setSetting(rest string, args []string) {
	if mode, ok := strings.CutPrefix(rest, "transaction read "); ok {
		if session.tx == nil {
			session.tx = session.newTx()
		}
		session.tx.readOnly = mode == "only"
		return
	}
	rest = strings.TrimPrefix(strings.TrimPrefix(rest, "session "), "local ")
	name, value, ok := strings.Cut(rest, "=")
	if !ok {
		name, value, _ = strings.Cut(rest, " to ")
	}
	if value == "?" && len(args) == 1 {
		value = args[0]
	}
	session.settings[name] = value
}

// runPlatformFunction runs a platform function. It requires a control connection.
func (session *session) runPlatformFunction(template string, args []string) (*result, error) {
	instance := session.instance
	if !session.control {
		return nil, newSQLError(sqlStateInsufficientPrivilege, "permission denied for %q", template)
	}
	var term model.Term
	if len(args) > 0 {
		parsed, err := parseTerm(args[0])
		if err != nil {
			return nil, err
		}
		term = parsed
	}
	switch template {
	case "select * from platform_status()":
		return instance.callPlatformFunction(func() bool { return true }), nil
	case "select * from platform_fence(?)":
		return instance.callPlatformFunction(func() bool { return instance.acceptFence(term) }), nil
	case "select * from platform_promote(?)":
		return instance.callPlatformFunction(func() bool { return instance.promote(term) }), nil
	case "select * from platform_follow(?,?,?)":
		return instance.callPlatformFunction(func() bool { return instance.follow(term, args[1], args[2]) }), nil
	}
	return nil, newSQLError(sqlStateSyntaxError, "the stand-in does not support the statement %q", template)
}

package front

import (
	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/query"
	"almondway.dev/almondway/internal/edge/wire"
)

const sqlStateSuccess = "00000"

// simpleQuery answers a Query message.
func (caller *caller) simpleQuery(sql string) error {
	if reason := caller.runSimple(sql); reason != nil {
		caller.sendError(reason)
	}
	caller.closePortalsOutsideTx()
	caller.sendReady()
	return caller.flush()
}

func (caller *caller) runSimple(sql string) *callerError {
	statements := query.Split(sql)
	if len(statements) == 0 {
		caller.sendCompletion("")
		return nil
	}
	statementType, keyword := query.Classify(statements[0])
	if len(statements) > 1 {
		return caller.runSeveral(sql, statements)
	}
	return caller.runOne(statementType, keyword, sql)
}

// runSeveral runs a simple query of several statements. Statements that the proxy
// answers itself run one by one. Statements for an instance run as one request. The
// two cannot be combined.
func (caller *caller) runSeveral(sql string, statements []string) *callerError {
	local := 0
	for _, statement := range statements {
		statementType, keyword := query.Classify(statement)
		switch {
		case statementType.IsTransactionControl():
			return callerErrorf(codes.Unsupported, "%s cannot be combined with other statements in a query; send it separately", keyword)
		case statementType == query.StatementUnsupported:
			return unsupported(keyword)
		case statementType.IsLocal():
			local++
		}
	}
	if local == 0 {
		return caller.runPlain(sql, "")
	}
	if local < len(statements) {
		return newCallerError(codes.Unsupported, "session settings cannot be combined with other statements in a query; send them separately")
	}
	for _, statement := range statements {
		statementType, keyword := query.Classify(statement)
		if reason := caller.runOne(statementType, keyword, statement); reason != nil {
			return reason
		}
	}
	return nil
}

func (caller *caller) runOne(statementType query.StatementType, keyword string, sql string) *callerError {
	switch {
	case statementType == query.StatementEmpty:
		caller.sendCompletion("")
		return nil
	case statementType == query.StatementUnsupported:
		return unsupported(keyword)
	case statementType.IsTransactionControl():
		tag, reason := caller.runTransactionControl(statementType, sql)
		if reason == nil {
			caller.sendCommandComplete(tag)
		}
		return reason
	case caller.answersLocally(statementType, sql):
		result, reason := caller.runLocal(statementType, sql)
		if reason == nil {
			_ = caller.sendResult(result)
		}
		return reason
	default:
		if reason := checkForwardedSet(statementType, sql); reason != nil {
			return reason
		}
		return caller.runPlain(sql, keyword)
	}
}

// runPlain runs one or more statements on an instance and sends their answer.
func (caller *caller) runPlain(sql string, keyword string) *callerError {
	spec, reason := caller.newRequest(model.OpStatement, wire.StatementSpec{SQL: sql, Simple: true})
	if reason != nil {
		return reason
	}
	reply := caller.request(spec)
	if reason := checkReply(reply); reason != nil {
		return reason
	}
	for _, result := range caller.replyResults(reply, keyword) {
		if caller.sendResult(result) != nil {
			return nil
		}
	}
	return nil
}

// replyResults returns the results of a reply and sends its notices. A replayed
// request has only the command tag of its statement, and a notice is sent that it
// was not executed again.
func (caller *caller) replyResults(reply *model.Reply, keyword string) []wire.Result {
	if answer, ok := reply.Answer().(*wire.Answer); ok && !reply.Replayed() {
		for _, notice := range answer.Notices() {
			caller.send(notice)
		}
		return answer.Results()
	}
	if reply.Replayed() {
		caller.sendNotice(severityNotice, sqlStateSuccess, "a request with this request_id was executed before; it was not executed again")
	}
	return []wire.Result{wire.NewResult(nil, nil, replayTag(keyword))}
}

func replayTag(keyword string) string {
	switch keyword {
	case "INSERT":
		return "INSERT 0 0"
	case "UPDATE", "DELETE", "MERGE", "SELECT":
		return keyword + " 0"
	case "":
		return "SELECT 0"
	default:
		return keyword
	}
}

func unsupported(keyword string) *callerError {
	return callerErrorf(codes.Unsupported, "%s depends on one backend connection, but callers share backend connections", keyword)
}

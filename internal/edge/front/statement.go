package front

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/query"
	"almondway.dev/almondway/internal/edge/wire"
)

const nullLength = 0xffffffff

// requestOperation returns the operation for a statement that is not answered
// locally.
func requestOperation(statementType query.StatementType) model.Op {
	switch statementType {
	case query.StatementBegin:
		return model.OpBegin
	case query.StatementCommit:
		return model.OpCommit
	case query.StatementRollback:
		return model.OpRollback
	default:
		return model.OpStatement
	}
}

// newRequest returns the request for a statement, with the tags of the statement
// and of the session.
func (caller *caller) newRequest(operation model.Op, spec wire.StatementSpec) (model.RequestSpec, *callerError) {
	tags, rest, err := query.ParseTags(spec.SQL)
	if err != nil {
		return model.RequestSpec{}, newCallerError(codes.MalformedTag, err.Error())
	}
	request := model.RequestSpec{Op: operation, Digest: digest(rest, spec.Params)}
	if operation == model.OpStatement || operation == model.OpDescribe {
		spec.BeginModes = caller.beginModes
		request.Statement = wire.NewStatement(spec)
	}
	return request, caller.session.fillRequest(tags, &request)
}

// digest returns the hash of the text of a statement and of its parameters. The
// text is passed without its tags, and surrounding blanks and semicolons are left
// out.
func digest(sql string, params [][]byte) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(strings.Trim(sql, " \t\r\n;"))
	var length [4]byte
	for _, param := range params {
		size := uint32(len(param))
		if param == nil {
			size = nullLength
		}
		binary.BigEndian.PutUint32(length[:], size)
		_, _ = hash.Write(length[:])
		_, _ = hash.Write(param)
	}
	return hash.Sum64()
}

// runTransactionControl runs a statement that begins or ends a transaction and
// returns its command tag. As in PostgreSQL, BEGIN in a transaction and COMMIT or
// ROLLBACK outside of one only give a warning.
func (caller *caller) runTransactionControl(statementType query.StatementType, sql string) (tag string, reason *callerError) {
	inTx := caller.txState != model.TxNone
	switch {
	case statementType == query.StatementBegin && caller.txState == model.TxFailed:
		return "", newCallerError(codes.TransactionState, "the transaction has failed; roll it back first")
	case statementType == query.StatementBegin && inTx:
		caller.sendNotice(severityWarning, "25001", "there is already a transaction in progress")
		return "BEGIN", nil
	case statementType != query.StatementBegin && !inTx:
		caller.sendNotice(severityWarning, "25P01", "there is no transaction in progress")
		return transactionTag(statementType), nil
	}
	modes, reason := beginModes(statementType, sql)
	if reason != nil {
		return "", reason
	}
	spec, reason := caller.newRequest(requestOperation(statementType), wire.StatementSpec{SQL: sql})
	if reason != nil {
		return "", reason
	}
	failed := caller.txState == model.TxFailed
	reply := caller.request(spec)
	if reason := checkReply(reply); reason != nil {
		return "", reason
	}
	caller.beginModes = modes
	if statementType == query.StatementCommit && failed {
		return "ROLLBACK", nil
	}
	return transactionTag(statementType), nil
}

// beginModes returns the transaction modes of a statement that begins a
// transaction, and an empty string for one that ends it.
func beginModes(statementType query.StatementType, sql string) (string, *callerError) {
	if statementType != query.StatementBegin {
		return "", nil
	}
	_, rest, err := query.ParseTags(sql)
	if err != nil {
		return "", newCallerError(codes.MalformedTag, err.Error())
	}
	modes, err := query.BeginModes(rest)
	if err != nil {
		return "", newCallerError(codes.Unsupported, err.Error())
	}
	return modes, nil
}

func transactionTag(statementType query.StatementType) string {
	switch statementType {
	case query.StatementBegin:
		return "BEGIN"
	case query.StatementCommit:
		return "COMMIT"
	default:
		return "ROLLBACK"
	}
}

// checkReply returns the error of a reply, or nil. An error of the database is
// passed on as its error response.
func checkReply(reply *model.Reply) *callerError {
	switch reply.Code() {
	case codes.OK:
	case codes.Statement:
		if failure, ok := reply.Answer().(*wire.Failure); ok {
			return &callerError{code: codes.Statement, databaseResponse: failure.Response()}
		}
		return newReplyError(reply)
	default:
		return newReplyError(reply)
	}
	if answer, ok := reply.Answer().(*wire.Answer); ok && answer.Overflow() {
		return callerErrorf(codes.AnswerTooLarge, "the statement was executed, but its answer of %d bytes exceeds the limit", answer.Size())
	}
	return nil
}

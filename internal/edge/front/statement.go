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

// operation returns the operation of a statement that is not answered locally.
func operation(form query.Form) model.Op {
	switch form {
	case query.FormBegin:
		return model.OpBegin
	case query.FormCommit:
		return model.OpCommit
	case query.FormRollback:
		return model.OpRollback
	default:
		return model.OpStatement
	}
}

// newRequest returns the request for a statement, or why it cannot be made.
func (caller *caller) newRequest(operation model.Op, spec wire.StatementSpec) (model.RequestSpec, *fault) {
	tags, rest, err := query.ParseTags(spec.SQL)
	if err != nil {
		return model.RequestSpec{}, newFault(codes.MalformedTag, err.Error())
	}
	request := model.RequestSpec{Op: operation, Digest: digest(rest, spec.Params)}
	if operation == model.OpStatement || operation == model.OpDescribe {
		spec.BeginModes = caller.beginModes
		request.Statement = wire.NewStatement(spec)
	}
	return request, caller.session.describe(tags, &request)
}

// digest returns the hash of a statement without its tags, the blanks and
// semicolons around it, and of its parameters.
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

// control runs a statement that opens or ends a transaction and returns its
// command tag. Where the caller's transaction is in the state already, the
// proxy answers with a warning, as the database does.
func (caller *caller) control(form query.Form, sql string) (tag string, reason *fault) {
	inside := caller.txState != model.TxNone
	switch {
	case form == query.FormBegin && caller.txState == model.TxFailed:
		return "", newFault(codes.TransactionState, "the transaction has failed; roll it back first")
	case form == query.FormBegin && inside:
		caller.notice(severityWarning, "25001", "there is already a transaction in progress")
		return "BEGIN", nil
	case form != query.FormBegin && !inside:
		caller.notice(severityWarning, "25P01", "there is no transaction in progress")
		return controlTag(form), nil
	}
	modes, reason := beginModes(form, sql)
	if reason != nil {
		return "", reason
	}
	spec, reason := caller.newRequest(operation(form), wire.StatementSpec{SQL: sql})
	if reason != nil {
		return "", reason
	}
	failed := caller.txState == model.TxFailed
	reply := caller.request(spec)
	if reason := answerFault(reply); reason != nil {
		return "", reason
	}
	caller.beginModes = modes
	if form == query.FormCommit && failed {
		return "ROLLBACK", nil
	}
	return controlTag(form), nil
}

// beginModes returns the transaction modes that a statement sets, or none for
// one that ends a transaction.
func beginModes(form query.Form, sql string) (string, *fault) {
	if form != query.FormBegin {
		return "", nil
	}
	_, rest, err := query.ParseTags(sql)
	if err != nil {
		return "", newFault(codes.MalformedTag, err.Error())
	}
	modes, err := query.BeginModes(rest)
	if err != nil {
		return "", newFault(codes.Unsupported, err.Error())
	}
	return modes, nil
}

func controlTag(form query.Form) string {
	switch form {
	case query.FormBegin:
		return "BEGIN"
	case query.FormCommit:
		return "COMMIT"
	default:
		return "ROLLBACK"
	}
}

// answerFault returns the error that a reply reports, or nil. The error of the
// database itself is a databaseFault.
func answerFault(reply *model.Reply) *fault {
	switch reply.Code() {
	case codes.OK:
	case codes.Statement:
		if failure, ok := reply.Answer().(*wire.Failure); ok {
			return &fault{code: codes.Statement, database: failure.Response()}
		}
		return replyFault(reply)
	default:
		return replyFault(reply)
	}
	if answer, ok := reply.Answer().(*wire.Answer); ok && answer.Overflow() {
		return faultf(codes.AnswerTooLarge, "the statement ran and its answer has %d bytes", answer.Size())
	}
	return nil
}

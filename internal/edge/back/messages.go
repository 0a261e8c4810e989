package back

import (
	"strings"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/wire"
)

// The transaction states of a ReadyForQuery message.
const (
	txIdle   = 'I'
	txOpen   = 'T'
	txFailed = 'E'
)

const (
	sqlBegin    = "BEGIN"
	sqlCommit   = "COMMIT"
	sqlRollback = "ROLLBACK"
	sqlDiscard  = "DISCARD ALL"

	modeReadOnly  = "READ ONLY"
	modeReadWrite = "READ WRITE"
)

// The messages that are the same for every statement. They are shared and immutable.
var (
	bindNoParams      = &pgproto3.Bind{}
	executeAll        = &pgproto3.Execute{}
	describePortal    = &pgproto3.Describe{ObjectType: 'P'}
	describeStatement = &pgproto3.Describe{ObjectType: 'S'}
	syncBatch         = &pgproto3.Sync{}
)

// leadingStatements returns the statements that precede the statement of a Work
// in the same round trip. Data connections are read-only by default, so a write
// transaction has to be declared READ WRITE.
func leadingStatements(work *model.Work, modes string) []string {
	var statements []string
	if work.Step() == model.StepFirst {
		statements = append(statements, beginStatement(work.Write(), modes))
	} else if work.Write() && work.Step() != model.StepNext {
		statements = append(statements, wire.ReadWriteSQL)
	}
	if work.Write() && (work.Step() == model.StepFirst || work.Step() == model.StepSingle) {
		statements = append(statements, wire.Begin(work.FencingTerm(), work.LedgerID(), work.Digest()))
	}
	return statements
}

func beginStatement(write bool, modes string) string {
	begin := sqlBegin
	if modes != "" {
		begin += " " + modes
	}
	switch {
	case strings.Contains(modes, modeReadOnly):
		return begin
	case write:
		return begin + " " + modeReadWrite
	default:
		return begin + " " + modeReadOnly
	}
}

// workMessages returns the messages of a Work, which the instance answers with
// one ReadyForQuery, and the number of leading results that are not for the caller.
// It returns no messages if the Work needs a statement and has none.
func workMessages(work *model.Work) (messages []pgproto3.FrontendMessage, skipResults int) {
	switch work.Step() {
	case model.StepCommit:
		return simpleMessages(sqlCommit), 0
	case model.StepRollback:
		return simpleMessages(sqlRollback), 0
	case model.StepSettle:
		return simpleMessages(joinStatements(leadingStatements(work, ""), wire.Settle(work.FencingTerm(), work.LedgerID()))), 0
	case model.StepTrim:
		return simpleMessages(joinStatements(leadingStatements(work, ""), wire.Trim(work.FencingTerm(), work.LedgerID()))), 0
	}
	statement, ok := work.Statement().(*wire.Statement)
	if !ok {
		return nil, 0
	}
	if work.Step() == model.StepDescribe {
		return describeMessages(statement), 0
	}
	leading := leadingStatements(work, statement.BeginModes())
	if statement.Simple() {
		return simpleMessages(joinStatements(leading, statement.SQL())), len(leading)
	}
	return extendedMessages(leading, statement), len(leading)
}

func joinStatements(leading []string, sql string) string {
	joined := ""
	for _, statement := range leading {
		joined += statement + "; "
	}
	return joined + sql
}

func simpleMessages(sql string) []pgproto3.FrontendMessage {
	return []pgproto3.FrontendMessage{&pgproto3.Query{String: sql}}
}

func extendedMessages(leading []string, statement *wire.Statement) []pgproto3.FrontendMessage {
	messages := make([]pgproto3.FrontendMessage, 0, 3*len(leading)+5)
	for _, sql := range leading {
		messages = append(messages, &pgproto3.Parse{Query: sql}, bindNoParams, executeAll)
	}
	return append(messages,
		&pgproto3.Parse{Query: statement.SQL(), ParameterOIDs: statement.ParamTypes()},
		&pgproto3.Bind{
			ParameterFormatCodes: statement.ParamFormats(),
			Parameters:           statement.Params(),
			ResultFormatCodes:    statement.ResultFormats(),
		},
		describePortal,
		executeAll,
		syncBatch,
	)
}

func describeMessages(statement *wire.Statement) []pgproto3.FrontendMessage {
	return []pgproto3.FrontendMessage{
		&pgproto3.Parse{Query: statement.SQL(), ParameterOIDs: statement.ParamTypes()},
		describeStatement,
		syncBatch,
	}
}

// resetMessages returns queries that roll back an open transaction and clear the
// session state. DISCARD ALL cannot run inside a transaction block, so each query
// is a separate message with a separate answer.
func resetMessages(txStatus byte) []pgproto3.FrontendMessage {
	discard := &pgproto3.Query{String: sqlDiscard}
	if txStatus == txIdle {
		return []pgproto3.FrontendMessage{discard}
	}
	return []pgproto3.FrontendMessage{&pgproto3.Query{String: sqlRollback}, discard}
}

func cancelMessage(hijacked *pgconn.HijackedConn) ([]byte, error) {
	request := pgproto3.CancelRequest{ProcessID: hijacked.PID, SecretKey: hijacked.SecretKey}
	return request.Encode(nil)
}

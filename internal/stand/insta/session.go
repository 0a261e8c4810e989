package insta

import (
	"context"
	"strings"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/wire"
)

// session is a connection of a proxy or of a control client.
type session struct {
	instance        *Instance
	backend         *pgproto3.Backend
	control         bool
	settings        map[string]string
	startupSettings map[string]string
	tx              *tx
	mark            model.Mark

	prepared       map[string]preparedStatement
	portals        map[string]portal
	skippingToSync bool // an error was sent; messages are ignored until Sync

	mu     sync.Mutex
	cancel context.CancelFunc
}

// serve handles messages until the connection ends.
func (session *session) serve() {
	defer session.rollbackOpenTx()
	for {
		message, err := session.backend.Receive()
		if err != nil {
			return
		}
		if _, ok := message.(*pgproto3.Terminate); ok {
			return
		}
		session.handleMessage(message)
		if endsBatch(message) && session.backend.Flush() != nil {
			return
		}
	}
}

// endsBatch reports whether the client waits for the responses up to message.
func endsBatch(message pgproto3.FrontendMessage) bool {
	switch message.(type) {
	case *pgproto3.Query, *pgproto3.Sync, *pgproto3.Flush:
		return true
	default:
		return false
	}
}

func (session *session) handleMessage(message pgproto3.FrontendMessage) {
	if query, ok := message.(*pgproto3.Query); ok {
		session.runSimpleQuery(query.String)
		session.sendReady()
		return
	}
	if _, ok := message.(*pgproto3.Sync); ok {
		session.skippingToSync = false
		session.finishImplicitTx()
		session.sendReady()
		return
	}
	if session.skippingToSync {
		return
	}
	if err := session.handleExtended(message); err != nil {
		session.sendError(err)
		session.skippingToSync = true
	}
}

// runSimpleQuery runs the statements of a simple query as one implicit transaction.
func (session *session) runSimpleQuery(sql string) {
	statements := parseStatements(sql)
	if len(statements) == 0 {
		session.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for _, statement := range statements {
		if statement.paramCount() > 0 {
			session.sendError(newSQLError(sqlStateSyntaxError, "a simple query cannot have parameters"))
			break
		}
		args := make([]string, 0, len(statement.args))
		for _, arg := range statement.args {
			args = append(args, arg.literal)
		}
		result, err := session.runStatement(statement, args)
		if err != nil {
			session.sendError(err)
			break
		}
		if result.columns != nil {
			session.backend.Send(describeColumns(result.columns, nil))
		}
		session.sendRows(result, nil)
	}
	session.finishImplicitTx()
}

func (session *session) sendRows(result *result, formats []int16) {
	for _, row := range result.rows {
		session.backend.Send(encodeRow(result.columns, formats, row))
	}
	session.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(result.tag)})
}

// sendReady reports the log mark and the transaction status.
func (session *session) sendReady() {
	if session.mark.IsZero() {
		session.instance.mu.Lock()
		session.mark = session.instance.log.tail()
		session.instance.mu.Unlock()
	}
	if !session.mark.IsZero() { // an empty log has no mark
		session.backend.Send(&pgproto3.ParameterStatus{Name: wire.MarkParameter, Value: session.mark.String()})
	}
	session.mark = model.Mark{}
	status := byte('I')
	if session.tx != nil && session.tx.explicit {
		status = 'T'
		if session.tx.failed {
			status = 'E'
		}
	}
	session.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
}

func (session *session) sendError(err error) {
	sqlError, ok := err.(*sqlError) //nolint:errorlint // the package's errors are never wrapped
	if !ok {
		sqlError = newSQLError("XX000", "%s", err)
	}
	session.backend.Send(&pgproto3.ErrorResponse{
		Severity:            "ERROR",
		SeverityUnlocalized: "ERROR",
		Code:                sqlError.state,
		Message:             sqlError.message,
	})
	if session.tx != nil {
		session.instance.rollbackTx(session.tx)
		session.tx.failed = true
	}
}

// finishImplicitTx commits an implicit transaction, or discards it if it failed.
func (session *session) finishImplicitTx() {
	if session.tx == nil || session.tx.explicit {
		return
	}
	if session.tx.failed {
		session.tx = nil
		return
	}
	if err := session.commitOpenTx(); err != nil {
		session.sendError(err)
	}
}

func (session *session) commitOpenTx() error {
	ended := session.tx
	session.tx = nil
	mark, err := session.instance.commitTx(ended)
	if !mark.IsZero() {
		session.mark = mark
	}
	return err
}

// rollbackOpenTx rolls back the open transaction, if any.
func (session *session) rollbackOpenTx() {
	if session.tx != nil {
		session.instance.rollbackTx(session.tx)
	}
}

// runStatement runs a statement. It begins an implicit transaction if none is open.
func (session *session) runStatement(statement statement, args []string) (*result, error) {
	if result, handled, err := session.runTransactionControl(statement.template); handled {
		return result, err
	}
	if session.tx != nil && session.tx.failed {
		return nil, newSQLError(sqlStateFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
	}
	if result, ok := session.runSettingCommand(statement.template, args); ok {
		return result, nil
	}
	if strings.HasPrefix(statement.template, "select * from platform_") {
		return session.runPlatformFunction(statement.template, args)
	}
	found, err := findForm(statement.template)
	if err != nil {
		return nil, err
	}
	if session.tx == nil {
		if session.instance.isLeaving() {
			return nil, newSQLError(wire.SQLStateAdminShutdown, "terminating connection due to administrator command")
		}
		session.tx = session.newTx()
	}
	ctx, stop := session.newStatementContext()
	defer stop()
	result, err := found.execute(ctx, session.instance, session.tx, args, statement.label)
	if err != nil {
		return nil, err
	}
	session.mark = result.mark
	return result, nil
}

func (session *session) newStatementContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	session.mu.Lock()
	session.cancel = cancel
	session.mu.Unlock()
	return ctx, cancel
}

// cancelStatement cancels the running statement, if any.
func (session *session) cancelStatement() {
	session.mu.Lock()
	defer session.mu.Unlock()
	if session.cancel != nil {
		session.cancel()
	}
}

func (instance *Instance) isLeaving() bool {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	return instance.leaving
}

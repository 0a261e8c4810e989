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
	instance *Instance
	backend  *pgproto3.Backend
	control  bool
	settings map[string]string
	startup  map[string]string
	tx       *tx
	mark     model.Mark

	prepared map[string]prepared
	portals  map[string]portal
	skipping bool // an error was sent; messages are skipped until Sync

	mu     sync.Mutex
	cancel context.CancelFunc
}

// serve handles messages until the connection ends.
func (session *session) serve() {
	defer session.abandon()
	for {
		message, err := session.backend.Receive()
		if err != nil {
			return
		}
		if _, ok := message.(*pgproto3.Terminate); ok {
			return
		}
		session.handle(message)
		if endsBatch(message) && session.backend.Flush() != nil {
			return
		}
	}
}

// endsBatch reports whether the caller waits for the answers up to message.
func endsBatch(message pgproto3.FrontendMessage) bool {
	switch message.(type) {
	case *pgproto3.Query, *pgproto3.Sync, *pgproto3.Flush:
		return true
	default:
		return false
	}
}

func (session *session) handle(message pgproto3.FrontendMessage) {
	if query, ok := message.(*pgproto3.Query); ok {
		session.simple(query.String)
		session.ready()
		return
	}
	if _, ok := message.(*pgproto3.Sync); ok {
		session.skipping = false
		session.finishImplicit()
		session.ready()
		return
	}
	if session.skipping {
		return
	}
	if err := session.extended(message); err != nil {
		session.fail(err)
		session.skipping = true
	}
}

// simple runs a simple query; its statements form one implicit transaction.
func (session *session) simple(sql string) {
	statements := parse(sql)
	if len(statements) == 0 {
		session.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for _, statement := range statements {
		if statement.params() > 0 {
			session.fail(newError(stateSyntax, "a simple query has no parameters"))
			break
		}
		args := make([]string, 0, len(statement.args))
		for _, arg := range statement.args {
			args = append(args, arg.literal)
		}
		answer, err := session.run(statement, args)
		if err != nil {
			session.fail(err)
			break
		}
		if answer.columns != nil {
			session.backend.Send(describeColumns(answer.columns, nil))
		}
		session.sendRows(answer, nil)
	}
	session.finishImplicit()
}

func (session *session) sendRows(answer *result, formats []int16) {
	for _, row := range answer.rows {
		session.backend.Send(encodeRow(answer.columns, formats, row))
	}
	session.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(answer.tag)})
}

// ready reports the mark and the state of the transaction.
func (session *session) ready() {
	if session.mark.IsZero() {
		session.instance.mu.Lock()
		session.mark = session.instance.journal.tail()
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

func (session *session) fail(err error) {
	refused, ok := err.(*sqlError) //nolint:errorlint // the package's errors are never wrapped
	if !ok {
		refused = newError("XX000", "%s", err)
	}
	session.backend.Send(&pgproto3.ErrorResponse{
		Severity:            "ERROR",
		SeverityUnlocalized: "ERROR",
		Code:                refused.state,
		Message:             refused.message,
	})
	if session.tx != nil {
		session.instance.rollback(session.tx)
		session.tx.failed = true
	}
}

// finishImplicit ends a transaction that no BEGIN opened.
func (session *session) finishImplicit() {
	if session.tx == nil || session.tx.explicit {
		return
	}
	if session.tx.failed {
		session.tx = nil
		return
	}
	if err := session.commit(); err != nil {
		session.fail(err)
	}
}

func (session *session) commit() error {
	ended := session.tx
	session.tx = nil
	mark, err := session.instance.commit(ended)
	if !mark.IsZero() {
		session.mark = mark
	}
	return err
}

// abandon rolls back what a lost connection leaves open.
func (session *session) abandon() {
	if session.tx != nil {
		session.instance.rollback(session.tx)
	}
}

// run runs one statement.
func (session *session) run(statement statement, args []string) (*result, error) {
	if answer, handled, err := session.runTransaction(statement.template); handled {
		return answer, err
	}
	if session.tx != nil && session.tx.failed {
		return nil, newError(stateFailedTx, "current transaction is aborted, commands ignored until end of transaction block")
	}
	if answer, ok := session.runSetting(statement.template, args); ok {
		return answer, nil
	}
	if strings.HasPrefix(statement.template, "select * from platform_") {
		return session.runOrder(statement.template, args)
	}
	found, err := find(statement.template)
	if err != nil {
		return nil, err
	}
	if session.tx == nil {
		if session.instance.refusesWork() {
			return nil, newError(wire.SQLStateAdminShutdown, "terminating connection due to administrator command")
		}
		session.tx = session.newTx()
	}
	ctx, stop := session.cancelable()
	defer stop()
	answer, err := found.execute(ctx, session.instance, session.tx, args, statement.label)
	if err != nil {
		return nil, err
	}
	session.mark = answer.mark
	return answer, nil
}

func (session *session) cancelable() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	session.mu.Lock()
	session.cancel = cancel
	session.mu.Unlock()
	return ctx, cancel
}

// interrupt cancels the statement that runs, if any.
func (session *session) interrupt() {
	session.mu.Lock()
	defer session.mu.Unlock()
	if session.cancel != nil {
		session.cancel()
	}
}

func (instance *Instance) refusesWork() bool {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	return instance.leaving
}

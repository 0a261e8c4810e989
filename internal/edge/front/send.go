package front

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/wire"
)

// flushBytes is the size at which a part of an answer is written out.
const flushBytes = 64 << 10

// The states of a ReadyForQuery message.
const (
	statusIdle   = 'I'
	statusOpen   = 'T'
	statusFailed = 'E'
)

func (caller *caller) send(message pgproto3.BackendMessage) { caller.backend.Send(message) }

func (caller *caller) flush() error {
	caller.pending = 0
	deadline := time.Now().Add(caller.server.spec.WriteTimeout)
	if err := caller.conn.SetWriteDeadline(deadline); err != nil {
		return errors.Wrap(err, "set deadline of answer")
	}
	return errors.Wrap(caller.backend.Flush(), "send answer")
}

// fatal sends the error that ends the connection.
func (caller *caller) fatal(reason *fault) {
	caller.server.logger.WithFields(logrus.Fields{
		"caller":  caller.id,
		"address": caller.conn.RemoteAddr().String(),
		"code":    reason.code.String(),
		"detail":  reason.detail,
	}).Debug("caller's connection ended by the proxy")
	caller.send(reason.response(severityFatal))
	_ = caller.flush()
}

func (caller *caller) sendFault(reason *fault) { caller.send(reason.response(severityError)) }

func (caller *caller) notice(severity string, state string, text string) {
	caller.send(&pgproto3.NoticeResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                state,
		Message:             text,
	})
}

func (caller *caller) ready() {
	status := byte(statusIdle)
	switch caller.txState {
	case model.TxOpen:
		status = statusOpen
	case model.TxFailed:
		status = statusFailed
	}
	caller.send(&pgproto3.ReadyForQuery{TxStatus: status})
}

func (caller *caller) complete(tag string) {
	caller.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

// sendRows sends rows and writes a large answer out in parts.
func (caller *caller) sendRows(rows [][][]byte) error {
	for _, row := range rows {
		caller.send(&pgproto3.DataRow{Values: row})
		for _, value := range row {
			caller.pending += len(value)
		}
		if caller.pending < flushBytes {
			continue
		}
		if err := caller.flush(); err != nil {
			return err
		}
	}
	return nil
}

func (caller *caller) sendResult(result wire.Result) error {
	if result.Fields() != nil {
		caller.send(&pgproto3.RowDescription{Fields: result.Fields()})
	}
	if err := caller.sendRows(result.Rows()); err != nil {
		return err
	}
	caller.sendTag(result.Tag())
	return nil
}

func (caller *caller) sendTag(tag string) {
	if tag == "" {
		caller.send(&pgproto3.EmptyQueryResponse{})
		return
	}
	caller.complete(tag)
}

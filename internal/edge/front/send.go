package front

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/wire"
)

// flushThresholdBytes is the amount of buffered row data that triggers a flush.
const flushThresholdBytes = 64 << 10

// The transaction status values of a ReadyForQuery message.
const (
	statusIdle   = 'I'
	statusOpen   = 'T'
	statusFailed = 'E'
)

func (caller *caller) send(message pgproto3.BackendMessage) { caller.backend.Send(message) }

func (caller *caller) flush() error {
	caller.unflushedBytes = 0
	deadline := time.Now().Add(caller.server.spec.WriteTimeout)
	if err := caller.conn.SetWriteDeadline(deadline); err != nil {
		return errors.Wrap(err, "set deadline of answer")
	}
	return errors.Wrap(caller.backend.Flush(), "send answer")
}

// sendFatal sends an error with the severity FATAL. The connection has to be
// closed after it.
func (caller *caller) sendFatal(reason *callerError) {
	caller.server.logger.WithFields(logrus.Fields{
		"caller":  caller.id,
		"address": caller.conn.RemoteAddr().String(),
		"code":    reason.code.String(),
		"detail":  reason.detail,
	}).Debug("caller's connection ended by the proxy")
	caller.send(reason.response(severityFatal))
	_ = caller.flush()
}

func (caller *caller) sendError(reason *callerError) { caller.send(reason.response(severityError)) }

func (caller *caller) sendNotice(severity string, state string, text string) {
	caller.send(&pgproto3.NoticeResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                state,
		Message:             text,
	})
}

func (caller *caller) sendReady() {
	caller.inSequence = false
	status := byte(statusIdle)
	switch caller.txState {
	case model.TxOpen:
		status = statusOpen
	case model.TxFailed:
		status = statusFailed
	}
	caller.send(&pgproto3.ReadyForQuery{TxStatus: status})
}

func (caller *caller) sendCommandComplete(tag string) {
	caller.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

// sendRows sends rows and flushes a large answer in parts.
func (caller *caller) sendRows(rows [][][]byte) error {
	for _, row := range rows {
		caller.send(&pgproto3.DataRow{Values: row})
		for _, value := range row {
			caller.unflushedBytes += len(value)
		}
		if caller.unflushedBytes < flushThresholdBytes {
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
	caller.sendCompletion(result.Tag())
	return nil
}

func (caller *caller) sendCompletion(tag string) {
	if tag == "" {
		caller.send(&pgproto3.EmptyQueryResponse{})
		return
	}
	caller.sendCommandComplete(tag)
}

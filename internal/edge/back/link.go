package back

import (
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/wire"
)

// controlWriteTimeout bounds the sending of one batch of probes or orders.
const controlWriteTimeout = 100 * time.Millisecond

// controlConn is an open control connection. Its lane writes queries and a goroutine
// reads the answers, which come in the order of the queries.
type controlConn struct {
	hijacked       *pgconn.HijackedConn
	maxAnswerBytes int
}

// controlAnswer is the answer to the oldest unanswered query of a link. err tells
// that the link is broken.
type controlAnswer struct {
	conn     *controlConn
	status   model.Status
	accepted bool
	err      error
}

// send writes queries in one batch.
func (link *controlConn) send(tasks []*controlQuery) error {
	if err := link.hijacked.Conn.SetWriteDeadline(time.Now().Add(controlWriteTimeout)); err != nil {
		return errors.Wrap(err, "set deadline of control connection")
	}
	for _, task := range tasks {
		link.hijacked.Frontend.Send(&pgproto3.Query{String: task.sql})
	}
	return errors.Wrap(link.hijacked.Frontend.Flush(), "send to control connection")
}

// readAnswers hands on the answers until the link breaks or done is closed.
func (link *controlConn) readAnswers(answers chan<- controlAnswer, done <-chan struct{}) {
	for {
		answer := link.readAnswer()
		select {
		case answers <- answer:
		case <-done:
			return
		}
		if answer.err != nil {
			return
		}
	}
}

func (link *controlConn) readAnswer() controlAnswer {
	reader := newReader(link.hijacked, 0, link.maxAnswerBytes)
	err := reader.readUntilReady()
	answer := controlAnswer{conn: link, err: err}
	switch {
	case reader.failure != nil:
		answer.err = pgconn.ErrorResponseToPgError(reader.failure)
	case err != nil:
	case len(reader.results) != 1 || len(reader.results[0].Rows()) != 1:
		answer.err = errors.New("answer of control connection is not one row")
	default:
		answer.status, answer.accepted, answer.err = wire.ParseStatus(reader.results[0].Rows()[0])
	}
	return answer
}

func (link *controlConn) close() { _ = link.hijacked.Conn.Close() }

package back

import (
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/wire"
)

// controlWriteTimeout limits the time to send one batch of probes or orders.
const controlWriteTimeout = 100 * time.Millisecond

// controlConn is an open control connection. Its pipeline writes queries and a
// goroutine reads the answers, which arrive in the order of the queries.
type controlConn struct {
	hijacked       *pgconn.HijackedConn
	maxAnswerBytes int
}

// controlAnswer is the answer to the oldest unanswered query of a controlConn.
// If err is set, the connection is unusable.
type controlAnswer struct {
	conn     *controlConn
	status   model.Status
	accepted bool
	err      error
}

// send writes queries in one batch and returns without waiting for answers.
func (controlConn *controlConn) send(queries []*controlQuery) error {
	if err := controlConn.hijacked.Conn.SetWriteDeadline(time.Now().Add(controlWriteTimeout)); err != nil {
		return errors.Wrap(err, "set deadline of control connection")
	}
	for _, query := range queries {
		controlConn.hijacked.Frontend.Send(&pgproto3.Query{String: query.sql})
	}
	return errors.Wrap(controlConn.hijacked.Frontend.Flush(), "send to control connection")
}

// readAnswers sends each answer to answers until the connection fails or done is closed.
func (controlConn *controlConn) readAnswers(answers chan<- controlAnswer, done <-chan struct{}) {
	for {
		answer := controlConn.readAnswer()
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

func (controlConn *controlConn) readAnswer() controlAnswer {
	reader := newReader(controlConn.hijacked, 0, controlConn.maxAnswerBytes)
	err := reader.readUntilReady()
	answer := controlAnswer{conn: controlConn, err: err}
	switch {
	case reader.failure != nil:
		answer.err = pgconn.ErrorResponseToPgError(reader.failure)
	case err != nil:
	case len(reader.results) != 1 || len(reader.results[0].Rows()) != 1:
		answer.err = errors.New("answer on control connection is not a single row")
	default:
		answer.status, answer.accepted, answer.err = wire.ParseStatus(reader.results[0].Rows()[0])
	}
	return answer
}

func (controlConn *controlConn) close() { _ = controlConn.hijacked.Conn.Close() }

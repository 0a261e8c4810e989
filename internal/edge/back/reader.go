package back

import (
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/wire"
)

// maxNotices is the number of notices that are kept per answer; later ones are dropped.
const maxNotices = 100

// reader reads the messages of one answer, up to and including ReadyForQuery.
type reader struct {
	hijacked    *pgconn.HijackedConn
	skipResults int
	maxBytes    int

	results    []wire.Result
	fields     []pgproto3.FieldDescription
	rows       [][][]byte
	paramTypes []uint32
	rowBytes   int
	notices    []*pgproto3.NoticeResponse
	failure    *pgproto3.ErrorResponse
	mark       model.Mark
	hasMark    bool
}

// newReader returns a reader that drops the first skipResults results, and drops
// all rows if they hold more than maxBytes bytes in total.
func newReader(hijacked *pgconn.HijackedConn, skipResults int, maxBytes int) *reader {
	return &reader{hijacked: hijacked, skipResults: skipResults, maxBytes: maxBytes}
}

// readUntilReady reads until ReadyForQuery. If it returns an error, the rest of
// the answer is lost, but failure may still be set.
func (reader *reader) readUntilReady() error {
	for {
		message, err := reader.hijacked.Frontend.Receive()
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
		ready, err := reader.handle(message)
		if ready || err != nil {
			return err
		}
	}
}

func (reader *reader) handle(message pgproto3.BackendMessage) (ready bool, err error) {
	switch message := message.(type) {
	case *pgproto3.RowDescription:
		reader.fields = copyFields(message.Fields)
	case *pgproto3.NoData:
		reader.fields = nil
	case *pgproto3.DataRow:
		reader.addRow(message.Values)
	case *pgproto3.CommandComplete:
		reader.addResult(string(message.CommandTag))
	case *pgproto3.EmptyQueryResponse:
		reader.addResult("")
	case *pgproto3.ParameterDescription:
		reader.paramTypes = append([]uint32(nil), message.ParameterOIDs...)
	case *pgproto3.ErrorResponse:
		reader.addFailure(message)
	case *pgproto3.NoticeResponse:
		reader.addNotice(message)
	case *pgproto3.ParameterStatus:
		return false, reader.addParameter(message)
	case *pgproto3.ReadyForQuery:
		reader.hijacked.TxStatus = message.TxStatus
		return true, nil
	case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
		return false, errors.New("instance started a COPY, which is not supported")
	}
	return false, nil
}

func (reader *reader) addRow(values [][]byte) {
	if reader.skipResults > 0 {
		return
	}
	length := 0
	for _, value := range values {
		length += len(value)
	}
	reader.rowBytes += length
	if reader.exceedsLimit() {
		reader.rows = nil
		return
	}
	reader.rows = append(reader.rows, copyRow(values, length))
}

func (reader *reader) exceedsLimit() bool { return reader.rowBytes > reader.maxBytes }

func (reader *reader) addResult(tag string) {
	if reader.skipResults > 0 {
		reader.skipResults--
	} else {
		reader.results = append(reader.results, wire.NewResult(reader.fields, reader.rows, tag))
	}
	reader.fields, reader.rows = nil, nil
}

func (reader *reader) addFailure(message *pgproto3.ErrorResponse) {
	if reader.failure == nil {
		failure := *message
		reader.failure = &failure
	}
}

func (reader *reader) addParameter(message *pgproto3.ParameterStatus) error {
	if message.Name != wire.MarkParameter {
		return nil
	}
	mark, err := model.ParseMark(message.Value)
	if err != nil {
		return err
	}
	// An instance that has lost its log reports the start of the log, the zero
	// mark. It does not count as the mark of the answer.
	reader.mark, reader.hasMark = mark, !mark.IsZero()
	return nil
}

func (reader *reader) addNotice(message *pgproto3.NoticeResponse) {
	if len(reader.notices) < maxNotices {
		notice := *message
		reader.notices = append(reader.notices, &notice)
	}
}

func (reader *reader) answer() *wire.Answer {
	spec := wire.AnswerSpec{
		Results:  reader.results,
		Notices:  reader.notices,
		Size:     reader.rowBytes,
		Overflow: reader.exceedsLimit(),
	}
	if spec.Overflow {
		spec.Results = make([]wire.Result, 0, len(reader.results))
		for _, result := range reader.results {
			spec.Results = append(spec.Results, wire.NewResult(result.Fields(), nil, result.Tag()))
		}
	}
	return wire.NewAnswer(spec)
}

// copyRow copies the values into one new array. The originals share the read
// buffer, which the next message overwrites.
func copyRow(values [][]byte, length int) [][]byte {
	row := make([][]byte, len(values))
	bytes := make([]byte, 0, length)
	for index, value := range values {
		if value == nil {
			continue
		}
		start := len(bytes)
		bytes = append(bytes, value...)
		row[index] = bytes[start:len(bytes):len(bytes)]
	}
	return row
}

func copyFields(fields []pgproto3.FieldDescription) []pgproto3.FieldDescription {
	copied := make([]pgproto3.FieldDescription, len(fields))
	for index, field := range fields {
		copied[index] = field
		copied[index].Name = append([]byte(nil), field.Name...)
	}
	return copied
}

package front

import (
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"

	"almondway.dev/almondway/internal/edge/query"
	"almondway.dev/almondway/internal/edge/wire"
)

// preparedStatement is a prepared statement of a caller. The proxy stores its
// text and sends it to an instance only when it is described or executed.
type preparedStatement struct {
	sql           string
	statementType query.StatementType
	keyword       string
	paramTypes    []uint32
	description   *wire.Description
}

// portal is a prepared statement with parameters and, once executed, with its
// buffered answer.
type portal struct {
	statement     *preparedStatement
	params        [][]byte
	paramFormats  []int16
	resultFormats []int16

	executed bool
	result   wire.Result
	sentRows int
	// rowBytes is the size of the answer until it is part of heldBytes, the bytes
	// that count towards the limits of the caller.
	rowBytes  int
	heldBytes int
}

func newPreparedStatement(message *pgproto3.Parse) *preparedStatement {
	statementType, keyword := query.Classify(message.Query)
	return &preparedStatement{
		sql:           message.Query,
		statementType: statementType,
		keyword:       keyword,
		paramTypes:    slices.Clone(message.ParameterOIDs),
	}
}

func newPortal(statement *preparedStatement, message *pgproto3.Bind) *portal {
	params := make([][]byte, len(message.Parameters))
	for index, param := range message.Parameters {
		if param != nil {
			params[index] = append([]byte{}, param...)
		}
	}
	return &portal{
		statement:     statement,
		params:        params,
		paramFormats:  slices.Clone(message.ParameterFormatCodes),
		resultFormats: slices.Clone(message.ResultFormatCodes),
	}
}

// statementSpec returns the statement with the parameters of the portal.
func (portal *portal) statementSpec() wire.StatementSpec {
	return wire.StatementSpec{
		SQL:           portal.statement.sql,
		Params:        portal.params,
		ParamTypes:    portal.statement.paramTypes,
		ParamFormats:  portal.paramFormats,
		ResultFormats: portal.resultFormats,
	}
}

// formattedFields returns the columns with the result formats of the portal.
func (portal *portal) formattedFields(described []pgproto3.FieldDescription) []pgproto3.FieldDescription {
	if described == nil {
		return nil
	}
	fields := slices.Clone(described)
	for index := range fields {
		switch len(portal.resultFormats) {
		case 0:
			fields[index].Format = pgproto3.TextFormat
		case 1:
			fields[index].Format = portal.resultFormats[0]
		default:
			if index < len(portal.resultFormats) {
				fields[index].Format = portal.resultFormats[index]
			}
		}
	}
	return fields
}

// nextRows returns up to limit rows that were not sent yet, and whether they are
// the last. A limit of 0 returns all.
func (portal *portal) nextRows(limit int) (rows [][][]byte, last bool) {
	rows = portal.result.Rows()[portal.sentRows:]
	if limit > 0 && len(rows) > limit {
		rows = rows[:limit]
	}
	portal.sentRows += len(rows)
	return rows, portal.sentRows == len(portal.result.Rows())
}

// paramBytes returns the total size of the parameters.
func (portal *portal) paramBytes() int {
	size := 0
	for _, param := range portal.params {
		size += len(param)
	}
	return size
}

// releaseRows frees the rows. All of them have to be sent before.
func (portal *portal) releaseRows() {
	portal.result = wire.NewResult(portal.result.Fields(), nil, portal.result.Tag())
	portal.sentRows = 0
}

package front

import (
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"

	"almondway.dev/almondway/internal/edge/query"
	"almondway.dev/almondway/internal/edge/wire"
)

// prepared is a prepared statement. The proxy keeps its text; instances see it
// when it is described or executed.
type prepared struct {
	sql         string
	form        query.Form
	keyword     string
	paramTypes  []uint32
	description *wire.Description
}

// portal is a prepared statement with parameters, and what is left of its
// answer once it was executed.
type portal struct {
	statement     *prepared
	params        [][]byte
	paramFormats  []int16
	resultFormats []int16

	executed bool
	result   wire.Result
	sent     int
	// rowBytes is the size of the answer, held counts what the caller is charged.
	rowBytes int
	held     int
}

func newPrepared(message *pgproto3.Parse) *prepared {
	form, keyword := query.Classify(message.Query)
	return &prepared{
		sql:        message.Query,
		form:       form,
		keyword:    keyword,
		paramTypes: slices.Clone(message.ParameterOIDs),
	}
}

func newPortal(statement *prepared, message *pgproto3.Bind) *portal {
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

// spec returns the statement that an execution of the portal runs.
func (portal *portal) spec() wire.StatementSpec {
	return wire.StatementSpec{
		SQL:           portal.statement.sql,
		Params:        portal.params,
		ParamTypes:    portal.statement.paramTypes,
		ParamFormats:  portal.paramFormats,
		ResultFormats: portal.resultFormats,
	}
}

// fields returns the columns in the formats that the portal asks for.
func (portal *portal) fields(described []pgproto3.FieldDescription) []pgproto3.FieldDescription {
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

// next returns up to limit rows that were not sent yet, and whether none is left.
// A limit of 0 returns all.
func (portal *portal) next(limit int) (rows [][][]byte, last bool) {
	rows = portal.result.Rows()[portal.sent:]
	if limit > 0 && len(rows) > limit {
		rows = rows[:limit]
	}
	portal.sent += len(rows)
	return rows, portal.sent == len(portal.result.Rows())
}

// size returns the number of bytes of the parameters.
func (portal *portal) size() int {
	size := 0
	for _, param := range portal.params {
		size += len(param)
	}
	return size
}

// release drops the rows, all of which were sent.
func (portal *portal) release() {
	portal.result = wire.NewResult(portal.result.Fields(), nil, portal.result.Tag())
	portal.sent = 0
}

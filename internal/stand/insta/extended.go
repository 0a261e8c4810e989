package insta

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

// preparedStatement is a prepared statement of the extended query protocol.
type preparedStatement struct {
	statement  statement
	columns    []column
	paramTypes []uint32
}

// portal is a prepared statement with its parameter values and result formats.
type portal struct {
	prepared preparedStatement
	args     []string
	formats  []int16
}

func (session *session) handleExtended(message pgproto3.FrontendMessage) error {
	switch message := message.(type) {
	case *pgproto3.Parse:
		return session.parse(message)
	case *pgproto3.Bind:
		return session.bind(message)
	case *pgproto3.Describe:
		return session.describe(message)
	case *pgproto3.Execute:
		return session.execute(message)
	case *pgproto3.Close:
		if message.ObjectType == 'S' {
			delete(session.prepared, message.Name)
		} else {
			delete(session.portals, message.Name)
		}
		session.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Flush:
	default:
		return newSQLError(sqlStateProtocolViolation, "message %T is not supported", message)
	}
	return nil
}

func (session *session) parse(message *pgproto3.Parse) error {
	statements := parseStatements(message.Query)
	if len(statements) > 1 {
		return newSQLError(sqlStateSyntaxError, "cannot insert multiple commands into a prepared statement")
	}
	var created preparedStatement
	if len(statements) == 1 {
		created.statement = statements[0]
		created.paramTypes = make([]uint32, created.statement.paramCount())
		if err := created.resolveTypes(); err != nil {
			return err
		}
	}
	for index, oid := range message.ParameterOIDs {
		if oid != 0 && index < len(created.paramTypes) {
			created.paramTypes[index] = oid
		}
	}
	session.prepared[message.Name] = created
	session.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

// resolveTypes sets the types of the result columns and of the parameters.
func (preparedStatement *preparedStatement) resolveTypes() error {
	for index := range preparedStatement.paramTypes {
		preparedStatement.paramTypes[index] = pgtype.TextOID
	}
	word, name, _ := strings.Cut(preparedStatement.statement.template, " ")
	switch word {
	case "select", "insert", "update", "delete":
	case "show":
		preparedStatement.columns = []column{textColumn(name)}
		return nil
	default:
		return nil
	}
	found, err := findForm(preparedStatement.statement.template)
	if err != nil {
		return err
	}
	preparedStatement.columns = found.columns
	for index, arg := range preparedStatement.statement.args {
		if arg.param > 0 && index < len(found.paramTypes) {
			preparedStatement.paramTypes[arg.param-1] = found.paramTypes[index]
		}
	}
	return nil
}

func (session *session) bind(message *pgproto3.Bind) error {
	found, ok := session.prepared[message.PreparedStatement]
	if !ok {
		return newSQLError(sqlStateInvalidStatementName, "prepared statement %q does not exist", message.PreparedStatement)
	}
	if len(message.Parameters) != len(found.paramTypes) {
		return newSQLError(sqlStateProtocolViolation, "bind message supplies %d parameters, but the statement requires %d", len(message.Parameters), len(found.paramTypes))
	}
	portal := portal{prepared: found, formats: append([]int16(nil), message.ResultFormatCodes...)}
	for _, arg := range found.statement.args {
		value := arg.literal
		if index := arg.param - 1; index >= 0 {
			decoded, err := decodeParam(message.Parameters[index], found.paramTypes[index], formatCode(message.ParameterFormatCodes, index))
			if err != nil {
				return err
			}
			value = decoded
		}
		portal.args = append(portal.args, value)
	}
	session.portals[message.DestinationPortal] = portal
	session.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (session *session) describe(message *pgproto3.Describe) error {
	var columns []column
	var formats []int16
	if message.ObjectType == 'S' {
		found, ok := session.prepared[message.Name]
		if !ok {
			return newSQLError(sqlStateInvalidStatementName, "prepared statement %q does not exist", message.Name)
		}
		columns = found.columns
		session.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: found.paramTypes})
	} else {
		found, ok := session.portals[message.Name]
		if !ok {
			return newSQLError(sqlStateInvalidCursorName, "portal %q does not exist", message.Name)
		}
		columns, formats = found.prepared.columns, found.formats
	}
	if columns == nil {
		session.backend.Send(&pgproto3.NoData{})
	} else {
		session.backend.Send(describeColumns(columns, formats))
	}
	return nil
}

func (session *session) execute(message *pgproto3.Execute) error {
	found, ok := session.portals[message.Portal]
	if !ok {
		return newSQLError(sqlStateInvalidCursorName, "portal %q does not exist", message.Portal)
	}
	if found.prepared.statement.template == "" {
		session.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	result, err := session.runStatement(found.prepared.statement, found.args)
	if err != nil {
		return err
	}
	session.sendRows(result, found.formats)
	return nil
}

package insta

import (
	"encoding/binary"
	"math"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"almondway.dev/almondway/internal/core/model"
)

const (
	formatText   = 0
	formatBinary = 1
)

type column struct {
	name string
	oid  uint32
}

func textColumn(name string) column { return column{name: name, oid: pgtype.TextOID} }

// result is the result of one statement.
type result struct {
	columns []column
	rows    [][]string
	tag     string
	mark    model.Mark
}

func (result *result) addRow(values ...string) { result.rows = append(result.rows, values) }

// formatCode returns the format code of the column or parameter at index. As the
// protocol defines, the list holds no code (text), one for all, or one for each.
func formatCode(formats []int16, index int) int16 {
	switch {
	case len(formats) == 0:
		return formatText
	case len(formats) == 1:
		return formats[0]
	case index < len(formats):
		return formats[index]
	default:
		return formatText
	}
}

func describeColumns(columns []column, formats []int16) *pgproto3.RowDescription {
	description := &pgproto3.RowDescription{}
	for index, column := range columns {
		size := int16(-1)
		if column.oid == pgtype.Int4OID {
			size = 4
		}
		description.Fields = append(description.Fields, pgproto3.FieldDescription{
			Name:         []byte(column.name),
			DataTypeOID:  column.oid,
			DataTypeSize: size,
			TypeModifier: -1,
			Format:       formatCode(formats, index),
		})
	}
	return description
}

func encodeRow(columns []column, formats []int16, row []string) *pgproto3.DataRow {
	encoded := &pgproto3.DataRow{}
	for index, value := range row {
		data := []byte(value)
		if formatCode(formats, index) == formatBinary && columns[index].oid == pgtype.Int4OID {
			number, _ := strconv.ParseInt(value, 10, 32)
			data = binary.BigEndian.AppendUint32(nil, uint32(number))
		}
		encoded.Values = append(encoded.Values, data)
	}
	return encoded
}

// decodeParam returns the text representation of a parameter in either format.
func decodeParam(data []byte, oid uint32, format int16) (string, error) {
	if format == formatText {
		return string(data), nil
	}
	switch {
	case oid == pgtype.Int8OID && len(data) == 8:
		return strconv.FormatInt(int64(binary.BigEndian.Uint64(data)), 10), nil
	case oid == pgtype.Int4OID && len(data) == 4:
		return strconv.FormatInt(int64(int32(binary.BigEndian.Uint32(data))), 10), nil
	case oid == pgtype.Int2OID && len(data) == 2:
		return strconv.FormatInt(int64(int16(binary.BigEndian.Uint16(data))), 10), nil
	case oid == pgtype.Float8OID && len(data) == 8:
		return strconv.FormatFloat(math.Float64frombits(binary.BigEndian.Uint64(data)), 'g', -1, 64), nil
	case oid == pgtype.TextOID, oid == pgtype.VarcharOID, oid == pgtype.UnknownOID:
		return string(data), nil
	}
	return "", newSQLError(sqlStateInvalidTextRepresentation, "binary parameter of type %d with %d bytes is not supported", oid, len(data))
}

// Package wire defines the payloads that packages front and back exchange through
// the kernel (statements, answers, descriptions and database errors of the
// PostgreSQL protocol), and the SQL protocol between the proxy and an instance.
package wire

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// StatementSpec lists the fields of a new Statement.
type StatementSpec struct {
	SQL           string
	Simple        bool
	Params        [][]byte
	ParamTypes    []uint32
	ParamFormats  []int16
	ResultFormats []int16
	// BeginModes holds the transaction modes for the case that the statement is
	// the first of a transaction.
	BeginModes string
}

// Statement is a statement of the simple or the extended query protocol. It is immutable.
type Statement struct {
	spec StatementSpec
	size int
}

// NewStatement returns the Statement that spec describes.
func NewStatement(spec StatementSpec) *Statement {
	size := len(spec.SQL)
	for _, param := range spec.Params {
		size += len(param)
	}
	return &Statement{spec: spec, size: size}
}

// Size implements model.Payload.
func (statement *Statement) Size() int { return statement.size }

// SQL returns the text of the statement.
func (statement *Statement) SQL() string { return statement.spec.SQL }

// Simple reports whether the Statement was sent with the simple query protocol.
func (statement *Statement) Simple() bool { return statement.spec.Simple }

// Params returns the parameter values; nil is NULL.
func (statement *Statement) Params() [][]byte { return statement.spec.Params }

// BeginModes returns the modes of the transaction that the statement opens, such
// as "ISOLATION LEVEL SERIALIZABLE", or the empty string.
func (statement *Statement) BeginModes() string { return statement.spec.BeginModes }

// ParamTypes returns the type OIDs of the parameters. The database infers a type that is 0.
func (statement *Statement) ParamTypes() []uint32 { return statement.spec.ParamTypes }

// ParamFormats returns the format codes of the parameters.
func (statement *Statement) ParamFormats() []int16 { return statement.spec.ParamFormats }

// ResultFormats returns the format codes of the result columns.
func (statement *Statement) ResultFormats() []int16 { return statement.spec.ResultFormats }

// Result is the result of one statement of an Answer.
type Result struct {
	fields []pgproto3.FieldDescription
	rows   [][][]byte
	tag    string
}

// NewResult returns a Result. fields is nil for a statement that returns no rows.
func NewResult(fields []pgproto3.FieldDescription, rows [][][]byte, tag string) Result {
	return Result{fields: fields, rows: rows, tag: tag}
}

// Fields returns the description of the columns, or nil.
func (result Result) Fields() []pgproto3.FieldDescription { return result.fields }

// Rows returns the rows as raw column values; nil is NULL.
func (result Result) Rows() [][][]byte { return result.rows }

// Tag returns the command tag.
func (result Result) Tag() string { return result.tag }

// Description is the answer to a Describe: the parameter and column types of a statement.
type Description struct {
	paramTypes []uint32
	fields     []pgproto3.FieldDescription
}

// NewDescription returns a Description.
func NewDescription(paramTypes []uint32, fields []pgproto3.FieldDescription) *Description {
	return &Description{paramTypes: paramTypes, fields: fields}
}

// Size implements model.Payload.
func (description *Description) Size() int { return 0 }

// ParamTypes returns the type OIDs of the parameters.
func (description *Description) ParamTypes() []uint32 { return description.paramTypes }

// Fields returns the description of the columns, or nil.
func (description *Description) Fields() []pgproto3.FieldDescription { return description.fields }

// Failure is an error that the database reported for a statement.
type Failure struct {
	response *pgproto3.ErrorResponse
}

// NewFailure returns the Failure of an error response.
func NewFailure(response *pgproto3.ErrorResponse) *Failure { return &Failure{response: response} }

// Size implements model.Payload.
func (failure *Failure) Size() int { return len(failure.response.Message) }

// Response returns the error response of the database.
func (failure *Failure) Response() *pgproto3.ErrorResponse { return failure.response }

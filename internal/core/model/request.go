package model

import "time"

// Payload is an opaque statement or answer. The adapters of callers and of
// backend connections define its contents; the kernel only forwards it.
type Payload interface {
	// Size returns the size of the Payload in bytes.
	Size() int
}

// Op is the operation that a request asks for.
type Op int

// The operations of a request.
const (
	// OpStatement runs a statement, in the caller's transaction if one is open.
	OpStatement Op = iota
	// OpBegin opens a transaction. Nothing is sent to an instance until the first statement.
	OpBegin
	// OpCommit commits the caller's transaction.
	OpCommit
	// OpRollback rolls the caller's transaction back.
	OpRollback
	// OpDescribe asks for the parameter and column types of a statement; any instance may answer.
	OpDescribe
)

// RequestSpec lists the fields of a new Request.
type RequestSpec struct {
	Seq       RequestSeq
	Caller    CallerID
	Op        Op
	Kind      string
	Key       string
	Group     GroupID
	RequestID string
	Session   string
	Digest    uint64
	Token     Token
	Timeout   time.Duration
	Writes    bool
	ReadOnly  bool
	Statement Payload
}

// Request is one request of a caller. It is immutable.
type Request struct {
	spec RequestSpec
}

// NewRequest returns the Request that spec describes.
func NewRequest(spec RequestSpec) *Request { return &Request{spec: spec} }

// Seq returns the sequence number of the Request, unique within this proxy process.
func (request *Request) Seq() RequestSeq { return request.spec.Seq }

// Caller returns the ID of the caller's connection on which the Request arrived.
func (request *Request) Caller() CallerID { return request.spec.Caller }

// Op returns the operation that the caller asks for.
func (request *Request) Op() Op { return request.spec.Op }

// Kind returns the name of the request's kind, or the empty string if the caller specified none.
func (request *Request) Kind() string { return request.spec.Kind }

// Key returns the key that selects one of the deployment's groups, or the empty string.
func (request *Request) Key() string { return request.spec.Key }

// Group returns the group that the caller specified, or the empty string.
func (request *Request) Group() GroupID { return request.spec.Group }

// RequestID returns the caller's idempotency key, or the empty string.
func (request *Request) RequestID() string { return request.spec.RequestID }

// Session returns the session name that the caller specified, or the empty string.
func (request *Request) Session() string { return request.spec.Session }

// Digest returns a hash of the statement and its parameters.
func (request *Request) Digest() uint64 { return request.spec.Digest }

// Token returns the session token that came with the Request.
func (request *Request) Token() Token { return request.spec.Token }

// Timeout returns the timeout that the caller specified, or 0 to use that of the kind.
func (request *Request) Timeout() time.Duration { return request.spec.Timeout }

// Writes reports whether the statement changes data, for kinds whose Access does not determine it.
func (request *Request) Writes() bool { return request.spec.Writes }

// ReadOnly reports whether OpBegin opens a read-only transaction.
func (request *Request) ReadOnly() bool { return request.spec.ReadOnly }

// Statement returns the statement, or nil for OpBegin, OpCommit and OpRollback.
func (request *Request) Statement() Payload { return request.spec.Statement }

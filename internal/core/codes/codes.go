// Package codes defines the numbered result codes that are returned to callers and operators.
package codes

import "fmt"

// Code is a result code. The meaning of a number never changes.
type Code int

// The result codes. 1xx: the request is invalid. 2xx: temporary conditions; the request
// can be retried. 3xx: the caller must check the outcome or the answer. 4xx: calls of the
// administration API failed. 5xx: faults of the proxy or of an instance.
const (
	OK                    Code = 0
	Statement             Code = 1
	UnknownDeployment     Code = 101
	UnknownKind           Code = 102
	UnknownGroup          Code = 103
	MalformedToken        Code = 104
	MessageTooLarge       Code = 105
	BadProtocol           Code = 106
	TLSNotOffered         Code = 107
	MalformedRequestID    Code = 108
	RequestIDExpired      Code = 109
	RequestIDReused       Code = 110
	KindMismatch          Code = 111
	TransactionState      Code = 112
	UnknownCaller         Code = 113
	MalformedTag          Code = 114
	RequestIDMissing      Code = 115
	Unsupported           Code = 116
	RequestIDSettled      Code = 117
	WrongProxy            Code = 118
	UnknownKey            Code = 119
	Overloaded            Code = 201
	NoPrimary             Code = 202
	NoReplica             Code = 203
	DeadlineExceeded      Code = 204
	Draining              Code = 205
	RevisionUnconfirmed   Code = 206
	TooManyCallers        Code = 207
	StartupTimeout        Code = 208
	PrimaryChanged        Code = 209
	Canceled              Code = 210
	TeamLimit             Code = 211
	OutcomeUnknown        Code = 301
	TransactionLost       Code = 302
	AnswerTooLarge        Code = 303
	TransactionDone       Code = 304
	RevisionConflict      Code = 401
	InvalidDeployment     Code = 402
	DeploymentNotFound    Code = 403
	Unauthenticated       Code = 404
	PermissionDenied      Code = 405
	StoreUnavailable      Code = 406
	ChangeIDReused        Code = 407
	SwitchoverFailed      Code = 408
	AcceptanceUnknown     Code = 409
	Internal              Code = 501
	SettingInvalid        Code = 502
	BackendProtocolFailed Code = 503
)

// Info describes a Code to callers and in the table of the documentation.
type Info struct {
	code     Code
	name     string
	sqlState string
	meaning  string
	remedy   string
}

// Code returns the numeric code.
func (info Info) Code() Code { return info.code }

// Name returns the name of the code in snake case.
func (info Info) Name() string { return info.name }

// SQLState returns the SQLSTATE that is sent to a caller with the code.
func (info Info) SQLState() string { return info.sqlState }

// Meaning returns a short description of what happened.
func (info Info) Meaning() string { return info.meaning }

// Remedy returns a short instruction on what to do.
func (info Info) Remedy() string { return info.remedy }

// All returns a copy of the table, in ascending order of the codes.
func All() []Info { return append([]Info(nil), table...) }

// Lookup returns the description of code. The second result is false if the code is unknown.
func Lookup(code Code) (Info, bool) {
	for _, info := range table {
		if info.code == code {
			return info, true
		}
	}
	return Info{}, false
}

// SQLState returns the SQLSTATE of the code. An unknown code has that of an internal error.
func (code Code) SQLState() string {
	if info, ok := Lookup(code); ok {
		return info.sqlState
	}
	return sqlStateInternal
}

// String returns the number and the name, for example "AW204 deadline_exceeded". An
// unknown code has no name.
func (code Code) String() string {
	if info, ok := Lookup(code); ok {
		return fmt.Sprintf("AW%03d %s", int(code), info.name)
	}
	return fmt.Sprintf("AW%03d", int(code))
}

// Package codes defines the numbered result codes that callers and operators see.
package codes

import "fmt"

// Code is a numbered result code. The numbers never change their meaning.
type Code int

// The result codes. 1xx: the request is wrong. 2xx: the caller may come back.
// 3xx: the outcome needs attention. 4xx: operators' calls. 5xx: faults of the proxy.
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

// Info describes a Code for callers and for the table in the docs.
type Info struct {
	code     Code
	name     string
	sqlState string
	meaning  string
	remedy   string
}

// Code returns the number.
func (info Info) Code() Code { return info.code }

// Name returns the name in snake case.
func (info Info) Name() string { return info.name }

// SQLState returns the SQLSTATE that a caller gets with the Code.
func (info Info) SQLState() string { return info.sqlState }

// Meaning returns one sentence on what happened.
func (info Info) Meaning() string { return info.meaning }

// Remedy returns one sentence on what to do.
func (info Info) Remedy() string { return info.remedy }

// All returns the table of codes in ascending order.
func All() []Info { return append([]Info(nil), table...) }

// Lookup returns the description of code.
func Lookup(code Code) (Info, bool) {
	for _, info := range table {
		if info.code == code {
			return info, true
		}
	}
	return Info{}, false
}

// SQLState returns the SQLSTATE of the Code, or that of an internal error for an unknown Code.
func (code Code) SQLState() string {
	if info, ok := Lookup(code); ok {
		return info.sqlState
	}
	return sqlStateInternal
}

// String returns the number and the name, as in "AW204 deadline_exceeded".
func (code Code) String() string {
	if info, ok := Lookup(code); ok {
		return fmt.Sprintf("AW%03d %s", int(code), info.name)
	}
	return fmt.Sprintf("AW%03d", int(code))
}

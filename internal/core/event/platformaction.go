package event

import (
	"almondway.dev/almondway/internal/core/model"
)

// ReadStore reads the rows of a table whose keys start with a prefix. The answer is
// StoreRead or StoreFailed.
type ReadStore struct {
	callID model.PlatformCallID
	table  string
	prefix string
}

// NewReadStore returns a ReadStore.
func NewReadStore(callID model.PlatformCallID, table string, prefix string) ReadStore {
	return ReadStore{callID: callID, table: table, prefix: prefix}
}

// CallID returns the identifier of the call.
func (readStore ReadStore) CallID() model.PlatformCallID { return readStore.callID }

// Table returns the name of the table.
func (readStore ReadStore) Table() string { return readStore.table }

// Prefix returns the prefix of the keys. A whole key selects one row.
func (readStore ReadStore) Prefix() string { return readStore.prefix }

func (ReadStore) isAction() {}

// WriteStore writes rows in one transaction if all rows have the expected versions. The
// answer is StoreWritten, StoreConflict or StoreFailed.
type WriteStore struct {
	callID model.PlatformCallID
	writes []model.RowWrite
}

// NewWriteStore returns a WriteStore.
func NewWriteStore(callID model.PlatformCallID, writes []model.RowWrite) WriteStore {
	return WriteStore{callID: callID, writes: writes}
}

// CallID returns the identifier of the call.
func (writeStore WriteStore) CallID() model.PlatformCallID { return writeStore.callID }

// Writes returns the rows to write, each with its expected version.
func (writeStore WriteStore) Writes() []model.RowWrite { return writeStore.writes }

func (WriteStore) isAction() {}

// ListGroups requests the platform's database groups. The answer is GroupsListed, or
// none if the call fails.
type ListGroups struct{}

// NewListGroups returns a ListGroups.
func NewListGroups() ListGroups { return ListGroups{} }

func (ListGroups) isAction() {}

// ListHosts requests the platform's list of hosts. The answer is HostsListed, or none if
// the call fails.
type ListHosts struct{}

// NewListHosts returns a ListHosts.
func NewListHosts() ListHosts { return ListHosts{} }

func (ListHosts) isAction() {}

// SendPeerMessage sends a message to another proxy. The message may be lost.
type SendPeerMessage struct {
	address string
	message PeerMessage
}

// NewSendPeerMessage returns a SendPeerMessage.
func NewSendPeerMessage(address string, message PeerMessage) SendPeerMessage {
	return SendPeerMessage{address: address, message: message}
}

// Address returns the "ip:port" of the other proxy.
func (sendPeerMessage SendPeerMessage) Address() string { return sendPeerMessage.address }

// Message returns the message.
func (sendPeerMessage SendPeerMessage) Message() PeerMessage { return sendPeerMessage.message }

func (SendPeerMessage) isAction() {}

// AnswerOperator returns the result of an operator's command. Each command has exactly
// one result.
type AnswerOperator struct {
	callID model.AdminCallID
	result Result
}

// NewAnswerOperator returns an AnswerOperator.
func NewAnswerOperator(callID model.AdminCallID, result Result) AnswerOperator {
	return AnswerOperator{callID: callID, result: result}
}

// CallID returns the identifier of the call that the result answers.
func (answerOperator AnswerOperator) CallID() model.AdminCallID { return answerOperator.callID }

// Result returns the result of the command.
func (answerOperator AnswerOperator) Result() Result { return answerOperator.result }

func (AnswerOperator) isAction() {}

// StopProxy stops the process. No work is in flight any more.
type StopProxy struct{}

// NewStopProxy returns a StopProxy.
func NewStopProxy() StopProxy { return StopProxy{} }

func (StopProxy) isAction() {}

// LogDecision writes the log line of a routing or placement decision.
type LogDecision struct {
	decision model.Decision
}

// NewLogDecision returns a LogDecision.
func NewLogDecision(decision model.Decision) LogDecision {
	return LogDecision{decision: decision}
}

// Decision returns the decision to log.
func (logDecision LogDecision) Decision() model.Decision { return logDecision.decision }

func (LogDecision) isAction() {}

package event

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
)

// StoreRead reports the rows of a table. It answers ReadStore.
type StoreRead struct {
	callID model.PlatformCallID
	rows   []model.Row
	era    model.StoreEra
	// answeredAt is the time of the answer on the store's steady clock, or 0 if it is not known.
	answeredAt time.Duration
}

// NewStoreRead returns a StoreRead.
func NewStoreRead(callID model.PlatformCallID, rows []model.Row) StoreRead {
	return StoreRead{callID: callID, rows: rows}
}

// CallID returns the identifier of the call.
func (storeRead StoreRead) CallID() model.PlatformCallID { return storeRead.callID }

// Rows returns the rows, in ascending order of their keys.
func (storeRead StoreRead) Rows() []model.Row { return storeRead.rows }

// WithEra returns a copy with the era of the store at the time of the answer.
func (storeRead StoreRead) WithEra(era model.StoreEra) StoreRead {
	storeRead.era = era
	return storeRead
}

// Era returns the era of the store at the time of the answer.
func (storeRead StoreRead) Era() model.StoreEra { return storeRead.era }

// WithAnsweredAt returns a copy with the time of the answer on the store's steady clock.
func (storeRead StoreRead) WithAnsweredAt(at time.Duration) StoreRead {
	storeRead.answeredAt = at
	return storeRead
}

// AnsweredAt returns the time of the answer on the store's steady clock, or 0 if it is not
// known.
func (storeRead StoreRead) AnsweredAt() time.Duration { return storeRead.answeredAt }

func (StoreRead) isEvent() {}

// StoreWritten reports that a transaction committed. It answers WriteStore.
type StoreWritten struct {
	callID model.PlatformCallID
	era    model.StoreEra
}

// NewStoreWritten returns a StoreWritten.
func NewStoreWritten(callID model.PlatformCallID) StoreWritten {
	return StoreWritten{callID: callID}
}

// CallID returns the identifier of the call.
func (storeWritten StoreWritten) CallID() model.PlatformCallID { return storeWritten.callID }

// WithEra returns a copy with the era of the store in which the transaction committed.
func (storeWritten StoreWritten) WithEra(era model.StoreEra) StoreWritten {
	storeWritten.era = era
	return storeWritten
}

// Era returns the era of the store in which the transaction committed.
func (storeWritten StoreWritten) Era() model.StoreEra { return storeWritten.era }

func (StoreWritten) isEvent() {}

// StoreConflict reports that a transaction was refused because a row had another version
// than expected. It answers WriteStore.
type StoreConflict struct {
	callID model.PlatformCallID
}

// NewStoreConflict returns a StoreConflict.
func NewStoreConflict(callID model.PlatformCallID) StoreConflict {
	return StoreConflict{callID: callID}
}

// CallID returns the identifier of the call.
func (storeConflict StoreConflict) CallID() model.PlatformCallID { return storeConflict.callID }

func (StoreConflict) isEvent() {}

// StoreFailed reports that a call got no answer. A WriteStore may have taken effect.
type StoreFailed struct {
	callID model.PlatformCallID
}

// NewStoreFailed returns a StoreFailed.
func NewStoreFailed(callID model.PlatformCallID) StoreFailed {
	return StoreFailed{callID: callID}
}

// CallID returns the identifier of the call.
func (storeFailed StoreFailed) CallID() model.PlatformCallID { return storeFailed.callID }

func (StoreFailed) isEvent() {}

// StoreEraSeen reports that an answer of the store has shown a higher era than the answers
// before it. It precedes every other event of the new era.
type StoreEraSeen struct {
	era model.StoreEra
}

// NewStoreEraSeen returns a StoreEraSeen.
func NewStoreEraSeen(era model.StoreEra) StoreEraSeen { return StoreEraSeen{era: era} }

// Era returns the new era.
func (storeEraSeen StoreEraSeen) Era() model.StoreEra { return storeEraSeen.era }

func (StoreEraSeen) isEvent() {}

// GroupsListed reports the platform's database groups. It answers ListGroups.
type GroupsListed struct {
	groups []model.Group
}

// NewGroupsListed returns a GroupsListed.
func NewGroupsListed(groups []model.Group) GroupsListed {
	return GroupsListed{groups: groups}
}

// Groups returns the groups, in ascending order of their names.
func (groupsListed GroupsListed) Groups() []model.Group { return groupsListed.groups }

func (GroupsListed) isEvent() {}

// HostsListed reports the platform's list of hosts, which may be out of date. It answers
// ListHosts.
type HostsListed struct {
	hosts []model.Host
}

// NewHostsListed returns a HostsListed.
func NewHostsListed(hosts []model.Host) HostsListed {
	return HostsListed{hosts: hosts}
}

// Hosts returns the listed hosts.
func (hostsListed HostsListed) Hosts() []model.Host { return hostsListed.hosts }

func (HostsListed) isEvent() {}

// PeerMessageReceived reports a message from another proxy.
type PeerMessageReceived struct {
	from    model.ProxyID
	message PeerMessage
}

// NewPeerMessageReceived returns a PeerMessageReceived.
func NewPeerMessageReceived(from model.ProxyID, message PeerMessage) PeerMessageReceived {
	return PeerMessageReceived{from: from, message: message}
}

// From returns the proxy that sent the message.
func (peerMessageReceived PeerMessageReceived) From() model.ProxyID { return peerMessageReceived.from }

// Message returns the message.
func (peerMessageReceived PeerMessageReceived) Message() PeerMessage {
	return peerMessageReceived.message
}

func (PeerMessageReceived) isEvent() {}

// CommandReceived reports an operator's command. The answer is exactly one
// AnswerOperator.
type CommandReceived struct {
	callID  model.AdminCallID
	command Command
}

// NewCommandReceived returns a CommandReceived.
func NewCommandReceived(callID model.AdminCallID, command Command) CommandReceived {
	return CommandReceived{callID: callID, command: command}
}

// CallID returns the identifier of the call, which AnswerOperator repeats.
func (commandReceived CommandReceived) CallID() model.AdminCallID {
	return commandReceived.callID
}

// Command returns the command to carry out.
func (commandReceived CommandReceived) Command() Command { return commandReceived.command }

func (CommandReceived) isEvent() {}

// ShutdownRequested asks the proxy to drain and then to stop.
type ShutdownRequested struct {
	limit       time.Duration
	requestedAt time.Duration
}

// NewShutdownRequested returns a ShutdownRequested. What is in flight is ended after limit.
func NewShutdownRequested(limit time.Duration) ShutdownRequested {
	return ShutdownRequested{limit: limit}
}

// WithRequestedAt returns a copy whose limit counts from a time, not from when the event is handled.
func (shutdownRequested ShutdownRequested) WithRequestedAt(at time.Duration) ShutdownRequested {
	shutdownRequested.requestedAt = at
	return shutdownRequested
}

// RequestedAt returns the time from which the limit counts, or 0 if that is when the event is handled.
func (shutdownRequested ShutdownRequested) RequestedAt() time.Duration {
	return shutdownRequested.requestedAt
}

// Limit returns the time after which what is in flight is ended.
func (shutdownRequested ShutdownRequested) Limit() time.Duration { return shutdownRequested.limit }

func (ShutdownRequested) isEvent() {}

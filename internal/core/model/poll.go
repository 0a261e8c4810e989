package model

import "time"

// MembersVersion identifies a state of the members that a process of a proxy knows.
type MembersVersion struct {
	process uint64
	version uint64
}

// NewMembersVersion returns a MembersVersion.
func NewMembersVersion(process, version uint64) MembersVersion {
	return MembersVersion{process: process, version: version}
}

// Process returns the identifier of the process.
func (membersVersion MembersVersion) Process() uint64 { return membersVersion.process }

// Version returns the number of the state.
func (membersVersion MembersVersion) Version() uint64 { return membersVersion.version }

// ListPosition is a state of a copy of a list: a version within an era of the store.
type ListPosition struct {
	list    ListName
	era     StoreEra
	version uint64
}

// NewListPosition returns a ListPosition. Version 0 means that there is no copy yet.
func NewListPosition(list ListName, era StoreEra, version uint64) ListPosition {
	return ListPosition{list: list, era: era, version: version}
}

// List returns the name of the list.
func (position ListPosition) List() ListName { return position.list }

// Era returns the era of the store.
func (position ListPosition) Era() StoreEra { return position.era }

// Version returns the version within the era.
func (position ListPosition) Version() uint64 { return position.version }

// ListUpdate holds the rows of a list that changed after a position, or all rows.
type ListUpdate struct {
	position ListPosition
	whole    bool
	rows     []ListRow
	age      time.Duration
}

// NewListUpdate returns a ListUpdate to position. age is the time since the list was last known
// to be up to date.
func NewListUpdate(position ListPosition, whole bool, rows []ListRow, age time.Duration) ListUpdate {
	return ListUpdate{position: position, whole: whole, rows: rows, age: age}
}

// Position returns the state of the list after the update.
func (update ListUpdate) Position() ListPosition { return update.position }

// Whole reports whether Rows are all rows of the list.
func (update ListUpdate) Whole() bool { return update.whole }

// Rows returns the rows.
func (update ListUpdate) Rows() []ListRow { return update.rows }

// Age returns how long before the update was made the list was known to be up to date.
func (update ListUpdate) Age() time.Duration { return update.age }

// PollSpec lists the fields of a new Poll.
type PollSpec struct {
	From     ProxyView
	Process  uint64
	To       ProxyID
	Draining bool
	// Hold is how long the receiver may hold the poll.
	Hold time.Duration
	// HeardOnly asks only for the members that the receiver hears itself.
	HeardOnly bool
	// Members is the state of the receiver's members that the sender has.
	Members MembersVersion
	// TakesChanges allows an answer with what has changed since that state.
	TakesChanges bool
	// Lists are the lists that the sender follows.
	Lists []ListPosition
	// FreshLists says that the sender's copies of the lists were up to date shortly before.
	FreshLists bool
	// Loads are those that the sender observed itself or, with HeardOnly, together with the
	// proxies that poll it.
	Loads LoadReport
}

// Poll is a request of a proxy to another one for the members and changes of lists that it
// lacks. It is immutable.
type Poll struct {
	spec PollSpec
}

// NewPoll returns the Poll that spec describes.
func NewPoll(spec PollSpec) Poll { return Poll{spec: spec} }

// From returns the sender.
func (poll Poll) From() ProxyView { return poll.spec.From }

// Process identifies the sender's process.
func (poll Poll) Process() uint64 { return poll.spec.Process }

// To returns the proxy that is polled.
func (poll Poll) To() ProxyID { return poll.spec.To }

// Draining reports whether the sender is shutting down.
func (poll Poll) Draining() bool { return poll.spec.Draining }

// Hold returns how long the receiver may hold the poll.
func (poll Poll) Hold() time.Duration { return poll.spec.Hold }

// HeardOnly reports whether only the members that the receiver hears itself are asked for.
func (poll Poll) HeardOnly() bool { return poll.spec.HeardOnly }

// Members returns the state of the receiver's members that the sender has.
func (poll Poll) Members() MembersVersion { return poll.spec.Members }

// TakesChanges reports whether the answer may hold what has changed since Members.
func (poll Poll) TakesChanges() bool { return poll.spec.TakesChanges }

// Lists returns the positions of the lists that the sender follows.
func (poll Poll) Lists() []ListPosition { return poll.spec.Lists }

// FreshLists reports whether the sender's copies of the lists were up to date shortly before, so
// that a receiver with older ones may ask for them.
func (poll Poll) FreshLists() bool { return poll.spec.FreshLists }

// Loads returns the loads that the sender observed itself or, with HeardOnly, together with the
// proxies that poll it.
func (poll Poll) Loads() LoadReport { return poll.spec.Loads }

// PollReplySpec lists the fields of a new PollReply.
type PollReplySpec struct {
	Process  uint64
	Draining bool
	// Held is how long the receiver held the poll.
	Held    time.Duration
	Version MembersVersion
	// Members are set if Changed is and Partial is not; else the sender has them already.
	Changed bool
	Members []ProxyView
	// Changes replace Members if Partial is set.
	Partial bool
	Changes MemberChanges
	Lists   []ListUpdate
	// Loads are those of all data centres or, for a poll with HeardOnly, those of the receiver
	// and the proxies that poll it.
	Loads LoadReport
}

// PollReply answers a Poll. It is immutable.
type PollReply struct {
	spec PollReplySpec
}

// NewPollReply returns the PollReply that spec describes.
func NewPollReply(spec PollReplySpec) PollReply { return PollReply{spec: spec} }

// Process identifies the process of the proxy that was polled.
func (reply PollReply) Process() uint64 { return reply.spec.Process }

// Draining reports whether the proxy that was polled is shutting down.
func (reply PollReply) Draining() bool { return reply.spec.Draining }

// Held returns how long the poll was held.
func (reply PollReply) Held() time.Duration { return reply.spec.Held }

// Version returns the state of the members.
func (reply PollReply) Version() MembersVersion { return reply.spec.Version }

// Partial reports whether Changes instead of Members lead to the state that the sender did not
// have.
func (reply PollReply) Partial() bool { return reply.spec.Partial }

// Changes returns the changes of the members.
func (reply PollReply) Changes() MemberChanges { return reply.spec.Changes }

// Changed reports whether Members or Changes hold a state that the sender did not have.
func (reply PollReply) Changed() bool { return reply.spec.Changed }

// Members returns the members, in ascending order of their names.
func (reply PollReply) Members() []ProxyView { return reply.spec.Members }

// Lists returns the updates of the lists that the sender follows.
func (reply PollReply) Lists() []ListUpdate { return reply.spec.Lists }

// Loads returns the loads of all data centres or, for a poll with HeardOnly, those of the
// receiver and the proxies that poll it.
func (reply PollReply) Loads() LoadReport { return reply.spec.Loads }

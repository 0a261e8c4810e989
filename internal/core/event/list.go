package event

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
)

// ReadList reads a whole list from the platform's store. The answer is ListRead or ListFailed.
type ReadList struct {
	callID model.PlatformCallID
	list   model.ListName
}

// NewReadList returns a ReadList.
func NewReadList(callID model.PlatformCallID, list model.ListName) ReadList {
	return ReadList{callID: callID, list: list}
}

// CallID returns the identifier of the call, which the answer repeats.
func (readList ReadList) CallID() model.PlatformCallID { return readList.callID }

// List returns the name of the list.
func (readList ReadList) List() model.ListName { return readList.list }

func (ReadList) isAction() {}

// AwaitChanges asks the platform's store for the changes of a list after a version. The store
// holds the call open until there is one or wait has passed. The answer is ListChanged,
// ListHistoryLost or ListFailed.
type AwaitChanges struct {
	callID model.PlatformCallID
	list   model.ListName
	after  uint64
	wait   time.Duration
}

// NewAwaitChanges returns an AwaitChanges.
func NewAwaitChanges(callID model.PlatformCallID, list model.ListName, after uint64, wait time.Duration) AwaitChanges {
	return AwaitChanges{callID: callID, list: list, after: after, wait: wait}
}

// CallID returns the identifier of the call, which the answer repeats.
func (awaitChanges AwaitChanges) CallID() model.PlatformCallID { return awaitChanges.callID }

// List returns the name of the list.
func (awaitChanges AwaitChanges) List() model.ListName { return awaitChanges.list }

// After returns the version after which changes are asked for.
func (awaitChanges AwaitChanges) After() uint64 { return awaitChanges.after }

// Wait returns how long the store holds the call open.
func (awaitChanges AwaitChanges) Wait() time.Duration { return awaitChanges.wait }

func (AwaitChanges) isAction() {}

// ApplyList passes the rows of a list on to the adapter that decodes them. It posts what they
// say as CatalogListed, InstancesListed, InstanceListed and InstanceUnlisted, and ListApplied
// after that.
type ApplyList struct {
	list     model.ListName
	rows     []model.ListRow
	whole    bool
	restored bool
}

// NewApplyList returns an ApplyList of the changed rows of a list, or of all its rows if whole
// is set.
func NewApplyList(list model.ListName, rows []model.ListRow, whole bool) ApplyList {
	return ApplyList{list: list, rows: rows, whole: whole}
}

// WithRestored returns a copy for rows that may be older than those before, since the store was
// restored.
func (applyList ApplyList) WithRestored(restored bool) ApplyList {
	applyList.restored = restored
	return applyList
}

// List returns the name of the list.
func (applyList ApplyList) List() model.ListName { return applyList.list }

// Rows returns the rows.
func (applyList ApplyList) Rows() []model.ListRow { return applyList.rows }

// Whole reports whether the rows are all of the list.
func (applyList ApplyList) Whole() bool { return applyList.whole }

// Restored reports whether the rows may be older than those before.
func (applyList ApplyList) Restored() bool { return applyList.restored }

func (ApplyList) isAction() {}

// ListRead reports all rows of a list. It answers ReadList.
type ListRead struct {
	callID  model.PlatformCallID
	era     model.StoreEra
	version uint64
	rows    []model.ListRow
	// answeredAt is the time of the answer on the store's steady clock, or 0 if it is not known.
	answeredAt time.Duration
}

// NewListRead returns a ListRead of the rows that the store had at a version of an era.
func NewListRead(callID model.PlatformCallID, era model.StoreEra, version uint64, rows []model.ListRow) ListRead {
	return ListRead{callID: callID, era: era, version: version, rows: rows}
}

// CallID returns the identifier of the call.
func (listRead ListRead) CallID() model.PlatformCallID { return listRead.callID }

// Era returns the era of the store.
func (listRead ListRead) Era() model.StoreEra { return listRead.era }

// Version returns the version of the store that the rows have at least.
func (listRead ListRead) Version() uint64 { return listRead.version }

// Rows returns the rows.
func (listRead ListRead) Rows() []model.ListRow { return listRead.rows }

// AnsweredAt returns the time of the answer on the store's steady clock, or 0 if it is not
// known.
func (listRead ListRead) AnsweredAt() time.Duration { return listRead.answeredAt }

// WithAnsweredAt returns a copy with the time of the answer on the store's steady clock.
func (listRead ListRead) WithAnsweredAt(at time.Duration) ListRead {
	listRead.answeredAt = at
	return listRead
}

func (ListRead) isEvent() {}

// ListChanged reports the changes of a list, of which there may be none. It answers
// AwaitChanges.
type ListChanged struct {
	callID  model.PlatformCallID
	era     model.StoreEra
	version uint64
	rows    []model.ListRow
	// answeredAt is the time of the answer on the store's steady clock, or 0 if it is not known.
	answeredAt time.Duration
}

// NewListChanged returns a ListChanged of the rows that had changed at a version of an era.
func NewListChanged(callID model.PlatformCallID, era model.StoreEra, version uint64, rows []model.ListRow) ListChanged {
	return ListChanged{callID: callID, era: era, version: version, rows: rows}
}

// CallID returns the identifier of the call.
func (listChanged ListChanged) CallID() model.PlatformCallID { return listChanged.callID }

// Era returns the era of the store.
func (listChanged ListChanged) Era() model.StoreEra { return listChanged.era }

// Version returns the version of the store up to which the changes are complete.
func (listChanged ListChanged) Version() uint64 { return listChanged.version }

// Rows returns the changed rows, in the order of their versions.
func (listChanged ListChanged) Rows() []model.ListRow { return listChanged.rows }

// AnsweredAt returns the time of the answer on the store's steady clock, or 0 if it is not
// known.
func (listChanged ListChanged) AnsweredAt() time.Duration { return listChanged.answeredAt }

// WithAnsweredAt returns a copy with the time of the answer on the store's steady clock.
func (listChanged ListChanged) WithAnsweredAt(at time.Duration) ListChanged {
	listChanged.answeredAt = at
	return listChanged
}

func (ListChanged) isEvent() {}

// ListHistoryLost reports that the store no longer has the changes after the version that was
// asked for. It answers AwaitChanges.
type ListHistoryLost struct {
	callID model.PlatformCallID
}

// NewListHistoryLost returns a ListHistoryLost.
func NewListHistoryLost(callID model.PlatformCallID) ListHistoryLost {
	return ListHistoryLost{callID: callID}
}

// CallID returns the identifier of the call.
func (listHistoryLost ListHistoryLost) CallID() model.PlatformCallID { return listHistoryLost.callID }

func (ListHistoryLost) isEvent() {}

// ListFailed reports that a call got no usable answer.
type ListFailed struct {
	callID model.PlatformCallID
	reason string
}

// NewListFailed returns a ListFailed. The reason is for the log.
func NewListFailed(callID model.PlatformCallID, reason string) ListFailed {
	return ListFailed{callID: callID, reason: reason}
}

// CallID returns the identifier of the call.
func (listFailed ListFailed) CallID() model.PlatformCallID { return listFailed.callID }

// Reason returns the reason, for the log.
func (listFailed ListFailed) Reason() string { return listFailed.reason }

func (ListFailed) isEvent() {}

// ListApplied reports that the rows of an ApplyList were decoded and what they say was posted.
// It answers ApplyList.
type ListApplied struct {
	list     model.ListName
	rejected bool
}

// NewListApplied returns a ListApplied. rejected reports that rows could not be decoded, so that
// what was in force before stays in force.
func NewListApplied(list model.ListName, rejected bool) ListApplied {
	return ListApplied{list: list, rejected: rejected}
}

// List returns the name of the list.
func (listApplied ListApplied) List() model.ListName { return listApplied.list }

// Rejected reports whether rows could not be decoded.
func (listApplied ListApplied) Rejected() bool { return listApplied.rejected }

func (ListApplied) isEvent() {}

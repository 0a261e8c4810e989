package mirror

import (
	"strconv"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/timer"
)

const (
	// answerMargin is the time that an answer may take beyond the wait at the store.
	answerMargin = 700 * time.Millisecond
	// readTimeout is the timeout of reading a whole list, all pages together.
	readTimeout = 2 * time.Second
	// changeBatchDelay is the delay after an answer with changes, so that the next answer
	// holds several changes. The platform charges for each call.
	changeBatchDelay = 120 * time.Millisecond
)

// list is the copy of a list. Its rows are those of a version within an era of the store.
type list struct {
	mirror  *Mirror
	name    model.ListName
	known   bool // the list was read
	stale   bool // the whole list has to be read
	era     model.StoreEra
	version uint64
	// rows are the rows of the version, and the deletions since deletionsSince.
	rows           map[string]model.ListRow
	deletionsSince uint64
	newestRow      uint64 // the highest version of a row
	// currentAt is the last time of which the list is known to have been up to date.
	currentAt time.Duration
	// applying is the number of changes that are not in force yet, and rejected is set while
	// the newest one could not be decoded.
	applying int
	rejected bool

	call       model.PlatformCallID // the pending call, or 0
	callBegan  time.Duration        // when the pending call was made
	timeout    timer.ID             // of the pending call
	next       timer.ID             // of the next call, while none is pending
	wait       time.Duration        // for which the store holds the pending wait for changes
	retryDelay time.Duration
	storeLost  bool
	// postponedSince is when a call was first postponed in favour of another list, or 0.
	postponedSince time.Duration
	// sourceOldAt is when another proxy last sent that its own copy is too old, or 0.
	sourceOldAt time.Duration
}

func newList(mirror *Mirror, name model.ListName) *list {
	return &list{mirror: mirror, name: name, stale: true, rows: make(map[string]model.ListRow)}
}

func (list *list) context() *kern.Context { return list.mirror.context }

// callStore makes the next call unless one is pending: it reads the whole list if the copy is
// not one that changes can be applied to, and waits for changes else. A follower or relay makes
// none as long as its copy is fresh enough or another proxy may have a fresher one.
func (list *list) callStore() {
	if list.call != 0 {
		return
	}
	if delay := list.postponement(); delay > 0 {
		list.callStoreAfter(delay)
		return
	}
	list.postponedSince = 0
	list.send(list.nextWait())
}

// refresh asks the store for the changes until now.
func (list *list) refresh() {
	list.context().Timers().Cancel(list.next)
	list.send(0)
}

// send reads the whole list unless changes can be applied to the copy. Otherwise it asks for the
// changes, and the store holds the call open for wait until there are some.
func (list *list) send(wait time.Duration) {
	context := list.context()
	list.callBegan = context.Now()
	if list.stale {
		context.Emit(event.NewReadList(list.mirror.beginCall(list, readTimeout), list.name))
		return
	}
	list.wait = wait
	call := list.mirror.beginCall(list, wait+answerMargin)
	context.Emit(event.NewAwaitChanges(call, list.name, list.version, wait))
}

// nextWait returns how long the store is to hold the next wait for changes open. A follower asks
// only for what it lacks now.
func (list *list) nextWait() time.Duration {
	switch list.mirror.role {
	case route.ListReader:
		if list.context().Now()-list.currentAt > list.mirror.relayMaxAge() {
			return 0 // others wait to know that the copy is up to date
		}
		return list.context().Settings().SharedListWait()
	case route.ListRelay, route.ListFollower:
		return 0
	default:
		return list.context().Settings().ListWait()
	}
}

// shortenWait gives up a pending wait for changes that would last longer than the next one.
func (list *list) shortenWait() {
	if list.call != 0 && !list.stale && list.wait > list.nextWait() && list.mirror.role == route.ListReader {
		list.mirror.finishCall(list.call)
	}
}

// callStoreAfter makes the next call after a delay.
func (list *list) callStoreAfter(delay time.Duration) {
	list.context().Timers().Cancel(list.next)
	list.next = list.context().Timers().After(delay, list.callStore)
}

// readAgain gives up the pending call and reads the whole list.
func (list *list) readAgain(reason string) {
	if list.call != 0 {
		list.mirror.finishCall(list.call)
	}
	list.stale = true
	list.log("list_reread", reason)
	list.callStoreAfter(0)
}

// handleRead replaces the copy. An answer of an earlier era, or with a version older than the
// known one of the same era, counts as failed.
func (list *list) handleRead(read event.ListRead) {
	if read.Era() < list.context().State().StoreEra() {
		list.handleFailure("the answer is of an earlier era of the store")
		return
	}
	if list.known && read.Era() == list.era && read.Version() < list.version {
		list.handleFailure("version " + strconv.FormatUint(read.Version(), 10) + " is older than " + strconv.FormatUint(list.version, 10))
		return
	}
	restored := list.known && read.Era() != list.era
	list.known, list.stale = true, false
	list.era, list.version = read.Era(), read.Version()
	list.replaceRows(read.Rows())
	list.passOn(read.Rows(), true, restored)
	list.setCurrentAt(list.mirror.clock.answeredAt(read.Era(), read.AnsweredAt(), list.callBegan, list.context().Now()))
	list.handleSuccess()
	list.callStoreAfter(0)
}

func (list *list) replaceRows(rows []model.ListRow) {
	clear(list.rows)
	list.newestRow = 0
	for _, row := range rows {
		list.rows[row.Key()] = row
		list.newestRow = max(list.newestRow, row.Version())
	}
	list.deletionsSince = list.version
}

// setCurrentAt records that the list was up to date at a time.
func (list *list) setCurrentAt(at time.Duration) {
	list.currentAt = max(list.currentAt, at)
	list.recordChecked()
}

// recordChecked records how fresh what is in force is: as fresh as the copy, unless there are
// changes that are not in force yet.
func (list *list) recordChecked() {
	if list.applying == 0 && !list.rejected {
		list.context().State().SetListCheckedAt(list.name, list.currentAt)
	}
}

// passOn passes changed rows on to the adapter that decodes them. ListApplied is the answer. The
// list of lenders is the proxies' own and needs no adapter.
func (list *list) passOn(rows []model.ListRow, whole, restored bool) {
	if list.name == model.ListLenders {
		row := list.rows[route.LendersKey]
		if row.Deleted() {
			row = model.ListRow{}
		}
		list.context().Publish(event.NewLendersListed(row.Version(), row.Value()))
		return
	}
	list.applying++
	list.context().Emit(event.NewApplyList(list.name, rows, whole).WithRestored(restored))
}

// handleApplied records that the changes of a passOn are in force, or could not be decoded.
func (list *list) handleApplied(applied event.ListApplied) {
	list.applying--
	list.rejected = applied.Rejected()
	list.recordChecked()
}

// handleChanges applies changes to the copy. The store may have been restored since the call was
// made, and may have given out the version again.
func (list *list) handleChanges(changed event.ListChanged) {
	if changed.Era() != list.era {
		list.readAgain("the store was restored")
		return
	}
	list.handleSuccess()
	news := list.merge(changed.Rows())
	list.version = max(list.version, changed.Version())
	delay := time.Duration(0)
	if len(news) > 0 {
		list.passOn(news, false, false)
		delay = changeBatchDelay
	}
	list.setCurrentAt(list.mirror.clock.answeredAt(changed.Era(), changed.AnsweredAt(), list.callBegan, list.context().Now()))
	list.callStoreAfter(delay)
}

// merge adds the rows that are newer than those of the copy, and returns them in the order of
// their versions.
func (list *list) merge(rows []model.ListRow) []model.ListRow {
	var news []model.ListRow
	for _, row := range rows {
		if known, ok := list.rows[row.Key()]; ok && known.Version() >= row.Version() {
			continue
		}
		list.rows[row.Key()] = row
		list.newestRow = max(list.newestRow, row.Version())
		news = append(news, row)
	}
	sortByVersion(news)
	return news
}

// handleFailure makes the next call after a back-off and reads the whole list then.
func (list *list) handleFailure(reason string) {
	list.stale = true
	if !list.storeLost {
		list.storeLost = true
		list.log("store lost", reason)
	}
	list.callStoreAfter(list.nextRetry())
}

// handleHelp ends the back-off of a proxy that has got a fresh copy from another one.
func (list *list) handleHelp() {
	if !list.mirror.takesHelp() || list.freshFor() <= 0 {
		return
	}
	list.retryDelay = 0
	if list.storeLost {
		list.storeLost = false
		list.log("store regained", "another proxy has a fresh copy")
	}
}

// handleSuccess ends the back-off, that of the lists whose calls were postponed in favour of this
// one, too.
func (list *list) handleSuccess() {
	list.retryDelay = 0
	if !list.storeLost {
		return
	}
	list.storeLost = false
	list.log("store regained", "")
	for _, other := range list.mirror.lists {
		if other.postponedSince > 0 {
			other.callStoreAfter(0)
		}
	}
}

func (list *list) log(name, reason string) {
	list.context().Emit(event.NewLogDecision(model.Decision{Name: name, List: list.name, Reason: reason}))
}

package mirror

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// position returns the state of the copy.
func (list *list) position() model.ListPosition {
	if !list.known {
		return model.NewListPosition(list.name, 0, 0)
	}
	return model.NewListPosition(list.name, list.era, list.version)
}

// hasNews reports whether the copy is ahead of a position. Versions pass without a change of
// this list, so only its own rows count.
func (list *list) hasNews(position model.ListPosition) bool {
	if !list.known || position.Era() > list.era {
		return false
	}
	if position.Era() < list.era || position.Version() == 0 {
		return true
	}
	return list.newestRow > position.Version()
}

// updateFor returns the changes since a position: the rows that are newer, or all rows if the
// copy no longer has the deletions since then. A position that is ahead of the copy gets none.
func (list *list) updateFor(position model.ListPosition) model.ListUpdate {
	age := list.context().Now() - list.currentAt
	switch {
	case position.Era() > list.era, position.Era() == list.era && position.Version() > list.version:
		return model.NewListUpdate(position, false, nil, age)
	case position.Era() < list.era || position.Version() < list.deletionsSince || position.Version() == 0:
		return model.NewListUpdate(list.position(), true, list.liveRows(), age)
	}
	var rows []model.ListRow
	for _, row := range list.rows {
		if row.Version() > position.Version() {
			rows = append(rows, row)
		}
	}
	sortByVersion(rows)
	return model.NewListUpdate(list.position(), false, rows, age)
}

// liveRows returns the rows that are not deleted, in the order of their keys.
func (list *list) liveRows() []model.ListRow {
	var rows []model.ListRow
	for _, key := range slices.Sorted(maps.Keys(list.rows)) {
		if row := list.rows[key]; !row.Deleted() {
			rows = append(rows, row)
		}
	}
	return rows
}

func sortByVersion(rows []model.ListRow) {
	slices.SortStableFunc(rows, func(left, right model.ListRow) int { return cmp.Compare(left.Version(), right.Version()) })
}

// apply adds an update of a reader. The copy never goes back: an update that is older than it
// changes nothing, and says nothing about how fresh it is.
func (list *list) apply(update model.ListUpdate, asOf time.Duration) {
	if update.Age() >= list.mirror.relayMaxAge() {
		list.sourceOldAt = list.context().Now()
	}
	position := update.Position()
	behind := position.Era() < list.era || position.Era() == list.era && position.Version() < list.version
	gap := !update.Whole() && (!list.known || position.Era() != list.era)
	if list.known && behind || gap {
		return
	}
	if position.Era() > list.context().State().StoreEra() {
		list.context().Publish(event.NewStoreEraSeen(position.Era()))
	}
	restored := list.known && position.Era() != list.era
	list.known, list.stale = true, false
	list.era, list.version = position.Era(), position.Version()
	rows := update.Rows()
	if update.Whole() {
		list.replaceRows(rows)
	} else {
		rows = list.merge(rows)
	}
	if update.Whole() || len(rows) > 0 {
		list.passOn(rows, update.Whole(), restored)
	}
	list.setCurrentAt(asOf - update.Age())
	list.handleHelp()
}

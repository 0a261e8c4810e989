// Package shelf provides an in-memory fake of the platform's table service for
// tests of plug-ins. It returns the event that answers a kernel action and starts
// no goroutine.
package shelf

import (
	"slices"
	"strings"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// Store holds the rows of all tables.
type Store struct {
	rows        map[string]map[string]model.Row
	down        bool
	loseAnswers int
	dropWrites  int
}

// New returns an empty Store.
func New() *Store { return &Store{rows: make(map[string]map[string]model.Row)} }

// SetDown starts or ends an outage, during which all reads and writes fail.
func (store *Store) SetDown(down bool) { store.down = down }

// LoseAnswers makes the next count transactions take effect but report a failure.
func (store *Store) LoseAnswers(count int) { store.loseAnswers = count }

// DropWrites makes the next count transactions fail without effect.
func (store *Store) DropWrites(count int) { store.dropWrites = count }

// Row returns a row, or the zero Row if it does not exist.
func (store *Store) Row(table, key string) model.Row { return store.rows[table][key] }

// Rows returns the rows whose keys start with prefix, in ascending order.
func (store *Store) Rows(table, prefix string) []model.Row {
	var rows []model.Row
	for key, row := range store.rows[table] {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(left, right model.Row) int { return strings.Compare(left.Key(), right.Key()) })
	return rows
}

// Read executes a ReadStore and returns the resulting event.
func (store *Store) Read(action event.ReadStore) event.Event {
	if store.down {
		return event.NewStoreFailed(action.CallID())
	}
	return event.NewStoreRead(action.CallID(), store.Rows(action.Table(), action.Prefix()))
}

// Write executes a WriteStore as one transaction and returns the resulting event.
// Nothing is written if the version of a row differs from the expected one.
func (store *Store) Write(action event.WriteStore) event.Event {
	if store.down || store.dropWrites > 0 {
		store.dropWrites = max(0, store.dropWrites-1)
		return event.NewStoreFailed(action.CallID())
	}
	for _, write := range action.Writes() {
		if store.Row(write.Table(), write.Key()).Version() != write.ExpectedVersion() {
			return event.NewStoreConflict(action.CallID())
		}
	}
	for _, write := range action.Writes() {
		store.applyWrite(write)
	}
	if store.loseAnswers > 0 {
		store.loseAnswers--
		return event.NewStoreFailed(action.CallID())
	}
	return event.NewStoreWritten(action.CallID())
}

func (store *Store) applyWrite(write model.RowWrite) {
	if write.Value() == nil {
		delete(store.rows[write.Table()], write.Key())
		return
	}
	if store.rows[write.Table()] == nil {
		store.rows[write.Table()] = make(map[string]model.Row)
	}
	store.rows[write.Table()][write.Key()] = model.NewRow(write.Key(), write.ExpectedVersion()+1, write.Value())
}

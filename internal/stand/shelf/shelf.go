// Package shelf is a fake of the platform's table service for tests of plug-ins.
// It answers the kernel's actions with events and runs no goroutine.
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

// New returns a Shelf without rows.
func New() *Store { return &Store{rows: make(map[string]map[string]model.Row)} }

// SetDown begins or ends an outage.
func (shelf *Store) SetDown(down bool) { shelf.down = down }

// LoseAnswers loses the answers of the next transactions after they took effect.
func (shelf *Store) LoseAnswers(count int) { shelf.loseAnswers = count }

// DropWrites loses the next transactions before they take effect.
func (shelf *Store) DropWrites(count int) { shelf.dropWrites = count }

// Row returns a row, or the zero Row.
func (shelf *Store) Row(table, key string) model.Row { return shelf.rows[table][key] }

// Rows returns the rows whose keys start with prefix, in ascending order.
func (shelf *Store) Rows(table, prefix string) []model.Row {
	var rows []model.Row
	for key, row := range shelf.rows[table] {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(left, right model.Row) int { return strings.Compare(left.Key(), right.Key()) })
	return rows
}

// Read answers a ReadStore.
func (shelf *Store) Read(action event.ReadStore) event.Event {
	if shelf.down {
		return event.NewStoreFailed(action.Query())
	}
	return event.NewStoreRead(action.Query(), shelf.Rows(action.Table(), action.Prefix()))
}

// Write carries out a WriteStore and answers it.
func (shelf *Store) Write(action event.WriteStore) event.Event {
	if shelf.down || shelf.dropWrites > 0 {
		shelf.dropWrites = max(0, shelf.dropWrites-1)
		return event.NewStoreFailed(action.Query())
	}
	for _, write := range action.Writes() {
		if shelf.Row(write.Table(), write.Key()).Version() != write.Expected() {
			return event.NewStoreConflict(action.Query())
		}
	}
	for _, write := range action.Writes() {
		shelf.applyWrite(write)
	}
	if shelf.loseAnswers > 0 {
		shelf.loseAnswers--
		return event.NewStoreFailed(action.Query())
	}
	return event.NewStoreWritten(action.Query())
}

func (shelf *Store) applyWrite(write model.RowWrite) {
	if write.Value() == nil {
		delete(shelf.rows[write.Table()], write.Key())
		return
	}
	if shelf.rows[write.Table()] == nil {
		shelf.rows[write.Table()] = make(map[string]model.Row)
	}
	shelf.rows[write.Table()][write.Key()] = model.NewRow(write.Key(), write.Expected()+1, write.Value())
}

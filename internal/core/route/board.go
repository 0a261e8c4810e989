package route

import "almondway.dev/almondway/internal/core/model"

// Item is a running request that waits for news of a group.
type Item interface {
	// Group returns the group.
	Group() model.GroupID
	// Place returns where the Board keeps the Item.
	Place() int
	// SetPlace records where the Board keeps the Item.
	SetPlace(place int)
}

// Board lists the running requests of each group. Their order depends on the
// history alone.
type Board struct {
	items map[model.GroupID][]Item
	copy  []Item
}

// NewBoard returns an empty Board.
func NewBoard() *Board { return &Board{items: make(map[model.GroupID][]Item)} }

// Add adds an Item.
func (board *Board) Add(item Item) {
	list := board.items[item.Group()]
	item.SetPlace(len(list))
	board.items[item.Group()] = append(list, item)
}

// Remove removes an Item.
func (board *Board) Remove(item Item) {
	list := board.items[item.Group()]
	last := len(list) - 1
	moved := list[last]
	list[item.Place()] = moved
	moved.SetPlace(item.Place())
	list[last] = nil
	board.items[item.Group()] = list[:last]
}

// Items returns the requests of a group. The slice is valid until the next call
// and may hold requests that were removed since.
func (board *Board) Items(group model.GroupID) []Item {
	board.copy = append(board.copy[:0], board.items[group]...)
	return board.copy
}

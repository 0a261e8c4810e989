package route

import "almondway.dev/almondway/internal/core/model"

// RunningRequest is a running request that waits for news of a group.
type RunningRequest interface {
	// Group returns the group.
	Group() model.GroupID
	// ListIndex returns where the Board keeps the Item.
	ListIndex() int
	// SetListIndex records where the Board keeps the Item.
	SetListIndex(place int)
}

// RunningRequests lists the running requests of each group. Their order depends on the
// history alone.
type RunningRequests struct {
	byGroup  map[model.GroupID][]RunningRequest
	snapshot []RunningRequest
}

// NewRunningRequests returns an empty Board.
func NewRunningRequests() *RunningRequests {
	return &RunningRequests{byGroup: make(map[model.GroupID][]RunningRequest)}
}

// Add adds an Item.
func (board *RunningRequests) Add(item RunningRequest) {
	list := board.byGroup[item.Group()]
	item.SetListIndex(len(list))
	board.byGroup[item.Group()] = append(list, item)
}

// Remove removes an Item.
func (board *RunningRequests) Remove(item RunningRequest) {
	list := board.byGroup[item.Group()]
	last := len(list) - 1
	moved := list[last]
	list[item.ListIndex()] = moved
	moved.SetListIndex(item.ListIndex())
	list[last] = nil
	board.byGroup[item.Group()] = list[:last]
}

// InGroup returns the requests of a group. The slice is valid until the next call
// and may hold requests that were removed since.
func (board *RunningRequests) InGroup(group model.GroupID) []RunningRequest {
	board.snapshot = append(board.snapshot[:0], board.byGroup[group]...)
	return board.snapshot
}

package route

import "almondway.dev/almondway/internal/core/model"

// RunningRequest is a request in execution that depends on the state of a group.
type RunningRequest interface {
	// Group returns the group that the request concerns.
	Group() model.GroupID
	// ListIndex returns the request's index in the list of its group.
	ListIndex() int
	// SetListIndex is called by RunningRequests only.
	SetListIndex(index int)
}

// RunningRequests lists the running requests of each group. The order depends only on
// the sequence of Add and Remove calls.
type RunningRequests struct {
	byGroup  map[model.GroupID][]RunningRequest
	snapshot []RunningRequest
}

// NewRunningRequests returns an empty list for every group.
func NewRunningRequests() *RunningRequests {
	return &RunningRequests{byGroup: make(map[model.GroupID][]RunningRequest)}
}

// Add appends a request to the list of its group.
func (runningRequests *RunningRequests) Add(request RunningRequest) {
	list := runningRequests.byGroup[request.Group()]
	request.SetListIndex(len(list))
	runningRequests.byGroup[request.Group()] = append(list, request)
}

// Remove removes a request in constant time. The last request of the list takes its index.
func (runningRequests *RunningRequests) Remove(request RunningRequest) {
	list := runningRequests.byGroup[request.Group()]
	last := len(list) - 1
	moved := list[last]
	list[request.ListIndex()] = moved
	moved.SetListIndex(request.ListIndex())
	list[last] = nil
	runningRequests.byGroup[request.Group()] = list[:last]
}

// InGroup returns a copy of the list of a group, so that the caller may add and remove
// requests while it iterates. The slice is valid until the next call and may hold
// requests that have been removed since.
func (runningRequests *RunningRequests) InGroup(group model.GroupID) []RunningRequest {
	runningRequests.snapshot = append(runningRequests.snapshot[:0], runningRequests.byGroup[group]...)
	return runningRequests.snapshot
}

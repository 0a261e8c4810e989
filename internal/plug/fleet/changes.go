package fleet

import (
	"cmp"
	"slices"

	"almondway.dev/almondway/internal/core/model"
)

// maxKeptStates is the number of announced states of the members that are kept, so that a poll
// from one of them is answered by what has changed since.
const maxKeptStates = 8

// announcedState is a state of the members that polls have got.
type announcedState struct {
	version uint64
	members []model.ProxyView // in ascending order of their names
}

// history holds the last announced states of the members, the newest one last.
type history []announcedState

// add appends a state, unless it is the newest one.
func (history *history) add(version uint64, members []model.ProxyView) {
	if count := len(*history); count > 0 && (*history)[count-1].version == version {
		return
	}
	if len(*history) == maxKeptStates {
		*history = slices.Delete(*history, 0, 1)
	}
	*history = append(*history, announcedState{version: version, members: members})
}

// changesSince returns the changes from a state to the given members. It returns false if the
// state is not known any more, or if the changes are no shorter than the whole.
func (history history) changesSince(since model.MembersVersion, members []model.ProxyView) (model.MemberChanges, bool) {
	index := slices.IndexFunc(history, func(state announcedState) bool { return state.version == since.Version() })
	if index < 0 {
		return model.MemberChanges{}, false
	}
	changed, removed := differences(history[index].members, members)
	if len(changed)+len(removed) >= len(members) {
		return model.MemberChanges{}, false
	}
	return model.NewMemberChanges(since, changed, removed), true
}

// differences compares two states of the members, both in ascending order of their names.
func differences(before, after []model.ProxyView) (changed []model.ProxyView, removed []model.ProxyID) {
	for len(before) > 0 || len(after) > 0 {
		switch {
		case len(after) == 0 || len(before) > 0 && before[0].ID() < after[0].ID():
			removed = append(removed, before[0].ID())
			before = before[1:]
		case len(before) == 0 || after[0].ID() < before[0].ID():
			changed = append(changed, after[0])
			after = after[1:]
		default:
			if before[0] != after[0] {
				changed = append(changed, after[0])
			}
			before, after = before[1:], after[1:]
		}
	}
	return changed, removed
}

// withChanges returns the members after changes, in ascending order of their names. It does not
// change the given slice.
func withChanges(members []model.ProxyView, changes model.MemberChanges) []model.ProxyView {
	views := make(map[model.ProxyID]model.ProxyView, len(members)+len(changes.Changed()))
	for _, view := range slices.Concat(members, changes.Changed()) {
		views[view.ID()] = view
	}
	for _, id := range changes.Removed() {
		delete(views, id)
	}
	after := make([]model.ProxyView, 0, len(views))
	for _, view := range views {
		after = append(after, view)
	}
	slices.SortFunc(after, func(left, right model.ProxyView) int { return cmp.Compare(left.ID(), right.ID()) })
	return after
}

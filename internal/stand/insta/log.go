package insta

import (
	"slices"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/proto/ctrlpb"
)

// replicationLog is the log of an instance. The entry at index i has position i+1.
type replicationLog struct {
	entries []*ctrlpb.Entry
}

// tail returns the mark of the last entry, or the zero Mark if the log is empty.
func (replicationLog *replicationLog) tail() model.Mark {
	if len(replicationLog.entries) == 0 {
		return model.Mark{}
	}
	last := replicationLog.entries[len(replicationLog.entries)-1]
	return model.NewMark(model.Term(last.GetTerm()), model.Position(last.GetPosition()))
}

// append appends an entry of the given term and returns it.
func (replicationLog *replicationLog) append(term model.Term, writes []*ctrlpb.Write) *ctrlpb.Entry {
	entry := &ctrlpb.Entry{
		Term:     uint64(term),
		Position: uint64(len(replicationLog.entries) + 1),
		Writes:   writes,
	}
	replicationLog.entries = append(replicationLog.entries, entry)
	return entry
}

// runs returns the terms of the log in order, each with its last position.
func (replicationLog *replicationLog) runs() []*ctrlpb.Run {
	var runs []*ctrlpb.Run
	for _, entry := range replicationLog.entries {
		if len(runs) == 0 || runs[len(runs)-1].GetTerm() != entry.GetTerm() {
			runs = append(runs, &ctrlpb.Run{Term: entry.GetTerm()})
		}
		runs[len(runs)-1].LastPosition = entry.GetPosition()
	}
	return runs
}

// sharedPosition returns the last position up to which the log equals a log with
// the given runs. Two logs that both have an entry with the same term and position
// are equal up to it, because a term has one primary.
func (replicationLog *replicationLog) sharedPosition(runs []*ctrlpb.Run) uint64 {
	for index := len(runs) - 1; index >= 0; index-- {
		first := uint64(1)
		if index > 0 {
			first = runs[index-1].GetLastPosition() + 1
		}
		position := min(runs[index].GetLastPosition(), uint64(len(replicationLog.entries)))
		for ; position >= first; position-- {
			if replicationLog.entries[position-1].GetTerm() == runs[index].GetTerm() {
				return position
			}
		}
	}
	return 0
}

// truncate removes the entries after position. Slices that entriesAfter returned
// before keep their contents.
func (replicationLog *replicationLog) truncate(position uint64) {
	replicationLog.entries = slices.Clip(replicationLog.entries[:min(position, uint64(len(replicationLog.entries)))])
}

// entriesAfter returns up to limit entries that follow position.
func (replicationLog *replicationLog) entriesAfter(position uint64, limit int) []*ctrlpb.Entry {
	rest := replicationLog.entries[min(position, uint64(len(replicationLog.entries))):]
	return rest[:min(limit, len(rest))]
}

package insta

import (
	"slices"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/proto/ctrlpb"
)

// replicationLog is the log of an instance. Entry i has the position i+1.
type replicationLog struct {
	entries []*ctrlpb.Entry
}

// tail returns the mark of the last entry.
func (journal *replicationLog) tail() model.Mark {
	if len(journal.entries) == 0 {
		return model.Mark{}
	}
	last := journal.entries[len(journal.entries)-1]
	return model.NewMark(model.Term(last.GetTerm()), model.Position(last.GetPosition()))
}

// append appends an entry of the given term and returns it.
func (journal *replicationLog) append(term model.Term, writes []*ctrlpb.Write) *ctrlpb.Entry {
	entry := &ctrlpb.Entry{
		Term:     uint64(term),
		Position: uint64(len(journal.entries) + 1),
		Writes:   writes,
	}
	journal.entries = append(journal.entries, entry)
	return entry
}

// runs returns the terms of the log in order, each with its last position.
func (journal *replicationLog) runs() []*ctrlpb.Run {
	var runs []*ctrlpb.Run
	for _, entry := range journal.entries {
		if len(runs) == 0 || runs[len(runs)-1].GetTerm() != entry.GetTerm() {
			runs = append(runs, &ctrlpb.Run{Term: entry.GetTerm()})
		}
		runs[len(runs)-1].LastPosition = entry.GetPosition()
	}
	return runs
}

// sharedPosition returns the position up to which the log agrees with one that has the
// given runs. Logs that have an entry of the same term and position in common
// agree up to it, since a term has one primary.
func (journal *replicationLog) sharedPosition(runs []*ctrlpb.Run) uint64 {
	for place := len(runs) - 1; place >= 0; place-- {
		first := uint64(1)
		if place > 0 {
			first = runs[place-1].GetLastPosition() + 1
		}
		position := min(runs[place].GetLastPosition(), uint64(len(journal.entries)))
		for ; position >= first; position-- {
			if journal.entries[position-1].GetTerm() == runs[place].GetTerm() {
				return position
			}
		}
	}
	return 0
}

// truncate drops the entries after position. Slices that were given out stay as they are.
func (journal *replicationLog) truncate(position uint64) {
	journal.entries = slices.Clip(journal.entries[:min(position, uint64(len(journal.entries)))])
}

// entriesAfter returns up to limit entries that follow position.
func (journal *replicationLog) entriesAfter(position uint64, limit int) []*ctrlpb.Entry {
	rest := journal.entries[min(position, uint64(len(journal.entries))):]
	return rest[:min(limit, len(rest))]
}

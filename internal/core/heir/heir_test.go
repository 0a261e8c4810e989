package heir_test

import (
	"testing"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/heir"
	"almondway.dev/almondway/internal/core/model"
)

func markAt(term model.Term, position model.Position) model.Mark {
	return model.NewMark(term, position)
}

func TestChoose(t *testing.T) {
	formerPrimary := heir.Candidate{Instance: "p", FormerPrimary: true}
	tests := []struct {
		name       string
		candidates []heir.Candidate
		replicas   int
		settled    bool
		want       model.InstanceID
	}{
		{
			name: "every replica is paused", replicas: 1, want: "b",
			candidates: []heir.Candidate{formerPrimary, {Instance: "a", Tail: markAt(1, 7), TailKnown: true, Paused: true}, {Instance: "b", Tail: markAt(1, 9), TailKnown: true, Paused: true}},
		},
		{
			name: "the log position of a replica is unknown, so it may have the last commit", replicas: 1, settled: true, want: "",
			candidates: []heir.Candidate{formerPrimary, {Instance: "a", Tail: markAt(1, 7), TailKnown: true, Paused: true}, {Instance: "b", Tail: markAt(1, 9)}},
		},
		{
			name: "a replica still receives the log", replicas: 1, settled: true, want: "",
			candidates: []heir.Candidate{formerPrimary, {Instance: "a", Tail: markAt(1, 7), TailKnown: true, Paused: true}, {Instance: "b", Tail: markAt(1, 9), TailKnown: true}},
		},
		{
			name: "a replica lost its log", replicas: 1, settled: true, want: "",
			candidates: []heir.Candidate{formerPrimary, {Instance: "a", Tail: markAt(1, 7), TailKnown: true, Paused: true}, {Instance: "b", TailKnown: true, Paused: true, LogLost: true}},
		},
		{
			name: "a higher term takes precedence over a higher position", replicas: 1, want: "a",
			candidates: []heir.Candidate{formerPrimary, {Instance: "a", Tail: markAt(2, 7), TailKnown: true, Paused: true}, {Instance: "b", Tail: markAt(1, 9), TailKnown: true, Paused: true}},
		},
		{
			name: "stepped down, a replica has the whole log", replicas: 1, want: "a",
			candidates: []heir.Candidate{{Instance: "p", FormerPrimary: true, TailKnown: true, SteppedDown: true, Tail: markAt(1, 9)}, {Instance: "a", Tail: markAt(1, 9), TailKnown: true}, {Instance: "b"}},
		},
		{
			name: "stepped down, a replica that stays may still receive what the leaving one has", replicas: 1, want: "",
			candidates: []heir.Candidate{{Instance: "p", FormerPrimary: true, TailKnown: true, SteppedDown: true, Tail: markAt(1, 9)}, {Instance: "a", Tail: markAt(1, 9), TailKnown: true, Leaving: true}, {Instance: "b", Tail: markAt(1, 8), TailKnown: true}},
		},
		{
			name: "stepped down, a replica that stays has received what the leaving one has", replicas: 1, want: "b",
			candidates: []heir.Candidate{{Instance: "p", FormerPrimary: true, TailKnown: true, SteppedDown: true, Tail: markAt(1, 9)}, {Instance: "a", Tail: markAt(1, 9), TailKnown: true, Leaving: true}, {Instance: "b", Tail: markAt(1, 9), TailKnown: true}},
		},
		{
			name: "stepped down, only the leaving replica has received the whole log", replicas: 1, settled: true, want: "a",
			candidates: []heir.Candidate{{Instance: "p", FormerPrimary: true, TailKnown: true, SteppedDown: true, Tail: markAt(1, 9)}, {Instance: "a", Tail: markAt(1, 9), TailKnown: true, Leaving: true}, {Instance: "b", Tail: markAt(1, 8), TailKnown: true}},
		},
		{
			name: "stepped down, all replicas are leaving", replicas: 1, want: "a",
			candidates: []heir.Candidate{{Instance: "p", FormerPrimary: true, TailKnown: true, SteppedDown: true, Tail: markAt(1, 9)}, {Instance: "a", Tail: markAt(1, 9), TailKnown: true, Leaving: true}, {Instance: "b", Tail: markAt(1, 8), TailKnown: true, Leaving: true}},
		},
		{
			name: "stepped down, an order for the leaving replica may still be carried out", replicas: 1, want: "a",
			candidates: []heir.Candidate{{Instance: "p", FormerPrimary: true, TailKnown: true, SteppedDown: true, Tail: markAt(1, 9)}, {Instance: "a", Tail: markAt(1, 9), TailKnown: true, Leaving: true, OrderPending: true}, {Instance: "b", Tail: markAt(1, 8), TailKnown: true}},
		},
		{
			name: "stepped down, part of the log may still be in transit", replicas: 1, want: "",
			candidates: []heir.Candidate{{Instance: "p", FormerPrimary: true, TailKnown: true, SteppedDown: true, Tail: markAt(1, 9)}, {Instance: "a", Tail: markAt(1, 8), TailKnown: true}, {Instance: "b", Tail: markAt(1, 8), TailKnown: true}},
		},
		{
			name: "stepped down, all log positions are known", replicas: 1, settled: true, want: "b",
			candidates: []heir.Candidate{{Instance: "p", FormerPrimary: true, TailKnown: true, SteppedDown: true, Tail: markAt(1, 9)}, {Instance: "a", Tail: markAt(1, 7), TailKnown: true}, {Instance: "b", Tail: markAt(1, 8), TailKnown: true}},
		},
		{
			name: "stepped down, only the former primary is known to have every commit", replicas: 1, settled: true, want: "p",
			candidates: []heir.Candidate{{Instance: "p", FormerPrimary: true, TailKnown: true, SteppedDown: true, Tail: markAt(1, 9)}, {Instance: "a", Tail: markAt(1, 7), TailKnown: true}, {Instance: "b"}},
		},
		{
			name: "stepped down and restarted without its log", replicas: 1, settled: true, want: "",
			candidates: []heir.Candidate{{Instance: "p", FormerPrimary: true, TailKnown: true, SteppedDown: true, LogLost: true}, {Instance: "a", Tail: markAt(1, 7), TailKnown: true}, {Instance: "b"}},
		},
		{
			name: "of equal logs the one with a pending order", replicas: 1, want: "b",
			candidates: []heir.Candidate{formerPrimary, {Instance: "a", Tail: markAt(1, 9), TailKnown: true, Paused: true}, {Instance: "b", Tail: markAt(1, 9), TailKnown: true, Paused: true, OrderPending: true}},
		},
		{
			name: "an order for another instance is pending", replicas: 1, want: "",
			candidates: []heir.Candidate{formerPrimary, {Instance: "a", Tail: markAt(1, 9), TailKnown: true, Paused: true}, {Instance: "b", Tail: markAt(1, 8), TailKnown: true, Paused: true, OrderPending: true}},
		},
		{
			name: "of equal logs the one that is not leaving", replicas: 1, want: "b",
			candidates: []heir.Candidate{formerPrimary, {Instance: "a", Tail: markAt(1, 9), TailKnown: true, Paused: true, Leaving: true}, {Instance: "b", Tail: markAt(1, 9), TailKnown: true, Paused: true}},
		},
		{
			name: "commits need no acknowledgment by a replica", replicas: 0, want: "b",
			candidates: []heir.Candidate{formerPrimary, {Instance: "a", Tail: markAt(1, 7), TailKnown: true}, {Instance: "b", Tail: markAt(1, 9), TailKnown: true}},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			got, reason := heir.Choose(test.candidates, test.replicas, test.settled)
			is.Equal(got, test.want)
			is.True(reason != "")
		})
	}
}

// Guards against the loss of commits that only the primary and an instance that has ended have.
func TestCanDrop(t *testing.T) {
	needed := markAt(1, 7)
	tests := []struct {
		name   string
		needed model.Mark
		others []heir.Candidate
		want   bool
	}{
		{name: "no other instance", needed: needed},
		{name: "the primary has not reported since", others: []heir.Candidate{{Instance: "a", Tail: needed, TailKnown: true}}},
		{name: "another instance has the log", needed: needed, want: true, others: []heir.Candidate{{Instance: "a", Tail: markAt(1, 6), TailKnown: true}, {Instance: "b", Tail: needed, TailKnown: true}}},
		{name: "the other instance has a shorter log", needed: needed, others: []heir.Candidate{{Instance: "a", Tail: markAt(1, 6), TailKnown: true}}},
		{name: "the other instance has not reported since", needed: needed, others: []heir.Candidate{{Instance: "a", Tail: needed}}},
		{name: "the other instance lost its log", needed: needed, others: []heir.Candidate{{Instance: "a", Tail: needed, TailKnown: true, LogLost: true}}},
		{name: "the other instance is in a later term", needed: needed, want: true, others: []heir.Candidate{{Instance: "a", Tail: markAt(2, 1), TailKnown: true}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(heir.CanDrop(test.needed, test.others), test.want)
		})
	}
}

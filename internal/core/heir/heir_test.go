package heir_test

import (
	"testing"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/heir"
	"almondway.dev/almondway/internal/core/model"
)

func at(term model.Term, position model.Position) model.Mark { return model.NewMark(term, position) }

func TestChoose(t *testing.T) {
	lost := heir.Candidate{Instance: "p", FormerPrimary: true}
	tests := []struct {
		name     string
		readings []heir.Candidate
		replicas int
		settled  bool
		want     model.InstanceID
	}{
		{
			name: "every replica is paused", replicas: 1, want: "b",
			readings: []heir.Candidate{lost, {Instance: "a", Tail: at(1, 7), TailKnown: true, Paused: true}, {Instance: "b", Tail: at(1, 9), TailKnown: true, Paused: true}},
		},
		{
			name: "a replica is not known, which may have the last commit", replicas: 1, settled: true, want: "",
			readings: []heir.Candidate{lost, {Instance: "a", Tail: at(1, 7), TailKnown: true, Paused: true}, {Instance: "b", Tail: at(1, 9)}},
		},
		{
			name: "a replica still receives", replicas: 1, settled: true, want: "",
			readings: []heir.Candidate{lost, {Instance: "a", Tail: at(1, 7), TailKnown: true, Paused: true}, {Instance: "b", Tail: at(1, 9), TailKnown: true}},
		},
		{
			name: "a replica lost its log", replicas: 1, settled: true, want: "",
			readings: []heir.Candidate{lost, {Instance: "a", Tail: at(1, 7), TailKnown: true, Paused: true}, {Instance: "b", TailKnown: true, Paused: true, LogLost: true}},
		},
		{
			name: "a higher term goes before a higher position", replicas: 1, want: "a",
			readings: []heir.Candidate{lost, {Instance: "a", Tail: at(2, 7), TailKnown: true, Paused: true}, {Instance: "b", Tail: at(1, 9), TailKnown: true, Paused: true}},
		},
		{
			name: "stepped down, a replica has the whole log", replicas: 1, want: "a",
			readings: []heir.Candidate{{Instance: "p", FormerPrimary: true, TailKnown: true, SteppedDown: true, Tail: at(1, 9)}, {Instance: "a", Tail: at(1, 9), TailKnown: true}, {Instance: "b"}},
		},
		{
			name: "stepped down, the log may still be on its way", replicas: 1, want: "",
			readings: []heir.Candidate{{Instance: "p", FormerPrimary: true, TailKnown: true, SteppedDown: true, Tail: at(1, 9)}, {Instance: "a", Tail: at(1, 8), TailKnown: true}, {Instance: "b", Tail: at(1, 8), TailKnown: true}},
		},
		{
			name: "stepped down, every log is known", replicas: 1, settled: true, want: "b",
			readings: []heir.Candidate{{Instance: "p", FormerPrimary: true, TailKnown: true, SteppedDown: true, Tail: at(1, 9)}, {Instance: "a", Tail: at(1, 7), TailKnown: true}, {Instance: "b", Tail: at(1, 8), TailKnown: true}},
		},
		{
			name: "stepped down, only its own log is known to have all", replicas: 1, settled: true, want: "p",
			readings: []heir.Candidate{{Instance: "p", FormerPrimary: true, TailKnown: true, SteppedDown: true, Tail: at(1, 9)}, {Instance: "a", Tail: at(1, 7), TailKnown: true}, {Instance: "b"}},
		},
		{
			name: "stepped down and came back without its log", replicas: 1, settled: true, want: "",
			readings: []heir.Candidate{{Instance: "p", FormerPrimary: true, TailKnown: true, SteppedDown: true, LogLost: true}, {Instance: "a", Tail: at(1, 7), TailKnown: true}, {Instance: "b"}},
		},
		{
			name: "of equal logs the one that was ordered already", replicas: 1, want: "b",
			readings: []heir.Candidate{lost, {Instance: "a", Tail: at(1, 9), TailKnown: true, Paused: true}, {Instance: "b", Tail: at(1, 9), TailKnown: true, Paused: true, OrderPending: true}},
		},
		{
			name: "another one was ordered and may still lead", replicas: 1, want: "",
			readings: []heir.Candidate{lost, {Instance: "a", Tail: at(1, 9), TailKnown: true, Paused: true}, {Instance: "b", Tail: at(1, 8), TailKnown: true, Paused: true, OrderPending: true}},
		},
		{
			name: "of equal logs one that stays", replicas: 1, want: "b",
			readings: []heir.Candidate{lost, {Instance: "a", Tail: at(1, 9), TailKnown: true, Paused: true, Leaving: true}, {Instance: "b", Tail: at(1, 9), TailKnown: true, Paused: true}},
		},
		{
			name: "no replica is waited for", replicas: 0, want: "b",
			readings: []heir.Candidate{lost, {Instance: "a", Tail: at(1, 7), TailKnown: true}, {Instance: "b", Tail: at(1, 9), TailKnown: true}},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			got, reason := heir.Choose(test.readings, test.replicas, test.settled)
			is.Equal(got, test.want)
			is.True(reason != "")
		})
	}
}

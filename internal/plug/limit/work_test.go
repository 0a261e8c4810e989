package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestExpectedWork(t *testing.T) {
	const statement = 20 * time.Millisecond
	tests := []struct {
		name string
		act  func(limits *Limits)
		work time.Duration
	}{
		{"no sample at all", func(*Limits) {}, 0},
		{"no sample of the lane", func(limits *Limits) { limits.meanWork.add(statement) }, statement},
		{"single statements", func(limits *Limits) {
			limits.workEstimate(laneKey{}).held.add(statement)
			limits.workEstimate(laneKey{}).held.add(2 * statement)
		}, 3 * statement / 2},
		{"transactions of three statements", func(limits *Limits) {
			estimate := limits.workEstimate(laneKey{})
			for range 5 {
				estimate.addTx()
				estimate.resumed += 2
				estimate.held.add(statement)
			}
		}, 3 * statement},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			limits := newLimits(1)
			test.act(limits)
			is.Equal(limits.expectedWork(laneKey{}), test.work)
		})
	}
}

// Estimates follow a change of the work and of the length of transactions.
func TestEstimatesFollow(t *testing.T) {
	is := is.New(t)
	estimate := &workEstimate{}
	for range 200 {
		estimate.held.add(10 * time.Millisecond)
		estimate.addTx()
		estimate.resumed += 9
	}
	for range 200 {
		estimate.held.add(40 * time.Millisecond)
		estimate.addTx()
		estimate.resumed++
	}
	is.True(estimate.held.value > 39*time.Millisecond)
	is.True(estimate.statements() < 2.5)
}

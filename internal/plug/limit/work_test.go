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

// The answer of a transaction is expected after all its statements. A kind whose work alone
// takes longer than its target is still served while the queue is short.
func TestExpectedAnswer(t *testing.T) {
	const target = time.Second
	tests := []struct {
		name     string
		held     time.Duration // by each statement
		resumed  int           // further statements of a transaction
		position time.Duration // when the slot is granted
		misses   bool
	}{
		{"soon enough", 100 * time.Millisecond, 0, 700 * time.Millisecond, false},
		{"too late", 100 * time.Millisecond, 0, 800 * time.Millisecond, true},
		{"a transaction needs more time", 100 * time.Millisecond, 3, 700 * time.Millisecond, true},
		{"a transaction that is granted early", 100 * time.Millisecond, 3, 400 * time.Millisecond, false},
		{"more work than the target", 2 * time.Second, 0, 300 * time.Millisecond, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			limits := newLimits(1)
			instanceLimit := limits.instanceLimit(instance)
			instanceLimit.meanHeld = test.held
			for range 2 {
				limits.Acquire(flowSpec{}.newWaiter())
			}
			limits.context.Timers().Advance(DefaultPolicy().BurstTolerance)
			instanceLimit.lastSample = limits.context.Now() // the estimate has not decayed
			request := flowSpec{target: target}.newWaiter().request
			estimate := limits.workEstimate(laneOf(request))
			estimate.txs, estimate.resumed = 1, test.resumed
			is.Equal(limits.missesTarget(request, instanceLimit, test.position), test.misses)
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

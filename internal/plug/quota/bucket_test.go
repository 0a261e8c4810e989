package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"almondway.dev/almondway/internal/core/model"
)

const (
	window  = 5 * time.Second
	overage = 0.1
	slack   = 20
)

func limitedTeam(rate, burst float64) *model.Team {
	return model.NewTeam(model.TeamSpec{Name: "faculty", Rate: rate, Burst: burst})
}

// allowed returns the operations that a team may run in a window.
func allowed(rate, burst float64) float64 {
	return (rate*window.Seconds()+burst)*(1+overage) + slack
}

// usedAt is a number of tokens that were used at a time.
type usedAt struct {
	at    time.Duration
	count int
}

// mostInWindow returns the largest number of tokens that were used in any window.
func mostInWindow(uses []usedAt) int {
	most := 0
	for first := range uses {
		sum := 0
		for _, use := range uses[first:] {
			if use.at-uses[first].at < window {
				sum += use.count
			}
		}
		most = max(most, sum)
	}
	return most
}

// However tokens are lent, and whenever within their lifetime they are used, no window exceeds
// what the team may use, also while its limit is changed.
func TestBucketKeepsWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 200).Draw(t, "rate")
		burst := rapid.Float64Range(0, 200).Draw(t, "burst")
		limits := limitsOf(limitedTeam(rate, burst), 1, window, overage, slack)
		bucket := newBucket(0)
		var uses []usedAt
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause"))
			count := bucket.lend(limits, now, rapid.IntRange(1, 300).Draw(t, "wanted"))
			delay := time.Duration(rapid.Int64Range(0, int64(limits.lifetime)).Draw(t, "delay"))
			uses = append(uses, usedAt{at: now + delay, count: count})
		}
		sortUses(uses)
		if most := mostInWindow(uses); float64(most) > allowed(rate, burst) {
			t.Fatalf("%d tokens used in a window, %.1f allowed", most, allowed(rate, burst))
		}
	})
}

func sortUses(uses []usedAt) {
	for index := 1; index < len(uses); index++ {
		for at := index; at > 0 && uses[at].at < uses[at-1].at; at-- {
			uses[at], uses[at-1] = uses[at-1], uses[at]
		}
	}
}

// A team that stays within its limit gets a token for each operation.
func TestBucketServesTheLimit(t *testing.T) {
	tests := []struct {
		name  string
		rate  float64
		burst float64
		load  func(second int) int // operations of each second
	}{
		{name: "steady", rate: 50, burst: 50, load: func(int) int { return 50 }},
		{name: "small team", rate: 2, burst: 2, load: func(int) int { return 2 }},
		{name: "burst after a pause", rate: 20, burst: 40, load: func(second int) int { return []int{0, 0, 60}[second%3] }},
		{name: "no burst", rate: 30, burst: 0, load: func(int) int { return 30 }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			limits := limitsOf(limitedTeam(test.rate, test.burst), 1, window, overage, slack)
			bucket := newBucket(0)
			now := 2 * time.Second
			for second := range 60 {
				for operation := range test.load(second) {
					at := now + time.Duration(operation)*time.Second/time.Duration(test.load(second))
					is.Equal(bucket.lend(limits, at, 1), 1)
				}
				now += time.Second
			}
		})
	}
}

// A limit that is lowered binds at once, and nothing is owed or lent twice when it is raised.
func TestLimitChanges(t *testing.T) {
	is := is.New(t)
	high := limitsOf(limitedTeam(100, 100), 1, window, overage, slack)
	low := limitsOf(limitedTeam(1, 1), 1, window, overage, slack)
	bucket := newBucket(0)
	now := 10 * time.Second
	is.True(bucket.lend(high, now, 1000) >= 100)
	now += time.Second
	is.True(bucket.lend(low, now, 1000) <= 1+20)
	now += time.Second
	is.True(bucket.lend(low, now, 1000) <= 2)
	is.Equal(limitsOf(limitedTeam(0, 0), 1, window, 0, 0).capacity, 0.0)
	is.Equal(newBucket(0).lend(limitsOf(limitedTeam(0, 0), 1, window, 0, 0), now, 5), 0)
}

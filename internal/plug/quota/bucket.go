package quota

import (
	"math"
	"time"

	"almondway.dev/almondway/internal/core/model"
)

const (
	// maxLifetime is the longest time for which lent tokens may be used.
	maxLifetime = 350 * time.Millisecond
	// usedOverage is the part of what a team may use beyond its limit that a lender gives out.
	// The rest covers operations that were sent before a limit was lowered.
	usedOverage = 0.8
	// startShare is the part of that which a lender that starts may lend at once.
	startShare = 0.35
	// minRetryAfter and maxRetryAfter bound the time after which a proxy asks an empty bucket
	// again.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Second
)

// bucketLimits are the limits of a bucket.
type bucketLimits struct {
	rate     float64 // tokens a second
	capacity float64 // tokens in the bucket or lent
	lifetime time.Duration
	// start is the number of tokens with which the bucket of a lender may begin, once in any
	// window.
	start float64
}

// limitsOf returns the limits of the bucket of a team at each of its lenders. In any window of the
// settings the team may use rate*window + burst tokens, and exceed that by overage as a share and
// by slack.
func limitsOf(team *model.Team, lenders int, window time.Duration, overage, slack float64) bucketLimits {
	share := 1 / float64(lenders)
	rate := team.Rate() * share
	excess := usedOverage * (overage*(team.Rate()*window.Seconds()+team.Burst()) + slack) * share
	limits := bucketLimits{rate: rate, lifetime: maxLifetime, start: startShare * excess}
	total := team.Burst()*share + excess - limits.start
	// Lent tokens count until they expire. So that they do not hold up the rate, half of the
	// capacity lasts for a lifetime at least.
	if 3*rate*maxLifetime.Seconds() > total {
		limits.lifetime = time.Duration(total / (3 * rate) * float64(time.Second))
	}
	// Tokens that the process before has lent may be used while the bucket of a lender that has
	// started fills again.
	limits.capacity = total - rate*limits.lifetime.Seconds()
	return limits
}

// lot is a number of tokens that were lent and may be in use until they expire.
type lot struct {
	count     float64
	expiresAt time.Duration
}

// bucket holds the tokens of a team at its lender.
type bucket struct {
	level     float64
	updatedAt time.Duration
	lots      []lot // in the order of their expiry
	lent      float64
}

// newBucket returns an empty bucket that fills from now on.
func newBucket(now time.Duration) *bucket { return &bucket{updatedAt: now} }

// addStart adds the tokens with which the bucket of a lender that has started may begin.
func (bucket *bucket) addStart(limits bucketLimits, now time.Duration) {
	bucket.refill(limits, now)
	bucket.level += limits.start
	bucket.fillUntil(limits, now)
}

// lend takes up to wanted tokens out of the bucket and returns how many these are.
func (bucket *bucket) lend(limits bucketLimits, now time.Duration, wanted int) int {
	bucket.refill(limits, now)
	count := int(min(float64(wanted), bucket.level))
	if count <= 0 {
		return 0
	}
	bucket.level -= float64(count)
	bucket.lent += float64(count)
	expiresAt := now + limits.lifetime
	if last := len(bucket.lots) - 1; last >= 0 && bucket.lots[last].expiresAt >= expiresAt {
		bucket.lots[last].count += float64(count) // the lifetime was shortened meanwhile
		return count
	}
	bucket.lots = append(bucket.lots, lot{count: float64(count), expiresAt: expiresAt})
	return count
}

// refill adds the tokens of the time since the last call. The capacity bounds the tokens of the
// bucket and of the lots together at any time, so each expiry of a lot ends a step.
func (bucket *bucket) refill(limits bucketLimits, now time.Duration) {
	for len(bucket.lots) > 0 && bucket.lots[0].expiresAt <= now {
		bucket.fillUntil(limits, bucket.lots[0].expiresAt)
		bucket.lent -= bucket.lots[0].count
		bucket.lots = bucket.lots[1:]
	}
	bucket.fillUntil(limits, now)
}

func (bucket *bucket) fillUntil(limits bucketLimits, at time.Duration) {
	if at > bucket.updatedAt {
		bucket.level += limits.rate * (at - bucket.updatedAt).Seconds()
		bucket.updatedAt = at
	}
	bucket.level = max(0, min(bucket.level, limits.capacity-bucket.lent))
}

// retryAfter returns when the bucket has a token again.
func (bucket *bucket) retryAfter(limits bucketLimits) time.Duration {
	if limits.rate <= 0 {
		return maxRetryAfter
	}
	seconds := math.Min(maxRetryAfter.Seconds(), math.Max(0, 1-bucket.level)/limits.rate)
	return max(minRetryAfter, time.Duration(seconds*float64(time.Second)))
}

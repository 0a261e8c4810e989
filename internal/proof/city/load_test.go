package city

import (
	"testing"
	"time"
)

// overloadedPrimary is a load under which both replicas lag beyond every staleness, so that
// the primary alone has to serve more than it can.
func overloadedPrimary(seed uint64) Load {
	return Load{
		Seed: seed,
		Rate: 165,
		Span: 30 * time.Second,
		Kinds: []LoadKind{
			{Name: "filing", Share: 0.15, Writes: 0.2, Transactions: 0.25, Work: 8 * time.Millisecond, Priority: 1, Target: 200 * time.Millisecond, Deadline: 3 * time.Second, Timeout: time.Second, Retries: 2},
			{Name: "lookup", Share: 0.15, Transactions: 0.1, Work: 40 * time.Millisecond, Priority: 2, Target: 600 * time.Millisecond, Deadline: 10 * time.Second, Timeout: 2 * time.Second, Staleness: 1500 * time.Millisecond, Retries: 2},
			{Name: "sync", Share: 0.7, Writes: 0.12, Transactions: 0.12, Work: 24 * time.Millisecond, Priority: 2, Target: 400 * time.Millisecond, Deadline: 3 * time.Second, Timeout: time.Second, Staleness: 2500 * time.Millisecond, SeesOwnWrites: true, Retries: 2},
		},
		ProxiesByZone: []int{2, 3, 1},
		Slots:         3,
		QueueLimit:    24,
		MaxConns:      21,
		Handshake:     12 * time.Millisecond,
		ApplyDelay:    7 * time.Second,
		LagFrom:       2 * time.Second,
		LagUntil:      30 * time.Second,
	}
}

func TestTrialLoad(t *testing.T) {
	for seed := range uint64(4) {
		result := Experiment(overloadedPrimary(seed + 1))
		for _, kind := range result.Kinds {
			n := float64(kind.Asked)
			t.Logf("%s asked %d in %.3f late %.3f unserved %.3f %v p50 %d p99 %d", kind.Name, kind.Asked, float64(kind.InTarget)/n, float64(kind.Late)/n, float64(kind.Unserved)/n, kind.Refusals, kind.Latency.ValueAtQuantile(50)/1000, kind.Latency.ValueAtQuantile(99)/1000)
		}
		t.Logf("in %.3f use %.2f", result.InTarget(), result.SlotUse)
	}
}

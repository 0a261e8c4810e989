package load

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestAudit(t *testing.T) {
	cases := []struct {
		name     string
		verdicts []Verdict
		final    int
		expected Audit
	}{
		{"all writes acknowledged", []Verdict{VerdictDone, VerdictDone}, 2, Audit{}},
		{"an acknowledged write is missing", []Verdict{VerdictDone, VerdictDone}, 1, Audit{LostWrites: 1}},
		{"an unknown write ran", []Verdict{VerdictDone, VerdictUnknown}, 2, Audit{}},
		{"an unknown write did not run", []Verdict{VerdictDone, VerdictUnknown}, 1, Audit{}},
		{"a write reported as not run did run", []Verdict{VerdictDone, VerdictNotRun}, 2, Audit{WrongNotRun: 1}},
		{"a write ran twice", []Verdict{VerdictDone, VerdictDone}, 3, Audit{DoubledWrites: 1}},
		{"an unknown write ran twice", []Verdict{VerdictUnknown}, 2, Audit{DoubledWrites: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			writeHistory := NewWriteHistory()
			for _, verdict := range c.verdicts {
				writeHistory.AddSent("k")
				writeHistory.AddVerdict("k", verdict, time.Now())
			}
			is.New(t).Equal(writeHistory.Audit(map[string]int{"k": c.final}), c.expected)
		})
	}
}

func TestIsValidRead(t *testing.T) {
	start := time.Now()
	writeHistory := NewWriteHistory()
	for _, after := range []time.Duration{time.Second, 2 * time.Second} {
		writeHistory.AddSent("k")
		writeHistory.AddVerdict("k", VerdictDone, start.Add(after))
	}
	writeHistory.AddSent("k")
	writeHistory.AddVerdict("k", VerdictNotRun, start.Add(3*time.Second))
	writeHistory.AddSent("k") // in flight
	fresh := Kind{}
	bounded := Kind{Check: CheckBounded, Staleness: 5 * time.Second}
	cases := []struct {
		name   string
		kind   Kind
		values []string
		sentAt time.Duration
		valid  bool
	}{
		{"newest", fresh, []string{"k", "2"}, 4 * time.Second, true},
		{"includes the write in flight", fresh, []string{"k", "3"}, 4 * time.Second, true},
		{"shows a write that was reported as not run", fresh, []string{"k", "4"}, 4 * time.Second, false},
		{"misses an acknowledged write", fresh, []string{"k", "1"}, 4 * time.Second, false},
		{"write was acknowledged after the read was sent", fresh, []string{"k", "1"}, 2 * time.Second, true},
		{"stale within the bound", bounded, []string{"k", "1"}, 6 * time.Second, true},
		{"stale beyond the bound", bounded, []string{"k", "1"}, 8 * time.Second, false},
		{"another key", fresh, []string{"j", "2"}, 4 * time.Second, false},
		{"no row", fresh, nil, 4 * time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(writeHistory.IsValidRead(c.kind, "k", c.values, start.Add(c.sentAt)), c.valid)
		})
	}
}

func TestFailoverGapIgnoresWritesSentBeforeTheLoss(t *testing.T) {
	is := is.New(t)
	lostAt := time.Now()
	result := NewResult()
	write := func(sent, answered time.Duration) {
		result.add(completedRequest{
			request:    Request{Kind: Kind{Write: true}, Group: "katalog-1"},
			answer:     Answer{Verdict: VerdictDone},
			dueAt:      lostAt.Add(sent),
			sentAt:     lostAt.Add(sent),
			answeredAt: lostAt.Add(answered),
		})
	}
	write(-time.Millisecond, time.Millisecond)
	_, found := result.FailoverGap("katalog-1", lostAt)
	is.True(!found)
	write(time.Millisecond, 300*time.Millisecond)
	write(2*time.Millisecond, 200*time.Millisecond)
	gap, found := result.FailoverGap("katalog-1", lostAt)
	is.True(found)
	is.Equal(gap, 200*time.Millisecond)
}

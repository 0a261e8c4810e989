package timer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPace guards against runs without work, and against work that waits longer than an interval.
func TestPace(t *testing.T) {
	const interval = 100 * time.Millisecond
	tests := []struct {
		name    string
		delay   time.Duration // that the callback returns
		wakes   []time.Duration
		inside  bool // the callback wakes the Pace itself
		advance time.Duration
		want    []time.Duration
	}{
		{name: "work", delay: 0, advance: 350 * time.Millisecond, want: []time.Duration{100, 200, 300}},
		{name: "none", delay: time.Second, advance: 2500 * time.Millisecond, want: []time.Duration{100, 1100, 2100}},
		{name: "work comes", delay: time.Second, wakes: []time.Duration{430 * time.Millisecond}, advance: time.Second, want: []time.Duration{100, 500}},
		{name: "work comes twice", delay: time.Second, wakes: []time.Duration{430 * time.Millisecond, 480 * time.Millisecond}, advance: time.Second, want: []time.Duration{100, 500}},
		{name: "work comes during a run", delay: time.Second, inside: true, advance: 350 * time.Millisecond, want: []time.Duration{100, 200, 300}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			service := New()
			var got []time.Duration
			var pace *Pace
			pace = service.Pace(interval, func() time.Duration {
				got = append(got, service.Now()/time.Millisecond)
				if test.inside {
					pace.Wake()
				}
				return test.delay
			})
			for _, at := range test.wakes {
				service.After(at, pace.Wake)
			}
			for now := time.Duration(0); now <= test.advance; now += 10 * time.Millisecond {
				service.Advance(now)
			}
			is.Equal(got, test.want)
		})
	}
}

// TestPacesRunTogether guards against a wake-up of the process for each of several plug-ins.
func TestPacesRunTogether(t *testing.T) {
	is := is.New(t)
	service := New()
	for range 4 {
		service.Pace(100*time.Millisecond, func() time.Duration { return 0 })
	}
	service.Advance(30 * time.Millisecond)
	service.Pace(50*time.Millisecond, func() time.Duration { return 0 })
	wakeUps := 0
	for next, _ := service.NextDue(); next <= time.Second; next, _ = service.NextDue() {
		// A process wakes up a little late.
		service.Advance(next + 300*time.Microsecond)
		wakeUps++
	}
	is.Equal(wakeUps, 20)
}

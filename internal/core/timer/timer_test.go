package timer

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"almondway.dev/almondway/internal/proof/seeds"
)

func TestMain(m *testing.M) { seeds.Main(m, 0, 0) }

func TestAdvance(t *testing.T) {
	tests := []struct {
		name    string
		setUp   func(service *Service, fired *[]string)
		advance []time.Duration
		want    []string
	}{
		{"after its delay", func(service *Service, fired *[]string) {
			service.After(time.Second, func() { *fired = append(*fired, "a") })
		}, []time.Duration{time.Second - 1, time.Second, time.Hour}, []string{"a"}},
		{"in the order of creation at equal times", func(service *Service, fired *[]string) {
			service.After(time.Second, func() { *fired = append(*fired, "a") })
			service.After(time.Second, func() { *fired = append(*fired, "b") })
		}, []time.Duration{time.Second}, []string{"a", "b"}},
		{"periodic, once for each advance", func(service *Service, fired *[]string) {
			service.Every(time.Second, func() { *fired = append(*fired, "a") })
		}, []time.Duration{time.Second, 5 * time.Second, 5500 * time.Millisecond, 6 * time.Second}, []string{"a", "a", "a"}},
		{"created by a callback and due at once", func(service *Service, fired *[]string) {
			service.After(time.Second, func() {
				service.After(0, func() { *fired = append(*fired, "b") })
			})
		}, []time.Duration{time.Second}, []string{"b"}},
		{"canceled", func(service *Service, fired *[]string) {
			id := service.Every(time.Second, func() { *fired = append(*fired, "a") })
			service.After(2*time.Second, func() { service.Cancel(id) })
		}, []time.Duration{time.Second, 2 * time.Second, 9 * time.Second}, []string{"a", "a"}},
		{"the clock never goes back", func(service *Service, fired *[]string) {
			service.After(time.Second, func() { *fired = append(*fired, service.Now().String()) })
		}, []time.Duration{2 * time.Second, time.Second}, []string{"2s"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			service := New()
			var fired []string
			test.setUp(service, &fired)
			for _, now := range test.advance {
				service.Advance(now)
			}
			is.Equal(fired, test.want)
		})
	}
}

// referenceTimer is a timer of the reference list.
type referenceTimer struct {
	id ID
	at time.Duration
}

// TestAgainstSortedList compares the service with a reference list that is sorted at each
// step. It guards against wrong firing order and lost timers of the heap.
func TestAgainstSortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := New()
		var reference []referenceTimer
		var fired, want []ID
		t.Repeat(map[string]func(*rapid.T){
			"after": func(t *rapid.T) {
				delay := time.Duration(rapid.IntRange(0, 20).Draw(t, "delay"))
				at := service.Now() + delay
				var id ID
				id = service.After(delay, func() { fired = append(fired, id) })
				reference = append(reference, referenceTimer{id: id, at: at})
			},
			"cancel": func(t *rapid.T) {
				id := ID(rapid.IntRange(1, 30).Draw(t, "id"))
				service.Cancel(id)
				reference = slices.DeleteFunc(reference, func(kept referenceTimer) bool { return kept.id == id })
			},
			"advance": func(t *rapid.T) {
				now := service.Now() + time.Duration(rapid.IntRange(0, 10).Draw(t, "step"))
				service.Advance(now)
				slices.SortStableFunc(reference, func(left, right referenceTimer) int { return int(left.at - right.at) })
				for len(reference) > 0 && reference[0].at <= now {
					want = append(want, reference[0].id)
					reference = reference[1:]
				}
			},
			"": func(t *rapid.T) {
				if !slices.Equal(fired, want) {
					t.Fatalf("fired %v, want %v", fired, want)
				}
				next, ok := service.NextDue()
				if ok != (len(reference) > 0) {
					t.Fatalf("NextDue reports %t with %d timers", ok, len(reference))
				}
				for _, kept := range reference {
					if kept.at < next {
						t.Fatalf("NextDue is %s, a timer is due at %s", next, kept.at)
					}
				}
			},
		})
	})
}

package drain_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/tune"
	_ "almondway.dev/almondway/internal/plug/drain"
)

const step = 10 * time.Millisecond

// fakeLoad is a plug-in that simulates requests in flight and a promotion in progress.
type fakeLoad struct {
	requests  int
	promoting bool
	drained   bool
	ended     bool
}

func (fakeLoad *fakeLoad) InFlight() int { return fakeLoad.requests }

func (fakeLoad *fakeLoad) EndRequests() { fakeLoad.ended = true }

func (fakeLoad *fakeLoad) PromotionInProgress() bool { return fakeLoad.promoting }

func (fakeLoad *fakeLoad) Handle(received event.Event) {
	if _, ok := received.(event.DrainStarted); ok {
		fakeLoad.drained = true
	}
}

// fakeLoads passes the fakeLoad of each new kernel to its test.
var fakeLoads = make(chan *fakeLoad, 1)

func init() {
	kern.Register("load", kern.RankSessions, func(context *kern.Context) kern.Plugin {
		added := &fakeLoad{}
		context.ProvideService("sessions", added)
		context.ProvideService("failov", added)
		fakeLoads <- added
		return added
	})
}

func stopsProxy(actions []event.Action) bool {
	for _, action := range actions {
		if _, ok := action.(event.StopProxy); ok {
			return true
		}
	}
	return false
}

func TestShutdown(t *testing.T) {
	tests := []struct {
		name     string
		work     func(fakeLoad *fakeLoad, now time.Duration)
		earliest time.Duration
		latest   time.Duration
		ended    bool // the requests are ended before the proxy stops
	}{
		{
			name:   "idle",
			work:   func(*fakeLoad, time.Duration) {},
			latest: 500 * time.Millisecond,
		},
		{
			name:     "a long answer in flight",
			work:     func(fakeLoad *fakeLoad, now time.Duration) { fakeLoad.requests = oneIf(now < 7*time.Second) },
			earliest: 7 * time.Second,
			latest:   7500 * time.Millisecond,
		},
		{
			name: "a request after an idle period",
			work: func(fakeLoad *fakeLoad, now time.Duration) {
				fakeLoad.requests = oneIf(now > 100*time.Millisecond && now < time.Second)
			},
			earliest: time.Second,
			latest:   1500 * time.Millisecond,
		},
		{
			name:     "a promotion in progress",
			work:     func(fakeLoad *fakeLoad, now time.Duration) { fakeLoad.promoting = now < 2*time.Second },
			earliest: 2 * time.Second,
			latest:   2500 * time.Millisecond,
		},
		{
			name:     "a transaction that does not end",
			work:     func(fakeLoad *fakeLoad, _ time.Duration) { fakeLoad.requests = 1 },
			earliest: 30 * time.Second,
			latest:   30*time.Second + 100*time.Millisecond,
			ended:    true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			kernel := kern.New(model.NewProxyView("proxy-1", "", "", 0, false, 0), tune.New(tune.Default()), time.Time{}, 1)
			fakeLoad := <-fakeLoads
			test.work(fakeLoad, 0)
			kernel.Handle(0, event.NewShutdownRequested(tune.Default().DrainLimit))
			is.True(kernel.State().Draining())
			is.True(fakeLoad.drained)
			stopped := time.Duration(0)
			for now := step; stopped == 0 && now < time.Minute; now += step {
				test.work(fakeLoad, now)
				if stopsProxy(kernel.Tick(now)) {
					stopped = now
				}
			}
			is.True(stopped >= test.earliest)
			is.True(stopped > 0 && stopped <= test.latest)
			is.Equal(fakeLoad.ended, test.ended)
		})
	}
}

func TestFurtherRequestOnlyShortensDrain(t *testing.T) {
	const limit = 10 * time.Second
	tests := []struct {
		name    string
		further time.Duration // after 1 s
		end     time.Duration
	}{
		{"shorter", 0, time.Second},
		{"longer", time.Minute, limit},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			kernel := kern.New(model.NewProxyView("proxy-1", "", "", 0, false, 0), tune.New(tune.Default()), time.Time{}, 1)
			fakeLoad := <-fakeLoads
			fakeLoad.requests = 1
			kernel.Handle(0, event.NewShutdownRequested(limit))
			stopped := time.Duration(0)
			for now := step; stopped == 0 && now < time.Minute; now += step {
				if now == time.Second {
					kernel.Handle(now, event.NewShutdownRequested(test.further))
				}
				if stopsProxy(kernel.Tick(now)) {
					stopped = now
				}
			}
			is.True(fakeLoad.ended)
			is.True(stopped >= test.end && stopped <= test.end+100*time.Millisecond)
		})
	}
}

func TestLateRequestDoesNotMoveEndOfDrain(t *testing.T) {
	is := is.New(t)
	kernel := kern.New(model.NewProxyView("proxy-1", "", "", 0, false, 0), tune.New(tune.Default()), time.Time{}, 1)
	fakeLoad := <-fakeLoads
	fakeLoad.requests = 1
	kernel.Handle(3*time.Second, event.NewShutdownRequested(2*time.Second).WithRequestedAt(2*time.Second))
	is.True(!stopsProxy(kernel.Tick(3990 * time.Millisecond)))
	is.True(stopsProxy(kernel.Tick(4 * time.Second)))
	is.True(fakeLoad.ended)
}

// After a pause of the process, the first tick is already past the time of the last idle
// check. The proxy must still run further checks, which find the requests that arrived
// during the pause.
func TestPausedProxyReadsEventsBeforeStop(t *testing.T) {
	is := is.New(t)
	kernel := kern.New(model.NewProxyView("proxy-1", "", "", 0, false, 0), tune.New(tune.Default()), time.Time{}, 1)
	fakeLoad := <-fakeLoads
	kernel.Handle(0, event.NewShutdownRequested(tune.Default().DrainLimit))
	is.True(!stopsProxy(kernel.Tick(20 * time.Second)))
	fakeLoad.requests = 1
	for now := 20*time.Second + step; now < 22*time.Second; now += step {
		is.True(!stopsProxy(kernel.Tick(now)))
	}
}

// The pause falls between the last two idle checks, so that the check after it would be the
// one that stops the proxy. The requests that arrived during the pause are read after it.
func TestPauseBeforeLastIdleCheck(t *testing.T) {
	is := is.New(t)
	kernel := kern.New(model.NewProxyView("proxy-1", "", "", 0, false, 0), tune.New(tune.Default()), time.Time{}, 1)
	fakeLoad := <-fakeLoads
	kernel.Handle(0, event.NewShutdownRequested(tune.Default().DrainLimit))
	for now := step; now < 200*time.Millisecond; now += step {
		is.True(!stopsProxy(kernel.Tick(now)))
	}
	is.True(!stopsProxy(kernel.Tick(3 * time.Second)))
	fakeLoad.requests = 1
	for now := 3*time.Second + step; now < 5*time.Second; now += step {
		is.True(!stopsProxy(kernel.Tick(now)))
	}
	fakeLoad.requests = 0
	stopped := false
	for now := 5 * time.Second; now < 6*time.Second && !stopped; now += step {
		stopped = stopsProxy(kernel.Tick(now))
	}
	is.True(stopped)
}

func oneIf(busy bool) int {
	if busy {
		return 1
	}
	return 0
}

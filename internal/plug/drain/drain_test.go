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

// fakeLoad is a plug-in that plays the requests in flight and a promotion under way.
type fakeLoad struct {
	requests int
	driving  bool
	drained  bool
}

func (load *fakeLoad) InFlight() int { return load.requests }

func (load *fakeLoad) Driving() bool { return load.driving }

func (load *fakeLoad) Handle(received event.Event) {
	if _, ok := received.(event.DrainStarted); ok {
		load.drained = true
	}
}

// fakeLoads holds the plug-in of each kernel until its test takes it.
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
		work     func(load *fakeLoad, now time.Duration)
		earliest time.Duration
		latest   time.Duration
	}{
		{
			name:   "idle",
			work:   func(*fakeLoad, time.Duration) {},
			latest: 500 * time.Millisecond,
		},
		{
			name:     "a long answer in flight",
			work:     func(load *fakeLoad, now time.Duration) { load.requests = oneIf(now < 7*time.Second) },
			earliest: 7 * time.Second,
			latest:   7500 * time.Millisecond,
		},
		{
			name: "a request between two moments without one",
			work: func(load *fakeLoad, now time.Duration) {
				load.requests = oneIf(now > 100*time.Millisecond && now < time.Second)
			},
			earliest: time.Second,
			latest:   1500 * time.Millisecond,
		},
		{
			name:     "a promotion that it drives",
			work:     func(load *fakeLoad, now time.Duration) { load.driving = now < 2*time.Second },
			earliest: 2 * time.Second,
			latest:   2500 * time.Millisecond,
		},
		{
			name:     "a transaction that does not end",
			work:     func(load *fakeLoad, _ time.Duration) { load.requests = 1 },
			earliest: 30 * time.Second,
			latest:   30*time.Second + 100*time.Millisecond,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			kernel := kern.New(model.NewProxyView("proxy-1", "", "", 0, false, 0), tune.New(tune.Default()), time.Time{}, 1)
			load := <-fakeLoads
			test.work(load, 0)
			kernel.Handle(0, event.NewShutdownRequested())
			is.True(kernel.State().Draining())
			is.True(load.drained)
			stopped := time.Duration(0)
			for now := step; stopped == 0 && now < time.Minute; now += step {
				test.work(load, now)
				if stopsProxy(kernel.Tick(now)) {
					stopped = now
				}
			}
			is.True(stopped >= test.earliest)
			is.True(stopped > 0 && stopped <= test.latest)
		})
	}
}

// A proxy that was paused while it drained reads what came in before it stops.
func TestPausedProxyReadsEventsBeforeStop(t *testing.T) {
	is := is.New(t)
	kernel := kern.New(model.NewProxyView("proxy-1", "", "", 0, false, 0), tune.New(tune.Default()), time.Time{}, 1)
	load := <-fakeLoads
	kernel.Handle(0, event.NewShutdownRequested())
	is.True(!stopsProxy(kernel.Tick(20 * time.Second)))
	load.requests = 1
	for now := 20*time.Second + step; now < 22*time.Second; now += step {
		is.True(!stopsProxy(kernel.Tick(now)))
	}
}

func oneIf(busy bool) int {
	if busy {
		return 1
	}
	return 0
}

package limit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/timer"
	"almondway.dev/almondway/internal/core/tune"
)

const (
	shareProxies = 6
	shareSlots   = 5
	shareConns   = 35
	serviceTime  = 4 * time.Millisecond
	oneWay       = time.Millisecond
	shareTime    = 20 * time.Second
	capacity     = float64(shareSlots) / 0.004
)

// server is an instance whose slots take statements in the order of their arrival.
type server struct {
	clock   *timer.Service
	running int
	queue   []func()
}

func (server *server) execute(done func()) {
	if server.running == shareSlots {
		server.queue = append(server.queue, done)
		return
	}
	server.running++
	server.clock.After(serviceTime, func() {
		server.running--
		server.clock.After(oneWay, done)
		if len(server.queue) > 0 {
			next := server.queue[0]
			server.queue = server.queue[1:]
			server.execute(next)
		}
	})
}

// visitor is a request that measures how long it takes.
type visitor struct {
	entrant
	world  *shareWorld
	limits *Limits
	since  time.Duration
}

// SlotGranted implements route.Entrant.
func (visitor *visitor) SlotGranted() {
	clock := visitor.world.clock
	started := clock.Now()
	clock.After(oneWay, func() {
		visitor.world.server.execute(func() {
			visitor.world.times = append(visitor.world.times, clock.Now()-visitor.since)
			visitor.limits.Release(visitor.ask, clock.Now()-started, false)
		})
	})
}

// SlotDenied implements route.Entrant.
func (visitor *visitor) SlotDenied(codes.Code, time.Duration) { visitor.world.refused++ }

// shareWorld is a few proxies before one instance.
type shareWorld struct {
	clock   *timer.Service
	server  *server
	random  *rand.Rand
	proxies []*Limits
	kernels []*kern.Kernel
	times   []time.Duration
	refused int
}

func newShareWorld(conns int) *shareWorld {
	clock := timer.New()
	world := &shareWorld{clock: clock, server: &server{clock: clock}, random: rand.New(rand.NewPCG(1, 1))}
	spec := tune.Default()
	spec.SlotsPerInstance = shareSlots
	spec.ConnsPerInstance = conns
	for range shareProxies {
		catch := func(context *kern.Context) kern.Plugin {
			limits := New(context).(*Limits)
			world.proxies = append(world.proxies, limits)
			return limits
		}
		kernel := kern.NewWithFactories(model.ProxyView{}, tune.New(spec), time.Time{}, 1, catch)
		kernel.State().SetProxies(make([]model.ProxyView, shareProxies))
		world.kernels = append(world.kernels, kernel)
	}
	return world
}

// arrive sends requests at random times until the end, the given share of them to the first proxy.
func (world *shareWorld) arrive(rate, first float64) {
	if world.clock.Now() > shareTime {
		return
	}
	proxy := 0
	if world.random.Float64() >= first {
		proxy = 1 + world.random.IntN(shareProxies-1)
	}
	world.kernels[proxy].Tick(world.clock.Now())
	asked := flow{key: "h1", deadline: world.clock.Now() + time.Second}.entrant()
	visitor := &visitor{entrant: *asked, world: world, limits: world.proxies[proxy], since: world.clock.Now()}
	world.proxies[proxy].Acquire(visitor)
	delay := time.Duration(world.random.ExpFloat64() / rate * float64(time.Second))
	world.clock.After(delay, func() { world.arrive(rate, first) })
}

func (world *shareWorld) run(rate, first float64) {
	world.arrive(rate, first)
	for next, ok := world.clock.NextDue(); ok; next, ok = world.clock.NextDue() {
		world.clock.Advance(next)
	}
	slices.Sort(world.times)
}

var _ route.SlotWaiter = (*visitor)(nil)

// BenchmarkShare measures, under a simulated clock, how long statements take when
// six proxies share the slots of an instance by a static share and by a limit
// that follows the load.
func BenchmarkShare(b *testing.B) {
	ways := []struct {
		name  string
		conns int
	}{{"static", shareSlots}, {"adaptive", shareConns}}
	loads := []struct {
		name  string
		rate  float64
		first float64
	}{
		{"even 70 percent", 0.7 * capacity, 1.0 / shareProxies},
		{"even 95 percent", 0.95 * capacity, 1.0 / shareProxies},
		{"one busy proxy at 70 percent", 0.7 * capacity, 0.7},
		{"even 130 percent", 1.3 * capacity, 1.0 / shareProxies},
	}
	for _, load := range loads {
		for _, way := range ways {
			b.Run(load.name+"/"+way.name, func(b *testing.B) {
				for b.Loop() {
					world := newShareWorld(way.conns)
					world.run(load.rate, load.first)
					count := len(world.times)
					b.ReportMetric(float64(count)/shareTime.Seconds(), "served/s")
					b.ReportMetric(float64(world.refused)/shareTime.Seconds(), "refused/s")
					b.ReportMetric(float64(world.times[count/2].Microseconds())/1000, "p50_ms")
					b.ReportMetric(float64(world.times[count*99/100].Microseconds())/1000, "p99_ms")
				}
			})
		}
	}
}

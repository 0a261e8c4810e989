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
	proxyCount    = 6
	slotCount     = 5
	connCount     = 35
	serviceTime   = 4 * time.Millisecond
	oneWay        = time.Millisecond
	simulatedTime = 20 * time.Second
	capacity      = float64(slotCount) / 0.004
)

// simulatedInstance is an instance whose slots take statements in the order of their arrival.
type simulatedInstance struct {
	clock   *timer.Service
	running int
	queue   []func()
}

func (server *simulatedInstance) execute(done func()) {
	if server.running == slotCount {
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

// timedWaiter is a request that measures how long it takes.
type timedWaiter struct {
	fakeWaiter
	simulation *simulation
	limits     *Limits
	arrived    time.Duration
}

// SlotGranted implements route.Entrant.
func (visitor *timedWaiter) SlotGranted() {
	clock := visitor.simulation.clock
	started := clock.Now()
	clock.After(oneWay, func() {
		visitor.simulation.instance.execute(func() {
			visitor.simulation.latencies = append(visitor.simulation.latencies, clock.Now()-visitor.arrived)
			visitor.limits.Release(visitor.request, clock.Now()-started, false)
		})
	})
}

// SlotDenied implements route.Entrant.
func (visitor *timedWaiter) SlotDenied(codes.Code, time.Duration) { visitor.simulation.rejected++ }

// simulation is a few proxies before one instance.
type simulation struct {
	clock     *timer.Service
	instance  *simulatedInstance
	random    *rand.Rand
	proxies   []*Limits
	kernels   []*kern.Kernel
	latencies []time.Duration
	rejected  int
}

func newSimulation(conns int) *simulation {
	clock := timer.New()
	world := &simulation{clock: clock, instance: &simulatedInstance{clock: clock}, random: rand.New(rand.NewPCG(1, 1))}
	spec := tune.Default()
	spec.SlotsPerInstance = slotCount
	spec.ConnsPerInstance = conns
	for range proxyCount {
		catch := func(context *kern.Context) kern.Plugin {
			limits := New(context).(*Limits)
			world.proxies = append(world.proxies, limits)
			return limits
		}
		kernel := kern.NewWithFactories(model.ProxyView{}, tune.New(spec), time.Time{}, 1, catch)
		kernel.State().SetProxies(make([]model.ProxyView, proxyCount))
		world.kernels = append(world.kernels, kernel)
	}
	return world
}

// sendRequests sends requests at random times until the end, the given share of them to the first proxy.
func (world *simulation) sendRequests(rate, first float64) {
	if world.clock.Now() > simulatedTime {
		return
	}
	proxy := 0
	if world.random.Float64() >= first {
		proxy = 1 + world.random.IntN(proxyCount-1)
	}
	world.kernels[proxy].Tick(world.clock.Now())
	asked := flowSpec{key: "h1", deadline: world.clock.Now() + time.Second}.newWaiter()
	visitor := &timedWaiter{fakeWaiter: *asked, simulation: world, limits: world.proxies[proxy], arrived: world.clock.Now()}
	world.proxies[proxy].Acquire(visitor)
	delay := time.Duration(world.random.ExpFloat64() / rate * float64(time.Second))
	world.clock.After(delay, func() { world.sendRequests(rate, first) })
}

func (world *simulation) run(rate, first float64) {
	world.sendRequests(rate, first)
	for next, ok := world.clock.NextDue(); ok; next, ok = world.clock.NextDue() {
		world.clock.Advance(next)
	}
	slices.Sort(world.latencies)
}

var _ route.SlotWaiter = (*timedWaiter)(nil)

// BenchmarkShare measures, under a simulated clock, how long statements take when
// six proxies share the slots of an instance by a static share and by a limit
// that follows the load.
func BenchmarkShare(b *testing.B) {
	ways := []struct {
		name  string
		conns int
	}{{"static", slotCount}, {"adaptive", connCount}}
	loads := []struct {
		name  string
		rate  float64
		first float64
	}{
		{"even 70 percent", 0.7 * capacity, 1.0 / proxyCount},
		{"even 95 percent", 0.95 * capacity, 1.0 / proxyCount},
		{"one busy proxy at 70 percent", 0.7 * capacity, 0.7},
		{"even 130 percent", 1.3 * capacity, 1.0 / proxyCount},
	}
	for _, load := range loads {
		for _, way := range ways {
			b.Run(load.name+"/"+way.name, func(b *testing.B) {
				for b.Loop() {
					world := newSimulation(way.conns)
					world.run(load.rate, load.first)
					count := len(world.latencies)
					b.ReportMetric(float64(count)/simulatedTime.Seconds(), "served/s")
					b.ReportMetric(float64(world.rejected)/simulatedTime.Seconds(), "refused/s")
					b.ReportMetric(float64(world.latencies[count/2].Microseconds())/1000, "p50_ms")
					b.ReportMetric(float64(world.latencies[count*99/100].Microseconds())/1000, "p99_ms")
				}
			})
		}
	}
}

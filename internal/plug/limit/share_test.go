package limit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

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
	oneWayLatency = time.Millisecond
	simulatedTime = 20 * time.Second
	capacity      = float64(slotCount) / 0.004
)

// simulatedInstance is an instance that executes statements in the order of their arrival
// on a fixed number of slots.
type simulatedInstance struct {
	clock   *timer.Service
	running int
	queue   []func()
}

func (simulatedInstance *simulatedInstance) execute(done func()) {
	if simulatedInstance.running == slotCount {
		simulatedInstance.queue = append(simulatedInstance.queue, done)
		return
	}
	simulatedInstance.running++
	simulatedInstance.clock.After(serviceTime, func() {
		simulatedInstance.running--
		simulatedInstance.clock.After(oneWayLatency, done)
		if len(simulatedInstance.queue) > 0 {
			next := simulatedInstance.queue[0]
			simulatedInstance.queue = simulatedInstance.queue[1:]
			simulatedInstance.execute(next)
		}
	})
}

// timedWaiter is a request that records its latency.
type timedWaiter struct {
	fakeWaiter
	simulation *simulation
	limits     *Limits
	arrived    time.Duration
}

// SlotGranted implements route.SlotWaiter.
func (timedWaiter *timedWaiter) SlotGranted() {
	clock := timedWaiter.simulation.clock
	started := clock.Now()
	clock.After(oneWayLatency, func() {
		timedWaiter.simulation.instance.execute(func() {
			timedWaiter.simulation.latencies = append(timedWaiter.simulation.latencies, clock.Now()-timedWaiter.arrived)
			timedWaiter.limits.Release(timedWaiter.request, clock.Now()-started, route.SlotAnswered)
		})
	})
}

// SlotDenied implements route.SlotWaiter.
func (timedWaiter *timedWaiter) SlotDenied(route.Denial) {
	timedWaiter.simulation.denied++
}

// simulation consists of several proxies that share one instance.
type simulation struct {
	clock     *timer.Service
	instance  *simulatedInstance
	random    *rand.Rand
	proxies   []*Limits
	kernels   []*kern.Kernel
	latencies []time.Duration
	denied    int
}

func newSimulation(conns int) *simulation {
	clock := timer.New()
	simulation := &simulation{clock: clock, instance: &simulatedInstance{clock: clock}, random: rand.New(rand.NewPCG(1, 1))}
	spec := tune.Default()
	spec.SlotsPerInstance = slotCount
	spec.ConnsPerInstance = conns
	for range proxyCount {
		capture := func(context *kern.Context) kern.Plugin {
			limits := New(context).(*Limits)
			simulation.proxies = append(simulation.proxies, limits)
			return limits
		}
		kernel := kern.NewWithFactories(model.ProxyView{}, tune.New(spec), time.Time{}, 1, capture)
		kernel.State().SetProxies(make([]model.ProxyView, proxyCount))
		simulation.kernels = append(simulation.kernels, kernel)
	}
	return simulation
}

// sendRequests sends requests with exponentially distributed intervals until the end of
// the simulation. first is the share of the requests that the first proxy receives.
func (simulation *simulation) sendRequests(rate, first float64) {
	if simulation.clock.Now() > simulatedTime {
		return
	}
	proxy := 0
	if simulation.random.Float64() >= first {
		proxy = 1 + simulation.random.IntN(proxyCount-1)
	}
	simulation.kernels[proxy].Tick(simulation.clock.Now())
	waiter := flowSpec{key: "h1", deadline: simulation.clock.Now() + time.Second}.newWaiter()
	timedWaiter := &timedWaiter{fakeWaiter: *waiter, simulation: simulation, limits: simulation.proxies[proxy], arrived: simulation.clock.Now()}
	simulation.proxies[proxy].Acquire(timedWaiter)
	delay := time.Duration(simulation.random.ExpFloat64() / rate * float64(time.Second))
	simulation.clock.After(delay, func() { simulation.sendRequests(rate, first) })
}

func (simulation *simulation) run(rate, first float64) {
	simulation.sendRequests(rate, first)
	for next, ok := simulation.clock.NextDue(); ok; next, ok = simulation.clock.NextDue() {
		simulation.clock.Advance(next)
	}
	slices.Sort(simulation.latencies)
}

var _ route.SlotWaiter = (*timedWaiter)(nil)

// BenchmarkShare measures statement latency under a simulated clock. Six proxies share
// the slots of an instance, either by a static share or by a limit that adapts to the
// load.
func BenchmarkShare(b *testing.B) {
	variants := []struct {
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
		for _, variant := range variants {
			b.Run(load.name+"/"+variant.name, func(b *testing.B) {
				for b.Loop() {
					simulation := newSimulation(variant.conns)
					simulation.run(load.rate, load.first)
					count := len(simulation.latencies)
					b.ReportMetric(float64(count)/simulatedTime.Seconds(), "served/s")
					b.ReportMetric(float64(simulation.denied)/simulatedTime.Seconds(), "refused/s")
					b.ReportMetric(float64(simulation.latencies[count/2].Microseconds())/1000, "p50_ms")
					b.ReportMetric(float64(simulation.latencies[count*99/100].Microseconds())/1000, "p99_ms")
				}
			})
		}
	}
}

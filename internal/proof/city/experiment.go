package city

import (
	"cmp"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/plug/limit"
	"almondway.dev/almondway/internal/plug/spread"
)

const (
	// membershipTime is the time after the start in which the proxies learn of each other.
	membershipTime = 3 * time.Second
	// defaultDrainTime is the time after the last arrival in which operations may end.
	defaultDrainTime = 12 * time.Second
	// largeProxies is the number of proxies of a data centre with more cores, where there are teams.
	largeProxies = 2
	// maxLatency is the upper bound of the latency histograms.
	maxLatency = time.Minute
)

// Load describes the load of an experiment and the group that serves it.
type Load struct {
	Seed uint64
	// Rate is the number of operations a second.
	Rate float64
	// BurstRate replaces Rate from BurstFrom to BurstUntil, counted from the first arrival.
	BurstRate             float64
	BurstFrom, BurstUntil time.Duration
	// Swing is the share by which the rate of each data centre varies around its mean, with
	// the period SwingPeriod and at a different time in each data centre.
	Swing       float64
	SwingPeriod time.Duration
	// Span is the time during which operations arrive.
	Span time.Duration
	// DrainTime is the time after the last arrival in which operations may end, 12 s if it
	// is 0.
	DrainTime time.Duration
	Kinds     []LoadKind
	// ProxiesByZone is the number of proxies of each data centre. Every data centre gets the
	// same share of the operations.
	ProxiesByZone []int
	Slots         int // of an instance
	QueueLimit    int // statements that wait for a slot of an instance
	MaxConns      int // connections of an instance
	Handshake     time.Duration
	// ApplyDelay is the delay of the replicas from LagFrom to LagUntil, counted from the
	// first arrival.
	ApplyDelay        time.Duration
	LagFrom, LagUntil time.Duration
	// All proxies are killed RestartAt after the first arrival and start again after
	// RestartSpan. A RestartSpan of 0 kills none.
	RestartAt, RestartSpan time.Duration
	// LingerSpan is how long the instances hold the connections of the killed proxies, as
	// after a loss of power.
	LingerSpan time.Duration
	// The results count the operations that arrive from CountFrom to CountUntil after the
	// first arrival; a CountUntil of 0 counts all.
	CountFrom, CountUntil time.Duration
	Fault                 Fault
	// Teams is the number of teams, or 0 if callers need no keys. The share of the n-th team is
	// proportional to n to the power of -TeamSkew.
	Teams    int
	TeamSkew float64
	// FloodTeam sends FloodRate more operations a second from FloodFrom to FloodUntil. The results
	// do not count its operations. A FloodTeam of 0 sends none.
	FloodTeam             int
	FloodRate             float64
	FloodFrom, FloodUntil time.Duration
	// All proxies are suspended FreezeAt after the first arrival for FreezeSpan.
	FreezeAt, FreezeSpan time.Duration
	// ConnHolders lets few proxies hold the connections of an instance for all others.
	ConnHolders bool
	// inject is called at the first arrival to schedule faults, unless it is nil.
	inject func(simulation *simulation)
	// Policy holds the parameters of the admission of each proxy.
	Policy limit.Policy
	// Choice holds the parameters of the choice of instances; the default if it is nil.
	Choice *spread.Policy
	// Groups is the number of groups, one if it is 0. With several, every zone has an instance
	// of each group, proxies poll each other, and the primaries are spread over the zones.
	Groups int
	// ZoneRates replaces Rate by the mean number of operations a second of each zone. The rate
	// varies by WaveShare around it with the period WavePeriod, at another time in each zone.
	ZoneRates  []float64
	WaveShare  float64
	WavePeriod time.Duration
	// InnerLatency and OuterLatency are the one-way latencies within and between zones where
	// there are several groups.
	InnerLatency, OuterLatency time.Duration
	// Slowdowns multiply the work at the instances, in their order; they are repeated.
	Slowdowns []float64
}

// KindResult is what the callers of one kind got.
type KindResult struct {
	Name     string
	Priority int // 0 is the highest
	Asked    int
	InTarget int
	Late     int
	Unserved int
	// Refusals is the number of refused attempts by result code.
	Refusals map[string]int
	// Latency holds the latencies of the served operations in microseconds.
	Latency *hdrhistogram.Histogram
}

// Result is the result of an experiment.
type Result struct {
	Kinds []*KindResult
	// Statements is the number of statements that the instances ran for callers.
	Statements int
	// Violations are the guarantees that were violated.
	Violations []string
	// Opened is the number of connections that the instances opened.
	Opened int
	// Reasons is the number of attempts that the proxies refused, by the reason that they
	// logged.
	Reasons map[string]int
	// SlotUse is the share of the time in which the slots of each instance were held.
	SlotUse []float64
	// Bound is the share of the operations that the slots could serve if the work of each
	// operation were known in advance, or a sum of such shares: the slots of the primary
	// alone if the replicas lag beyond every staleness, else those of the group.
	Bound float64
	// Evenness says how evenly the instances were loaded.
	Evenness Evenness
}

// Add adds another result of the same load. SlotUse and Bound become sums.
func (result *Result) Add(other Result) {
	if result.Kinds == nil {
		*result = other
		return
	}
	for index, kind := range other.Kinds {
		result.Kinds[index].add(kind)
	}
	for reason, count := range other.Reasons {
		result.Reasons[reason] += count
	}
	for index, use := range other.SlotUse {
		result.SlotUse[index] += use
	}
	result.Bound += other.Bound
	result.Opened += other.Opened
	result.Statements += other.Statements
	result.Violations = append(result.Violations, other.Violations...)
	result.Evenness.add(other.Evenness)
}

func (kindResult *KindResult) add(other *KindResult) {
	kindResult.Asked += other.Asked
	kindResult.InTarget += other.InTarget
	kindResult.Late += other.Late
	kindResult.Unserved += other.Unserved
	for code, count := range other.Refusals {
		kindResult.Refusals[code] += count
	}
	kindResult.Latency.Merge(other.Latency)
}

// InTarget returns the share of all operations that were served within their target.
func (result Result) InTarget() float64 {
	asked, inTarget := 0, 0
	for _, kind := range result.Kinds {
		asked += kind.Asked
		inTarget += kind.InTarget
	}
	return float64(inTarget) / float64(max(1, asked))
}

// Experiment plays a load and returns what the callers got. The result depends on the load
// and its seed only.
func Experiment(spec Load) Result {
	simulation := spec.newSimulation()
	load := &load{simulation: simulation, spec: spec, random: rand.New(rand.NewPCG(spec.Seed, 0))}
	for index := range spec.Kinds {
		load.results = append(load.results, &KindResult{
			Name:     spec.Kinds[index].Name,
			Priority: spec.Kinds[index].Priority,
			Refusals: make(map[string]int),
			Latency:  hdrhistogram.New(1, maxLatency.Microseconds(), 3),
		})
	}
	simulation.start()
	simulation.run(spec.membershipTime())
	load.until = simulation.now + spec.Span
	simulation.runAfter(spec.LagFrom, func() { simulation.setApplyDelay(spec.ApplyDelay) })
	simulation.runAfter(spec.LagUntil, func() { simulation.setApplyDelay(0) })
	load.scheduleFault()
	if spec.inject != nil {
		spec.inject(simulation)
	}
	if spec.FreezeSpan > 0 {
		simulation.runAfter(spec.FreezeAt, load.freezeProxies)
	}
	if spec.FloodTeam > 0 {
		simulation.runAfter(spec.FloodFrom, load.flood)
	}
	if spec.RestartSpan > 0 {
		simulation.runAfter(spec.RestartAt, load.killProxies)
	}
	for _, instance := range simulation.instances {
		instance.capacity.busy = 0
	}
	simulation.evenness = evenness{}
	simulation.sampleLoad(load.until)
	load.scheduleArrival()
	simulation.run(spec.Span)
	result := Result{Kinds: load.results, Bound: load.bound(spec.usableSlots(), spec.Span)}
	for _, instance := range simulation.instances {
		result.SlotUse = append(result.SlotUse, instance.capacity.busy.Seconds()/spec.Span.Seconds()/float64(instance.capacity.listedSlots()))
	}
	result.Evenness = simulation.evenness.result()
	result.Evenness.addReportAges(simulation)
	simulation.run(cmp.Or(spec.DrainTime, defaultDrainTime))
	result.Reasons = simulation.refusals
	for _, instance := range simulation.instances {
		result.Opened += instance.capacity.opened
		result.Statements += instance.capacity.statements
	}
	result.Violations = simulation.oracle.violations
	return result
}

// newSimulation returns the proxies and instances of the load.
func (spec Load) newSimulation() *simulation {
	simulation := newEmptySimulation(spec.Seed, spec.catalog(), nil)
	simulation.factories = spec.factories(simulation)
	simulation.connHolders, simulation.meshed = spec.ConnHolders, spec.Teams > 0
	for zone, count := range spec.ProxiesByZone {
		for index := range count {
			simulation.addProxy("proxy-"+strconv.Itoa(len(simulation.proxies)), zoneName(zone))
			if spec.Teams > 0 {
				added := simulation.proxies[len(simulation.proxies)-1]
				added.cores = 0.192
				if index < largeProxies {
					added.cores = 0.8
				}
				added.reset()
			}
		}
	}
	if spec.Groups > 1 {
		spec.addGroups(simulation)
	}
	for index, instance := range simulation.instances {
		instance.dataCenter = zoneName(index % len(spec.ProxiesByZone))
		instance.capacity = capacity{slots: spec.Slots, queueLimit: spec.QueueLimit, maxConns: spec.MaxConns, handshake: spec.Handshake}
	}
	return simulation
}

// usableSlots returns the number of slots that can serve the load.
func (spec Load) usableSlots() int {
	for _, kind := range spec.Kinds {
		if kind.Staleness > spec.ApplyDelay {
			return instanceCount * max(1, spec.Groups) * spec.Slots
		}
	}
	return spec.Slots
}

func zoneName(zone int) model.DataCenter {
	return model.DataCenter("zone-" + strconv.Itoa(zone))
}

func (simulation *simulation) setApplyDelay(delay time.Duration) {
	for _, instance := range simulation.instances {
		if instance != instance.primary() {
			instance.applyDelay = delay
		}
	}
}

// catalog returns the operator's configuration: one deployment for each kind.
func (spec Load) catalog() event.CatalogListed {
	var deployments []*model.Deployment
	var groups []model.Group
	for group := range max(1, spec.Groups) {
		groups = append(groups, newGroup(spec.groupName(group), spec.MaxConns))
		for index := range spec.Kinds {
			kind := &spec.Kinds[index]
			deployments = append(deployments, newDeployment(kind.Priority, spec.deploymentName(kind, group), model.KindSpec{
				Name:          kind.Name,
				Timeout:       kind.Timeout,
				TargetLatency: kind.Target,
				Staleness:     kind.Staleness,
				SeesOwnWrites: kind.SeesOwnWrites,
				Group:         spec.groupName(group),
			}))
		}
	}
	return event.NewCatalogListed(1, deployments, groups).WithTeams(newTeams(spec.Teams))
}

// factories returns the plug-ins of each proxy.
func (spec Load) factories(simulation *simulation) []kern.Factory {
	replaced := map[string]kern.Factory{
		"spread": func(context *kern.Context) kern.Plugin {
			choice := spread.DefaultPolicy()
			if spec.Choice != nil {
				choice = *spec.Choice
			}
			return spread.NewWithPolicy(context, choice)
		},
		"limit": func(context *kern.Context) kern.Plugin { return limit.NewWithPolicy(context, spec.Policy) },
	}
	if spec.Teams > 0 {
		replaced["fleet"] = func(context *kern.Context) kern.Plugin { return newMembers(context, simulation) }
	}
	return kern.Factories(kern.ProfileHosted, replaced)
}

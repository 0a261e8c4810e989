package city

import (
	"math"
	"strconv"
	"time"

	"almondway.dev/almondway/internal/core/model"
)

// meshedMembershipTime is the time after the start in which many proxies in several data
// centres learn of each other.
const meshedMembershipTime = 10 * time.Second

// membershipTime returns the time after the start in which the proxies learn of each other.
func (spec Load) membershipTime() time.Duration {
	if spec.Groups > 1 {
		return meshedMembershipTime
	}
	return membershipTime
}

func (spec Load) groupName(group int) model.GroupID {
	if spec.Groups <= 1 {
		return groupID
	}
	return model.GroupID("group-" + strconv.Itoa(group))
}

func (spec Load) deploymentName(kind *LoadKind, group int) string {
	if spec.Groups <= 1 {
		return kind.Name
	}
	return kind.Name + "-" + strconv.Itoa(group)
}

// addGroups replaces the group of a simulation by several, with an instance in each zone, and
// restarts the proxies so that they poll each other.
func (spec Load) addGroups(simulation *simulation) {
	simulation.instances = nil
	for group := range spec.Groups {
		var members []*instance
		for zone := range instanceCount {
			added := &instance{
				simulation:      simulation,
				id:              model.InstanceID("i-" + strconv.Itoa(group) + "-" + strconv.Itoa(zone)),
				group:           spec.groupName(group),
				up:              true,
				unreachableFrom: make(map[*proxy]bool),
			}
			if len(spec.Slowdowns) > 0 {
				added.slowdown = spec.Slowdowns[len(simulation.instances)%len(spec.Slowdowns)]
			}
			members = append(members, added)
			simulation.instances = append(simulation.instances, added)
		}
		for _, member := range members {
			member.fixedPrimary = members[group%instanceCount]
		}
	}
	simulation.latency = func(from, to model.DataCenter) time.Duration {
		if from == to {
			return spec.InnerLatency
		}
		return spec.OuterLatency
	}
	simulation.meshed = true
	for _, proxy := range simulation.proxies {
		proxy.reset()
	}
}

// zoneRate returns the operations a second of a zone at a time after the first arrival.
func (spec Load) zoneRate(zone int, passed time.Duration) float64 {
	if spec.WavePeriod == 0 {
		return spec.ZoneRates[zone]
	}
	phase := passed.Seconds()/spec.WavePeriod.Seconds() + float64(zone)/float64(len(spec.ZoneRates))
	return spec.ZoneRates[zone] * (1 + spec.WaveShare*math.Sin(2*math.Pi*phase))
}

func (spec Load) totalRate(passed time.Duration) float64 {
	total := 0.0
	for zone := range spec.ZoneRates {
		total += spec.zoneRate(zone, passed)
	}
	return total
}

// drawZone returns the zone of a new operation.
func (load *load) drawZone() int {
	if len(load.spec.ZoneRates) == 0 {
		return load.random.IntN(len(load.spec.ProxiesByZone))
	}
	passed := load.simulation.now - (load.until - load.spec.Span)
	draw := load.random.Float64() * load.spec.totalRate(passed)
	for zone := range load.spec.ZoneRates {
		if draw -= load.spec.zoneRate(zone, passed); draw < 0 {
			return zone
		}
	}
	return len(load.spec.ZoneRates) - 1
}

// Evenness says how evenly the instances of the groups were loaded.
type Evenness struct {
	// Local and Remote count the statements that were sent to instances of the own and of
	// other zones.
	Local, Remote int
	// Rejected counts the reads that an instance refused because its queue was full, and
	// RejectedWhileFree those for which another instance of the group had a free slot.
	Rejected, RejectedWhileFree int
	// Reads counts the reads that an instance took, and Misplaced those that had to wait for a
	// slot there while another instance of the group had a free one.
	Reads, Misplaced int
	// ConnsRefused counts the connections that a full instance refused.
	ConnsRefused int
	// Windows counts the windows of 100 ms of all groups, and OverrunWindows those in which an
	// instance had a queue while another one of the group had a free slot.
	Windows, OverrunWindows int
	// GapSum is the sum over the windows of the busy slots of the busiest instance of the group
	// less those of the least busy one.
	GapSum float64
	// ReportAges is the sum of the mean ages of the load reports that the proxies used last for
	// each group, and Reported their number.
	ReportAges time.Duration
	Reported   int
}

func (evenness *evenness) result() Evenness {
	return Evenness{
		Local: evenness.local, Remote: evenness.remote,
		Rejected: evenness.rejected, RejectedWhileFree: evenness.rejectedWhileFree,
		Reads: evenness.reads, Misplaced: evenness.misplaced,
		ConnsRefused: evenness.connRefused,
		Windows:      evenness.windows, OverrunWindows: evenness.overrunWindows, GapSum: float64(evenness.gapSamples) / samplesPerWindow,
	}
}

func (result *Evenness) add(other Evenness) {
	result.Local += other.Local
	result.Remote += other.Remote
	result.Rejected += other.Rejected
	result.RejectedWhileFree += other.RejectedWhileFree
	result.Reads += other.Reads
	result.Misplaced += other.Misplaced
	result.ConnsRefused += other.ConnsRefused
	result.Windows += other.Windows
	result.OverrunWindows += other.OverrunWindows
	result.GapSum += other.GapSum
	result.ReportAges += other.ReportAges
	result.Reported += other.Reported
}

// addReportAges adds the ages of the load reports that the proxies have used.
func (result *Evenness) addReportAges(simulation *simulation) {
	for _, proxy := range simulation.proxies {
		for _, group := range proxy.kernel.State().Groups() {
			if view := group.LoadView(); view.Age > 0 {
				result.ReportAges += view.Age
				result.Reported++
			}
		}
	}
}

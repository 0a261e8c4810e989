package spread

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/state"
	"almondway.dev/almondway/internal/core/tune"
	"almondway.dev/almondway/internal/plug/limit"
)

const (
	testGroup  = model.GroupID("group")
	testBorn   = 7
	testSlots  = 6
	numProxies = 36
)

// manySettings returns settings with which the proxies of the tests are many.
func manySettings() tune.Spec {
	spec := tune.Default()
	spec.EvenLoadProxies = numProxies / testSlots
	return spec
}

// bench is a proxy with the plug-in, and the state that it reads.
type bench struct {
	*Spread
	kernel *kern.Kernel
	now    time.Duration
}

func proxyView(index int) model.ProxyView {
	return model.NewProxyView(model.ProxyID("proxy-"+strconv.Itoa(index)), "", model.DataCenter("zone-"+strconv.Itoa(index%3)), 0, false, 0)
}

// newBench returns one of 36 proxies in three data centres before a group with an instance in
// each; i-0 is the primary.
func newBench(index int, spec tune.Spec) *bench {
	added := &bench{}
	added.kernel = kern.NewWithFactories(proxyView(index), tune.New(spec), time.Unix(0, 0), uint64(index), limit.New, func(context *kern.Context) kern.Plugin {
		added.Spread = New(context).(*Spread)
		return added.Spread
	})
	shared := added.kernel.State()
	shared.PutGroup(model.NewGroup(testGroup, nil).WithReplication(model.NewPrimaryAcknowledged(1)))
	for zone := range 3 {
		added.list(zone, testBorn)
	}
	shared.Group(testGroup).SetPrimary("i-0")
	var proxies []model.ProxyView
	for proxy := range numProxies {
		proxies = append(proxies, proxyView(proxy))
	}
	shared.SetProxies(proxies)
	added.advance(time.Second)
	return added
}

func instanceID(zone int) model.InstanceID { return model.InstanceID("i-" + strconv.Itoa(zone)) }

// list lists the instance of a data centre.
func (bench *bench) list(zone int, born int64) {
	instance := model.NewInstance(instanceID(zone), "10.0.0.1:1", model.DataCenter("zone-"+strconv.Itoa(zone))).WithCapacity(testSlots, 0)
	bench.kernel.State().PutMember(model.NewListing(model.ListingSpec{Group: testGroup, Instance: instance, Born: born}))
}

func (bench *bench) advance(span time.Duration) {
	bench.now += span
	bench.kernel.Tick(bench.now)
}

func (bench *bench) group() *state.Group { return bench.kernel.State().Group(testGroup) }

// shares returns which part of many choices each instance gets.
func (bench *bench) shares() map[model.InstanceID]float64 {
	const choices = 3000
	shares := make(map[model.InstanceID]float64)
	for range choices {
		chosen, _ := bench.Choose(bench.group(), bench.group().Members())
		shares[chosen] += 1.0 / choices
	}
	return shares
}

// loads returns a report on the three instances, as stretches of an offered load of two slots.
func loads(sequence uint64, age time.Duration, stretches ...float64) model.LoadReport {
	const offered = 2.0
	var listed []model.InstanceLoad
	for zone, stretch := range stretches {
		listed = append(listed, model.NewInstanceLoad(model.InstanceLoadSpec{
			Instance: instanceID(zone), DataCenter: "zone-1", Born: testBorn, Busy: offered * stretch, Offered: offered, Age: age,
		}))
	}
	return model.NewLoadReport(sequence, listed)
}

// Guards all proxies taking the instance that looks emptiest in the same report: none of the
// instances gets more than two thirds of the choices of 36 proxies within 100 ms, though the
// report shows that one has no queue and the others take twice their work.
func TestProxiesDoNotTakeTheSameInstance(t *testing.T) {
	is := is.New(t)
	chosen := make(map[model.InstanceID]int)
	for index := range numProxies {
		one := newBench(index, manySettings())
		one.Receive(proxyView(1), 1, route.LoadOfAll, loads(1, 0, 2, 2, 1))
		for range 3 {
			instance, _ := one.Choose(one.group(), one.group().Members())
			chosen[instance]++
		}
	}
	for _, count := range chosen {
		is.True(3*count <= 2*3*numProxies)
	}
	is.Equal(len(chosen), 3)
}

// Guards the use of reports: a stretched instance gets less, and the primary takes reads when the
// replicas are overloaded.
func TestReportsMoveReads(t *testing.T) {
	tests := []struct {
		name      string
		stretches []float64
		least     model.InstanceID
		most      model.InstanceID
	}{
		{"own replica overloaded", []float64{1, 4, 1}, "i-1", "i-2"},
		{"replicas overloaded", []float64{1, 4, 4}, "i-2", "i-0"},
		{"all alike", []float64{1, 1, 1}, "i-0", "i-1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			one := newBench(1, manySettings())
			one.Receive(proxyView(2), 1, route.LoadOfAll, loads(1, 0, test.stretches...))
			shares := one.shares()
			for instance, share := range shares {
				is.True(instance == test.least || share > shares[test.least])
				is.True(instance == test.most || share < shares[test.most])
			}
		})
	}
}

// Guards reports that no longer say anything: those of a proxy that died or froze, those about an
// earlier process of an instance, and the lack of any from an old build. The choice is the one
// without reports, which prefers the own data centre but leaves out no instance.
func TestReportsFadeToUnknown(t *testing.T) {
	tests := []struct {
		name   string
		change func(one *bench)
	}{
		{"the reporting proxy is silent", func(one *bench) {
			one.Receive(proxyView(2), 1, route.LoadOfAll, loads(1, 0, 1, 8, 8))
			one.advance(maxAge + time.Second)
		}},
		{"the report arrives too late", func(one *bench) {
			one.Receive(proxyView(2), 1, route.LoadOfAll, loads(1, maxAge, 1, 8, 8))
		}},
		{"an old build reports nothing", func(one *bench) {
			one.Receive(proxyView(2), 1, route.LoadOfAll, model.LoadReport{})
		}},
		{"the instances have started again", func(one *bench) {
			one.Receive(proxyView(2), 1, route.LoadOfAll, loads(1, 0, 1, 8, 8))
			one.list(1, testBorn+1)
			one.list(2, testBorn+1)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			one := newBench(1, manySettings())
			test.change(one)
			shares := one.shares()
			is.True(shares["i-1"] > shares["i-2"] && shares["i-2"] > shares["i-0"])
			is.True(shares["i-1"] < 0.6 && shares["i-0"] > 0.1)
		})
	}
}

// Guards a span that would count twice, and a late report that would replace a newer one.
func TestNewestReportWins(t *testing.T) {
	is := is.New(t)
	one := newBench(1, manySettings())
	key := loadKey{dataCenter: "zone-2", instance: "i-2"}
	busy := func() float64 { return one.sum(route.LoadOfAll)[key].busy }
	one.Receive(proxyView(2), 1, route.LoadOfProxy, loads(2, 0, 1, 1, 3))
	is.Equal(busy(), 6.0)
	one.Receive(proxyView(2), 1, route.LoadOfProxy, loads(2, 0, 1, 1, 3))
	is.Equal(busy(), 6.0)
	one.Receive(proxyView(2), 1, route.LoadOfProxy, loads(1, 0, 1, 1, 1))
	is.Equal(busy(), 6.0)
	one.Receive(proxyView(2), 2, route.LoadOfProxy, loads(1, 0, 1, 1, 1)) // another process
	is.Equal(busy(), 2.0)
}

// Guards double counting: a proxy that reports for its followers no longer counts as a follower,
// and a reader does not pass on what another reader has sent.
func TestEachProxyCountsOnce(t *testing.T) {
	is := is.New(t)
	one := newBench(1, manySettings())
	key := loadKey{dataCenter: "zone-2", instance: "i-2"}
	one.Receive(proxyView(2), 1, route.LoadOfProxy, loads(1, 0, 1, 1, 1))
	is.Equal(one.sum(route.LoadOfReader)[key].busy, 2.0)
	one.Receive(proxyView(2), 1, route.LoadOfReader, loads(2, 0, 1, 1, 2))
	_, ok := one.sum(route.LoadOfReader)[key]
	is.True(!ok)
	is.Equal(one.sum(route.LoadOfAll)[key].busy, 4.0)
}

// Guards false reports: whatever a proxy states, an instance keeps some reads, and the values that
// are added up stay within a multiple of its slots.
func TestFalseReportIsBounded(t *testing.T) {
	is := is.New(t)
	one := newBench(1, manySettings())
	one.Receive(proxyView(2), 1, route.LoadOfProxy, loads(1, 0, 1, 1, 1e9))
	is.True(one.sum(route.LoadOfAll)[loadKey{dataCenter: "zone-2", instance: "i-2"}].busy <= maxReportedSlots*testSlots)
	one.Receive(proxyView(2), 1, route.LoadOfProxy, loads(2, 0, 0, 0, 0))
	is.True(one.shares()["i-0"] < 0.6)
}

// Guards a report about an instance that is not listed.
func TestUnlistedInstanceIsForgotten(t *testing.T) {
	is := is.New(t)
	one := newBench(1, manySettings())
	one.meter("i-2").send(one.now, time.Second)
	one.kernel.Handle(one.now, event.NewInstanceUnlisted("i-2"))
	_, ok := one.meters["i-2"]
	is.True(!ok)
	one.kernel.State().DropMember("i-2")
	one.Receive(proxyView(2), 1, route.LoadOfAll, loads(1, 0, 1, 1, 1))
	is.Equal(len(one.view()), 2)
}

// Guards what this proxy sees itself: an instance that refuses it or takes longer than expected
// for it gets less, whatever the reports say, as when it fails for one data centre only.
func TestOwnStatementsCount(t *testing.T) {
	is := is.New(t)
	one := newBench(1, manySettings())
	before := one.shares()["i-1"]
	one.Refused("i-1")
	is.True(one.shares()["i-1"] < before/2)
	one.advance(2 * refusalWindow)
	is.True(one.shares()["i-1"] > 0.9*before)
	for range 4 {
		one.meter("i-1").addExcess(one.now, 100*time.Millisecond)
	}
	is.True(one.shares()["i-1"] < before/2)
}

// Guards the bound of a message.
func TestReportIsBounded(t *testing.T) {
	is := is.New(t)
	one := newBench(1, manySettings())
	for index := range 3 * maxLoads {
		one.meters[model.InstanceID("x-"+strconv.Itoa(index))] = &meter{at: one.now, busy: float64(index)}
	}
	report := one.Report(route.LoadOfProxy)
	is.Equal(len(report.Loads()), maxLoads)
	is.Equal(report.Loads()[0].Busy(), float64(3*maxLoads-1))
}

// Guards the setting, and proxies that are too few to need reports.
func TestActive(t *testing.T) {
	is := is.New(t)
	one := newBench(1, manySettings())
	is.True(one.Active(one.group()))
	is.True(one.Report(route.LoadOfProxy).Sequence() > 0)
	one.kernel.State().SetProxies([]model.ProxyView{proxyView(0), proxyView(1)})
	is.True(!one.Active(one.group()))
	off := tune.Default()
	off.EvenLoadProxies = 0
	other := newBench(1, off)
	is.True(!other.Active(other.group()))
	is.Equal(other.Report(route.LoadOfProxy).Sequence(), uint64(0))
}

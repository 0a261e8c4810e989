package city

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/plug/spread"
)

// Guards the load of several groups: it repeats with its seed, and every operation has a result.
func TestUnevenLoadRepeats(t *testing.T) {
	is := is.New(t)
	short := unevenDemand(1)
	short.Span = 2 * time.Second
	first, second := Experiment(short), Experiment(short)
	is.Equal(first.Evenness, second.Evenness)
	is.True(first.Evenness.Reads > 0)
	for index, kind := range first.Kinds {
		is.Equal(kind.Asked, second.Kinds[index].Asked)
		is.Equal(kind.Asked, kind.InTarget+kind.Late+kind.Unserved)
	}
}

// Guards the choice of instances: with it, the instances of a group are loaded more evenly, fewer
// reads wait beside a free slot and fewer statements leave their data centre than with the lowest
// expected delay, and callers are served no worse.
func TestChoiceEvensLoad(t *testing.T) {
	is := is.New(t)
	play := func(policy spread.Policy) Result {
		var total Result
		for seed := range uint64(2) {
			load := unevenDemandOf69(seed + 1).WithChoice(policy)
			load.Span = 15 * time.Second
			total.Add(Experiment(load))
		}
		return total
	}
	byDelay := spread.DefaultPolicy()
	byDelay.Way = spread.ChooseByDelay
	byExcess := spread.DefaultPolicy()
	byExcess.MinProxies = 1
	even, before := play(byExcess), play(byDelay)
	t.Logf("even: %+v %.4f, before: %+v %.4f", even.Evenness, even.InTarget(), before.Evenness, before.InTarget())
	// Guards the way of the reports: all proxies of all data centres have some for each group,
	// and none before.
	t.Logf("mean age of the reports: %v", even.Evenness.ReportAges/time.Duration(max(1, even.Evenness.Reported)))
	is.Equal(even.Evenness.Reported, 2*69*8)
	is.Equal(before.Evenness.Reported, 0)
	is.True(even.Evenness.ReportAges < time.Duration(even.Evenness.Reported)*3500*time.Millisecond)
	is.Equal(even.Evenness.Windows, before.Evenness.Windows)
	is.True(10*even.Evenness.GapSum < 9*before.Evenness.GapSum)
	is.True(even.Evenness.Misplaced*before.Evenness.Reads < before.Evenness.Misplaced*even.Evenness.Reads)
	is.True(even.Evenness.Remote*10 < before.Evenness.Remote*95/10)
	is.True(even.InTarget() >= before.InTarget()-0.002)
}

// Guards proxies that are too few to need reports: they choose as before.
func TestFewProxiesChooseByDelay(t *testing.T) {
	is := is.New(t)
	few := func(way spread.Way) Result {
		policy := spread.DefaultPolicy()
		policy.Way, policy.MinProxies = way, 1
		load := RecallLoad(1).WithChoice(policy)
		load.Span, load.ProxiesByZone = 5*time.Second, []int{1, 1}
		return Experiment(load)
	}
	is.Equal(few(spread.ChooseByExcess).Evenness, few(spread.ChooseByDelay).Evenness)
}

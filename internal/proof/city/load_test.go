package city

import (
	"reflect"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/plug/limit"
)

const (
	loadSeeds = 4
	// powerSeeds is the number of seeds for a load whose results differ by several percent from
	// one seed to the next: four seeds are off by more than the margin of the test.
	powerSeeds = 40
)

// totalInTarget returns how many operations of a kind, or of all kinds for an empty name, are
// served within their target over all seeds.
func totalInTarget(kind string, load func(seed uint64) Load) int {
	total := 0
	for seed := range uint64(loadSeeds) {
		for _, result := range Experiment(load(seed + 1)).Kinds {
			if kind == "" || result.Name == kind {
				total += result.InTarget
			}
		}
	}
	return total
}

func TestExperimentRepeats(t *testing.T) {
	is := is.New(t)
	first, second := Experiment(OverloadedPrimary(3)), Experiment(OverloadedPrimary(3))
	for index, kind := range first.Kinds {
		is.True(reflect.DeepEqual(kind, second.Kinds[index]))
		is.Equal(kind.Asked, kind.InTarget+kind.Late+kind.Unserved)
	}
}

// Below capacity the callers of every kind are served within their targets.
func TestLoadBelowCapacity(t *testing.T) {
	for seed := range uint64(loadSeeds) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			is := is.New(t)
			for _, kind := range Experiment(RecallLoad(seed + 1)).Kinds {
				is.True(100*kind.InTarget >= 98*kind.Asked)
			}
		})
	}
}

// Under an overload of the primary, the rank of the waiting requests serves more callers in
// time than turns do, above all those with the highest priority. The other kinds do not
// starve.
func TestRankServesMore(t *testing.T) {
	is := is.New(t)
	inTurn := func(seed uint64) Load {
		return OverloadedPrimary(seed).WithPolicy(func(policy *limit.Policy) { policy.TurnInterval = 1 })
	}
	is.True(totalInTarget("", OverloadedPrimary) > totalInTarget("", inTurn))
	is.True(totalInTarget("filing", OverloadedPrimary) > 2*totalInTarget("filing", inTurn))
	for seed := range uint64(loadSeeds) {
		for _, kind := range Experiment(OverloadedPrimary(seed + 1)).Kinds {
			is.True(4*(kind.InTarget+kind.Late) >= kind.Asked)
		}
	}
}

// Under an overload, more callers are served in time if a request is denied unless its whole
// operation is expected to end well within the target.
func TestExpectedAnswerServesMore(t *testing.T) {
	is := is.New(t)
	firstStatementOnly := func(seed uint64) Load {
		return OverloadedPrimary(seed).WithPolicy(func(policy *limit.Policy) {
			policy.TargetShare, policy.MaxRunShare = 1, 0
		})
	}
	is.True(totalInTarget("", OverloadedPrimary) > totalInTarget("", firstStatementOnly))
}

// Under an overload that lasts, requests wait in the proxies, where those with a high
// priority overtake, and not in the queue of the instance.
func TestCongestionKeepsPriority(t *testing.T) {
	is := is.New(t)
	neverCongested := func(seed uint64) Load {
		return OverloadedPrimary(seed).WithPolicy(func(policy *limit.Policy) { policy.CongestionRatio = 100 })
	}
	is.True(totalInTarget("", OverloadedPrimary) > totalInTarget("", neverCongested))
	is.True(10*totalInTarget("filing", OverloadedPrimary) > 11*totalInTarget("filing", neverCongested))
}

// All proxies lose power at the same moment under load, and the instances hold their old
// connections for 3 s. Meanwhile the new connections suffice: nine tenths of the operations
// that arrive later than a second after the return are served in time.
func TestReturnOfPower(t *testing.T) {
	is := is.New(t)
	asked, inTarget := 0, 0
	for seed := range uint64(powerSeeds) {
		for _, kind := range Experiment(returnOfPower(seed + 1)).Kinds {
			asked += kind.Asked
			inTarget += kind.InTarget
			t.Logf("%s: %d of %d in target, %d late, %v", kind.Name, kind.InTarget, kind.Asked, kind.Late, kind.Refusals)
		}
	}
	is.True(10*inTarget >= 9*asked)
}

// Where more proxies than connections share a group, the proxies ask for marks only when a
// read needs one: a second of traffic costs no connections in the seconds after it.
func TestNoPingsWithoutReads(t *testing.T) {
	is := is.New(t)
	short, shorter := manyProxies(1), manyProxies(1)
	short.Span, shorter.Span = time.Second, time.Second
	short.DrainTime, shorter.DrainTime = 12*time.Second, 2*time.Second
	is.Equal(Experiment(short).Opened, Experiment(shorter).Opened)
}

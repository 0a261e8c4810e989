package city

import (
	"reflect"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/plug/limit"
)

// recallLoad is a load of three kinds on six proxies. The replicas serve three quarters of
// it as long as they keep up.
func recallLoad(seed uint64) Load {
	return Load{
		Seed: seed,
		Rate: 165,
		Span: 20 * time.Second,
		Kinds: []LoadKind{
			{
				Name: "filing", Share: 0.15, Writes: 0.2, Transactions: 0.25, Work: 8 * time.Millisecond, Priority: 1,
				Target: 200 * time.Millisecond, Deadline: 3 * time.Second, Timeout: time.Second, Retries: 2,
			},
			{
				Name: "lookup", Share: 0.15, Transactions: 0.1, Work: 40 * time.Millisecond, Priority: 2,
				Target: 600 * time.Millisecond, Deadline: 10 * time.Second, Timeout: 2 * time.Second, Retries: 2,
				Staleness: 1500 * time.Millisecond,
			},
			{
				Name: "sync", Share: 0.7, Writes: 0.12, Transactions: 0.12, Work: 24 * time.Millisecond, Priority: 2,
				Target: 400 * time.Millisecond, Deadline: 3 * time.Second, Timeout: time.Second, Retries: 2,
				Staleness: 2500 * time.Millisecond, SeesOwnWrites: true,
			},
		},
		ProxiesByZone: []int{2, 3, 1},
		Slots:         3,
		QueueLimit:    24,
		MaxConns:      21,
		Handshake:     12 * time.Millisecond,
		ApplyDelay:    60 * time.Millisecond,
		LagUntil:      20 * time.Second,
	}
}

// overloadedPrimary is recallLoad with replicas that lag beyond every staleness, so that the
// primary alone has to serve 1.6 times what it can.
func overloadedPrimary(seed uint64) Load {
	load := recallLoad(seed)
	load.ApplyDelay = 7 * time.Second
	return load
}

// withPolicy returns the load with another policy of the admission.
func (load Load) withPolicy(change func(policy *limit.Policy)) Load {
	policy := limit.DefaultPolicy()
	change(&policy)
	load.Factories = kern.Factories(kern.ProfileHosted, map[string]kern.Factory{
		"limit": func(context *kern.Context) kern.Plugin { return limit.NewWithPolicy(context, policy) },
	})
	return load
}

const loadSeeds = 4

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
	first, second := Experiment(overloadedPrimary(3)), Experiment(overloadedPrimary(3))
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
			for _, kind := range Experiment(recallLoad(seed + 1)).Kinds {
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
		return overloadedPrimary(seed).withPolicy(func(policy *limit.Policy) { policy.TurnInterval = 1 })
	}
	is.True(totalInTarget("", overloadedPrimary) > totalInTarget("", inTurn))
	is.True(totalInTarget("filing", overloadedPrimary) > 2*totalInTarget("filing", inTurn))
	for seed := range uint64(loadSeeds) {
		for _, kind := range Experiment(overloadedPrimary(seed + 1)).Kinds {
			is.True(4*(kind.InTarget+kind.Late) >= kind.Asked)
		}
	}
}

// Under an overload, more callers are served in time if a request is denied unless its whole
// operation is expected to end well within the target.
func TestExpectedAnswerServesMore(t *testing.T) {
	is := is.New(t)
	firstStatementOnly := func(seed uint64) Load {
		return overloadedPrimary(seed).withPolicy(func(policy *limit.Policy) {
			policy.TargetShare, policy.MaxRunShare = 1, 0
		})
	}
	is.True(totalInTarget("", overloadedPrimary) > totalInTarget("", firstStatementOnly))
}

// Under an overload that lasts, requests wait in the proxies, where those with a high
// priority overtake, and not in the queue of the instance.
func TestCongestionKeepsPriority(t *testing.T) {
	is := is.New(t)
	neverCongested := func(seed uint64) Load {
		return overloadedPrimary(seed).withPolicy(func(policy *limit.Policy) { policy.CongestionRatio = 100 })
	}
	is.True(totalInTarget("", overloadedPrimary) > totalInTarget("", neverCongested))
	is.True(10*totalInTarget("filing", overloadedPrimary) > 11*totalInTarget("filing", neverCongested))
}

// All proxies lose power at the same moment under load, and the instances hold their old
// connections for 3 s. Meanwhile the new connections suffice: nine tenths of the operations
// that arrive later than a second after the return are served in time.
func TestReturnOfPower(t *testing.T) {
	is := is.New(t)
	asked, inTarget := 0, 0
	for seed := range uint64(loadSeeds) {
		load := recallLoad(seed + 1)
		load.RestartAt, load.RestartSpan, load.LingerSpan = 5*time.Second, time.Second, 3*time.Second
		load.CountFrom, load.CountUntil = 7*time.Second, 9*time.Second
		for _, kind := range Experiment(load).Kinds {
			asked += kind.Asked
			inTarget += kind.InTarget
			t.Logf("%s: %d of %d in target, %d late, %v", kind.Name, kind.InTarget, kind.Asked, kind.Late, kind.Refusals)
		}
	}
	is.True(10*inTarget >= 9*asked)
}

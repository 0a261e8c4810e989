package city

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/plug/limit"
)

const faultSeeds = 3

// playAfterFault returns what the callers get that arrive after the recovery time of a fault, or
// at the same time without one if the fault is nil.
func playAfterFault(load func(seed uint64) Load, fault *Fault) Result {
	var total Result
	for seed := range uint64(faultSeeds) {
		spec := load(seed + 1).afterFault()
		if fault != nil {
			spec = load(seed + 1).withFault(*fault)
		}
		total.Add(Experiment(spec))
	}
	return total
}

// fewProxies is unevenLoad on six proxies.
func fewProxies(seed uint64) Load {
	load := unevenLoad(seed)
	load.ProxiesByZone = []int{2, 2, 2}
	return load
}

// Under an overload of many proxies, requests wait in the proxies, where those with a high
// priority overtake, and not in the queue of the instance.
func TestRestKeepsPriority(t *testing.T) {
	is := is.New(t)
	restless := func(seed uint64) Load {
		return manyProxiesOverloaded(seed).WithPolicy(func(policy *limit.Policy) { policy.LateShare = 1 << 30 })
	}
	is.True(10*totalInTarget("", manyProxiesOverloaded) > 11*totalInTarget("", restless))
	is.True(2*totalInTarget("intake", manyProxiesOverloaded) > 3*totalInTarget("intake", restless))
}

// At twice the rate, an overload must not outlast the fault that caused it. From 2 to 6 s after the
// end, the rest of the slots leaves at most three quarters of those without their answer in time
// that there are without it.
func TestOverloadEndsAfterFault(t *testing.T) {
	const counted = 4 * time.Second
	missed := func(fault Fault, change func(policy *limit.Policy)) int {
		count := 0
		for seed := range uint64(faultSeeds) {
			load := unevenLoad(seed + 1)
			load.Rate *= 2
			load.Swing, load.SwingPeriod = 0.55, 15*time.Second
			for index := range load.Kinds {
				load.Kinds[index].Retries = 12
			}
			load.Span = faultUntil + recoveryTime + counted
			for _, kind := range Experiment(load.withFault(fault).WithPolicy(change)).Kinds {
				count += kind.Asked - kind.InTarget
			}
		}
		return count
	}
	for _, named := range Faults() {
		if named.Name != "full" && named.Name != "slow" {
			continue
		}
		t.Run(named.Name, func(t *testing.T) {
			is := is.New(t)
			rests := missed(named.Fault, func(*limit.Policy) {})
			restless := missed(named.Fault, func(policy *limit.Policy) { policy.LateShare = 1 << 30 })
			t.Logf("%d not in time, %d without the rest", rests, restless)
			is.True(4*rests <= 3*restless)
		})
	}
}

// While a replica hangs on a share of its statements, the reads that it does not answer are asked
// elsewhere, and nearly none fails.
func TestReadsLeaveHangingReplica(t *testing.T) {
	loads := []struct {
		name string
		load func(seed uint64) Load
	}{{"36 proxies", unevenLoad}, {"6 proxies", fewProxies}}
	for _, load := range loads {
		t.Run(load.name, func(t *testing.T) {
			is := is.New(t)
			asked, unserved := 0, 0
			for seed := range uint64(faultSeeds) {
				spec := load.load(seed + 1).withFault(Fault{HangShare: 0.3, OnReplica: true})
				spec.CountFrom, spec.CountUntil = faultFrom, faultUntil
				for _, kind := range Experiment(spec).Kinds {
					asked += kind.Asked
					unserved += kind.Unserved
				}
			}
			t.Logf("%d of %d unserved", unserved, asked)
			is.True(300*unserved <= asked)
		})
	}
}

// Within 2 s after the end of a fault, a group is back at its service: of each kind, hardly fewer
// callers are served within their target than without the fault.
func TestServiceAfterFault(t *testing.T) {
	loads := []struct {
		name string
		load func(seed uint64) Load
	}{{"36 proxies", unevenLoad}, {"6 proxies", fewProxies}}
	for _, load := range loads {
		before := playAfterFault(load.load, nil)
		for _, named := range Faults() {
			t.Run(load.name+" "+named.Name, func(t *testing.T) {
				is := is.New(t)
				after := playAfterFault(load.load, &named.Fault)
				for index, kind := range after.Kinds {
					expected := before.Kinds[index].InTarget
					t.Logf("%s: %d of %d in target, %d without the fault, %v", kind.Name, kind.InTarget, kind.Asked, expected, kind.Refusals)
					is.True(100*kind.InTarget >= 98*expected)
				}
			})
		}
	}
}

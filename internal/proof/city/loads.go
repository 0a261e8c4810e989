package city

import (
	"time"

	"almondway.dev/almondway/internal/plug/limit"
)

// NamedLoad is a load that an experiment plays.
type NamedLoad struct {
	Name  string
	About string
	Load  func(seed uint64) Load
}

// Loads returns the loads of the experiments.
func Loads() []NamedLoad {
	return []NamedLoad{
		{"calm", "the replicas keep up", RecallLoad},
		{"overloaded_primary", "both replicas lag, the primary gets 1.6 times what it can do", OverloadedPrimary},
		{"busy_primary", "both replicas lag, the primary gets what it can do", busyPrimary},
		{"overloaded_group", "the replicas keep up, the group gets 1.3 times what it can do", overloadedGroup},
		{"burst", "2.4 times the rate for 3 s", burst},
		{"many_proxies", "64 proxies share 46 connections of an instance", manyProxies},
		{"many_proxies_overloaded", "36 proxies, the group gets what it can do", manyProxiesOverloaded},
		{"many_teams", "69 proxies share 58 connections of an instance, each of which belongs to one of 77 teams", ManyTeams},
		{"many_teams_flood", "many_teams, and one team sends 60 more operations a second for 6 s", manyTeamsFlood},
		{"many_teams_silence", "many_teams, and all proxies are suspended for 4 s", manyTeamsSilence},
		{"uneven_36", "8 groups, three zones with crests at different times, 36 proxies", unevenDemand},
		{"uneven_69", "the same with 69 proxies", unevenDemandOf69},
		{"uneven_195", "the same with 195 proxies", unevenDemandOf195},
		{"return_of_power", "all proxies lose power for 1 s, their old connections linger for 3 s", returnOfPower},
	}
}

// RecallLoad is a load of three kinds on six proxies. The replicas serve three quarters of
// it as long as they keep up.
func RecallLoad(seed uint64) Load {
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
		Policy:        limit.DefaultPolicy(),
	}
}

// OverloadedPrimary is RecallLoad with replicas that lag beyond every staleness, so that the
// primary alone has to serve 1.6 times what it can.
func OverloadedPrimary(seed uint64) Load {
	load := RecallLoad(seed)
	load.ApplyDelay = 7 * time.Second
	return load
}

func busyPrimary(seed uint64) Load {
	load := OverloadedPrimary(seed)
	load.Rate = 100
	return load
}

func overloadedGroup(seed uint64) Load {
	load := RecallLoad(seed)
	load.Rate = 400
	return load
}

func burst(seed uint64) Load {
	load := RecallLoad(seed)
	load.BurstRate, load.BurstFrom, load.BurstUntil = 400, 5*time.Second, 8*time.Second
	return load
}

func manyProxies(seed uint64) Load {
	load := RecallLoad(seed)
	load.ProxiesByZone = []int{22, 21, 21}
	load.Slots, load.MaxConns = 5, 46
	return load
}

// ManyTeams is a load of many teams on many proxies that share few connections.
func ManyTeams(seed uint64) Load {
	return Load{
		Seed: seed,
		Rate: 170,
		Span: 20 * time.Second,
		Kinds: []LoadKind{
			{
				Name: "renew", Share: 0.13, Writes: 0.35, Transactions: 0.25, Work: 8 * time.Millisecond, Priority: 0,
				Target: 250 * time.Millisecond, Deadline: 1200 * time.Millisecond, Timeout: time.Second, Retries: 2,
			},
			{
				Name: "view", Share: 0.24, Transactions: 0.1, Work: 40 * time.Millisecond, Priority: 2,
				Target: 1200 * time.Millisecond, Deadline: 4 * time.Second, Timeout: 2 * time.Second, Retries: 2,
				Staleness: 1500 * time.Millisecond,
			},
			{
				Name: "track", Share: 0.63, Writes: 0.12, Transactions: 0.12, Work: 24 * time.Millisecond, Priority: 1,
				Target: 500 * time.Millisecond, Deadline: 1200 * time.Millisecond, Timeout: time.Second, Retries: 2,
				Staleness: 2500 * time.Millisecond, SeesOwnWrites: true,
			},
		},
		ProxiesByZone: []int{25, 21, 23},
		Slots:         5,
		QueueLimit:    40,
		MaxConns:      58,
		Handshake:     12 * time.Millisecond,
		ApplyDelay:    12 * time.Millisecond,
		LagUntil:      20 * time.Second,
		Teams:         77,
		TeamSkew:      1.2,
		Policy:        limit.DefaultPolicy(),
	}
}

func manyTeamsFlood(seed uint64) Load {
	load := ManyTeams(seed)
	load.FloodTeam, load.FloodRate, load.FloodFrom, load.FloodUntil = 5, 60, 6*time.Second, 12*time.Second
	load.CountFrom, load.CountUntil = 6*time.Second, 12*time.Second
	return load
}

func manyTeamsSilence(seed uint64) Load {
	load := ManyTeams(seed)
	load.FreezeAt, load.FreezeSpan = 6*time.Second, 4*time.Second
	load.CountFrom, load.CountUntil = 9*time.Second, 14*time.Second
	return load
}

func returnOfPower(seed uint64) Load {
	load := RecallLoad(seed)
	load.RestartAt, load.RestartSpan, load.LingerSpan = 5*time.Second, time.Second, 3*time.Second
	load.CountFrom, load.CountUntil = 7*time.Second, 9*time.Second
	return load
}

// Mechanism is a mechanism of the admission that an experiment can leave out.
type Mechanism struct {
	Name     string
	LeaveOut func(policy *limit.Policy)
}

// Mechanisms returns the mechanisms that an experiment can leave out.
func Mechanisms() []Mechanism {
	return []Mechanism{
		{"rank", func(policy *limit.Policy) { policy.TurnInterval = 1 }},
		{"turns", func(policy *limit.Policy) { policy.TurnInterval = 1 << 30 }},
		{"target_reserve", func(policy *limit.Policy) { policy.TargetShare = 1 }},
		{"expected_run", func(policy *limit.Policy) { policy.MaxRunShare = 0 }},
		{"denial_by_target", func(policy *limit.Policy) { policy.BurstTolerance = time.Hour }},
		{"burst_tolerance", func(policy *limit.Policy) { policy.BurstTolerance = 0 }},
		{"congestion", func(policy *limit.Policy) { policy.CongestionRatio = 1 << 30 }},
		{"rest", func(policy *limit.Policy) { policy.LateShare = 1 << 30 }},
		{"slow_base", func(policy *limit.Policy) { policy.BaseRiseSmoothing = 32 }},
		{"adaptive_limit", func(policy *limit.Policy) { policy.StatementsPerSlot, policy.MinUpperBound = 1, 1 }},
	}
}

// WithPolicy returns the load with a changed policy of the admission.
func (load Load) WithPolicy(change func(policy *limit.Policy)) Load {
	change(&load.Policy)
	return load
}

package city

import (
	"time"

	"almondway.dev/almondway/internal/plug/limit"
)

const (
	faultFrom  = 3900 * time.Millisecond
	faultUntil = 9 * time.Second
	// recoveryTime is the time after the end of a fault within which the group has to be back
	// at its previous service.
	recoveryTime = 2 * time.Second
)

// NamedFault is a fault of an experiment.
type NamedFault struct {
	Name  string
	Fault Fault
}

// Faults returns the faults of the experiments.
func Faults() []NamedFault {
	return []NamedFault{
		{"hang", Fault{HangShare: 0.3}},
		{"slow", Fault{SlowFactor: 12}},
		{"errors", Fault{ErrorShare: 0.5}},
		{"full", Fault{Full: true}},
		{"lag", Fault{Lag: 8 * time.Second}},
	}
}

// unevenLoad is a load of three kinds on 36 proxies that uses two fifths of a group.
func unevenLoad(seed uint64) Load {
	return Load{
		Seed: seed,
		Rate: 215,
		Span: 20 * time.Second,
		Kinds: []LoadKind{
			{
				Name: "intake", Share: 0.15, Writes: 0.2, Transactions: 0.25, Work: 9300 * time.Microsecond, Priority: 1,
				Target: 200 * time.Millisecond, Deadline: 2 * time.Second, Timeout: time.Second, Retries: 2,
			},
			{
				Name: "preview", Share: 0.15, Transactions: 0.1, Work: 47 * time.Millisecond, Priority: 2,
				Target: 800 * time.Millisecond, Deadline: 8 * time.Second, Timeout: 3 * time.Second, Retries: 2,
				Staleness: 1500 * time.Millisecond,
			},
			{
				Name: "press", Share: 0.7, Writes: 0.12, Transactions: 0.12, Work: 28 * time.Millisecond, Priority: 2,
				Target: 400 * time.Millisecond, Deadline: 2 * time.Second, Timeout: time.Second, Retries: 2,
				Staleness: 2500 * time.Millisecond, SeesOwnWrites: true,
			},
		},
		ProxiesByZone: []int{12, 12, 12},
		Slots:         6,
		QueueLimit:    48,
		MaxConns:      58,
		Handshake:     12 * time.Millisecond,
		ApplyDelay:    50 * time.Millisecond,
		LagUntil:      20 * time.Second,
		Policy:        limit.DefaultPolicy(),
	}
}

// manyProxiesOverloaded is unevenLoad at more than twice its rate.
func manyProxiesOverloaded(seed uint64) Load {
	load := unevenLoad(seed)
	load.Rate *= 2.5
	return load
}

// withFault returns the load with a fault. Its results count the operations that arrive after
// the recovery time.
func (load Load) withFault(fault Fault) Load {
	load.Fault = fault
	load.Fault.From, load.Fault.Until = faultFrom, faultUntil
	return load.afterFault()
}

// afterFault returns the load, with results that count the operations that would arrive after
// the recovery time of a fault.
func (load Load) afterFault() Load {
	load.CountFrom, load.CountUntil = faultUntil+recoveryTime, load.Span
	return load
}

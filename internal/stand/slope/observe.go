package slope

import "time"

// observation is what a proxy used in a window, per second but for resident.
type observation struct {
	cpuCores      float64 // cores
	trafficBytes  float64 // received and sent
	residentBytes float64 // bytes at the end
	counters      map[string]float64
}

// observe measures the first proxy while it is busy with work, which may be nil.
func (system *system) observe(settle, window time.Duration, names []string, work func(until time.Time)) (observation, error) {
	time.Sleep(settle)
	first := system.proxies[0]
	countersBefore, err := first.readCounters(names)
	if err != nil {
		return observation{}, err
	}
	before, err := first.proc.Usage()
	if err != nil {
		return observation{}, err
	}
	if work != nil {
		work(before.Time().Add(window))
	}
	time.Sleep(time.Until(before.Time().Add(window)))
	after, err := first.proc.Usage()
	if err != nil {
		return observation{}, err
	}
	countersAfter, err := first.readCounters(names)
	if err != nil {
		return observation{}, err
	}
	seconds := after.Time().Sub(before.Time()).Seconds()
	seen := observation{
		cpuCores:      (after.CPUTime() - before.CPUTime()).Seconds() / seconds,
		trafficBytes:  (after.TransferredBytes() - before.TransferredBytes()) / seconds,
		residentBytes: after.ResidentBytes(),
		counters:      make(map[string]float64),
	}
	for _, name := range names {
		seen.counters[name] = (countersAfter[name] - countersBefore[name]) / seconds
	}
	return seen, nil
}

func (proxy *proxy) readCounters(names []string) (map[string]float64, error) {
	values := make(map[string]float64, len(names))
	for _, name := range names {
		value, err := proxy.readCounter(name)
		if err != nil {
			return nil, err
		}
		values[name] = value
	}
	return values, nil
}

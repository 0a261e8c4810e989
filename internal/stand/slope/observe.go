package slope

import "time"

// observation is the resource usage of a proxy in a window. All values are rates per second
// except residentBytes.
type observation struct {
	cpuCores      float64 // CPU seconds per second
	trafficBytes  float64 // received plus sent
	residentBytes float64 // at the end of the window
	counters      map[string]float64
}

// observe measures the first proxy for a window after the settle time. It runs work during the
// window unless work is nil.
func (system *system) observe(settle, window time.Duration, counterNames []string, work func(until time.Time)) (observation, error) {
	time.Sleep(settle)
	first := system.proxies[0]
	countersBefore, err := first.readCounters(counterNames)
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
	countersAfter, err := first.readCounters(counterNames)
	if err != nil {
		return observation{}, err
	}
	seconds := after.Time().Sub(before.Time()).Seconds()
	observed := observation{
		cpuCores:      (after.CPUTime() - before.CPUTime()).Seconds() / seconds,
		trafficBytes:  (after.TransferredBytes() - before.TransferredBytes()) / seconds,
		residentBytes: after.ResidentBytes(),
		counters:      make(map[string]float64),
	}
	for _, name := range counterNames {
		observed.counters[name] = (countersAfter[name] - countersBefore[name]) / seconds
	}
	return observed, nil
}

func (proxy *proxy) readCounters(counterNames []string) (map[string]float64, error) {
	values := make(map[string]float64, len(counterNames))
	for _, name := range counterNames {
		value, err := proxy.readCounter(name)
		if err != nil {
			return nil, err
		}
		values[name] = value
	}
	return values, nil
}

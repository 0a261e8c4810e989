package city

import (
	"cmp"
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/model"
)

const (
	sampleInterval = 10 * time.Millisecond
	// samplesPerWindow samples make a window of 100 ms.
	samplesPerWindow = 10
)

// evenness measures how evenly the instances of the groups are loaded.
type evenness struct {
	local, remote     int // statements sent to instances of the own and of other data centres
	rejected          int // reads that an instance without a free place in its queue refused
	rejectedWhileFree int // of these, the ones for which another instance of the group had a free slot
	connRefused       int
	reads             int // that arrived at an instance
	misplaced         int // of these, the ones that had to wait while another instance of the group had a free slot
	windows           int
	gapSamples        int // of all windows: samples of the busiest less the least busy instance of a group
	overrunWindows    int // windows in which an instance had a queue while another one had a free slot
	samples           map[model.InstanceID]*sampled
	sampleCount       int
}

// sampled sums the samples of an instance in the current window.
type sampled struct {
	running int
	waiting int
}

// countSent counts a statement by the data centres of its proxy and its instance.
func (evenness *evenness) countSent(proxy *proxy, instance *instance) {
	if proxy.dataCenter == instance.dataCenter {
		evenness.local++
		return
	}
	evenness.remote++
}

// countArrived counts a read that an instance has taken.
func (evenness *evenness) countArrived(taking *instance, work *model.Work) {
	if !startsRead(work) {
		return
	}
	evenness.reads++
	if taking.capacity.slots > 0 && taking.capacity.running >= taking.capacity.slots && taking.simulation.hasFreeSlot(taking.group) {
		evenness.misplaced++
	}
}

// startsRead reports whether any instance of the group could have run the work.
func startsRead(work *model.Work) bool {
	return !work.Write() && (work.Step() == model.StepSingle || work.Step() == model.StepFirst)
}

// countRejected counts a read that an instance refused.
func (evenness *evenness) countRejected(rejecting *instance, work *model.Work) {
	if !startsRead(work) {
		return
	}
	evenness.rejected++
	if rejecting.simulation.hasFreeSlot(rejecting.group) {
		evenness.rejectedWhileFree++
	}
}

// hasFreeSlot reports whether an instance of a group has a free slot.
func (simulation *simulation) hasFreeSlot(group model.GroupID) bool {
	return slices.ContainsFunc(simulation.instances, func(instance *instance) bool {
		return instance.group == group && instance.up && instance.capacity.running < instance.capacity.listedSlots()
	})
}

// sampleLoad samples the busy slots of all instances until a time.
func (simulation *simulation) sampleLoad(until time.Duration) {
	if simulation.now >= until {
		return
	}
	evenness := &simulation.evenness
	if evenness.samples == nil {
		evenness.samples = make(map[model.InstanceID]*sampled)
		for _, instance := range simulation.instances {
			evenness.samples[instance.id] = &sampled{}
		}
	}
	for _, instance := range simulation.instances {
		evenness.samples[instance.id].running += instance.capacity.running
		evenness.samples[instance.id].waiting += len(instance.capacity.waiting)
	}
	if evenness.sampleCount++; evenness.sampleCount%samplesPerWindow == 0 {
		simulation.endWindow()
	}
	simulation.runAfter(sampleInterval, func() { simulation.sampleLoad(until) })
}

// endWindow adds the window of each group to the sums.
func (simulation *simulation) endWindow() {
	evenness := &simulation.evenness
	byGroup := make(map[model.GroupID][]*instance)
	for _, instance := range simulation.instances {
		byGroup[instance.group] = append(byGroup[instance.group], instance)
	}
	for _, members := range byGroup {
		byLoad := func(left, right *instance) int {
			return cmp.Compare(evenness.samples[left.id].running, evenness.samples[right.id].running)
		}
		highest, lowest := slices.MaxFunc(members, byLoad), slices.MinFunc(members, byLoad)
		evenness.windows++
		evenness.gapSamples += evenness.samples[highest.id].running - evenness.samples[lowest.id].running
		// One slot free in the mean of the window.
		free := evenness.samples[lowest.id].running <= (lowest.capacity.listedSlots()-1)*samplesPerWindow
		if evenness.samples[highest.id].waiting >= samplesPerWindow && free {
			evenness.overrunWindows++
		}
	}
	for _, sampled := range evenness.samples {
		*sampled = struct{ running, waiting int }{}
	}
}

// delay returns the one-way latency between two data centres.
func (simulation *simulation) delay(from, to model.DataCenter) time.Duration {
	if simulation.latency == nil {
		return networkDelay
	}
	return simulation.latency(from, to)
}

// delayTo returns the one-way latency to an instance.
func (proxy *proxy) delayTo(instance *instance) time.Duration {
	return proxy.simulation.delay(proxy.dataCenter, instance.dataCenter)
}

package spread

import (
	"cmp"
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

const (
	// freshAge is the age up to which a report counts in full: a report passes from a follower
	// over two readers to a follower of another data centre in up to 3 s.
	freshAge = 3500 * time.Millisecond
	// maxAge is the age from which a report counts no more.
	maxAge = 7 * time.Second
	// maxLoads limits the loads in a report; the busiest come first. A load takes about 50
	// bytes, so that a report stays below 13 KB.
	maxLoads = 256
	// maxReportedSlots limits what a report may say of an instance, as a multiple of its slots,
	// so that a false report has a bounded weight.
	maxReportedSlots = 4
	// minReportedLoad is the load below which an instance is not listed.
	minReportedLoad = 0.002
	// maxReports limits the number of proxies whose reports are kept.
	maxReports = 4096
)

// loadKey identifies a load by the instance and the data centre of the proxies.
type loadKey struct {
	dataCenter model.DataCenter
	instance   model.InstanceID
}

// load is what is known of a loadKey. It adds up over proxies.
type load struct {
	born                  int64
	busy, offered, refuse float64
	at                    time.Duration // when it was observed; the mean by busy
}

// add adds what other proxies observed.
func (sum *load) add(other load) {
	total := sum.busy + other.busy
	if total > 0 {
		sum.at = time.Duration((float64(sum.at)*sum.busy + float64(other.at)*other.busy) / total)
	} else {
		sum.at = max(sum.at, other.at)
	}
	sum.born = max(sum.born, other.born)
	sum.busy = total
	sum.offered += other.offered
	sum.refuse += other.refuse
}

// report is the newest report of a proxy.
type report struct {
	from       model.ProxyView
	process    uint64
	scope      route.LoadScope
	sequence   uint64
	receivedAt time.Duration
	loads      map[loadKey]load
}

// confidence returns how much something that was observed at a time counts, from 1 for a fresh
// observation to 0.
func confidence(now, at time.Duration) float64 {
	age := now - at
	switch {
	case age <= freshAge:
		return 1
	case age >= maxAge:
		return 0
	default:
		return float64(maxAge-age) / float64(maxAge-freshAge)
	}
}

// Receive implements route.Spread. A report that is not newer than the last one of the same
// process is ignored.
func (spread *Spread) Receive(from model.ProxyView, process uint64, scope route.LoadScope, received model.LoadReport) {
	now := spread.context.Now()
	last, ok := spread.reports[from.ID()]
	if received.Sequence() == 0 || ok && last.process == process && received.Sequence() <= last.sequence || !ok && len(spread.reports) >= maxReports {
		return
	}
	added := &report{from: from, process: process, scope: scope, sequence: received.Sequence(), receivedAt: now, loads: make(map[loadKey]load)}
	loads := received.Loads()
	for _, reported := range loads[:min(len(loads), maxLoads)] {
		dataCenter := from.DataCenter()
		if scope == route.LoadOfAll {
			dataCenter = reported.DataCenter()
		}
		if one, ok := spread.accept(reported, now); ok {
			added.loads[loadKey{dataCenter: dataCenter, instance: reported.Instance()}] = one
		}
	}
	spread.reports[from.ID()] = added
}

// accept returns the load that a report states, within bounds. It returns false for an instance
// that is not listed, that has started again since, or whose load is too old.
func (spread *Spread) accept(reported model.InstanceLoad, now time.Duration) (load, bool) {
	group := spread.context.State().GroupOf(reported.Instance())
	if group == nil || reported.Age() > maxAge {
		return load{}, false
	}
	member := group.Member(reported.Instance())
	if reported.Born() != member.Listing().Born() {
		return load{}, false
	}
	limit := maxReportedSlots * slotsOf(spread.context, member)
	bound := func(value float64) float64 { return min(max(value, 0), limit) }
	return load{
		born:    reported.Born(),
		busy:    bound(reported.Busy()),
		offered: bound(reported.Offered()),
		refuse:  float64(reported.Refused()),
		at:      now - reported.Age(),
	}, true
}

// own returns what this proxy observes itself.
func (spread *Spread) own() map[loadKey]load {
	now := spread.context.Now()
	loads := make(map[loadKey]load, len(spread.meters))
	self := spread.context.State().Self().DataCenter()
	for instance, meter := range spread.meters {
		meter.advance(now)
		loads[loadKey{dataCenter: self, instance: instance}] = load{
			born: meter.born, busy: meter.busy, offered: meter.offered, refuse: meter.refused, at: now,
		}
	}
	return loads
}

// sum returns the loads of a scope. Each proxy is counted once: a proxy that has reported for
// others does not count as one that reports for itself.
func (spread *Spread) sum(scope route.LoadScope) map[loadKey]load {
	sums := spread.own()
	if scope == route.LoadOfProxy {
		return sums
	}
	now := spread.context.Now()
	ids := make([]model.ProxyID, 0, len(spread.reports))
	for id, report := range spread.reports {
		if now-report.receivedAt >= maxAge {
			delete(spread.reports, id)
			continue
		}
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		report := spread.reports[id]
		if report.scope == route.LoadOfAll || scope == route.LoadOfReader && report.scope != route.LoadOfProxy {
			continue
		}
		for key, one := range report.loads {
			total, ok := sums[key]
			if !ok {
				sums[key] = one
				continue
			}
			total.add(one)
			sums[key] = total
		}
	}
	return sums
}

// viewTime is the time for which a view is kept.
const viewTime = 100 * time.Millisecond

// cachedView is the last view and when it was made.
type cachedView struct {
	loads map[loadKey]load
	at    time.Duration
}

// view returns the loads of all data centres as this proxy knows them: the sums of its reader
// if it has them, else those that it adds up itself.
func (spread *Spread) view() map[loadKey]load {
	now := spread.context.Now()
	if spread.viewed.loads == nil || now-spread.viewed.at >= viewTime {
		spread.viewed = cachedView{loads: spread.newView(), at: now}
	}
	return spread.viewed.loads
}

func (spread *Spread) newView() map[loadKey]load {
	now := spread.context.Now()
	var newest *report
	for _, report := range spread.reports {
		if report.scope == route.LoadOfAll && now-report.receivedAt < freshAge && (newest == nil || report.receivedAt > newest.receivedAt || report.receivedAt == newest.receivedAt && report.from.ID() < newest.from.ID()) {
			newest = report
		}
	}
	if newest != nil {
		return newest.loads
	}
	return spread.sum(route.LoadOfAll)
}

// Report implements route.Spread.
func (spread *Spread) Report(scope route.LoadScope) model.LoadReport {
	if !spread.sharesLoads() {
		return model.LoadReport{}
	}
	now := spread.context.Now()
	var loads []model.InstanceLoad
	for key, one := range spread.sum(scope) {
		if one.busy < minReportedLoad && one.offered < minReportedLoad && one.refuse < 1 {
			continue
		}
		loads = append(loads, model.NewInstanceLoad(model.InstanceLoadSpec{
			Instance: key.instance, DataCenter: key.dataCenter, Born: one.born,
			Busy: one.busy, Offered: one.offered, Refused: int(one.refuse),
			Span: meterSpan, Age: now - one.at,
		}))
	}
	slices.SortFunc(loads, func(left, right model.InstanceLoad) int {
		return cmp.Or(cmp.Compare(right.Busy(), left.Busy()), cmp.Compare(left.Instance(), right.Instance()), cmp.Compare(left.DataCenter(), right.DataCenter()))
	})
	spread.sequence++
	return model.NewLoadReport(spread.sequence, loads[:min(len(loads), maxLoads)])
}

// Package spread chooses instances for reads so that the load of a group is even, though what a
// proxy knows of the load is always out of date and many proxies choose at the same moment.
package spread

import (
	"cmp"
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/state"
)

func init() { kern.Register("spread", kern.RankLimits, New, kern.ProfileHosted) }

// Spread is the plug-in. It implements route.Spread.
type Spread struct {
	context   *kern.Context
	admission route.Admission
	policy    Policy
	meters    map[model.InstanceID]*meter
	works     map[string]*expectedWork
	reports   map[model.ProxyID]*report
	meanWork  time.Duration // expected work of the statements of this proxy
	viewed    cachedView
	sequence  uint64 // of the last report
	turn      int    // of ChooseByRank
}

// New returns the plug-in, which provides route.Spread if the settings call for it. It requires
// route.Admission.
func New(context *kern.Context) kern.Plugin { return NewWithPolicy(context, DefaultPolicy()) }

// NewWithPolicy returns the plug-in with the given parameters, for experiments.
func NewWithPolicy(context *kern.Context, policy Policy) kern.Plugin {
	spread := &Spread{
		context:   context,
		admission: context.Service(route.AdmissionService).(route.Admission),
		policy:    policy,
		meters:    make(map[model.InstanceID]*meter),
		works:     make(map[string]*expectedWork),
		reports:   make(map[model.ProxyID]*report),
		meanWork:  defaultWork,
	}
	if spread.minProxies() > 0 {
		context.ProvideService(route.SpreadService, spread)
	}
	return spread
}

// Handle implements kern.Plugin.
func (spread *Spread) Handle(received event.Event) {
	if unlisted, ok := received.(event.InstanceUnlisted); ok {
		delete(spread.meters, unlisted.Instance())
	}
}

// minProxies returns the number of live proxies for each slot from which on reads are
// distributed by load reports, or 0 if they never are.
func (spread *Spread) minProxies() int {
	if spread.policy.Way == ChooseByDelay {
		return 0
	}
	return cmp.Or(spread.policy.MinProxies, spread.context.Settings().EvenLoadProxies())
}

// sharesLoads reports whether load reports are of use for a group.
func (spread *Spread) sharesLoads() bool {
	return slices.ContainsFunc(spread.context.State().Groups(), spread.Active)
}

// Active implements route.Spread.
func (spread *Spread) Active(group *state.Group) bool {
	shared, minimum := spread.context.State(), spread.minProxies()
	if minimum == 0 || !shared.ProxiesKnown() || len(group.Members()) == 0 {
		return false
	}
	for _, member := range group.Members() {
		if slots := member.Instance().Slots(); slots == 0 || shared.ProxyCount() < minimum*slots {
			return false
		}
	}
	return true
}

// meter returns the averages of an instance. Those of an earlier process of it are dropped.
func (spread *Spread) meter(instance model.InstanceID) *meter {
	born := spread.bornOf(instance)
	found, ok := spread.meters[instance]
	if !ok || found.born != born {
		found = &meter{born: born, at: spread.context.Now()}
		spread.meters[instance] = found
	}
	return found
}

func (spread *Spread) bornOf(instance model.InstanceID) int64 {
	group := spread.context.State().GroupOf(instance)
	if group == nil {
		return 0
	}
	return group.Member(instance).Listing().Born()
}

func (spread *Spread) work(name string) *expectedWork {
	found, ok := spread.works[name]
	if !ok {
		found = &expectedWork{}
		spread.works[name] = found
	}
	return found
}

// workName identifies the statements that are expected to take the same work.
func workName(job *route.Job) string {
	if job.Request().Op() == model.OpCommit {
		return job.Kind().Name() + " commit"
	}
	return job.Kind().Name()
}

// Sent implements route.Spread.
func (spread *Spread) Sent(instance model.InstanceID, job *route.Job) route.SentStatement {
	now, name := spread.context.Now(), workName(job)
	meter := spread.meter(instance)
	work := spread.work(name).expect()
	spread.meanWork += (work - spread.meanWork) / meanWorkSmoothing
	meter.send(now, work)
	return route.SentStatement{Instance: instance, Born: meter.born, Work: name, At: now}
}

// Ended implements route.Spread.
func (spread *Spread) Ended(statement route.SentStatement, answered bool) {
	if statement.Instance == "" {
		return
	}
	now := spread.context.Now()
	if found, ok := spread.meters[statement.Instance]; ok && found.born == statement.Born {
		found.end(now)
		if answered {
			found.addExcess(now, now-statement.At-spread.work(statement.Work).expect())
		}
	}
	if answered {
		spread.work(statement.Work).add(now - statement.At)
	}
}

// Refused implements route.Spread.
func (spread *Spread) Refused(instance model.InstanceID) {
	spread.meter(instance).refuse(spread.context.Now())
}

// slotsOf returns the number of slots of an instance.
func slotsOf(context *kern.Context, member *state.Member) float64 {
	if slots := member.Instance().Slots(); slots > 0 {
		return float64(slots)
	}
	return float64(context.Settings().SlotsPerInstance())
}

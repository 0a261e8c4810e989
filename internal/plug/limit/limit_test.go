package limit

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/tune"
)

const instance model.InstanceID = "katalog-1-b"

// fakeWaiter records the callbacks that it receives.
type fakeWaiter struct {
	request    route.SlotRequest
	granted    bool
	code       codes.Code
	retryAfter time.Duration
	reason     string
}

func (fakeWaiter *fakeWaiter) SlotRequest() route.SlotRequest { return fakeWaiter.request }

func (fakeWaiter *fakeWaiter) SlotGranted() { fakeWaiter.granted = true }

func (fakeWaiter *fakeWaiter) SlotDenied(denial route.Denial) {
	fakeWaiter.code = denial.Code
	fakeWaiter.retryAfter = denial.RetryAfter
	fakeWaiter.reason = denial.Reason
}

// flowSpec lists the properties of a request that determine its place in the queue.
type flowSpec struct {
	deployment    string
	weight        int
	class         string
	maxConcurrent int
	key           string
	deadline      time.Duration
	maxWaiting    int
	priority      int
	target        time.Duration
}

func (flowSpec flowSpec) newWaiter() *fakeWaiter {
	deadline := flowSpec.deadline
	if deadline == 0 {
		deadline = time.Minute
	}
	return &fakeWaiter{request: route.SlotRequest{Instance: instance, Job: route.NewJob(route.JobSpec{
		Request:    model.NewRequest(model.RequestSpec{Key: flowSpec.key}),
		Deployment: model.NewDeployment(model.DeploymentSpec{Name: flowSpec.deployment, Weight: flowSpec.weight, MaxWaiting: flowSpec.maxWaiting, Priority: flowSpec.priority}),
		Kind:       model.NewKind(model.KindSpec{TargetLatency: flowSpec.target}),
		Class:      model.NewCallerClass(model.CallerClassSpec{Name: flowSpec.class, MaxConcurrent: flowSpec.maxConcurrent}),
		Deadline:   deadline,
	})}}
}

// newLimits returns the plug-in of a proxy alone, with one slot per instance and the given
// number of connections per instance.
func newLimits(conns int) *Limits {
	spec := tune.Default()
	spec.SlotsPerInstance = 1
	spec.ConnsPerInstance = conns
	var limits *Limits
	capture := func(context *kern.Context) kern.Plugin {
		limits = New(context).(*Limits)
		return limits
	}
	kernel := kern.NewWithFactories(model.ProxyView{}, tune.New(spec), time.Time{}, 1, capture)
	kernel.State().SetProxies(make([]model.ProxyView, 1))
	return limits
}

func TestQueueOrder(t *testing.T) {
	tests := []struct {
		name  string
		flows []flowSpec
		order []int
	}{
		{"one flow in the order of arrival", []flowSpec{{key: "h1"}, {key: "h1"}, {key: "h1"}}, []int{0, 1, 2}},
		{"a flow with many requests does not starve another", []flowSpec{{key: "h1"}, {key: "h1"}, {key: "h1"}, {key: "h2"}}, []int{0, 3, 1, 2}},
		{"classes alternate", []flowSpec{{class: "student", key: "a"}, {class: "student", key: "b"}, {class: "lecturer", key: "c"}}, []int{0, 2, 1}},
		{"deployments by weight", []flowSpec{
			{deployment: "one", weight: 2, key: "a"},
			{deployment: "one", weight: 2, key: "a"},
			{deployment: "one", weight: 2, key: "a"},
			{deployment: "two", key: "a"},
			{deployment: "two", key: "a"},
		}, []int{0, 1, 3, 2, 4}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			limits := newLimits(1)
			running := flowSpec{}.newWaiter()
			limits.Acquire(running)
			is.True(running.granted)
			var waiting []*fakeWaiter
			for _, flow := range test.flows {
				added := flow.newWaiter()
				waiting = append(waiting, added)
				limits.Acquire(added)
				is.True(!added.granted)
			}
			var order []int
			for range waiting {
				limits.Release(running.request, time.Millisecond, route.SlotAnswered)
				for index, waiter := range waiting {
					if waiter.granted && !slices.Contains(order, index) {
						order = append(order, index)
						running = waiter
					}
				}
			}
			is.Equal(order, test.order)
			is.Equal(limits.Load(instance), 1)
		})
	}
}

func TestWaitDenied(t *testing.T) {
	tests := []struct {
		name    string
		flow    flowSpec
		waiting int
		code    codes.Code
		reason  string
	}{
		{"waits", flowSpec{}, 3, codes.OK, ""},
		{"queue of the deployment is full", flowSpec{maxWaiting: 3}, 3, codes.Overloaded, deploymentQueueFull},
		{"slot would be granted after the deadline", flowSpec{deadline: time.Millisecond}, 3, codes.Overloaded, afterDeadline},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			limits := newLimits(1)
			for range test.waiting + 1 {
				limits.Acquire(flowSpec{}.newWaiter())
			}
			last := test.flow.newWaiter()
			limits.Acquire(last)
			is.Equal(last.code, test.code)
			is.Equal(last.reason, test.reason)
			is.Equal(last.retryAfter > 0, test.code != codes.OK)
			is.True(!last.granted)
		})
	}
}

func TestLimitFollowsLoad(t *testing.T) {
	const quick = 5 * time.Millisecond
	tests := []struct {
		name    string
		waiting int
		held    []time.Duration
		limit   int
	}{
		{"no demand", 0, []time.Duration{quick, quick, quick, quick}, 1},
		{"demand", 8, []time.Duration{quick, quick, quick, quick, quick, quick}, 4},
		{"demand beyond the share of the connections", 40, []time.Duration{quick, quick, quick, quick, quick, quick, quick, quick, quick, quick, quick, quick}, 4},
		{"congestion", 40, []time.Duration{quick, quick, quick, quick, quick, quick, 20 * quick, 20 * quick, 20 * quick, 20 * quick, 20 * quick, 20 * quick, 20 * quick}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			limits := newLimits(4)
			for range test.waiting + 1 {
				limits.Acquire(flowSpec{}.newWaiter())
			}
			request := flowSpec{}.newWaiter().request
			for _, held := range test.held {
				if limits.instanceLimit(instance).running == 0 {
					limits.Acquire(flowSpec{}.newWaiter())
				}
				limits.Release(request, held, route.SlotAnswered)
			}
			is.Equal(limits.instanceLimit(instance).limit, test.limit)
		})
	}
}

// An overload that lasts does not count as low load, so the limit stays low.
func TestLimitUnderLastingOverload(t *testing.T) {
	is := is.New(t)
	const quick, slow = 5 * time.Millisecond, 25 * time.Millisecond
	limits := newLimits(4)
	for range 40 {
		limits.Acquire(flowSpec{}.newWaiter())
	}
	request := flowSpec{}.newWaiter().request
	for range 100 {
		limits.Release(request, quick, route.SlotAnswered)
		limits.Acquire(flowSpec{}.newWaiter())
	}
	is.Equal(limits.instanceLimit(instance).limit, 4)
	for range 300 {
		limits.Release(request, slow, route.SlotAnswered)
		limits.Acquire(flowSpec{}.newWaiter())
	}
	is.Equal(limits.instanceLimit(instance).limit, 1)
}

func TestCancelWait(t *testing.T) {
	is := is.New(t)
	limits := newLimits(1)
	first, second, third := flowSpec{}.newWaiter(), flowSpec{}.newWaiter(), flowSpec{}.newWaiter()
	for _, waiter := range []*fakeWaiter{first, second, third} {
		limits.Acquire(waiter)
	}
	limits.CancelWait(second)
	limits.Release(first.request, time.Millisecond, route.SlotAnswered)
	is.True(!second.granted)
	is.True(third.granted)
	is.Equal(limits.waitingByDeployment[""], 0)
}

func TestClassConcurrency(t *testing.T) {
	is := is.New(t)
	limits := newLimits(1)
	student := flowSpec{class: "student", maxConcurrent: 1}
	first, second, third := student.newWaiter(), student.newWaiter(), student.newWaiter()
	second.request.Instance = "katalog-1-c" // the same class on another instance
	third.request.Instance = "katalog-2-c"
	for _, waiter := range []*fakeWaiter{first, second, third} {
		limits.Acquire(waiter)
	}
	is.True(first.granted)
	is.True(!second.granted)
	limits.CancelWait(second)
	limits.Release(first.request, time.Millisecond, route.SlotAnswered)
	is.True(!second.granted)
	is.True(third.granted)
	limits.Release(third.request, time.Millisecond, route.SlotAnswered)
	is.Equal(limits.classLimit(first.request).running, 0)
}

func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	limits := newLimits(1)
	granted := 0
	for limits.TakeRetry("katalog-1") {
		granted++
	}
	is.Equal(granted, maxSavedRetries)
	is.True(limits.TakeRetry("katalog-2")) // each group has its own budget
	katalog := route.SlotRequest{Instance: instance, Job: route.NewJob(route.JobSpec{
		Request:    model.NewRequest(model.RequestSpec{}),
		Deployment: model.NewDeployment(model.DeploymentSpec{}),
		Group:      "katalog-1",
	})}
	for range requestsPerRetry {
		limits.deposit(katalog)
	}
	is.True(limits.TakeRetry("katalog-1"))
	is.True(!limits.TakeRetry("katalog-1"))
	limits.context.Timers().Advance(refillInterval)
	is.True(limits.TakeRetry("katalog-1"))
}

// The budget of a group is for all proxies together, so that their retries cannot double the load
// of a full group.
func TestRetryBudgetOfManyProxies(t *testing.T) {
	is := is.New(t)
	const proxies = 50
	limits := newLimits(1)
	limits.context.State().SetProxies(make([]model.ProxyView, proxies))
	granted := 0
	for limits.TakeRetry("katalog-1") {
		granted++
	}
	is.Equal(granted, maxSavedRetries/proxies)
	limits.context.Timers().Advance((proxies - 1) * refillInterval)
	is.True(!limits.TakeRetry("katalog-1"))
	limits.context.Timers().Advance(proxies * refillInterval)
	is.True(limits.TakeRetry("katalog-1"))
	is.True(!limits.TakeRetry("katalog-1"))
}

// Whatever an instance lists, at least one statement may run on it.
func TestBoundsOfListing(t *testing.T) {
	tests := []struct {
		name    string
		slots   int
		conns   int
		proxies int
		lower   int
		upper   int
	}{
		{"no slots and no connections listed", 0, 0, 1, 1, 35},
		{"no slots listed", 0, 10, 1, 1, 35},
		{"no connections listed", 3, 0, 1, 3, 3},
		{"a proxy alone", 3, 21, 1, 3, 9},
		{"more proxies than connections", 3, 21, 64, 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			limits := newLimits(35)
			state := limits.context.State()
			listed := model.NewInstance(instance, "127.0.0.1:1", "").WithCapacity(test.slots, test.conns)
			state.SetGroups([]model.Group{model.NewGroup("katalog-1", []model.Instance{listed})})
			state.SetProxies(make([]model.ProxyView, test.proxies))
			is.Equal(limits.lowerBound(instance), test.lower)
			is.Equal(limits.upperBound(instance), test.upper)
		})
	}
}

// A kind without a target latency is denied only by its deadline.
func TestNoTarget(t *testing.T) {
	is := is.New(t)
	limits := newLimits(1)
	for range 40 {
		limits.Acquire(flowSpec{}.newWaiter())
	}
	limits.context.Timers().Advance(DefaultPolicy().BurstTolerance)
	added := flowSpec{target: 0}.newWaiter()
	limits.Acquire(added)
	is.Equal(added.code, codes.OK)
}

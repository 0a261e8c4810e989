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

// entrant records what it was told.
type entrant struct {
	ask     route.SlotRequest
	granted bool
	code    codes.Code
	retry   time.Duration
}

func (entrant *entrant) SlotRequest() route.SlotRequest { return entrant.ask }

func (entrant *entrant) SlotGranted() { entrant.granted = true }

func (entrant *entrant) SlotDenied(code codes.Code, retryAfter time.Duration) {
	entrant.code = code
	entrant.retry = retryAfter
}

// flow is what a request says about its place in the order.
type flow struct {
	deployment string
	weight     int
	class      string
	concurrent int
	key        string
	deadline   time.Duration
	maxWaiting int
}

func (flow flow) entrant() *entrant {
	deadline := flow.deadline
	if deadline == 0 {
		deadline = time.Minute
	}
	return &entrant{ask: route.SlotRequest{Instance: instance, Job: route.NewJob(route.JobSpec{
		Request:    model.NewRequest(model.RequestSpec{Key: flow.key}),
		Deployment: model.NewDeployment(model.DeploymentSpec{Name: flow.deployment, Weight: flow.weight, MaxWaiting: flow.maxWaiting}),
		Class:      model.NewCallerClass(model.CallerClassSpec{Name: flow.class, MaxConcurrent: flow.concurrent}),
		Deadline:   deadline,
	})}}
}

// newLimits returns the plug-in of a kernel with one slot for each instance and
// the given number of connections.
func newLimits(conns int) *Limits {
	spec := tune.Default()
	spec.SlotsPerInstance = 1
	spec.ConnsPerInstance = conns
	var limits *Limits
	catch := func(context *kern.Context) kern.Plugin {
		limits = New(context).(*Limits)
		return limits
	}
	kern.NewWithFactories(model.ProxyView{}, tune.New(spec), time.Time{}, 1, catch)
	return limits
}

func TestOrder(t *testing.T) {
	tests := []struct {
		name  string
		flows []flow
		order []int
	}{
		{"one flow in the order of arrival", []flow{{key: "h1"}, {key: "h1"}, {key: "h1"}}, []int{0, 1, 2}},
		{"a noisy hotel does not starve another", []flow{{key: "h1"}, {key: "h1"}, {key: "h1"}, {key: "h2"}}, []int{0, 3, 1, 2}},
		{"classes take turns", []flow{{class: "student", key: "a"}, {class: "student", key: "b"}, {class: "lecturer", key: "c"}}, []int{0, 2, 1}},
		{"deployments by weight", []flow{
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
			running := flow{}.entrant()
			limits.Acquire(running)
			is.True(running.granted)
			var waiting []*entrant
			for _, flow := range test.flows {
				added := flow.entrant()
				waiting = append(waiting, added)
				limits.Acquire(added)
				is.True(!added.granted)
			}
			var order []int
			for range waiting {
				limits.Release(running.ask, time.Millisecond, false)
				for index, entrant := range waiting {
					if entrant.granted && !slices.Contains(order, index) {
						order = append(order, index)
						running = entrant
					}
				}
			}
			is.Equal(order, test.order)
			is.Equal(limits.Load(instance), 1)
		})
	}
}

func TestRefusal(t *testing.T) {
	tests := []struct {
		name    string
		flow    flow
		waiting int
		code    codes.Code
	}{
		{"waits", flow{}, 3, codes.OK},
		{"queue of the deployment is full", flow{maxWaiting: 3}, 3, codes.Overloaded},
		{"no chance before the deadline", flow{deadline: time.Millisecond}, 3, codes.Overloaded},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			limits := newLimits(1)
			for range test.waiting + 1 {
				limits.Acquire(flow{}.entrant())
			}
			last := test.flow.entrant()
			limits.Acquire(last)
			is.Equal(last.code, test.code)
			is.Equal(last.retry > 0, test.code != codes.OK)
			is.True(!last.granted)
		})
	}
}

func TestLimitFollowsTheLoad(t *testing.T) {
	const quick = 5 * time.Millisecond
	tests := []struct {
		name    string
		waiting int
		held    []time.Duration
		limit   int
	}{
		{"no demand", 0, []time.Duration{quick, quick, quick, quick}, 1},
		{"demand", 8, []time.Duration{quick, quick, quick, quick, quick, quick}, 4},
		{"demand up to the share of the connections", 40, []time.Duration{quick, quick, quick, quick, quick, quick, quick, quick, quick, quick, quick, quick}, 4},
		{"congestion", 40, []time.Duration{quick, quick, quick, quick, quick, quick, 20 * quick, 20 * quick, 20 * quick, 20 * quick, 20 * quick, 20 * quick, 20 * quick}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			limits := newLimits(4)
			for range test.waiting + 1 {
				limits.Acquire(flow{}.entrant())
			}
			ask := flow{}.entrant().ask
			for _, held := range test.held {
				if limits.gate(instance).running == 0 {
					limits.Acquire(flow{}.entrant())
				}
				limits.Release(ask, held, false)
			}
			is.Equal(limits.gate(instance).limit, test.limit)
		})
	}
}

func TestWithdraw(t *testing.T) {
	is := is.New(t)
	limits := newLimits(1)
	first, second, third := flow{}.entrant(), flow{}.entrant(), flow{}.entrant()
	for _, entrant := range []*entrant{first, second, third} {
		limits.Acquire(entrant)
	}
	limits.CancelWait(second)
	limits.Release(first.ask, time.Millisecond, false)
	is.True(!second.granted)
	is.True(third.granted)
	is.Equal(limits.waiting[""], 0)
}

func TestClassConcurrency(t *testing.T) {
	is := is.New(t)
	limits := newLimits(1)
	student := flow{class: "student", concurrent: 1}
	first, second, third := student.entrant(), student.entrant(), student.entrant()
	second.ask.Instance = "katalog-1-c" // another instance, the same class
	third.ask.Instance = "katalog-2-c"
	for _, entrant := range []*entrant{first, second, third} {
		limits.Acquire(entrant)
	}
	is.True(first.granted)
	is.True(!second.granted)
	limits.CancelWait(second)
	limits.Release(first.ask, time.Millisecond, false)
	is.True(!second.granted)
	is.True(third.granted)
	limits.Release(third.ask, time.Millisecond, false)
	is.Equal(limits.class(first.ask).running, 0)
}

func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	limits := newLimits(1)
	granted := 0
	for limits.TakeRetry("katalog-1") {
		granted++
	}
	is.Equal(granted, maxRetries)
	is.True(limits.TakeRetry("katalog-2")) // each group has its own
	for range earnedRetries {
		limits.groupBudget("katalog-1").earn()
	}
	is.True(limits.TakeRetry("katalog-1"))
	is.True(!limits.TakeRetry("katalog-1"))
	limits.context.Timers().Advance(refillInterval)
	is.True(limits.TakeRetry("katalog-1"))
}

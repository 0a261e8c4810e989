package kern

import (
	"math/rand/v2"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/state"
	"almondway.dev/almondway/internal/core/timer"
	"almondway.dev/almondway/internal/core/tune"
)

// Context gives a plug-in access to the kernel that runs it.
type Context struct {
	state     *state.State
	settings  *tune.Settings
	timers    *timer.Service
	random    *rand.Rand
	started   time.Time
	services  map[string]any
	events    []event.Event
	delivered int
	actions   []event.Action
	lastID    uint64
}

func newContext(shared *state.State, settings *tune.Settings, timers *timer.Service, started time.Time, seed uint64) *Context {
	return &Context{
		state:    shared,
		settings: settings,
		timers:   timers,
		random:   rand.New(rand.NewPCG(seed, seed)),
		started:  started,
		services: make(map[string]any),
	}
}

// State returns the state that all plug-ins of the kernel share.
func (context *Context) State() *state.State { return context.state }

// Settings returns the settings.
func (context *Context) Settings() *tune.Settings { return context.settings }

// Timers returns the timer service.
func (context *Context) Timers() *timer.Service { return context.timers }

// Now returns the time since the start of the kernel.
func (context *Context) Now() time.Duration { return context.timers.Now() }

// WallTime returns the wall-clock time, derived from the start time and the kernel's clock.
func (context *Context) WallTime() time.Time { return context.started.Add(context.timers.Now()) }

// Random returns the kernel's random source, which depends on the kernel's seed only.
func (context *Context) Random() *rand.Rand { return context.random }

// NextID returns a number that is unique within the kernel. It is never 0.
func (context *Context) NextID() uint64 {
	context.lastID++
	return context.lastID
}

// Emit queues an action for the adapters.
func (context *Context) Emit(action event.Action) { context.actions = append(context.actions, action) }

// Publish queues an event for every plug-in, including the publisher. Events are
// delivered in the order of their publication.
func (context *Context) Publish(published event.Event) {
	context.events = append(context.events, published)
}

// ProvideService makes a service available to the plug-ins that are created after this
// one.
func (context *Context) ProvideService(name string, service any) { context.services[name] = service }

// Service returns the service of the given name, or nil.
func (context *Context) Service(name string) any { return context.services[name] }

func (context *Context) resetActions() {
	context.actions = context.actions[:0]
}

// nextEvent removes the oldest event from the queue. The slice is reused once all of its
// events are delivered.
func (context *Context) nextEvent() (event.Event, bool) {
	if context.delivered == len(context.events) {
		context.events = context.events[:0]
		context.delivered = 0
		return nil, false
	}
	next := context.events[context.delivered]
	context.events[context.delivered] = nil
	context.delivered++
	return next, true
}

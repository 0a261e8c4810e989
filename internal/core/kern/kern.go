// Package kern is the event loop of the proxy. It dispatches typed events to the
// registered plug-ins and collects their typed actions. It starts no goroutine and reads
// no clock, so that the same sequence of events gives the same decisions.
package kern

import (
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
	"almondway.dev/almondway/internal/core/timer"
	"almondway.dev/almondway/internal/core/tune"
)

// Kernel runs the plug-ins of one proxy. It is not safe for concurrent use; several
// kernels may exist in one process.
type Kernel struct {
	context *Context
	plugins []Plugin
}

// New returns a Kernel with every registered plug-in of ProfileStandalone. started is the
// wall-clock time at which the kernel's clock is zero; seed initialises its random source.
func New(self model.ProxyView, settings *tune.Settings, started time.Time, seed uint64) *Kernel {
	return NewWithProfile(ProfileStandalone, self, settings, started, seed)
}

// NewWithProfile returns a Kernel like New, with the plug-ins of the given profile.
func NewWithProfile(profile Profile, self model.ProxyView, settings *tune.Settings, started time.Time, seed uint64) *Kernel {
	return NewWithFactories(self, settings, started, seed, Factories(profile, nil)...)
}

// Factories returns the factories of the plug-ins of a profile in the order of their ranks.
// replaced gives other factories for some plug-ins, by their names.
func Factories(profile Profile, replaced map[string]Factory) []Factory {
	var factories []Factory
	for _, registration := range registrations {
		if !slices.Contains(registration.profiles, profile) {
			continue
		}
		factory := registration.factory
		if other, ok := replaced[registration.name]; ok {
			factory = other
		}
		factories = append(factories, factory)
	}
	return factories
}

// NewWithFactories returns a Kernel with the given plug-ins only, in the given order.
func NewWithFactories(self model.ProxyView, settings *tune.Settings, started time.Time, seed uint64, factories ...Factory) *Kernel {
	kernel := &Kernel{context: newContext(state.New(self), settings, timer.New(), started, seed)}
	for _, factory := range factories {
		kernel.plugins = append(kernel.plugins, factory(kernel.context))
	}
	return kernel
}

// State returns the shared state, for status pages and tests.
func (kernel *Kernel) State() *state.State { return kernel.context.state }

// Handle advances the clock to now, dispatches the event to every plug-in and returns the
// actions for the adapters, in order. The slice is valid until the next call. Each event
// has a unique time, so that anything sent at or after the time of an event was sent after
// that event.
func (kernel *Kernel) Handle(now time.Duration, received event.Event) []event.Action {
	kernel.context.resetActions()
	kernel.context.timers.Advance(max(now, kernel.context.Now()+1))
	kernel.context.Publish(received)
	kernel.deliver()
	return kernel.context.actions
}

// Tick advances the clock to now and returns the actions for the adapters, in order. The
// slice is valid until the next call.
func (kernel *Kernel) Tick(now time.Duration) []event.Action {
	kernel.context.resetActions()
	kernel.context.timers.Advance(now)
	kernel.deliver()
	return kernel.context.actions
}

// Now returns the time of the last Handle or Tick.
func (kernel *Kernel) Now() time.Duration { return kernel.context.Now() }

// Next returns the time by which Tick must be called, and whether a timer is set.
func (kernel *Kernel) Next() (time.Duration, bool) { return kernel.context.timers.NextDue() }

func (kernel *Kernel) deliver() {
	for {
		next, ok := kernel.context.nextEvent()
		if !ok {
			return
		}
		for _, plugin := range kernel.plugins {
			plugin.Handle(next)
		}
	}
}

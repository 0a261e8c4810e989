// Package eras is the plug-in that records the era of the hosting platform's store and tells
// the other plug-ins when the store has come back from an older copy.
package eras

import (
	"strconv"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
)

func init() { kern.Register("eras", kern.RankProbe, New, kern.ProfileHosted) }

// Eras is the plug-in.
type Eras struct {
	context *kern.Context
	known   bool
}

// New returns the plug-in.
func New(context *kern.Context) kern.Plugin { return &Eras{context: context} }

// Handle implements kern.Plugin.
func (eras *Eras) Handle(received event.Event) {
	if seen, ok := received.(event.StoreEraSeen); ok {
		eras.handleSeen(seen.Era())
	}
}

// handleSeen records an era. The first one that a process sees says nothing about a restore.
func (eras *Eras) handleSeen(era model.StoreEra) {
	first := !eras.known
	eras.known = true
	if !eras.context.State().SetStoreEra(era) || first {
		return
	}
	eras.context.Emit(event.NewLogDecision(model.Decision{
		Name:   "store_restored",
		Proxy:  eras.context.State().Self().ID(),
		Reason: "the store came back from an older copy, its era is " + strconv.FormatUint(uint64(era), 10),
	}))
	eras.context.Publish(event.NewStoreRestored(era))
}

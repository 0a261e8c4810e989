package fuzz

import (
	"time"

	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/tune"
	_ "almondway.dev/almondway/internal/plug/bundle" // registers the plug-ins
)

// newProduct makes the product's kernel with every registered plug-in.
func newProduct(self model.ProxyView, settings *tune.Settings, started time.Time, seed uint64) brain {
	return kern.New(self, settings, started, seed)
}

// revision returns the revision that the proxy has in force.
func (node *node) revision() (uint64, bool) {
	switch brain := node.brain.(type) {
	case *kern.Kernel:
		return brain.State().Revision()
	case *naive:
		return brain.revision, brain.revision > 0
	default:
		return 0, false
	}
}

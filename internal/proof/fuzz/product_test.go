package fuzz

import (
	"time"

	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/tune"
	_ "almondway.dev/almondway/internal/plug/bundle" // registers the plug-ins
)

// newProductKernel returns the product's kernel with every registered plug-in.
func newProductKernel(self model.ProxyView, settings *tune.Settings, started time.Time, seed uint64) proxyLogic {
	return kern.New(self, settings, started, seed)
}

// revision returns the revision that is in force on the proxy, if there is one.
func (proxy *proxy) revision() (uint64, bool) {
	switch logic := proxy.logic.(type) {
	case *kern.Kernel:
		return logic.State().Revision()
	case *naiveProxy:
		return logic.revision, logic.revision > 0
	default:
		return 0, false
	}
}

package serve

import (
	"context"
	"net/http"
	"time"

	"almondway.dev/almondway/internal/app/metric"
	"almondway.dev/almondway/internal/core/state"
)

// healthTimeout is the time after which a kernel that does not respond is reported as
// unhealthy.
const healthTimeout = 2 * time.Second

// newAdminMux returns the handler of the administration address.
func newAdminMux(proxy *Proxy, adapters *adapters) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle(adapters.admin.Handler())
	mux.HandleFunc("GET /healthz", proxy.serveHealth)
	mux.HandleFunc("GET /readyz", proxy.serveReady)
	mux.HandleFunc("GET /metrics", proxy.serveMetrics)
	mux.HandleFunc("GET /metrics.json", proxy.serveMetricsJSON)
	return mux
}

// serveHealth responds with 200 while the kernel's loop runs.
func (proxy *Proxy) serveHealth(writer http.ResponseWriter, request *http.Request) {
	proxy.serveCheck(writer, request, func(*state.State) string { return "" })
}

// serveReady responds with 200 while load balancers should send callers to this proxy:
// the revision in force is confirmed, groups are known and the proxy is not draining.
func (proxy *Proxy) serveReady(writer http.ResponseWriter, request *http.Request) {
	proxy.serveCheck(writer, request, notReadyReason)
}

// serveCheck responds with 200 if check returns the empty text, and otherwise with 503
// and the text. check is called in the kernel's loop.
func (proxy *Proxy) serveCheck(writer http.ResponseWriter, request *http.Request, check func(shared *state.State) string) {
	ctx, cancel := context.WithTimeout(request.Context(), healthTimeout)
	defer cancel()
	var reason string
	if err := proxy.loop.Inspect(ctx, func(shared *state.State) { reason = check(shared) }); err != nil {
		reason = "kernel did not respond"
	}
	if reason != "" {
		http.Error(writer, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = writer.Write([]byte("ok\n"))
}

// notReadyReason returns why the proxy is not ready for callers, or the empty text if it
// is ready.
func notReadyReason(shared *state.State) string {
	_, known := shared.Revision()
	switch {
	case shared.Draining():
		return "draining"
	case !known:
		return "no revision of the deployments is known"
	case !shared.Confirmed():
		return "the revision of the deployments is not confirmed"
	case len(shared.Groups()) == 0:
		return "no group is known"
	default:
		return ""
	}
}

func (proxy *Proxy) serveMetrics(writer http.ResponseWriter, request *http.Request) {
	proxy.updateGauges(request.Context())
	writer.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	_ = proxy.registry.WriteText(writer)
}

func (proxy *Proxy) serveMetricsJSON(writer http.ResponseWriter, request *http.Request) {
	proxy.updateGauges(request.Context())
	writer.Header().Set("Content-Type", "application/json")
	_ = proxy.registry.WriteJSON(writer)
}

// updateGauges updates the metrics that are computed on request. Those of the kernel keep
// their values if the kernel does not respond.
func (proxy *Proxy) updateGauges(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	proxy.registry.Gauge("callers").Update(int64(proxy.adapters.callers.Count()))
	proxy.registry.Gauge("log_lines_dropped").Update(proxy.log.Dropped())
	metric.ObserveRuntime(proxy.registry, time.Since(proxy.started))
	_ = proxy.loop.Inspect(ctx, func(shared *state.State) {
		metric.ObserveState(proxy.registry, shared, proxy.loop.Now())
		proxy.decisionLog.ObserveReadShares()
	})
}

package serve

import (
	"context"
	"net/http"
	"time"

	"almondway.dev/almondway/internal/app/metric"
	"almondway.dev/almondway/internal/core/state"
)

// healthTimeout is the time after which a kernel that does not answer counts as stuck.
const healthTimeout = 2 * time.Second

// newAdminMux returns the handler of the administration address.
func newAdminMux(proxy *Proxy, edges *adapters) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle(edges.admin.Handler())
	mux.HandleFunc("GET /healthz", proxy.serveHealth)
	mux.HandleFunc("GET /readyz", proxy.serveReady)
	mux.HandleFunc("GET /metrics", proxy.serveMetrics)
	mux.HandleFunc("GET /metrics.json", proxy.serveMetricsJSON)
	return mux
}

// serveHealth answers 200 while the kernel's loop runs.
func (proxy *Proxy) serveHealth(writer http.ResponseWriter, request *http.Request) {
	proxy.serveCheck(writer, request, func(*state.State) string { return "" })
}

// serveReady answers 200 while callers should be sent here: the revision in
// force is confirmed, groups are known and the proxy is not draining.
func (proxy *Proxy) serveReady(writer http.ResponseWriter, request *http.Request) {
	proxy.serveCheck(writer, request, notReadyReason)
}

func (proxy *Proxy) serveCheck(writer http.ResponseWriter, request *http.Request, fault func(shared *state.State) string) {
	ctx, cancel := context.WithTimeout(request.Context(), healthTimeout)
	defer cancel()
	var found string
	if err := proxy.loop.Inspect(ctx, func(shared *state.State) { found = fault(shared) }); err != nil {
		found = "the kernel does not answer"
	}
	if found != "" {
		http.Error(writer, found, http.StatusServiceUnavailable)
		return
	}
	_, _ = writer.Write([]byte("ok\n"))
}

// notReadyReason returns why no caller should be sent here, or the empty text.
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

// updateGauges brings the gauges up to date.
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

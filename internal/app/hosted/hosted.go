// Package hosted runs a proxy process on a hosting platform that stores the
// deployments and the list of instances. It defines the order of start and shutdown;
// the adapters passed to it implement the platform's protocols.
package hosted

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/app/clock"
	"almondway.dev/almondway/internal/app/daemon"
	"almondway.dev/almondway/internal/app/logs"
	"almondway.dev/almondway/internal/app/metric"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/port"
	"almondway.dev/almondway/internal/core/state"
	"almondway.dev/almondway/internal/core/tune"
	"almondway.dev/almondway/internal/edge/mesh"

	_ "almondway.dev/almondway/internal/plug/bundle" // registers the plug-ins
)

const (
	// inspectTimeout bounds the wait for the kernel's loop in readiness checks and
	// metrics requests.
	inspectTimeout = 500 * time.Millisecond
	headerTimeout  = 5 * time.Second
)

// Spec holds the parameters of a Proxy.
type Spec struct {
	Name           string
	DataCenter     string
	Version        string
	Kernel         tune.Spec
	ShutdownGrace  time.Duration
	MetricsAddress string
	// MeshAddress is the "ip:port" at which other proxies call this one, or empty if they
	// cannot.
	MeshAddress string
	// System identifies the proxies that belong together.
	System string
	// Cores is the number of processor cores that the process may use.
	Cores            float64
	ReadinessAddress string
	ReadinessPath    string
	Log              *logs.Log
	Seed             uint64
	// Reload reloads the settings and returns the shutdown grace period in force. It
	// logs the changes and the settings that cannot change at run time. It may be nil.
	// One goroutine at a time calls it, also while the proxy shuts down.
	Reload func() time.Duration
	// Hangups receives the signals to reload the settings. They have a channel of their own,
	// so that they cannot fill that of the signals to shut down. It may be nil.
	Hangups <-chan os.Signal
}

// Callers is the adapter that accepts connections of callers.
type Callers interface {
	port.Callers
	// Start starts to listen.
	Start() error
	// CloseWhenIdle closes each caller's connection after its next operation.
	CloseWhenIdle()
	// Stop stops accepting callers and closes each connection that is idle, now or later.
	Stop()
	// CloseAll closes each caller's connection as soon as no request runs on it.
	CloseAll()
	// Count returns the number of connected callers.
	Count() int
	// CountByState returns the number of connected callers by the state of their sessions.
	CountByState() map[string]int
	// Shutdown closes all connections.
	Shutdown()
}

// Adapters are the adapters of a Proxy.
type Adapters struct {
	Callers  Callers
	Backend  port.Backend
	Platform port.Platform
	Promoter port.Promoter
	Lists    port.Lists
	// Payloads converts statements and answers for messages between proxies.
	Payloads port.Payloads
	// ListStatus returns the numbers of calls for the lists.
	ListStatus func() []port.ListStatus
	// CallCounts returns the numbers of calls to the platform's store.
	CallCounts func() []port.CallCount
	// AnswerCounts returns the numbers of answers of instances that were not used.
	AnswerCounts func() port.AnswerCounts
}

// Proxy is a proxy process on a hosting platform.
type Proxy struct {
	spec         Spec
	loop         *daemon.Loop
	registry     *metric.Registry
	kernel       *kern.Kernel
	mesh         *mesh.Mesh
	adapters     Adapters
	started      time.Time
	shuttingDown atomic.Bool
	stopped      chan struct{}
}

// New returns a Proxy. Nothing listens before Run.
func New(spec Spec) *Proxy {
	self := model.NewProxyView(model.ProxyID(spec.Name), spec.MeshAddress, model.DataCenter(spec.DataCenter), 0, false, 0).WithCores(spec.Cores)
	started := time.Now()
	hostClock := clock.New()
	kernel := kern.NewWithProfile(kern.ProfileHosted, self, tune.New(spec.Kernel), started, spec.Seed)
	return &Proxy{
		spec:     spec,
		loop:     daemon.New(kernel, hostClock.Now),
		registry: metric.NewRegistry(),
		kernel:   kernel,
		started:  started,
		stopped:  make(chan struct{}, 1),
	}
}

// Inbox returns the inbox to which the adapters post their events.
func (proxy *Proxy) Inbox() port.Inbox { return proxy.loop }

// Now returns the time on the kernel's clock. It is safe for concurrent use.
func (proxy *Proxy) Now() time.Duration { return proxy.loop.Now() }

// Stop implements port.Process.
func (proxy *Proxy) Stop() {
	select {
	case proxy.stopped <- struct{}{}:
	default:
	}
}

// Send implements port.Peers. It discards the message: proxies on a hosting platform
// share their state through the platform's store.
func (proxy *Proxy) Send(event.SendPeerMessage) {}

// noOperators implements port.Operators. No commands arrive here, since operators write
// to the platform's store.
type noOperators struct{}

// Answer implements port.Operators.
func (noOperators) Answer(event.AnswerOperator) {}

// Run serves until a shutdown is complete, which the first of the signals starts. It
// returns an error if an address cannot be listened on.
func (proxy *Proxy) Run(adapters Adapters, signals <-chan os.Signal) error {
	proxy.adapters = adapters
	proxy.mesh = mesh.New(mesh.Spec{Address: proxy.spec.MeshAddress, System: proxy.spec.System, Inbox: proxy.loop, Log: proxy.spec.Log.Logger(), Payloads: adapters.Payloads})
	defer proxy.mesh.Shutdown()
	proxy.loop.SetPorts(daemon.Ports{
		Callers:     adapters.Callers,
		Backend:     metric.NewBackend(proxy.registry, adapters.Backend),
		Platform:    metric.NewPlatform(proxy.registry, adapters.Platform),
		Lists:       adapters.Lists,
		Mesh:        proxy.mesh,
		Promoter:    adapters.Promoter,
		Peers:       proxy,
		Operators:   noOperators{},
		DecisionLog: metric.NewDecisionLog(proxy.registry, proxy.spec.Log, proxy.kernel.State()),
		Process:     proxy,
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if isAsked(signals) {
		proxy.logEvent("stopped") // before it accepted callers
		return nil
	}
	for _, listen := range []func() error{proxy.listenReadiness, proxy.listenMetrics, proxy.listenMesh, adapters.Callers.Start} {
		if err := listen(); err != nil {
			return err
		}
	}
	loopDone := make(chan struct{})
	go func() {
		defer close(loopDone)
		proxy.spec.Log.Guard("kernel", os.Exit, func() { proxy.loop.Run(ctx) })
	}()
	proxy.logEvent("started")
	proxy.awaitShutdown(signals)
	proxy.logShutdown("shutdown complete")
	adapters.Callers.Shutdown()
	cancel()
	<-loopDone
	proxy.logEvent("stopped")
	return nil
}

func (proxy *Proxy) logEvent(name string) {
	proxy.spec.Log.Logger().WithFields(map[string]any{
		"proxy": proxy.spec.Name, "data_center": proxy.spec.DataCenter, "version": proxy.spec.Version, "metrics": proxy.spec.MetricsAddress,
	}).Info(name)
}

// ready reports whether the load balancer should send callers to this proxy.
func (proxy *Proxy) ready(ctx context.Context) bool {
	if proxy.shuttingDown.Load() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	ready := false
	err := proxy.loop.Inspect(ctx, func(shared *state.State) { ready = CanServe(shared) })
	return err == nil && ready
}

// CanServe reports whether callers can be served: the deployments are confirmed, the
// proxy is not draining, and at least one group of a deployment has an instance.
func CanServe(shared *state.State) bool {
	if !shared.Confirmed() || shared.Draining() {
		return false
	}
	for _, deployment := range shared.Deployments() {
		for _, id := range deployment.Groups() {
			if group := shared.Group(id); group != nil && len(group.Members()) > 0 {
				return true
			}
		}
	}
	return false
}

func (proxy *Proxy) listenReadiness() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+proxy.spec.ReadinessPath, func(writer http.ResponseWriter, request *http.Request) {
		if !proxy.ready(request.Context()) {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return proxy.listen(proxy.spec.ReadinessAddress, mux)
}

func (proxy *Proxy) listenMetrics() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(writer http.ResponseWriter, request *http.Request) {
		ctx, cancel := context.WithTimeout(request.Context(), inspectTimeout)
		defer cancel()
		observe := func(shared *state.State) { metric.ObserveState(proxy.registry, shared, proxy.loop.Now()) }
		if err := proxy.loop.Inspect(ctx, observe); err != nil {
			http.Error(writer, "kernel did not respond", http.StatusServiceUnavailable)
			return
		}
		metric.ObserveLists(proxy.registry, proxy.adapters.ListStatus())
		metric.ObserveCalls(proxy.registry, proxy.adapters.CallCounts())
		metric.ObserveAnswers(proxy.registry, proxy.adapters.AnswerCounts())
		metric.ObserveRuntime(proxy.registry, time.Since(proxy.started))
		proxy.registry.Gauge("log_lines_dropped").Update(proxy.spec.Log.Dropped())
		if err := proxy.registry.WriteText(writer); err != nil {
			proxy.spec.Log.Logger().WithError(err).Debug("failed to send metrics")
		}
	})
	return proxy.listen(proxy.spec.MetricsAddress, mux)
}

func (proxy *Proxy) listenMesh() error {
	if proxy.spec.MeshAddress == "" {
		return nil
	}
	return proxy.mesh.Start()
}

func (proxy *Proxy) listen(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() {
		if err := server.Serve(listener); err != nil {
			proxy.spec.Log.Logger().WithError(err).WithField("address", address).Warn("HTTP server stopped")
		}
	}()
	return nil
}

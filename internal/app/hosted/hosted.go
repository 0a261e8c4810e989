// Package hosted runs a proxy process on a platform that keeps the deployments
// and the list of instances. It holds the order of start and shutdown; how the
// platform speaks is left to the adapters that it is given.
package hosted

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
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

	_ "almondway.dev/almondway/internal/plug/bundle" // registers the plug-ins
)

const (
	// balancerNoticeTime is how long after a shutdown was asked for new callers may still
	// come: the balancer asks every second and believes the second miss.
	balancerNoticeTime = 2300 * time.Millisecond
	// killMargin is the time that is left before the platform kills the process.
	killMargin = 500 * time.Millisecond
	// inspectTimeout is how long the kernel may take to say whether it is ready.
	inspectTimeout = 500 * time.Millisecond
	headerTimeout  = 5 * time.Second
	// reloadInterval is the time between two looks at the settings.
	reloadInterval     = 2 * time.Second
	callerPollInterval = 20 * time.Millisecond
)

// Spec lists what a Host is made of.
type Spec struct {
	Name             string
	DataCenter       string
	Version          string
	Kernel           tune.Spec
	ShutdownGrace    time.Duration
	MetricsAddress   string
	ReadinessAddress string
	ReadinessPath    string
	Log              *logs.Log
	Seed             uint64
	// Reload reads the settings again and returns the grace period in force. It logs
	// what changed and what cannot change at run time. It may be nil.
	Reload func() time.Duration
}

// Callers is the adapter towards callers.
type Callers interface {
	port.Callers
	// Start listens.
	Start() error
	// CloseWhenIdle closes each caller's connection once it rests.
	CloseWhenIdle()
	// Stop takes no new callers.
	Stop()
	// Count returns how many callers are connected.
	Count() int
	// Shutdown closes all connections.
	Shutdown()
}

// Adapters are the adapters of a Host.
type Adapters struct {
	Callers  Callers
	Backend  port.Backend
	Platform port.Platform
	Promoter port.Promoter
	// FollowLists starts to hand the platform's lists to the kernel until the context ends.
	FollowLists func(ctx context.Context)
	// ListStatus tells about these lists.
	ListStatus func() []port.ListStatus
}

// Proxy is a proxy process on a hosting platform.
type Proxy struct {
	spec         Spec
	loop         *daemon.Loop
	registry     *metric.Registry
	kernel       *kern.Kernel
	adapters     Adapters
	started      time.Time
	shuttingDown atomic.Bool
	stopped      chan struct{}
}

// New returns a Host. Nothing listens before Run.
func New(spec Spec) *Proxy {
	spec.Kernel.DrainLimit = max(time.Millisecond, spec.ShutdownGrace-balancerNoticeTime-killMargin)
	self := model.NewProxyView(model.ProxyID(spec.Name), "", model.DataCenter(spec.DataCenter), 0, false, 0)
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

// Inbox returns where the adapters post their events.
func (host *Proxy) Inbox() port.Inbox { return host.loop }

// Stop implements port.Process.
func (host *Proxy) Stop() {
	select {
	case host.stopped <- struct{}{}:
	default:
	}
}

// Send implements port.Peers. Proxies on a hosting platform share what they know
// through its store.
func (host *Proxy) Send(event.SendPeerMessage) {}

// noOperators implements port.Operators: the operator writes to the platform's store.
type noOperators struct{}

// Answer implements port.Operators.
func (noOperators) Answer(event.AnswerOperator) {}

// Run serves until a shutdown is over.
func (host *Proxy) Run(adapters Adapters, signals <-chan os.Signal) error {
	host.adapters = adapters
	host.loop.SetPorts(daemon.Ports{
		Callers:     adapters.Callers,
		Backend:     metric.NewBackend(host.registry, adapters.Backend),
		Platform:    metric.NewPlatform(host.registry, adapters.Platform),
		Promoter:    adapters.Promoter,
		Peers:       host,
		Operators:   noOperators{},
		DecisionLog: metric.NewDecisionLog(host.registry, host.spec.Log, host.kernel.State()),
		Process:     host,
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, listen := range []func() error{host.listenReadiness, host.listenMetrics, adapters.Callers.Start} {
		if err := listen(); err != nil {
			return err
		}
	}
	looped := make(chan struct{})
	go func() {
		defer close(looped)
		host.spec.Log.Guard("kernel", os.Exit, func() { host.loop.Run(ctx) })
	}()
	adapters.FollowLists(ctx)
	host.logEvent("started")
	host.awaitShutdown(signals)
	adapters.Callers.Shutdown()
	cancel()
	<-looped
	host.logEvent("stopped")
	return nil
}

func (host *Proxy) logEvent(name string) {
	host.spec.Log.Logger().WithFields(map[string]any{
		"proxy": host.spec.Name, "data_center": host.spec.DataCenter, "version": host.spec.Version, "metrics": host.spec.MetricsAddress,
	}).Info(name)
}

// awaitShutdown returns when the process shall end. After the order to shut down the
// process serves on until the balancer has noticed; then it takes nothing new and
// ends once nothing is in flight.
func (host *Proxy) awaitShutdown(signals <-chan os.Signal) {
	host.reloadUntilSignal(signals)
	host.logEvent("shutdown asked")
	host.shuttingDown.Store(true)
	host.adapters.Callers.CloseWhenIdle()
	end := time.After(host.spec.ShutdownGrace - killMargin)
	host.wait(balancerNoticeTime, end)
	host.adapters.Callers.Stop()
	host.loop.Post(event.NewShutdownRequested())
	select {
	case <-host.stopped:
	case <-end:
	}
	host.awaitCallersGone(end)
}

// reloadUntilSignal reads the settings again when it is told to, and now and then, since
// they may change without a signal. It returns at the first other signal.
func (host *Proxy) reloadUntilSignal(signals <-chan os.Signal) {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		select {
		case received := <-signals:
			if received != syscall.SIGHUP {
				return
			}
		case <-tick.C:
		}
		if host.spec.Reload != nil {
			host.spec.ShutdownGrace = host.spec.Reload()
		}
	}
}

// wait waits for a time, or for the end.
func (host *Proxy) wait(wait time.Duration, end <-chan time.Time) {
	select {
	case <-time.After(wait):
	case <-end:
	}
}

// awaitCallersGone waits until all callers have gone with their last answers, or for the end.
func (host *Proxy) awaitCallersGone(end <-chan time.Time) {
	tick := time.NewTicker(callerPollInterval)
	defer tick.Stop()
	for host.adapters.Callers.Count() > 0 {
		select {
		case <-tick.C:
		case <-end:
			return
		}
	}
}

// ready reports whether callers should be sent here.
func (host *Proxy) ready(ctx context.Context) bool {
	if host.shuttingDown.Load() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	ready := false
	err := host.loop.Inspect(ctx, func(shared *state.State) { ready = CanServe(shared) })
	return err == nil && ready
}

// CanServe reports whether callers can be served: a configuration is in force and
// some group of it has an instance.
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

func (host *Proxy) listenReadiness() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+host.spec.ReadinessPath, func(writer http.ResponseWriter, request *http.Request) {
		if !host.ready(request.Context()) {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return host.listen(host.spec.ReadinessAddress, mux)
}

func (host *Proxy) listenMetrics() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(writer http.ResponseWriter, request *http.Request) {
		ctx, cancel := context.WithTimeout(request.Context(), inspectTimeout)
		defer cancel()
		observe := func(shared *state.State) { metric.ObserveState(host.registry, shared, host.loop.Now()) }
		if err := host.loop.Inspect(ctx, observe); err != nil {
			http.Error(writer, "the kernel does not answer", http.StatusServiceUnavailable)
			return
		}
		metric.ObserveLists(host.registry, host.adapters.ListStatus())
		metric.ObserveRuntime(host.registry, time.Since(host.started))
		if err := host.registry.WriteText(writer); err != nil {
			host.spec.Log.Logger().WithError(err).Debug("metrics not sent")
		}
	})
	return host.listen(host.spec.MetricsAddress, mux)
}

func (host *Proxy) listen(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen at %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() {
		if err := server.Serve(listener); err != nil {
			host.spec.Log.Logger().WithError(err).WithField("address", address).Warn("server ended")
		}
	}()
	return nil
}

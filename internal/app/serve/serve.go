// Package serve builds a proxy process from its settings and runs it until it has shut
// down. It alone connects the adapters, the kernel and the plug-ins.
package serve

import (
	"context"
	"os"
	"sync"
	"time"

	"almondway.dev/almondway/internal/app/config"
	"almondway.dev/almondway/internal/app/daemon"
	"almondway.dev/almondway/internal/app/logs"
	"almondway.dev/almondway/internal/app/metric"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
)

const (
	// hardStopGrace is the time after the drain limit at which the process stops even if
	// the kernel has not requested it.
	hardStopGrace = 2 * time.Second
	// lastAnswerTimeout is the time that callers have at shutdown to receive their last
	// answers and disconnect.
	lastAnswerTimeout  = 2 * time.Second
	callerPollInterval = 5 * time.Millisecond
)

// Proxy is a proxy process.
type Proxy struct {
	config      *config.Config
	log         *logs.Log
	registry    *metric.Registry
	decisionLog *metric.DecisionLog
	id          model.ProxyID
	version     string
	started     time.Time
	loop        *daemon.Loop
	adapters    *adapters

	stopped   chan struct{}
	stopOnce  sync.Once
	draining  chan struct{}
	drainOnce sync.Once
}

// New returns a Proxy with the given settings. Nothing listens before Run.
func New(config *config.Config, log *logs.Log, version string) (*Proxy, error) {
	id, err := newProxyID(config.ID())
	if err != nil {
		return nil, err
	}
	seed, err := daemon.NewSeed()
	if err != nil {
		return nil, err
	}
	self := model.NewProxyView(id, config.PeerAddress(), model.DataCenter(config.DataCenter()), 0, false, 0)
	started := time.Now()
	kernel := kern.New(self, config.Kernel(), started, seed)
	proxy := &Proxy{
		config:   config,
		log:      log,
		registry: metric.NewRegistry(),
		id:       id,
		version:  version,
		started:  started,
		loop:     daemon.New(kernel, func() time.Duration { return time.Since(started) }),
		stopped:  make(chan struct{}),
		draining: make(chan struct{}),
	}
	if proxy.adapters, err = newAdapters(proxy); err != nil {
		return nil, err
	}
	proxy.decisionLog = metric.NewDecisionLog(proxy.registry, log, kernel.State())
	proxy.loop.SetPorts(proxy.adapters.ports(proxy))
	return proxy, nil
}

// Stop implements port.Process. The process stops once Run has closed the connections.
func (proxy *Proxy) Stop() {
	proxy.stopOnce.Do(func() { close(proxy.stopped) })
}

// Drain waits in the background for the work in flight and then stops the process.
func (proxy *Proxy) Drain() {
	proxy.drainOnce.Do(func() {
		close(proxy.draining)
		proxy.loop.Post(event.NewShutdownRequested(proxy.config.Kernel().DrainLimit()))
	})
}

// Run serves until a shutdown is complete. The first signal starts to drain the proxy,
// which lets work in flight finish; a second signal or the drain limit ends that work, whose
// callers are told the outcome.
// Run returns an error if an address cannot be listened on.
func (proxy *Proxy) Run(signals <-chan os.Signal) error {
	if err := proxy.adapters.start(); err != nil {
		proxy.adapters.close()
		return err
	}
	proxy.run(signals)
	return nil
}

// run serves until a shutdown is complete. The adapters must have been started.
func (proxy *Proxy) run(signals <-chan os.Signal) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	loopDone := make(chan struct{})
	go func() {
		defer close(loopDone)
		proxy.log.Guard("kernel", os.Exit, func() { proxy.loop.Run(ctx) })
	}()
	logger := proxy.log.Logger().WithField("proxy", proxy.id)
	logger.WithField("version", proxy.version).WithField("data_center", proxy.config.DataCenter()).Info("started")
	reason := proxy.awaitEnd(signals)
	proxy.adapters.stopCallers(lastAnswerTimeout)
	proxy.adapters.close()
	cancel()
	<-loopDone
	logger.WithField("reason", reason).Info("stopped")
}

// awaitEnd waits for a reason to stop the process and returns it.
func (proxy *Proxy) awaitEnd(signals <-chan os.Signal) string {
	draining := proxy.draining
	var limit <-chan time.Time
	for {
		select {
		case <-proxy.stopped:
			return "drained"
		case <-limit:
			return "drain limit"
		case <-draining:
			draining = nil
			limit = time.After(proxy.config.Kernel().DrainLimit() + hardStopGrace)
			proxy.log.Logger().WithField("proxy", proxy.id).Info("shutdown asked")
		case <-signals:
			if draining == nil {
				go proxy.loop.Post(event.NewShutdownRequested(0)) // the loop may be busy
				return "second signal"
			}
			proxy.Drain()
		}
	}
}

// Package serve builds a proxy process from its settings and runs it until it
// has shut down. It is the one place where adapters, kernel and plug-ins meet.
package serve

import (
	"context"
	"os"
	"sync"
	"time"

	"almondway.dev/almondway/internal/app/config"
	"almondway.dev/almondway/internal/app/daemon"
	"almondway.dev/almondway/internal/app/logs"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
)

// hardStopGrace is the time beyond the drain limit after which the process ends
// even if the kernel did not ask for it.
const hardStopGrace = 2 * time.Second

// Proxy is a proxy process.
type Proxy struct {
	config  *config.Config
	log     *logs.Log
	id      model.ProxyID
	loop    *daemon.Loop
	stopped chan struct{}
	once    sync.Once
}

// New returns the Proxy of the given settings. Nothing listens before Run.
func New(config *config.Config, log *logs.Log) (*Proxy, error) {
	id, err := newProxyID(config.ID())
	if err != nil {
		return nil, err
	}
	seed, err := newSeed()
	if err != nil {
		return nil, err
	}
	self := model.NewProxyView(id, config.PeerAddress(), model.DataCenter(config.DataCenter()), 0, false, 0)
	started := time.Now()
	kernel := kern.New(self, config.Kernel(), started, seed)
	return &Proxy{
		config:  config,
		log:     log,
		id:      id,
		loop:    daemon.New(kernel, started),
		stopped: make(chan struct{}),
	}, nil
}

// Stop implements port.Process.
func (proxy *Proxy) Stop() {
	proxy.once.Do(func() { close(proxy.stopped) })
}

// Run serves until a signal asks for a shutdown and the shutdown is over. The
// first signal lets work in flight finish; the second one or the drain limit ends it.
func (proxy *Proxy) Run(signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	proxy.loop.Connect(daemon.Ports{Journal: proxy.log, Process: proxy})
	go proxy.loop.Run(ctx)
	proxy.log.Logger().WithField("proxy", proxy.id).Info("started")
	proxy.awaitEnd(signals)
	return nil
}

func (proxy *Proxy) awaitEnd(signals <-chan os.Signal) {
	logger := proxy.log.Logger().WithField("proxy", proxy.id)
	var limit <-chan time.Time
	for asked := false; ; {
		select {
		case <-proxy.stopped:
			logger.Info("stopped")
			return
		case <-limit:
			logger.Warn("stopped at the drain limit")
			return
		case <-signals:
			if asked {
				logger.Warn("stopped at the second signal")
				return
			}
			asked = true
			logger.Info("shutdown asked")
			limit = time.After(proxy.config.Kernel().DrainLimit() + hardStopGrace)
			proxy.loop.Post(event.NewShutdownAsked())
		}
	}
}

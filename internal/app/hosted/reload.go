package hosted

import (
	"os"
	"time"
)

const (
	// reloadInterval is the time between two reloads of the settings.
	reloadInterval = 2 * time.Second
	// lastReloadTime is how long a shutdown waits for the reload that it starts with.
	lastReloadTime = 200 * time.Millisecond
)

// reloadUntilSignal keeps the settings up to date until the first signal, which begins the shutdown,
// and returns when that came. The grace period that is in force then may not have been announced by a signal.
func (proxy *Proxy) reloadUntilSignal(signals <-chan os.Signal) time.Time {
	if proxy.spec.Reload == nil {
		<-signals
		return proxy.beginShutdown()
	}
	stop := make(chan struct{})
	defer close(stop)
	requests, graces := make(chan struct{}), make(chan time.Duration)
	go proxy.reload(requests, graces, stop)
	for {
		select {
		case proxy.spec.ShutdownGrace = <-graces:
		case <-signals:
			asked := proxy.beginShutdown()
			proxy.reloadLast(requests, graces)
			return asked
		}
	}
}

// reloadLast reloads the settings once more. It does not wait for a reload that hangs.
func (proxy *Proxy) reloadLast(requests chan<- struct{}, graces <-chan time.Duration) {
	timeout := time.After(lastReloadTime)
	for requested := false; ; {
		select {
		case requests <- struct{}{}:
			requested, requests = true, nil
		case proxy.spec.ShutdownGrace = <-graces:
			if requested {
				return
			}
		case <-timeout:
			return
		}
	}
}

// reload reloads the settings on request, on SIGHUP and every reloadInterval, since they may change
// without a signal, until stop is closed. It sends the shutdown grace periods in force to graces.
func (proxy *Proxy) reload(requests <-chan struct{}, graces chan<- time.Duration, stop <-chan struct{}) {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		select {
		case <-requests:
		case <-proxy.spec.Hangups:
		case <-tick.C:
		case <-stop:
			return
		}
		select {
		case graces <- proxy.spec.Reload():
		case <-stop:
			return
		}
	}
}

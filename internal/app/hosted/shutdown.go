package hosted

import (
	"os"
	"time"

	"almondway.dev/almondway/internal/core/event"
)

const (
	// balancerNoticeTime is how long new callers may still connect after a shutdown
	// request: the load balancer checks readiness every second and stops sending callers
	// after the second failed check.
	balancerNoticeTime = 2300 * time.Millisecond
	// killMargin is the part of the shutdown grace period that is kept in reserve, so
	// that the process exits before the platform kills it.
	killMargin = 500 * time.Millisecond
	// lastAnswerTime is kept for sending the answers to the requests that are still running
	// at the end of the drain.
	lastAnswerTime     = 500 * time.Millisecond
	callerPollInterval = 20 * time.Millisecond
)

// logShutdown logs a step of the shutdown with the callers that are still connected.
func (proxy *Proxy) logShutdown(step string) {
	fields := map[string]any{"proxy": proxy.spec.Name, "shutdown_grace": proxy.spec.ShutdownGrace.String()}
	for state, count := range proxy.adapters.Callers.CountByState() {
		fields["callers_"+state] = count
	}
	proxy.spec.Log.Logger().WithFields(fields).Info(step)
}

// isAsked reports whether a shutdown was requested during the start.
func isAsked(signals <-chan os.Signal) bool {
	select {
	case <-signals:
		return true
	default:
		return false
	}
}

// beginShutdown makes the proxy not ready and returns the time from which the grace period counts.
func (proxy *Proxy) beginShutdown() time.Time {
	proxy.shuttingDown.Store(true)
	return time.Now()
}

// awaitShutdown returns when the process may exit. After a shutdown request the proxy
// keeps serving until the load balancer sends no more callers. It then stops accepting
// callers and waits for the work in flight. The kernel answers what still runs at the end of
// the drain, and each connection is closed after its last answer.
func (proxy *Proxy) awaitShutdown(signals <-chan os.Signal) {
	asked := proxy.reloadUntilSignal(signals)
	phases := newPhases(proxy.spec.ShutdownGrace)
	proxy.logShutdown("shutdown asked")
	proxy.adapters.Callers.CloseWhenIdle()
	time.Sleep(time.Until(asked.Add(phases.notice)))
	proxy.logShutdown("callers stopped")
	proxy.adapters.Callers.Stop()
	// The shutdown goes on if the loop does not take the event.
	go proxy.loop.Post(event.NewShutdownRequested(time.Until(asked.Add(phases.drain))).WithRequestedAt(proxy.Now()))
	select {
	case <-proxy.stopped:
	case <-time.After(time.Until(asked.Add((phases.drain + phases.answers) / 2))):
	}
	proxy.adapters.Callers.CloseAll()
	proxy.awaitCallersGone(asked.Add(phases.answers))
}

// phases are the ends of the phases of a shutdown, counted from its beginning.
type phases struct {
	notice  time.Duration // callers are accepted
	drain   time.Duration // requests in flight are finished
	answers time.Duration // the last answers are sent
}

// newPhases divides a grace period. Transactions have at least half of it.
func newPhases(grace time.Duration) phases {
	answers := grace - min(killMargin, grace/4)
	drain := answers - min(lastAnswerTime, answers/4)
	return phases{notice: min(balancerNoticeTime, drain/2), drain: drain, answers: answers}
}

// awaitCallersGone waits until all callers have received their last answers and
// disconnected, but not beyond end.
func (proxy *Proxy) awaitCallersGone(end time.Time) {
	for proxy.adapters.Callers.Count() > 0 && time.Now().Before(end) {
		time.Sleep(callerPollInterval)
	}
}

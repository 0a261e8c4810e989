package hosted

import (
	"io"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/app/logs"
	"almondway.dev/almondway/internal/core/port"
)

// loyalCallers is a caller that never disconnects by itself.
type loyalCallers struct{ port.Callers }

func (loyalCallers) Start() error   { return nil }
func (loyalCallers) CloseWhenIdle() {}
func (loyalCallers) Stop()          {}
func (loyalCallers) CloseAll()      {}
func (loyalCallers) Count() int     { return 1 }
func (loyalCallers) CountByState() map[string]int {
	return map[string]int{"in_transaction": 1}
}
func (loyalCallers) Shutdown() {}

// TestShutdownEndsWithinGrace checks that a proxy with a caller that does not disconnect
// stops before the platform kills it, whichever step of the shutdown uses up the time.
func TestShutdownEndsWithinGrace(t *testing.T) {
	tests := []struct {
		name     string
		grace    time.Duration
		reloaded time.Duration // the grace period after a reload before the shutdown, or 0
	}{
		{name: "shorter than the time of the load balancer", grace: killMargin + 100*time.Millisecond},
		{name: "ends while requests are in flight", grace: balancerNoticeTime + killMargin + 100*time.Millisecond},
		{name: "shortened by a reload", grace: time.Minute, reloaded: time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			log, err := logs.New(io.Discard, "info", 1)
			is.NoErr(err)
			spec := Spec{Name: "proxy", ShutdownGrace: test.grace, Log: log}
			signals, hangups := make(chan os.Signal, 1), make(chan os.Signal)
			if test.reloaded > 0 {
				test.grace = test.reloaded
				spec.Hangups = hangups
				spec.Reload = func() time.Duration { return test.reloaded }
			}
			proxy := New(spec)
			proxy.adapters.Callers = loyalCallers{}
			ended := make(chan struct{})
			go func() {
				proxy.awaitShutdown(signals)
				close(ended)
			}()
			if test.reloaded > 0 {
				hangups <- syscall.SIGHUP
				hangups <- syscall.SIGHUP // is received when the first reload is in force
			}
			signals <- syscall.SIGTERM
			select {
			case <-ended:
			case <-time.After(test.grace):
				t.Fatal("the proxy still waits when its grace period has passed")
			}
		})
	}
}

func TestPhases(t *testing.T) {
	for _, grace := range []time.Duration{100 * time.Millisecond, time.Second, 2 * time.Second, 6 * time.Second, time.Minute} {
		t.Run(grace.String(), func(t *testing.T) {
			is := is.New(t)
			phases := newPhases(grace)
			is.True(phases.notice > 0 && phases.notice < phases.drain)
			is.True(phases.drain >= grace/2) // what an open transaction has at least
			is.True(phases.drain < phases.answers)
			is.True(phases.answers < grace)
		})
	}
}

// startedCallers reports that callers are accepted.
type startedCallers struct {
	loyalCallers
	t *testing.T
}

func (callers startedCallers) Start() error {
	callers.t.Error("callers are accepted")
	return nil
}

func TestTerminationDuringStartAcceptsNoCallers(t *testing.T) {
	is := is.New(t)
	log, err := logs.New(io.Discard, "info", 1)
	is.NoErr(err)
	proxy := New(Spec{Name: "proxy", ShutdownGrace: time.Second, Log: log, ReadinessAddress: "127.0.0.1:0", ReadinessPath: "/ready", MetricsAddress: "127.0.0.1:0"})
	signals := make(chan os.Signal, 1)
	signals <- syscall.SIGTERM
	is.NoErr(proxy.Run(Adapters{Callers: startedCallers{t: t}}, signals))
}

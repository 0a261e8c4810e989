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
func (loyalCallers) Count() int     { return 1 }
func (loyalCallers) CountByState() map[string]int {
	return map[string]int{"in_transaction": 1}
}
func (loyalCallers) Shutdown() {}

// TestShutdownEndsWithinGrace checks that a proxy with a caller that does not disconnect
// stops before the platform kills it, whichever step of the shutdown uses up the time.
func TestShutdownEndsWithinGrace(t *testing.T) {
	tests := []struct {
		name  string
		grace time.Duration
	}{
		{"shorter than the time of the load balancer", killMargin + 100*time.Millisecond},
		{"ends while requests are in flight", balancerNoticeTime + killMargin + 100*time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			log, err := logs.New(io.Discard, "info", 1)
			is.NoErr(err)
			proxy := New(Spec{Name: "proxy", ShutdownGrace: test.grace, Log: log})
			proxy.adapters.Callers = loyalCallers{}
			signals := make(chan os.Signal, 1)
			signals <- syscall.SIGTERM
			ended := make(chan struct{})
			go func() {
				proxy.awaitShutdown(signals)
				close(ended)
			}()
			select {
			case <-ended:
			case <-time.After(test.grace):
				t.Fatal("the proxy still waits when its grace period has passed")
			}
		})
	}
}

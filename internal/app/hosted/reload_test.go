package hosted

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a shutdown that ignores a reload before it, or waits for one that hangs.
func TestGraceInForceAtTermination(t *testing.T) {
	const before, after = 6 * time.Second, 9 * time.Second
	tests := []struct {
		name    string
		reloads []time.Duration // the grace periods that reloads return; the next one hangs
		want    time.Duration
	}{
		{"no reload", nil, before},
		{"one reload", []time.Duration{after}, after},
		{"several reloads", []time.Duration{before, after, before, after}, after},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			graces := make(chan time.Duration)
			hangups := make(chan os.Signal, 1)
			proxy := New(Spec{Name: "proxy", ShutdownGrace: before, Hangups: hangups, Reload: func() time.Duration { return <-graces }})
			signals, ended := make(chan os.Signal, 1), make(chan struct{})
			go func() {
				proxy.reloadUntilSignal(signals)
				close(ended)
			}()
			for _, grace := range test.reloads {
				hangups <- syscall.SIGHUP
				graces <- grace
			}
			hangups <- syscall.SIGHUP
			for len(hangups) > 0 {
				time.Sleep(time.Millisecond)
			}
			signals <- syscall.SIGTERM
			select {
			case <-ended:
			case <-time.After(5 * time.Second):
				t.Fatal("the termination waits for the reload")
			}
			is.Equal(proxy.spec.ShutdownGrace, test.want)
		})
	}
}

func TestGraceChangedWithoutSignal(t *testing.T) {
	is := is.New(t)
	const changed = 4 * time.Second
	proxy := New(Spec{Name: "proxy", ShutdownGrace: 6 * time.Second, Reload: func() time.Duration { return changed }})
	signals := make(chan os.Signal, 1)
	signals <- syscall.SIGTERM
	proxy.reloadUntilSignal(signals)
	is.Equal(proxy.spec.ShutdownGrace, changed)
}

package serve

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/spf13/pflag"

	"almondway.dev/almondway/internal/app/config"
	"almondway.dev/almondway/internal/app/logs"
)

// syncBuffer is a buffer for log lines that is safe for concurrent use.
type syncBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (syncBuffer *syncBuffer) Write(line []byte) (int, error) {
	syncBuffer.mutex.Lock()
	defer syncBuffer.mutex.Unlock()
	return syncBuffer.buffer.Write(line)
}

func (syncBuffer *syncBuffer) text() string {
	syncBuffer.mutex.Lock()
	defer syncBuffer.mutex.Unlock()
	return syncBuffer.buffer.String()
}

type runningProxy struct {
	proxy   *Proxy
	output  *syncBuffer
	log     *logs.Log
	signals chan os.Signal
	done    chan struct{}
}

// startProxy starts a proxy whose platform is unreachable.
func startProxy(t *testing.T, args ...string) *runningProxy {
	t.Helper()
	output := &syncBuffer{}
	started := startProxyWith(t, output, args...)
	started.output = output
	return started
}

// startProxyWith starts a proxy that writes its log to output.
func startProxyWith(t *testing.T, output io.Writer, args ...string) *runningProxy {
	t.Helper()
	is := is.New(t)
	flags := pflag.NewFlagSet("proxy", pflag.ContinueOnError)
	loader := config.NewLoader(flags)
	is.NoErr(flags.Parse(append([]string{
		"--id", "test", "--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0",
		"--admin-listen", "127.0.0.1:0", "--platform", "http://127.0.0.1:1",
	}, args...)))
	settings, err := loader.Load(func(string) (string, bool) { return "", false })
	is.NoErr(err)
	started := &runningProxy{signals: make(chan os.Signal, 2), done: make(chan struct{})}
	started.log, err = logs.New(output, "info", 1)
	is.NoErr(err)
	started.proxy, err = New(settings, started.log, "test")
	is.NoErr(err)
	is.NoErr(started.proxy.adapters.start())
	go func() {
		started.proxy.run(started.signals)
		close(started.done)
	}()
	return started
}

func (runningProxy *runningProxy) get(t *testing.T, path string) (int, string) {
	t.Helper()
	is := is.New(t)
	response, err := http.Get("http://" + runningProxy.proxy.adapters.adminServer.listener.Addr().String() + path)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return response.StatusCode, string(body)
}

func TestHealthAndDrainWithoutAPlatform(t *testing.T) {
	is := is.New(t)
	running := startProxy(t)
	status, _ := running.get(t, "/healthz")
	is.Equal(status, http.StatusOK)
	status, body := running.get(t, "/readyz")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(body, "no revision of the deployments is known\n")
	status, body = running.get(t, "/metrics")
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(body, "almondway_revision_known 0\n"))
	status, body = running.get(t, "/metrics.json")
	is.Equal(status, http.StatusOK)
	is.True(strings.HasPrefix(body, "{"))

	running.signals <- syscall.SIGTERM
	<-running.done
	running.log.Close()
	is.True(strings.Contains(running.output.text(), `"reason":"drained"`))
	_, err := net.Dial("tcp", running.proxy.adapters.adminServer.listener.Addr().String())
	is.True(err != nil) // the port is closed
}

func TestSecondSignalEndsAtOnce(t *testing.T) {
	is := is.New(t)
	running := startProxy(t)
	running.proxy.drainOnce.Do(func() { close(running.proxy.draining) }) // the kernel gets no shutdown request, so that the drain never ends
	for !strings.Contains(running.output.text(), "shutdown asked") {
		running.get(t, "/healthz")
	}
	running.signals <- syscall.SIGINT
	<-running.done
	running.log.Close()
	is.True(strings.Contains(running.output.text(), `"reason":"second signal"`))
}

// TestOutputIsNotRead guards against a proxy that serves on after SIGTERM because its log is not read.
func TestOutputIsNotRead(t *testing.T) {
	is := is.New(t)
	_, blocked := io.Pipe()
	running := startProxyWith(t, blocked)
	status, _ := running.get(t, "/healthz")
	is.Equal(status, http.StatusOK)
	running.signals <- syscall.SIGTERM
	ended := make(chan struct{})
	go func() {
		<-running.done
		running.log.Close()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the proxy waits for the output")
	}
}

func TestNewRejectsInvalidSettings(t *testing.T) {
	is := is.New(t)
	log, err := logs.New(io.Discard, "info", 1)
	is.NoErr(err)
	spec := config.Default()
	spec.AdminListen, spec.OperatorTokensFile = "0.0.0.0:6434", t.TempDir()+"/none"
	settings, err := config.New(spec)
	is.NoErr(err)
	_, err = New(settings, log, "test")
	is.True(err != nil) // the token file is missing
	is.NoErr(os.WriteFile(spec.OperatorTokensFile, nil, 0o600))
	_, err = New(settings, log, "test")
	is.True(err != nil && strings.Contains(err.Error(), "contains no token"))
	spec = config.Default()
	spec.AdminTLSCert, spec.AdminTLSKey = "none", "none"
	settings, err = config.New(spec)
	is.NoErr(err)
	_, err = New(settings, log, "test")
	is.True(err != nil)
}

func TestProxyIDIsNewAtEachStart(t *testing.T) {
	is := is.New(t)
	first, err := newProxyID("p1")
	is.NoErr(err)
	second, err := newProxyID("p1")
	is.NoErr(err)
	is.True(first != second)
	is.True(strings.HasPrefix(string(first), "p1-"))
	host, err := newProxyID("")
	is.NoErr(err)
	is.True(!invalidIDChars.MatchString(string(host)))
}

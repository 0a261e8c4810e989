package whole

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/app/cmds"
	"almondway.dev/almondway/internal/app/config"
	"almondway.dev/almondway/internal/app/logs"
	"almondway.dev/almondway/internal/app/serve"
	_ "almondway.dev/almondway/internal/plug/bundle" // registers the plug-ins
	"almondway.dev/almondway/internal/stand/insta"
	"almondway.dev/almondway/internal/stand/plat"
	"almondway.dev/almondway/internal/stand/procs"
	"almondway.dev/almondway/internal/stand/topol"
)

const (
	testTimeout    = 20 * time.Second
	deploymentYAML = `
name: katalog
groups: [katalog-1]
default_kind: browse
kinds:
  - {name: browse, access: read, staleness: 10s, timeout: 5s}
  - {name: seat_count, access: read, timeout: 5s}
  - {name: edit, access: write, idempotent: true, timeout: 5s}
callers:
  - {name: registrar, read_your_writes: true}
  - {name: student}
`
)

// system is a running proxy with the stand-ins of its platform and instances.
type system struct {
	callerAddress string
	adminAddress  string
	topology      topol.Spec
	instances     []*insta.Instance
	signals       chan os.Signal
	stopped       chan struct{} // closed once the proxy has ended
}

// newSystem starts one group of three instances and a proxy, and applies a deployment.
func newSystem(t testing.TB) *system {
	t.Helper()
	return newSystemWith(t, func(*config.Spec) {})
}

// newSystemWith starts a system whose proxy has changed settings.
func newSystemWith(t testing.TB, change func(spec *config.Spec)) *system {
	t.Helper()
	is := is.New(t)
	ports := procs.NewPortAllocator()
	address := func() string { return fmt.Sprintf("127.0.0.1:%d", ports.Port()) }
	spec := topol.Spec{Slots: 8, Connections: 40}
	group := topol.GroupSpec{ID: "katalog-1"}
	for index := range 3 {
		group.Instances = append(group.Instances, topol.InstanceSpec{
			ID:         fmt.Sprintf("katalog-1-%c", 'a'+index),
			Address:    address(),
			DataCenter: "gradska-dvorana",
			Primary:    index == 0,
		})
	}
	spec.Groups = []topol.GroupSpec{group}
	system := &system{
		callerAddress: address(),
		adminAddress:  address(),
		topology:      spec,
		signals:       make(chan os.Signal, 1),
		stopped:       make(chan struct{}),
	}
	for _, self := range group.Instances {
		system.instances = append(system.instances, startInstance(t, spec, self))
	}
	platform := httptest.NewServer(plat.New(spec).Handler())
	t.Cleanup(platform.Close)
	system.startProxy(t, platform.URL, address(), change)
	is.NoErr(procs.Poll(system.context(t), func() error {
		return procs.CheckHealthy(context.Background(), "http://"+system.adminAddress+"/healthz")
	}))
	system.applyDeployment(t)
	return system
}

func startInstance(t testing.TB, spec topol.Spec, self topol.InstanceSpec) *insta.Instance {
	t.Helper()
	is := is.New(t)
	instance, err := insta.New(spec, self.ID, insta.Options{})
	is.NoErr(err)
	listener, err := net.Listen("tcp", self.Address)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	instance.Start()
	go func() { _ = instance.Serve(ctx, listener) }()
	return instance
}

func (system *system) startProxy(t testing.TB, platformURL, peerAddress string, change func(spec *config.Spec)) {
	t.Helper()
	is := is.New(t)
	spec := config.Default()
	spec.ID, spec.DataCenter = "proxy-1", "gradska-dvorana"
	spec.Listen, spec.AdminListen, spec.PeerListen, spec.PeerAddress = system.callerAddress, system.adminAddress, peerAddress, peerAddress
	spec.Platform = platformURL
	spec.Kernel.ConnsPerInstance, spec.Kernel.SlotsPerInstance = 40, 8
	change(&spec)
	settings, err := config.New(spec)
	is.NoErr(err)
	log, err := logs.New(io.Discard, "error", 0)
	is.NoErr(err)
	proxy, err := serve.New(settings, log, "test")
	is.NoErr(err)
	go func() {
		defer close(system.stopped)
		if err := proxy.Run(system.signals); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		proxy.Stop()
		<-system.stopped
		log.Close()
	})
}

// applyDeployment applies the deployment with the command-line client and waits until the proxy
// accepts callers.
func (system *system) applyDeployment(t testing.TB) {
	t.Helper()
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "katalog.yaml")
	is.NoErr(os.WriteFile(file, []byte(deploymentYAML), 0o600))
	is.NoErr(procs.Poll(system.context(t), func() error {
		return procs.CheckHealthy(context.Background(), "http://"+system.adminAddress+"/readyz")
	}))
	is.Equal(cmds.Run([]string{"deployment", "apply", file, "--admin", "http://" + system.adminAddress}, io.Discard, os.Stderr), 0)
	is.NoErr(procs.Poll(system.context(t), func() error {
		return procs.CheckListening(context.Background(), system.callerAddress)
	}))
}

func (system *system) context(t testing.TB) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// url returns the connection string for a caller class.
func (system *system) url(class string) string {
	return "postgres://" + class + "@" + system.callerAddress + "/katalog?sslmode=disable"
}

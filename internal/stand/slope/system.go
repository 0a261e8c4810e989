package slope

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/proto/admpb"
	"almondway.dev/almondway/internal/stand/insta"
	"almondway.dev/almondway/internal/stand/plat"
	"almondway.dev/almondway/internal/stand/procs"
	"almondway.dev/almondway/internal/stand/topol"
)

const (
	readyTimeout = 30 * time.Second
	// slots and connections of the stand-in instances are high enough not to limit the measured load.
	slots       = 64
	connections = 200
)

// system runs the platform and the instances in this process, and each proxy in its own process.
type system struct {
	ctx          context.Context
	cancel       context.CancelFunc
	pool         *procs.Pool
	ports        *procs.PortAllocator
	proxyProgram string
	platformURL  string
	proxies      []*proxy
}

// proxy is a proxy process.
type proxy struct {
	proc         *procs.Proc
	address      string
	adminAddress string
}

func newSystem(ctx context.Context, program, dir string, groups int) (*system, error) {
	ctx, cancel := context.WithCancel(ctx)
	ports := procs.NewPortAllocator()
	system := &system{ctx: ctx, cancel: cancel, pool: procs.NewPool(dir), ports: ports, proxyProgram: program}
	spec := topology(ports, groups)
	if err := system.startBackend(spec); err != nil {
		system.stop()
		return nil, err
	}
	return system, nil
}

// topology returns groups of three instances without simulated delays.
func topology(ports *procs.PortAllocator, groups int) topol.Spec {
	spec := topol.Spec{Slots: slots, Connections: connections}
	for number := range groups {
		group := topol.GroupSpec{ID: groupName(number)}
		for index := range 3 {
			group.Instances = append(group.Instances, topol.InstanceSpec{
				ID:         fmt.Sprintf("%s-%c", group.ID, 'a'+index),
				Address:    fmt.Sprintf("127.0.0.1:%d", ports.Port()),
				DataCenter: "local",
				Primary:    index == 0,
			})
		}
		spec.Groups = append(spec.Groups, group)
	}
	return spec
}

func groupName(number int) string { return fmt.Sprintf("group-%d", number+1) }

func (system *system) startBackend(spec topol.Spec) error {
	for _, group := range spec.Groups {
		for _, member := range group.Instances {
			instance, err := insta.New(spec, member.ID, insta.Options{})
			if err != nil {
				return err
			}
			listener, err := net.Listen("tcp", member.Address)
			if err != nil {
				return errors.Wrapf(err, "listen for instance %s", member.ID)
			}
			instance.Start()
			go func() { _ = instance.Serve(system.ctx, listener) }()
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for platform")
	}
	system.platformURL = "http://" + listener.Addr().String()
	server := &http.Server{Handler: plat.New(spec).Handler(), ReadHeaderTimeout: readyTimeout}
	context.AfterFunc(system.ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return nil
}

// startProxies starts proxies with additional arguments and waits until they are ready.
func (system *system) startProxies(count int, args ...string) error {
	ctx, cancel := context.WithTimeout(system.ctx, readyTimeout)
	defer cancel()
	for range count {
		started := &proxy{
			address:      fmt.Sprintf("127.0.0.1:%d", system.ports.Port()),
			adminAddress: fmt.Sprintf("127.0.0.1:%d", system.ports.Port()),
		}
		name := fmt.Sprintf("proxy-%d", len(system.proxies)+1)
		proc, err := system.pool.Start(name, system.proxyProgram, append([]string{
			"proxy", "--id", name, "--listen", started.address, "--admin-listen", started.adminAddress,
			"--peer-listen", fmt.Sprintf("127.0.0.1:%d", system.ports.Port()),
			"--platform", system.platformURL, "--log-level", "error",
		}, args...)...)
		if err != nil {
			return err
		}
		started.proc = proc
		system.proxies = append(system.proxies, started)
	}
	for _, proxy := range system.proxies {
		err := procs.Poll(ctx, func() error { return procs.CheckHealthy(ctx, "http://"+proxy.adminAddress+"/readyz") })
		if err != nil {
			return err
		}
	}
	return nil
}

func (system *system) stop() {
	system.pool.Stop()
	system.cancel()
}

func (proxy *proxy) adminClient() admpb.AdminServiceClient {
	return admpb.NewAdminServiceClient(http.DefaultClient, "http://"+proxy.adminAddress)
}

// readCounter returns the value of a counter from the metrics of the proxy.
func (proxy *proxy) readCounter(name string) (float64, error) {
	response, err := http.Get("http://" + proxy.adminAddress + "/metrics.json")
	if err != nil {
		return 0, errors.Wrap(err, "read metrics")
	}
	defer func() { _ = response.Body.Close() }()
	var values map[string]struct {
		Count float64 `json:"count"`
	}
	if err := json.NewDecoder(response.Body).Decode(&values); err != nil {
		return 0, errors.Wrap(err, "decode metrics")
	}
	return values["almondway_"+name].Count, nil
}

// newWorkDir creates a temporary directory for the logs of the processes.
func newWorkDir() (string, error) {
	dir, err := os.MkdirTemp("", "almondway-slopes-")
	return dir, errors.Wrap(err, "create slopes directory")
}

func almondwayPath(programs string) string { return filepath.Join(programs, "almondway") }

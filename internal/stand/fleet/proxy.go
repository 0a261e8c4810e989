package fleet

import (
	"context"
	"fmt"
	"os/exec"
	"strings"

	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/stand/procs"
)

// Proxy is a proxy process.
type Proxy struct {
	proc         *procs.Proc
	id           string
	dataCenter   string
	address      string
	adminAddress string
}

// ID returns the --id of the proxy, which is also the name of its process.
func (proxy *Proxy) ID() string { return proxy.id }

// Address returns the "ip:port" for callers.
func (proxy *Proxy) Address() string { return proxy.address }

// AdminAddress returns the "ip:port" of the admin API.
func (proxy *Proxy) AdminAddress() string { return proxy.adminAddress }

// Process returns the process of the proxy.
func (proxy *Proxy) Process() *procs.Proc { return proxy.proc }

// Proxies returns the proxies in start order.
func (fleet *Fleet) Proxies() []*Proxy { return fleet.proxies }

// StartProxy starts another proxy in a data centre. It does not wait until the proxy is ready.
func (fleet *Fleet) StartProxy(dataCenter string) (*Proxy, error) {
	fleet.lastProxyNumber++
	proxy := &Proxy{
		id:           fmt.Sprintf("proxy-%d", fleet.lastProxyNumber),
		dataCenter:   dataCenter,
		address:      fmt.Sprintf("127.0.0.1:%d", fleet.spec.Ports.Port()),
		adminAddress: fmt.Sprintf("127.0.0.1:%d", fleet.spec.Ports.Port()),
	}
	args := []string{
		"proxy", "--id", proxy.id, "--data-center", dataCenter,
		"--listen", proxy.address, "--admin-listen", proxy.adminAddress,
		"--peer-listen", fmt.Sprintf("127.0.0.1:%d", fleet.spec.Ports.Port()),
		"--platform", "http://" + fleet.platformAddress,
	}
	proc, err := fleet.pool.Start(proxy.id, fleet.programPath("almondway"), append(args, fleet.spec.ProxyArgs...)...)
	if err != nil {
		return nil, err
	}
	proxy.proc = proc
	fleet.proxies = append(fleet.proxies, proxy)
	return proxy, nil
}

// RemoveProxy removes a proxy from the list. It does not stop the process.
func (fleet *Fleet) RemoveProxy(removed *Proxy) {
	remaining := make([]*Proxy, 0, len(fleet.proxies))
	for _, proxy := range fleet.proxies {
		if proxy != removed {
			remaining = append(remaining, proxy)
		}
	}
	fleet.proxies = remaining
}

// AwaitProxy waits until the readiness check of a proxy succeeds. It fails at once if the process has exited.
func (fleet *Fleet) AwaitProxy(ctx context.Context, proxy *Proxy) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return procs.Poll(ctx, func() error {
		if !proxy.proc.Alive() {
			cancel()
			return errors.Errorf("proxy %s exited with code %d; its log is in %s", proxy.id, proxy.proc.ExitCode(), fleet.spec.Dir)
		}
		return procs.CheckHealthy(ctx, "http://"+proxy.adminAddress+"/readyz")
	})
}

// RunAlmondway runs an almondway command against the admin API of a proxy and returns its combined output.
func (fleet *Fleet) RunAlmondway(ctx context.Context, proxy *Proxy, args ...string) (string, error) {
	args = append(args, "--admin", "http://"+proxy.adminAddress)
	output, err := exec.CommandContext(ctx, fleet.programPath("almondway"), args...).CombinedOutput()
	text := strings.TrimSpace(string(output))
	return text, errors.Wrapf(err, "almondway %s: %s", strings.Join(args, " "), text)
}

// ApplyDeployment applies a deployment file through the first proxy and waits until the
// deployment is in force on every proxy.
func (fleet *Fleet) ApplyDeployment(ctx context.Context, file, deployment string) error {
	if _, err := fleet.RunAlmondway(ctx, fleet.proxies[0], "deployment", "apply", file); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, proxy := range fleet.proxies {
		err := procs.Poll(ctx, func() error {
			_, err := fleet.RunAlmondway(ctx, proxy, "deployment", "get", deployment)
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

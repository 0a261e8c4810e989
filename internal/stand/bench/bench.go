// Package bench measures the performance of one proxy process: the latency that it adds
// to a statement, its throughput, and the memory of idle callers.
package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/stand/fleet"
	"almondway.dev/almondway/internal/stand/load"
	"almondway.dev/almondway/internal/stand/procs"
	"almondway.dev/almondway/internal/stand/topol"
)

const (
	deployment     = "gradski"
	deploymentFile = "gradski-full.yaml"
	slots          = 64
	connections    = 100
)

// Options configure a benchmark run.
type Options struct {
	// Programs is the directory that contains the built programs.
	Programs string
	// Examples is the directory that contains the deployment files.
	Examples string
	// ProxyArgs are additional command-line arguments of the proxy.
	ProxyArgs []string
	// Output receives one JSON line per figure.
	Output io.Writer
}

// bench is a running system with one proxy and no simulated network delay.
type bench struct {
	options Options
	fleet   *fleet.Fleet
	proxy   *fleet.Proxy
	group   topol.GroupSpec
}

// Run measures all figures sequentially, each on a newly started system.
func Run(ctx context.Context, options Options) error {
	for _, figure := range []func(*bench, context.Context) error{(*bench).measureOverhead, (*bench).measureThroughput, (*bench).measureIdleCallers} {
		if err := runFigure(ctx, options, figure); err != nil {
			return err
		}
	}
	return nil
}

// runFigure starts a system and measures one figure on it. The logs of the processes are
// kept if the measurement fails.
func runFigure(ctx context.Context, options Options, figure func(*bench, context.Context) error) error {
	dir, err := os.MkdirTemp("", "almondway-bench-")
	if err != nil {
		return errors.Wrap(err, "create benchmark directory")
	}
	ports := procs.NewPortAllocator()
	spec := topol.Spec{Groups: topol.Zagreb().Spec(ports).Groups, Slots: slots, Connections: connections}
	started, err := fleet.New(fleet.Spec{
		Dir:      dir,
		Programs: options.Programs,
		Topology: spec,
		Ports:    ports,
		ProxyArgs: append([]string{
			"--slots-per-instance", fmt.Sprint(slots), "--conns-per-instance", fmt.Sprint(connections),
			"--log-sample", "0", "--log-level", "warn",
		}, options.ProxyArgs...),
	})
	if err != nil {
		return err
	}
	defer started.Stop()
	bench := &bench{options: options, fleet: started, group: spec.Groups[0]}
	if err := bench.start(ctx); err != nil {
		return errors.Wrapf(err, "start system (logs in %s)", dir)
	}
	if err := figure(bench, ctx); err != nil {
		return errors.Wrapf(err, "measure figure (logs in %s)", dir)
	}
	return errors.Wrap(os.RemoveAll(dir), "remove benchmark directory")
}

func (bench *bench) start(ctx context.Context) error {
	if err := bench.fleet.StartBackend(ctx); err != nil {
		return err
	}
	proxy, err := bench.fleet.StartProxy(topol.Zagreb().DataCenters()[0])
	if err != nil {
		return err
	}
	bench.proxy = proxy
	if err := bench.fleet.AwaitProxy(ctx, proxy); err != nil {
		return err
	}
	if err := bench.fleet.ApplyDeployment(ctx, filepath.Join(bench.options.Examples, deploymentFile), deployment); err != nil {
		return err
	}
	conn, err := load.Connect(ctx, bench.group.Primary().Address, "bench", deployment, 0)
	if err != nil {
		return errors.Wrap(err, "connect to primary")
	}
	defer func() { _ = conn.Close(ctx) }()
	_, err = conn.Exec(ctx, "INSERT INTO kv (key, value) VALUES ('course-17', '0')").ReadAll()
	return errors.Wrap(err, "insert key")
}

// taggedSQL prefixes a statement with the comment that names its kind and the group.
func (bench *bench) taggedSQL(kind, sql string) string {
	return fmt.Sprintf("/*kind='%s',group='%s'*/ %s", kind, bench.group.ID, sql)
}

func (bench *bench) printFigure(figure any) error {
	return errors.Wrap(json.NewEncoder(bench.options.Output).Encode(figure), "print figure")
}

func microseconds(duration time.Duration) float64 { return float64(duration.Nanoseconds()) / 1000 }

// Package demo runs the whole system as separate processes on the loopback address and
// shows routing, failover and drain step by step.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/stand/fleet"
	"almondway.dev/almondway/internal/stand/procs"
	"almondway.dev/almondway/internal/stand/topol"
)

const (
	demoTimeout            = 55 * time.Second
	proxyCount             = 3
	catalogueGroup         = "katalog-1"
	breakfastGroup         = "breakfast-1"
	courseKey              = "course-17"
	hotelKey               = "hotel-pavilion"
	writeTimeout           = 15 * time.Second
	drainTimeout           = 15 * time.Second
	gradskiDeployment      = "gradski"
	morningTableDeployment = "morning-table"
)

// Options configure a demo run.
type Options struct {
	// Programs is the directory that contains the built programs.
	Programs string
	// Examples is the directory that contains the deployment files.
	Examples string
	// Output receives one line per step.
	Output io.Writer
}

// demo is the state of one run.
type demo struct {
	options Options
	fleet   *fleet.Fleet

	token    string // session token of the registrar
	killedID string // id of the former primary
	killedAt time.Time
}

type step struct {
	name string
	run  func(*demo, context.Context) (string, error)
}

var steps = []step{
	{"start platform and instances", (*demo).startBackend},
	{"start proxies", (*demo).startProxies},
	{"apply deployments", (*demo).applyDeployments},
	{"registrar writes", (*demo).registrarWrites},
	{"registrar reads through another proxy", (*demo).registrarReadsThroughOtherProxy},
	{"student reads from a replica", (*demo).studentReads},
	{"hotel counts heads", (*demo).hotelCounts},
	{"kill a primary", (*demo).killPrimary},
	{"write after the failover", (*demo).writeAfterFailover},
	{"replace the killed instance", (*demo).replaceInstance},
	{"drain a proxy", (*demo).drainProxy},
}

// Run runs all steps and then stops every process that it started. The error names the
// step that failed; the logs of the processes are kept in that case.
func Run(ctx context.Context, options Options) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "almondway-demo-")
	if err != nil {
		return errors.Wrap(err, "create demo directory")
	}
	ports := procs.NewPortAllocator()
	started, err := fleet.New(fleet.Spec{Dir: dir, Programs: options.Programs, Topology: topology(ports), Ports: ports})
	if err != nil {
		return err
	}
	demo := &demo{options: options, fleet: started}
	err = demo.runSteps(ctx)
	started.Stop()
	if err != nil {
		return errors.Wrapf(err, "demo failed (logs in %s)", dir)
	}
	if err := os.RemoveAll(dir); err != nil {
		return errors.Wrap(err, "remove demo directory")
	}
	demo.print("demo: ok\n")
	return nil
}

func (demo *demo) runSteps(ctx context.Context) error {
	for number, step := range steps {
		startedAt := time.Now()
		detail, err := step.run(demo, ctx)
		if err != nil {
			return errors.Wrapf(err, "step %d (%s)", number+1, step.name)
		}
		demo.print("%2d. %s: %s (%s)\n", number+1, step.name, detail, time.Since(startedAt).Round(time.Millisecond))
	}
	return nil
}

func (demo *demo) print(format string, args ...any) {
	_, _ = fmt.Fprintf(demo.options.Output, format, args...)
}

// topology returns two groups of the course catalogue and one of the breakfast ledger.
func topology(ports topol.PortAllocator) topol.Spec {
	spec := topol.Zagreb().Spec(ports)
	spec.Groups = spec.Groups[:2]
	spec.Groups = append(spec.Groups, topol.Lakeshore().Spec(ports).Groups[0])
	return spec
}

package meas

import (
	"context"
	"io"

	"github.com/pkg/errors"
)

// Names of the measured policies.
const (
	// PolicyAlmondway routes requests through the proxies.
	PolicyAlmondway = "almondway"
	// PolicyNaive is the baseline without a proxy.
	PolicyNaive = "naive"
)

// Options configure a measurement.
type Options struct {
	// Programs is the directory that contains the built programs.
	Programs string
	// Examples is the directory that contains the deployment files.
	Examples string
	// Scenario and Deployment select one scenario and one deployment; empty selects all.
	Scenario   string
	Deployment string
	// Policy selects one policy; empty selects all.
	Policy string
	// Label is reported instead of PolicyAlmondway unless it is empty.
	Label string
	// ProxyArgs are additional command-line arguments of each proxy.
	ProxyArgs []string
	Seed      uint64
	// KeepLogs keeps the log files of the processes.
	KeepLogs bool
	// Output receives one JSON line per deployment, scenario and policy.
	Output io.Writer
}

// Measure runs the selected scenarios sequentially. It returns an error if none is selected.
func Measure(ctx context.Context, options Options) error {
	selected := 0
	for _, profile := range profiles {
		for _, scenario := range scenarios {
			for _, policy := range []string{PolicyAlmondway, PolicyNaive} {
				run := &run{options: options, profile: profile, scenario: scenario, policy: policy}
				if !run.selected() {
					continue
				}
				selected++
				report, err := run.execute(ctx)
				if err != nil {
					return err
				}
				if err := report.print(options.Output); err != nil {
					return err
				}
			}
		}
	}
	if selected == 0 {
		return errors.Errorf("no scenario %q for deployment %q and policy %q", options.Scenario, options.Deployment, options.Policy)
	}
	return nil
}

func (run *run) selected() bool {
	matches := func(choice, value string) bool { return choice == "" || choice == value }
	return matches(run.options.Scenario, run.scenario.name) &&
		matches(run.options.Deployment, run.profile.deployment) &&
		matches(run.options.Policy, run.policy) &&
		(run.policy != PolicyNaive || run.scenario.naive)
}
